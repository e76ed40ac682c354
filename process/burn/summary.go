package burn

import (
	"sort"

	"github.com/toucanroute/toucanroute/wire"
)

// SummaryRow holds the counts and burn rates of one class, or of one class in one workspace or data centre. A burn rate
// is the share of missed requests as a multiple of the share that the target allows.
type SummaryRow struct {
	// Class, Workspace and DataCentre identify the row; an empty Workspace or DataCentre means all of them.
	Class      string `json:"class"`
	Workspace  string `json:"workspace,omitempty"`
	DataCentre string `json:"data_centre,omitempty"`
	// Tier is the class's tier; 1 is the highest.
	Tier int `json:"tier"`
	// Target is the share of requests that must meet the latency targets of the class.
	Target float64 `json:"target"`
	// Short and Long are the counts over the two windows.
	Short wire.BurnCounts `json:"short"`
	Long  wire.BurnCounts `json:"long"`
	// ShortBurn and LongBurn are the burn rates over the two windows; a rate of 1 uses up the error budget exactly.
	ShortBurn float64 `json:"short_burn"`
	LongBurn  float64 `json:"long_burn"`
	// BudgetLeft is the share of the long window's error budget that is left. It is negative if the budget is exceeded.
	BudgetLeft float64 `json:"budget_left"`
	// Tokens and Wasted are the numbers of generated tokens that were delivered and not delivered since the instances
	// started.
	Tokens int `json:"tokens"`
	Wasted int `json:"wasted_tokens"`
	// CheapShare is the share of the requests that ran on backend servers of the cheap kind. CheapMissShare is the
	// share of those requests that missed a target.
	CheapShare     float64 `json:"cheap_share"`
	CheapMissShare float64 `json:"cheap_harm"`

	// requests, cheap and cheapMissed are the numbers of all requests, of those on servers of the cheap kind, and of
	// those of the latter that missed a target, since the instances started.
	requests    int
	cheap       int
	cheapMissed int
}

// Summary holds the counts and burn rates of a deployment, summed over its instances.
type Summary struct {
	// Classes has one row for each class.
	Classes []*SummaryRow `json:"classes"`
	// Workspaces has one row for each class and workspace.
	Workspaces []*SummaryRow `json:"workspaces"`
	// DataCentres has one row for each class and data centre.
	DataCentres []*SummaryRow `json:"data_centres"`
	// Instances names the instances that responded, and Missing those that did not.
	Instances []string `json:"instances"`
	Missing   []string `json:"missing,omitempty"`
	// Cost is the cost of the backend servers so far, in the currency of the configuration.
	Cost float64 `json:"cost"`
	// CostPerGoodRequest is Cost divided by the number of requests in the long window that met their targets; 0 if
	// there are none.
	CostPerGoodRequest float64 `json:"cost_per_good_request"`
	// Reports holds the numbers of usage reports.
	Reports wire.ReportCounts `json:"reports"`
}

// summaryKey identifies a row of a summary; an empty field means all workspaces or data centres.
type summaryKey struct {
	class      string
	workspace  string
	dataCentre string
}

// Summarize sums the responses of the instances. The parameter missing names the instances that did not respond.
func Summarize(responses []wire.Burn, missing []string) *Summary {
	s := &Summary{Missing: missing}
	rows := map[summaryKey]*SummaryRow{}
	paid := map[string]wire.PaidServer{}
	for _, response := range responses {
		s.Instances = append(s.Instances, response.Instance)
		for _, r := range response.Rows {
			getOrCreateRow(rows, summaryKey{class: r.Class}).add(r)
			getOrCreateRow(rows, summaryKey{class: r.Class, workspace: r.Workspace}).add(r)
			getOrCreateRow(rows, summaryKey{class: r.Class, dataCentre: response.DataCentre}).add(r)
		}
		for _, paidServer := range response.Servers {
			if paidServer.PaidMs >= paid[paidServer.Server].PaidMs {
				paid[paidServer.Server] = paidServer
			}
		}
		s.addReports(response.Reports)
	}
	for _, paidServer := range paid {
		s.Cost += float64(paidServer.PaidMs) / msPerHour * paidServer.CostPerHour
	}
	s.collect(rows)
	return s
}

