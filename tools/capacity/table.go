package main

import (
	"fmt"
	"time"
)

// fill rewrites all tables of a page.
func fill(page string, t Target, f figures) (string, error) {
	tables := []struct {
		name string
		body string
	}{
		{"machine", markdown([]string{"what", "value"}, f.machine)},
		{"size", sizeTable(t)},
		{"slopes", slopeTable(f)},
		{"roles", roleTable(t, f)},
		{"budget", budgetTable(t, f)},
		{"objects", objectTable(t, f)},
		{"stored", storedTable(t, f)},
		{"failures", failureTable(t)},
		{"cuts", cutTable(t, f)},
	}
	for _, table := range tables {
		var err error
		if page, err = rewrite(page, table.name, table.body); err != nil {
			return "", err
		}
	}
	return page, nil
}

// series returns all series in the order of the page.
func (f figures) series() []Series {
	return []Series{
		f.home.ByServers, f.home.ByWorkspaces, f.home.ByGrants, f.home.ByWaiting,
		f.home.HeapByServers, f.home.HeapByWorkspaces, f.home.HeapByGrants,
		f.link.HeartbeatBytes, f.link.HeartbeatCPU, f.link.Heap, f.link.GrantBytes, f.link.GrantCPU,
		f.link.ExchangeBytes, f.link.ExchangeCPU, f.link.FleetBytes, f.link.UsageBytes, f.link.UsageCPU,
		f.state.DocumentByServers, f.state.DocumentByWorkspaces, f.state.ApplyByServers, f.state.ApplyByWorkspaces,
		f.state.TableByServers, f.state.TableByWorkspaces, f.state.Ring, f.state.RingApply, f.state.Book,
		f.state.Homes, f.state.List, f.state.Part,
		f.platform.LeaseReads, f.platform.LeaseWrites, f.platform.LeaseBytes,
		f.platform.InForce, f.platform.VersionBytes, f.platform.VersionReads,
		f.process.Memory, f.process.CPU, f.process.Reads, f.process.Writes,
	}
}

// slopeTable lists the series with their points, lines and the figures at the size ahead.
func slopeTable(f figures) string {
	var rows [][]string
	for _, s := range f.series() {
		_, slope := s.Fit()
		points := ""
		for i, p := range s.Points {
			if i > 0 {
				points += ", "
			}
			points += number(p.Size) + ": " + number(p.Value)
		}
		rows = append(rows, []string{
			s.Name, s.Unit, s.Varied, points, number(slope),
			fmt.Sprintf("%s at %s", number(s.AtTarget()), number(s.Target)), s.how(),
		})
	}
	return markdown([]string{"figure", "unit", "size varied", "measured (size: figure)", "slope per one", "figure at the size ahead", "how"}, rows)
}

// how tells whether the figure at the size ahead lies within the measured sizes.
func (s Series) how() string {
	if s.IsExtrapolated(s.Target) && s.Flat {
		return "**extrapolated**: as at the nearest measured size"
	}
	if s.IsExtrapolated(s.Target) {
		return "**extrapolated** by the line"
	}
	return "within the measured sizes"
}

// sizeTable lists the size ahead and what follows from it.
func sizeTable(t Target) string {
	return markdown([]string{"what", "figure"}, [][]string{
		{"daemons, of each data centre", number(float64(t.Daemons)) + ", " + number(t.PerDataCentre())},
		{"backend servers, of each home", number(float64(t.Servers)) + ", " + number(t.HomeServers())},
		{"homes (models times data centres)", number(t.Homes())},
		{"requests per second, of one daemon, of one home", fmt.Sprintf("%s, %s, %s", number(t.RequestsPerSecond), number(t.DaemonRequests()), number(t.HomeRequests()))},
		{"tokens of an answer, its time at " + t.BetweenTokens.String() + " a token", fmt.Sprintf("%s, %s s", number(t.TokensPerSecond/t.RequestsPerSecond), number(t.Answer().Seconds()))},
		{"streams at a time, of one daemon, of one home, of one backend server", fmt.Sprintf("%s, %s, %s, %s",
			number(t.Streams()), number(t.Streams()/float64(t.Daemons)), number(t.Streams()/t.Homes()), number(t.Streams()/float64(t.Servers)))},
		{"changes of configuration", fmt.Sprintf("one in %s s", number(1/t.ChangesPerSecond()))},
		{"budget of a daemon for control", fmt.Sprintf("%s of a core, %s, %s/s", percent(t.Budget.CPU), bytesOf(t.Budget.Memory), bytesOf(t.Budget.Bytes))},
		{"assumed by this page", fmt.Sprintf("%d keys of a workspace, %d instances of a rack, %s of the requests unrepeatable, even popularity of models and daemons",
			t.KeysPerWorkspace, t.RackDaemons, percent(t.UnrepeatableShare))},
	})
}

