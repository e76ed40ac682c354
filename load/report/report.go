// Package report summarises the results of a replayed load by class and by workspace. Attainment is the share of
// requests that met the targets of their class.
package report

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/toucanroute/toucanroute/load/replay"
	"github.com/toucanroute/toucanroute/wire"
)

// Range, in microseconds, and precision, in significant decimal digits, of the latency histograms.
const (
	minLatencyMicros         = 1
	maxLatencyMicros         = int64(5 * time.Minute / time.Microsecond)
	latencySignificantDigits = 3
)

// Row summarises the requests of one class, or of one workspace within a tier.
type Row struct {
	// Class is empty in the row of a workspace.
	Class string `json:"class,omitempty"`
	// Workspace is empty in the row of a class.
	Workspace string `json:"workspace,omitempty"`
	// Tier is the tier of the class; tier 1 has the highest priority.
	Tier int `json:"tier"`
	// Target is the share of requests that must meet the targets of the class; 0 in the row of a workspace.
	Target float64 `json:"target,omitempty"`
	// Sent, MetTargets, Late, Refused and Failed count requests; the last four add up to Sent. Late requests had a
	// complete response that missed the targets.
	Sent       int `json:"sent"`
	MetTargets int `json:"met"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	// FirstTokenP50 and FirstTokenP95 are percentiles of the time to first token of complete responses, in
	// milliseconds.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	// GoodTokens is the number of tokens received for requests that met their targets.
	GoodTokens int `json:"good_tokens"`
	// WastedTokens is the number of tokens received for requests that missed their targets.
	WastedTokens int `json:"wasted_tokens"`
	// Reasons counts the requests without a complete response by error code.
	Reasons map[string]int `json:"reasons,omitempty"`

	// latency holds the times to first token of complete responses, in microseconds.
	latency *hdrhistogram.Histogram
}

// Attainment returns the share of requests that met their targets, from 0 to 1.
func (r *Row) Attainment() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.MetTargets) / float64(r.Sent)
}

// Report summarises one run.
type Report struct {
	// Classes has one row for each class, tier 1 first.
	Classes []*Row `json:"classes"`
	// Workspaces has one row for each workspace and tier, tier 1 first.
	Workspaces []*Row `json:"workspaces"`
	// Seconds is the duration of the run.
	Seconds float64 `json:"seconds"`
	// GoodTokensPerSecond is the number of tokens per second of requests that met their targets.
	GoodTokensPerSecond float64 `json:"goodput_tokens_per_second"`
	// GoodRequestsPerSecond is the number of requests per second that met their targets.
	GoodRequestsPerSecond float64 `json:"goodput_requests_per_second"`
	// WastedTokens is the number of tokens received for requests that missed their targets, over all classes.
	WastedTokens int `json:"wasted_tokens"`
	// CachedShare is the share of all prompt tokens that the engines had cached.
	CachedShare float64 `json:"cached_share"`
}

// rowKey identifies the row of a class, or of a workspace and tier.
type rowKey struct {
	class     string
	workspace string
	tier      int
}

// New summarises the results of a run of the given length. The targets are those of the classes in cfg.
func New(results []replay.Result, cfg *wire.Config, runDuration time.Duration) *Report {
	classes := map[string]wire.Class{}
	for _, c := range cfg.Classes {
		classes[c.Name] = c
	}
	rows := map[rowKey]*Row{}
	rep := &Report{Seconds: runDuration.Seconds()}
	metRequests, goodTokens, cachedTokens, promptTokens := 0, 0, 0, 0
	for _, res := range results {
		c := classes[res.Arrival.Class]
		rowFor(rows, rowKey{class: c.Name, tier: c.Tier}).add(res, c)
		rowFor(rows, rowKey{workspace: res.Arrival.Workspace, tier: c.Tier}).add(res, c)
		cachedTokens += res.CachedPromptTokens
		promptTokens += res.Arrival.PromptTokens
		if res.MetTargets(c) {
			metRequests++
			goodTokens += res.Tokens
		} else {
			rep.WastedTokens += res.Tokens
		}
	}
	rep.GoodTokensPerSecond = float64(goodTokens) / rep.Seconds
	rep.GoodRequestsPerSecond = float64(metRequests) / rep.Seconds
	if promptTokens > 0 {
		rep.CachedShare = float64(cachedTokens) / float64(promptTokens)
	}
	rep.addRows(rows, classes)
	return rep
}

// rowFor returns the row with key k, and adds it to rows if it is missing.
func rowFor(rows map[rowKey]*Row, k rowKey) *Row {
	if r := rows[k]; r != nil {
		return r
	}
	r := &Row{
		Class:     k.class,
		Workspace: k.workspace,
		Tier:      k.tier,
		Reasons:   map[string]int{},
		latency:   hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencySignificantDigits),
	}
	rows[k] = r
	return r
}

// add adds one result of a request of class c to the row.
func (r *Row) add(res replay.Result, c wire.Class) {
	r.Sent++
	if res.Outcome == replay.OutcomeOK {
		_ = r.latency.RecordValue(res.TimeToFirstToken.Microseconds())
	} else {
		r.Reasons[res.Reason]++
	}
	if res.MetTargets(c) {
		r.MetTargets++
		r.GoodTokens += res.Tokens
		return
	}
	r.WastedTokens += res.Tokens
	switch res.Outcome {
	case replay.OutcomeOK:
		r.Late++
	case replay.OutcomeRefused:
		r.Refused++
	default:
		r.Failed++
	}
}

// addRows computes the percentiles of the rows and adds the rows to the report in sorted order.
func (r *Report) addRows(rows map[rowKey]*Row, classes map[string]wire.Class) {
	for key, row := range rows {
		row.FirstTokenP50 = float64(row.latency.ValueAtQuantile(50)) / 1000
		row.FirstTokenP95 = float64(row.latency.ValueAtQuantile(95)) / 1000
		if key.class == "" {
			r.Workspaces = append(r.Workspaces, row)
			continue
		}
		row.Target = classes[key.class].Attainment
		r.Classes = append(r.Classes, row)
	}
	sort.Slice(r.Classes, func(i, j int) bool { return rowLess(r.Classes[i], r.Classes[j]) })
	sort.Slice(r.Workspaces, func(i, j int) bool { return rowLess(r.Workspaces[i], r.Workspaces[j]) })
}

// rowLess orders rows by tier, then by class or workspace.
func rowLess(a, b *Row) bool {
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	return a.Class+a.Workspace < b.Class+b.Workspace
}

// TierAttainment returns the share of a tier's requests that met their targets.
func (r *Report) TierAttainment(tier int) float64 {
	sum := Row{}
	for _, c := range r.Classes {
		if c.Tier == tier {
			sum.Sent += c.Sent
			sum.MetTargets += c.MetTargets
		}
	}
	return sum.Attainment()
}

// WorstWorkspace returns the smallest ratio of a workspace's attainment to the attainment of its tier, over all tiers,
// and the name of that workspace. It returns 1 and an empty name if no workspace is below its tier, in particular if no
// request met its targets.
func (r *Report) WorstWorkspace() (float64, string) {
	worst, name := 1.0, ""
	for _, w := range r.Workspaces {
		tier := r.TierAttainment(w.Tier)
		if tier == 0 || w.Sent == 0 {
			continue
		}
		if ratio := w.Attainment() / tier; ratio < worst {
			worst, name = ratio, w.Workspace
		}
	}
	return worst, name
}
