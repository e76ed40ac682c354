package main

import (
	"fmt"
	"time"
)

// fillPage replaces all tables of a page.
func fillPage(page string, t Target, f measurements) (string, error) {
	tables := []struct {
		name string
		body string
	}{
		{"machine", markdownTable([]string{"what", "value"}, f.machineRows)},
		{"size", sizeTable(t)},
		{"slopes", slopeTable(f)},
		{"roles", roleTable(t, f)},
		{"budget", budgetTable(t, f)},
		{"objects", objectCallTable(t, f)},
		{"stored", storedObjectTable(t, f)},
		{"failures", failureTable(t)},
		{"cuts", outageTable(t, f)},
	}
	for _, table := range tables {
		var err error
		if page, err = replaceTable(page, table.name, table.body); err != nil {
			return "", err
		}
	}
	return page, nil
}

// series returns all series in the order of the page.
func (f measurements) series() []Series {
	return []Series{
		f.scheduler.CPUByServers, f.scheduler.CPUByWorkspaces, f.scheduler.CPUByGrants, f.scheduler.CPUByWaiting,
		f.scheduler.HeapByServers, f.scheduler.HeapByWorkspaces, f.scheduler.HeapByGrants,
		f.links.HeartbeatBytes, f.links.HeartbeatCPU, f.links.LinkHeap, f.links.GrantBytes, f.links.GrantCPU,
		f.links.ExchangeBytes, f.links.ExchangeCPU, f.links.ServerViewBytes, f.links.UsageBytes, f.links.UsageCPU,
		f.state.DocumentSizeByServers, f.state.DocumentSizeByWorkspaces, f.state.ApplyByServers,
		f.state.ApplyByWorkspaces, f.state.ConfigHeapByServers, f.state.ConfigHeapByWorkspaces, f.state.Ring,
		f.state.KeyReplaceTime, f.state.Recorder, f.state.Homes, f.state.InstanceListSize, f.state.Part,
		f.platform.LeaseReads, f.platform.LeaseWrites, f.platform.LeaseBytes,
		f.platform.ActivationTime, f.platform.VersionBytes, f.platform.VersionReads,
		f.processes.Memory, f.processes.CPU, f.processes.Reads, f.processes.Writes,
	}
}

// slopeTable lists the series with their points, slopes and figures at the target size.
func slopeTable(f measurements) string {
	var rows [][]string
	for _, s := range f.series() {
		_, slope := s.FitLine()
		points := ""
		for i, p := range s.Points {
			if i > 0 {
				points += ", "
			}
			points += formatNumber(p.Size) + ": " + formatNumber(p.Value)
		}
		rows = append(rows, []string{
			s.Name, s.Unit, s.Parameter, points, formatNumber(slope),
			fmt.Sprintf("%s at %s", formatNumber(s.AtTarget()), formatNumber(s.Target)), s.derivation(),
		})
	}
	return markdownTable([]string{"figure", "unit", "size varied", "measured (size: figure)", "slope per one", "figure at the size ahead", "how"}, rows)
}

// derivation describes whether and how the figure at the target size is extrapolated.
func (s Series) derivation() string {
	if s.IsExtrapolated(s.Target) && s.IsConstant {
		return "**extrapolated**: as at the nearest measured size"
	}
	if s.IsExtrapolated(s.Target) {
		return "**extrapolated** by the line"
	}
	return "within the measured sizes"
}

// sizeTable lists the target size and the figures derived from it.
func sizeTable(t Target) string {
	return markdownTable([]string{"what", "figure"}, [][]string{
		{"daemons, of each data centre", formatNumber(float64(t.Daemons)) + ", " + formatNumber(t.DaemonsPerDataCentre())},
		{"backend servers, of each home", formatNumber(float64(t.Servers)) + ", " + formatNumber(t.ServersPerHome())},
		{"homes (models times data centres)", formatNumber(t.Homes())},
		{"requests per second, of one daemon, of one home", fmt.Sprintf("%s, %s, %s", formatNumber(t.RequestsPerSecond), formatNumber(t.RequestsPerDaemon()), formatNumber(t.RequestsPerHome()))},
		{"tokens of an answer, its time at " + t.TimeBetweenTokens.String() + " a token", fmt.Sprintf("%s, %s s", formatNumber(t.TokensPerSecond/t.RequestsPerSecond), formatNumber(t.MeanStreamDuration().Seconds()))},
		{"streams at a time, of one daemon, of one home, of one backend server", fmt.Sprintf("%s, %s, %s, %s",
			formatNumber(t.Streams()), formatNumber(t.Streams()/float64(t.Daemons)), formatNumber(t.Streams()/t.Homes()), formatNumber(t.Streams()/float64(t.Servers)))},
		{"changes of configuration", fmt.Sprintf("one in %s s", formatNumber(1/t.ConfigChangesPerSecond()))},
		{"budget of a daemon for control", fmt.Sprintf("%s of a core, %s, %s/s", formatPercent(t.Budget.CPU), formatBytes(t.Budget.Memory), formatBytes(t.Budget.BytesPerSecond))},
		{"assumed by this page", fmt.Sprintf("%d keys of a workspace, %d instances of a rack, %s of the requests unrepeatable, even popularity of models and daemons",
			t.KeysPerWorkspace, t.DaemonsPerRack, formatPercent(t.NonIdempotentShare))},
	})
}