// mark tells that a figure was extrapolated.
func mark(text string, extrapolated bool) string {
	if extrapolated {
		return text + " (e)"
	}
	return text
}

// measured writes a figure, or "n.m." where there is none.
func measured(v float64, write func(float64) string) string {
	if v == 0 {
		return "n.m."
	}
	return write(v)
}

// roleTable lists the parts of all roles.
func roleTable(t Target, f figures) string {
	var rows [][]string
	for _, r := range roles(t, f) {
		for _, c := range r.Costs {
			rows = append(rows, []string{
				r.Name, mark(c.Part, c.Extrapolated), c.State, c.Mechanism, number(c.Messages), bytesOf(c.Bytes), measured(c.CPU, percent),
				measured(c.Memory, bytesOf), c.verdict(t.Budget),
			})
		}
	}
	return markdown([]string{"role", "part", "state", "mechanism", "messages/s", "bytes/s", "of a core", "memory", "alone against the budget, and what would fix it"}, rows)
}

// verdict tells which budgets one part exceeds by itself.
func (c Cost) verdict(b Budget) string {
	missed := c.missed(b)
	if missed == "" {
		return "within"
	}
	return "**" + missed + "**: " + c.Fix
}

// missed names the budgets that are exceeded, and by what factor.
func (c Cost) missed(b Budget) string {
	text := ""
	for _, m := range []struct {
		name  string
		ratio float64
	}{{"processor", c.CPU / b.CPU}, {"memory", c.Memory / b.Memory}, {"bytes", c.Bytes / b.Bytes}} {
		if m.ratio <= 1 {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += m.name + " " + number(m.ratio) + " times"
	}
	return text
}

// budgetTable sums the roles that meet on one daemon.
func budgetTable(t Target, f figures) string {
	all := roles(t, f)
	entry, burn := all[0].Sum(), all[len(all)-1].Sum()
	rows := [][]string{budgetRow("any daemon: entry and burn", t, entry, burn)}
	for _, r := range all[1 : len(all)-1] {
		rows = append(rows, budgetRow("that and "+r.Name+" ("+r.Holders+")", t, entry, burn, r.Sum()))
	}
	return markdown([]string{"daemon", "messages/s", "bytes/s", "of a core", "memory", "against the budget"}, rows)
}

func budgetRow(name string, t Target, costs ...Cost) []string {
	sum := Role{Costs: costs}.Sum()
	missed := sum.missed(t.Budget)
	if missed == "" {
		missed = "within"
	}
	return []string{mark(name, sum.Extrapolated), number(sum.Messages), bytesOf(sum.Bytes), percent(sum.CPU), bytesOf(sum.Memory), missed}
}

// objectTable lists the calls to the object API.
func objectTable(t Target, f figures) string {
	list := objectCalls(t, f)
	rows := make([][]string, 0, len(list)+3)
	for _, c := range append(list, sumCalls(list)) {
		rows = append(rows, []string{c.Part, c.Grows, mark(number(c.Reads), c.Extrapolated && c.Reads > 0), mark(number(c.Writes), c.Extrapolated && c.Writes > 0)})
	}
	sum := sumCalls(list)
	rows = append(rows, []string{"limit (several hundred writes, read as 300)", "", number(readLimit), number(writeLimit)},
		[]string{"share of the limit", "", percent(sum.Reads / readLimit), percent(sum.Writes / writeLimit)},
		[]string{"check: whole deployments of 6 to 12 idle daemons in 3 data centres, by their line", "with the daemons", number(f.process.Reads.AtTarget()) + " (e)", ""})
	return markdown([]string{"calls", "grow", "reads/s", "writes/s"}, rows)
}

// storedTable lists what the object API keeps.
func storedTable(t Target, f figures) string {
	document, apply := f.document()
	lines := f.state.Part.At(float64(t.Workspaces*t.Classes)) * kilobyte
	return markdown([]string{"object", "figure"}, [][]string{
		{"a configuration of all backend servers and workspaces", bytesOf(document) + ", " + percent(document/objectLimit) + " of the limit of an object"},
		{
			"time until a change is in force in a data centre: as measured with a small document, and " + number(treeLevels) + " times its reading; the target is 10 s",
			mark(number(f.platform.InForce.AtTarget()/1000+treeLevels*apply)+" s", true),
		},
		{"configurations kept, the newest and the 10 before it", bytesOf(document * keptConfigurations)},
		{"a seal with a line for each workspace and class", bytesOf(lines) + ", " + percent(lines/objectLimit) + " of the limit"},
		{"claims kept, each for a day, at the assumed share", number(t.RequestsPerSecond * t.UnrepeatableShare * secondsPerDay)},
	})
}

// keptConfigurations is the number of documents that `toucanctl apply` leaves.
const keptConfigurations = 11

// failureTable lists the costs of failures.
func failureTable(t Target) string {
	var rows [][]string
	for _, f := range failures(t) {
		c := f.cost(t)
		rows = append(rows, []string{
			f.Kind, number(f.PerDay), number(c.Moved), number(c.Cut), number(c.Delayed), bytesOf(c.Declared), number(c.Leases), number(c.Calls),
			fmt.Sprintf("%s moved pools, %s cut streams", number(c.Moved*f.PerDay), number(c.Cut*f.PerDay)),
		})
	}
	return markdown([]string{
		"failure", "a day", "pools moved", "streams cut", "requests that wait for a home", "grants declared", "leases taken over", "object API calls", "each day",
	}, rows)
}

// dials writes the dials towards peers that are gone.
func dials(gone float64) string {
	silent, refused := redials(gone)
	return fmt.Sprintf("%s/s where nothing answers, %s/s where each is refused", number(silent), number(refused))
}

// cutTable lists what cuts cost.
func cutTable(t Target, f figures) string {
	half := float64(t.Daemons) / float64(t.Regions)
	daemon, collector := cutMemory(t, time.Hour)
	rows := make([][]string, 0, 8)
	for _, c := range outageCalls(float64(t.Daemons), float64(t.DataCentres)) {
		rows = append(rows, []string{"object API refuses all: " + c.Part, number(c.Reads+c.Writes) + " calls/s"})
	}
	sum := sumCalls(outageCalls(float64(t.Daemons), float64(t.DataCentres)))
	rows = append(rows,
		[]string{"object API refuses all: sum, against " + number(readLimit) + " reads/s when it comes back", number(sum.Reads+sum.Writes) + " calls/s, " + number((sum.Reads+sum.Writes)/readLimit) + " times"},
		[]string{"regions apart: dials of each daemon towards the other region", dials(half)},
		[]string{"regions apart: calls of the region without the platform", number(sumCalls(outageCalls(half, float64(t.DataCentres)/float64(t.Regions))).Reads) + " calls/s that fail"},
		[]string{"an hour without the platform: usage kept by each daemon, " + number(lineBytes) + " B a line assumed", bytesOf(daemon)},
		[]string{"an hour without the platform: usage kept by the collector of a data centre, likewise", bytesOf(collector)},
		[]string{"an hour without the platform: parts to list before a window is sealed, against the " + bytesOf(listLimit) + " that the client reads", mark(bytesOf(cutParts(t, f, time.Hour)), true)},
		[]string{"a data centre out: dials of each other daemon towards it", dials(t.PerDataCentre())},
		[]string{"a daemon restarted: links that it and the others make", number(2 * float64(t.Daemons-1))},
		[]string{"a backend server lost: streams cut", number(t.Streams() / float64(t.Servers))},
		[]string{"instances that never come back under their name: dials of each daemon after a day of losses", dials(t.LossesPerDay) + "; as much again each day until it restarts"},
	)
	return markdown([]string{"what", "figure"}, rows)
}