// msPerHour is the number of milliseconds in an hour.
const msPerHour = 3_600_000

// addReports adds the numbers of usage reports of one instance.
func (s *Summary) addReports(r *wire.ReportCounts) {
	if r == nil {
		return
	}
	s.Reports.Sent += r.Sent
	s.Reports.Late += r.Late
	s.Reports.Off += r.Off
}

// getOrCreateRow returns the row of a key and creates it if it is missing.
func getOrCreateRow(rows map[summaryKey]*SummaryRow, k summaryKey) *SummaryRow {
	if row := rows[k]; row != nil {
		return row
	}
	row := &SummaryRow{Class: k.class, Workspace: k.workspace, DataCentre: k.dataCentre}
	rows[k] = row
	return row
}

// add adds the counts of one instance to the row.
func (row *SummaryRow) add(r wire.BurnRow) {
	row.Tier = r.Tier
	row.Target = r.Attainment
	row.Short = addCounts(row.Short, r.Short)
	row.Long = addCounts(row.Long, r.Long)
	row.Tokens += r.Tokens
	row.Wasted += r.WastedTokens
	row.requests += r.Requests
	row.cheap += r.Cheap
	row.cheapMissed += r.CheapHarmed
}

// addCounts returns the sums of both counts by kind.
func addCounts(a, b wire.BurnCounts) wire.BurnCounts {
	return wire.BurnCounts{
		Good:     a.Good + b.Good,
		Queueing: a.Queueing + b.Queueing,
		Server:   a.Server + b.Server,
		Refusal:  a.Refusal + b.Refusal,
		Eviction: a.Eviction + b.Eviction,
	}
}

// missedRequests returns the number of requests that missed their targets.
func missedRequests(c wire.BurnCounts) int {
	return c.Queueing + c.Server + c.Refusal + c.Eviction
}

// burnRate returns the share of missed requests as a multiple of the share that the target allows.
func burnRate(c wire.BurnCounts, target float64) float64 {
	missedCount := missedRequests(c)
	if missedCount == 0 {
		return 0
	}
	allowed := 1 - target
	if allowed <= 0 {
		allowed = minAllowedMissShare
	}
	return float64(missedCount) / float64(missedCount+c.Good) / allowed
}

// minAllowedMissShare is the share of misses that counts as allowed if a target is 1, so that the burn rate stays finite.
const minAllowedMissShare = 0.0001

// share returns part as a share of whole, or 0 if whole is 0.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// computeRates computes the burn rates and shares after all rows have been added.
func (row *SummaryRow) computeRates() {
	row.ShortBurn = burnRate(row.Short, row.Target)
	row.LongBurn = burnRate(row.Long, row.Target)
	row.BudgetLeft = 1 - row.LongBurn
	row.CheapShare = share(row.cheap, row.requests)
	row.CheapMissShare = share(row.cheapMissed, row.cheap)
}

// collect adds the rows to the lists of the summary and sorts these lists. It also computes the rates and the cost of a
// good request.
func (s *Summary) collect(rows map[summaryKey]*SummaryRow) {
	good := 0
	for k, row := range rows {
		row.computeRates()
		switch {
		case k.workspace != "":
			s.Workspaces = append(s.Workspaces, row)
		case k.dataCentre != "":
			s.DataCentres = append(s.DataCentres, row)
		default:
			s.Classes = append(s.Classes, row)
			good += row.Long.Good
		}
	}
	if good > 0 {
		s.CostPerGoodRequest = s.Cost / float64(good)
	}
	for _, list := range [][]*SummaryRow{s.Classes, s.Workspaces, s.DataCentres} {
		sort.Slice(list, func(i, j int) bool { return sortsBefore(list[i], list[j]) })
	}
	sort.Strings(s.Instances)
	sort.Strings(s.Missing)
}

// sortsBefore reports whether row a is sorted before row b: by tier, class, and workspace or data centre.
func sortsBefore(a, b *SummaryRow) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	if a.Class != b.Class {
		return a.Class < b.Class
	}
	return a.Workspace+a.DataCentre < b.Workspace+b.DataCentre
}