// markExtrapolated appends "(e)" to a text if the figure in it was extrapolated.
func markExtrapolated(text string, extrapolated bool) string {
	if extrapolated {
		return text + " (e)"
	}
	return text
}

// formatIfMeasured formats a figure, or returns "n.m." (not measured) for 0.
func formatIfMeasured(v float64, format func(float64) string) string {
	if v == 0 {
		return "n.m."
	}
	return format(v)
}

// roleTable lists the parts of all roles.
func roleTable(t Target, f measurements) string {
	var rows [][]string
	for _, r := range roles(t, f) {
		for _, c := range r.Costs {
			rows = append(rows, []string{
				r.Name, markExtrapolated(c.Part, c.IsExtrapolated), c.State, c.Mechanism, formatNumber(c.MessagesPerSecond), formatBytes(c.BytesPerSecond), formatIfMeasured(c.CPU, formatPercent),
				formatIfMeasured(c.Memory, formatBytes), c.budgetVerdict(t.Budget),
			})
		}
	}
	return markdownTable([]string{"role", "part", "state", "mechanism", "messages/s", "bytes/s", "of a core", "memory", "alone against the budget, and what would fix it"}, rows)
}

// budgetVerdict describes the budgets that one part exceeds by itself, and the remedy.
func (c Cost) budgetVerdict(b Budget) string {
	exceededBudgets := c.exceededBudgets(b)
	if exceededBudgets == "" {
		return "within"
	}
	return "**" + exceededBudgets + "**: " + c.Remedy
}

// exceededBudgets lists the exceeded budgets and the factor by which each is exceeded.
func (c Cost) exceededBudgets(b Budget) string {
	text := ""
	for _, budget := range []struct {
		name  string
		ratio float64
	}{{"processor", c.CPU / b.CPU}, {"memory", c.Memory / b.Memory}, {"bytes", c.BytesPerSecond / b.BytesPerSecond}} {
		if budget.ratio <= 1 {
			continue
		}
		if text != "" {
			text += ", "
		}
		text += budget.name + " " + formatNumber(budget.ratio) + " times"
	}
	return text
}

// budgetTable sums the costs of the roles that one daemon can have at once.
func budgetTable(t Target, f measurements) string {
	all := roles(t, f)
	entry, burn := all[0].TotalCost(), all[len(all)-1].TotalCost()
	rows := [][]string{budgetRow("any daemon: entry and burn", t, entry, burn)}
	for _, r := range all[1 : len(all)-1] {
		rows = append(rows, budgetRow("that and "+r.Name+" ("+r.Holders+")", t, entry, burn, r.TotalCost()))
	}
	return markdownTable([]string{"daemon", "messages/s", "bytes/s", "of a core", "memory", "against the budget"}, rows)
}

func budgetRow(name string, t Target, costs ...Cost) []string {
	sum := Role{Costs: costs}.TotalCost()
	exceededBudgets := sum.exceededBudgets(t.Budget)
	if exceededBudgets == "" {
		exceededBudgets = "within"
	}
	return []string{markExtrapolated(name, sum.IsExtrapolated), formatNumber(sum.MessagesPerSecond), formatBytes(sum.BytesPerSecond), formatPercent(sum.CPU), formatBytes(sum.Memory), exceededBudgets}
}

// objectCallTable lists the rates of calls to the object API.
func objectCallTable(t Target, f measurements) string {
	list := objectAPICalls(t, f)
	rows := make([][]string, 0, len(list)+3)
	for _, c := range append(list, sumCalls(list)) {
		rows = append(rows, []string{c.Source, c.GrowsWith, markExtrapolated(formatNumber(c.Reads), c.IsExtrapolated && c.Reads > 0), markExtrapolated(formatNumber(c.Writes), c.IsExtrapolated && c.Writes > 0)})
	}
	sum := sumCalls(list)
	rows = append(rows, []string{"limit (several hundred writes, read as 300)", "", formatNumber(maxReadsPerSecond), formatNumber(maxWritesPerSecond)},
		[]string{"share of the limit", "", formatPercent(sum.Reads / maxReadsPerSecond), formatPercent(sum.Writes / maxWritesPerSecond)},
		[]string{"check: whole deployments of 6 to 12 idle daemons in 3 data centres, by their line", "with the daemons", formatNumber(f.processes.Reads.AtTarget()) + " (e)", ""})
	return markdownTable([]string{"calls", "grow", "reads/s", "writes/s"}, rows)
}

