package burn

import (
	"sort"

	"github.com/toucanroute/toucanroute/wire"
)

// Line is the burn of one class, or of one class in one workspace or data centre.
type Line struct {
	// Class, Workspace and DataCentre name the line; an empty one is all of them.
	Class      string `json:"class"`
	Workspace  string `json:"workspace,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	// Tier is the class's tier; 1 is the highest.
	Tier int `json:"tier"`
	// Target is the share that must meet the targets.
	Target float64 `json:"target"`
	// Short and Long are the counts over the two windows.
	Short wire.BurnCounts `json:"short"`
	Long  wire.BurnCounts `json:"long"`
	// ShortBurn and LongBurn are the share of misses as a multiple of what the target allows; 1 uses the budget up
	// exactly.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// BudgetLeft is the share of the long window's error budget that is left; below 0 it is overdrawn.
	BudgetLeft float64 `json:"budget_left"`
	// Tokens and Wasted are tokens delivered and not delivered since the instances started.
	Tokens int `json:"tokens"`
	Wasted int `json:"wasted_tokens"`
	// CheapShare is the share of requests that ran on the cheap kind, CheapHarm that of them that missed a target.
	CheapShare float64 `json:"cheap_share"`
	CheapHarm  float64 `json:"cheap_harm"`

	requests int
	cheap    int
	harmed   int
}

// Summary is the burn of a deployment, put together from its instances.
type Summary struct {
	// Classes has one line for each class.
	Classes []*Line `json:"classes"`
	// Workspaces has one line for each class and workspace.
	Workspaces []*Line `json:"workspaces"`
	// DataCentres has one line for each class and data centre.
	DataCentres []*Line `json:"data_centres"`
	// Instances are those that answered, Missing those that did not.
	Instances []string `json:"instances"`
	Missing   []string `json:"missing,omitempty"`
	// Cost is what the backend servers cost so far, in the currency of the configuration.
	Cost float64 `json:"cost"`
	// CostPerGood is the cost of one request that met its targets in the long window's counts; 0 where there is none.
	CostPerGood float64 `json:"cost_per_good_request"`
	// Reports counts the usage reports.
	Reports wire.ReportCounts `json:"reports"`
}

// lineKey names a line.
type lineKey struct {
	class      string
	workspace  string
	dataCentre string
}

// Summarize adds the answers of instances up; missing names those that gave none.
func Summarize(answers []wire.Burn, missing []string) *Summary {
	s := &Summary{Missing: missing}
	lines := map[lineKey]*Line{}
	paid := map[string]wire.PaidServer{}
	for _, a := range answers {
		s.Instances = append(s.Instances, a.Instance)
		for _, r := range a.Rows {
			line(lines, lineKey{class: r.Class}).add(r)
			line(lines, lineKey{class: r.Class, workspace: r.Workspace}).add(r)
			line(lines, lineKey{class: r.Class, dataCentre: a.DataCentre}).add(r)
		}
		for _, p := range a.Servers {
			if p.PaidMs >= paid[p.Server].PaidMs {
				paid[p.Server] = p
			}
		}
		s.addReports(a.Reports)
	}
	for _, p := range paid {
		s.Cost += float64(p.PaidMs) / msPerHour * p.CostPerHour
	}
	s.collect(lines)
	return s
}

// msPerHour is the number of milliseconds in an hour.
const msPerHour = 3_600_000

func (s *Summary) addReports(r *wire.ReportCounts) {
	if r == nil {
		return
	}
	s.Reports.Sent += r.Sent
	s.Reports.Late += r.Late
	s.Reports.Off += r.Off
}

func line(lines map[lineKey]*Line, k lineKey) *Line {
	if l := lines[k]; l != nil {
		return l
	}
	l := &Line{Class: k.class, Workspace: k.workspace, DataCentre: k.dataCentre}
	lines[k] = l
	return l
}

func (l *Line) add(r wire.BurnRow) {
	l.Tier = r.Tier
	l.Target = r.Attainment
	l.Short = sum(l.Short, r.Short)
	l.Long = sum(l.Long, r.Long)
	l.Tokens += r.Tokens
	l.Wasted += r.WastedTokens
	l.requests += r.Requests
	l.cheap += r.Cheap
	l.harmed += r.CheapHarmed
}

func sum(a, b wire.BurnCounts) wire.BurnCounts {
	return wire.BurnCounts{
		Good:     a.Good + b.Good,
		Queueing: a.Queueing + b.Queueing,
		Server:   a.Server + b.Server,
		Refusal:  a.Refusal + b.Refusal,
		Eviction: a.Eviction + b.Eviction,
	}
}

// missed returns the number of requests that missed their targets.
func missed(c wire.BurnCounts) int {
	return c.Queueing + c.Server + c.Refusal + c.Eviction
}

// rate returns the share of misses as a multiple of what the target allows.
func rate(c wire.BurnCounts, target float64) float64 {
	bad := missed(c)
	if bad == 0 {
		return 0
	}
	allowed := 1 - target
	if allowed <= 0 {
		allowed = smallestAllowance
	}
	return float64(bad) / float64(bad+c.Good) / allowed
}

// smallestAllowance is the share of misses allowed where a target is 1, so that a burn can be told.
const smallestAllowance = 0.0001

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// finish works the shares out once all rows are in.
func (l *Line) finish() {
	l.ShortBurn = rate(l.Short, l.Target)
	l.LongBurn = rate(l.Long, l.Target)
	l.BudgetLeft = 1 - l.LongBurn
	l.CheapShare = share(l.cheap, l.requests)
	l.CheapHarm = share(l.harmed, l.cheap)
}

// collect sorts the lines into the summary.
func (s *Summary) collect(lines map[lineKey]*Line) {
	good := 0
	for k, l := range lines {
		l.finish()
		switch {
		case k.workspace != "":
			s.Workspaces = append(s.Workspaces, l)
		case k.dataCentre != "":
			s.DataCentres = append(s.DataCentres, l)
		default:
			s.Classes = append(s.Classes, l)
			good += l.Long.Good
		}
	}
	if good > 0 {
		s.CostPerGood = s.Cost / float64(good)
	}
	for _, list := range [][]*Line{s.Classes, s.Workspaces, s.DataCentres} {
		sort.Slice(list, func(i, j int) bool { return before(list[i], list[j]) })
	}
	sort.Strings(s.Instances)
	sort.Strings(s.Missing)
}

func before(a, b *Line) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Workspace+a.DataCentre < b.Workspace+b.DataCentre
}