// storedObjectTable lists the objects that the object API stores.
func storedObjectTable(t Target, f measurements) string {
	configSize, applySeconds := f.configSize()
	sealBytes := f.state.Part.At(float64(t.Workspaces*t.Classes)) * kilobyte
	return markdownTable([]string{"object", "figure"}, [][]string{
		{"a configuration of all backend servers and workspaces", formatBytes(configSize) + ", " + formatPercent(configSize/maxObjectBytes) + " of the limit of an object"},
		{
			"time until a change is in force in a data centre: as measured with a small document, and " + formatNumber(versionTreeDepth) + " times its reading; the target is 10 s",
			markExtrapolated(formatNumber(f.platform.ActivationTime.AtTarget()/1000+versionTreeDepth*applySeconds)+" s", true),
		},
		{"configurations kept, the newest and the 10 before it", formatBytes(configSize * keptConfigVersions)},
		{"a seal with a line for each workspace and class", formatBytes(sealBytes) + ", " + formatPercent(sealBytes/maxObjectBytes) + " of the limit"},
		{"claims kept, each for a day, at the assumed share", formatNumber(t.RequestsPerSecond * t.NonIdempotentShare * secondsPerDay)},
	})
}

// keptConfigVersions is the number of configuration documents that `toucanctl apply` keeps.
const keptConfigVersions = 11

// failureTable lists the effects of failures.
func failureTable(t Target) string {
	var rows [][]string
	for _, f := range failures(t) {
		c := f.calculateCost(t)
		rows = append(rows, []string{
			f.Kind, formatNumber(f.PerDay), formatNumber(c.MovedPools), formatNumber(c.BrokenStreams), formatNumber(c.DelayedRequests), formatBytes(c.DeclaredGrantBytes), formatNumber(c.LeaseTakeovers), formatNumber(c.ObjectAPICalls),
			fmt.Sprintf("%s moved pools, %s cut streams", formatNumber(c.MovedPools*f.PerDay), formatNumber(c.BrokenStreams*f.PerDay)),
		})
	}
	return markdownTable([]string{
		"failure", "a day", "pools moved", "streams cut", "requests that wait for a home", "grants declared", "leases taken over", "object API calls", "each day",
	}, rows)
}

// formatRedialRates describes the rates of dials to unreachable peers.
func formatRedialRates(lostPeers float64) string {
	timedOut, refused := redialRates(lostPeers)
	return fmt.Sprintf("%s/s where nothing answers, %s/s where each is refused", formatNumber(timedOut), formatNumber(refused))
}

// outageTable lists the effects of outages and network partitions.
func outageTable(t Target, f measurements) string {
	daemonsPerRegion := float64(t.Daemons) / float64(t.Regions)
	daemonMemory, collectorMemory := usageMemoryDuringOutage(t, time.Hour)
	rows := make([][]string, 0, 8)
	for _, c := range outageCalls(float64(t.Daemons), float64(t.DataCentres)) {
		rows = append(rows, []string{"object API refuses all: " + c.Source, formatNumber(c.Reads+c.Writes) + " calls/s"})
	}
	sum := sumCalls(outageCalls(float64(t.Daemons), float64(t.DataCentres)))
	rows = append(rows,
		[]string{"object API refuses all: sum, against " + formatNumber(maxReadsPerSecond) + " reads/s when it comes back", formatNumber(sum.Reads+sum.Writes) + " calls/s, " + formatNumber((sum.Reads+sum.Writes)/maxReadsPerSecond) + " times"},
		[]string{"regions apart: dials of each daemon towards the other region", formatRedialRates(daemonsPerRegion)},
		[]string{"regions apart: calls of the region without the platform", formatNumber(sumCalls(outageCalls(daemonsPerRegion, float64(t.DataCentres)/float64(t.Regions))).Reads) + " calls/s that fail"},
		[]string{"an hour without the platform: usage kept by each daemon, " + formatNumber(usageLineBytes) + " B a line assumed", formatBytes(daemonMemory)},
		[]string{"an hour without the platform: usage kept by the collector of a data centre, likewise", formatBytes(collectorMemory)},
		[]string{"an hour without the platform: parts to list before a window is sealed, against the " + formatBytes(maxListResponseBytes) + " that the client reads", markExtrapolated(formatBytes(pendingPartBytes(t, f, time.Hour)), true)},
		[]string{"a data centre out: dials of each other daemon towards it", formatRedialRates(t.DaemonsPerDataCentre())},
		[]string{"a daemon restarted: links that it and the others make", formatNumber(2 * float64(t.Daemons-1))},
		[]string{"a backend server lost: streams cut", formatNumber(t.Streams() / float64(t.Servers))},
		[]string{"instances that never come back under their name: dials of each daemon after a day of losses", formatRedialRates(t.InstanceLossesPerDay) + "; as much again each day until it restarts"},
	)
	return markdownTable([]string{"what", "figure"}, rows)
}
