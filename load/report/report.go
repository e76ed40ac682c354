// Package report sums the results of a replayed load up by class and workspace.
package report

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/toucanroute/toucanroute/load/replay"
	"github.com/toucanroute/toucanroute/wire"
)

// Range and precision of the latency histograms.
const (
	lowestLatency  = 1
	highestLatency = int64(5 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Row sums up the requests of one class, or of one workspace within a tier.
type Row struct {
	// Class is empty in a row of a workspace.
	Class string `json:"class,omitempty"`
	// Workspace is empty in a row of a class.
	Workspace string `json:"workspace,omitempty"`
	// Tier is the class's tier; 1 is the highest.
	Tier int `json:"tier"`
	// Target is the share that must meet the targets; 0 in a row of a workspace.
	Target float64 `json:"target,omitempty"`
	// Sent, Met, Late, Refused and Failed are numbers of requests; the last four add up to Sent.
	Sent    int `json:"sent"`
	Met     int `json:"met"`
	Late    int `json:"late"`
	Refused int `json:"refused"`
	Failed  int `json:"failed"`
	// FirstTokenP50 and FirstTokenP95 are times of whole answers in milliseconds.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	// GoodTokens is the number of tokens of requests that met their targets.
	GoodTokens int `json:"good_tokens"`
	// WastedTokens is the number of tokens of requests that did not.
	WastedTokens int `json:"wasted_tokens"`
	// Reasons counts refusals and failures by error code.
	Reasons map[string]int `json:"reasons,omitempty"`

	latency *hdrhistogram.Histogram
}

// Attainment returns the share of requests that met their targets, 0 to 1.
func (r *Row) Attainment() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.Met) / float64(r.Sent)
}

// Report sums one run up.
type Report struct {
	// Classes has one row for each class, highest tier first.
	Classes []*Row `json:"classes"`
	// Workspaces has one row for each workspace and tier.
	Workspaces []*Row `json:"workspaces"`
	// Seconds is the length of the run.
	Seconds float64 `json:"seconds"`
	// Goodput is the number of tokens a second of requests that met their targets.
	Goodput float64 `json:"goodput_tokens_per_second"`
	// Requests is the number of requests a second that met their targets.
	Requests float64 `json:"goodput_requests_per_second"`
	// WastedTokens is the number of tokens that came for requests that missed their targets.
	WastedTokens int `json:"wasted_tokens"`
	// CachedShare is the share of prompt tokens that engines had cached.
	CachedShare float64 `json:"cached_share"`
}

// rowKey names a row.
type rowKey struct {
	class     string
	workspace string
	tier      int
}

// New sums results up with the classes of cfg over a run of the given length.
func New(results []replay.Result, cfg *wire.Config, length time.Duration) *Report {
	classes := map[string]wire.Class{}
	for _, c := range cfg.Classes {
		classes[c.Name] = c
	}
	rows := map[rowKey]*Row{}
	rep := &Report{Seconds: length.Seconds()}
	met, good, cached, prompt := 0, 0, 0, 0
	for _, res := range results {
		c := classes[res.Arrival.Class]
		row(rows, rowKey{class: c.Name, tier: c.Tier}).add(res, c)
		row(rows, rowKey{workspace: res.Arrival.Workspace, tier: c.Tier}).add(res, c)
		cached += res.Cached
		prompt += res.Arrival.PromptTokens
		if res.Met(c) {
			met++
			good += res.Tokens
		} else {
			rep.WastedTokens += res.Tokens
		}
	}
	rep.Goodput = float64(good) / rep.Seconds
	rep.Requests = float64(met) / rep.Seconds
	if prompt > 0 {
		rep.CachedShare = float64(cached) / float64(prompt)
	}
	rep.collect(rows, classes)
	return rep
}

func row(rows map[rowKey]*Row, k rowKey) *Row {
	if r := rows[k]; r != nil {
		return r
	}
	r := &Row{
		Class:     k.class,
		Workspace: k.workspace,
		Tier:      k.tier,
		Reasons:   map[string]int{},
		latency:   hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
	}
	rows[k] = r
	return r
}

// add counts one result in.
func (r *Row) add(res replay.Result, c wire.Class) {
	r.Sent++
	if res.Outcome == replay.OutcomeOK {
		_ = r.latency.RecordValue(res.FirstToken.Microseconds())
	} else {
		r.Reasons[res.Reason]++
	}
	if res.Met(c) {
		r.Met++
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

// collect sorts the rows into the report.
func (r *Report) collect(rows map[rowKey]*Row, classes map[string]wire.Class) {
	for k, w := range rows {
		w.FirstTokenP50 = float64(w.latency.ValueAtQuantile(50)) / 1000
		w.FirstTokenP95 = float64(w.latency.ValueAtQuantile(95)) / 1000
		if k.class == "" {
			r.Workspaces = append(r.Workspaces, w)
			continue
		}
		w.Target = classes[k.class].Attainment
		r.Classes = append(r.Classes, w)
	}
	sort.Slice(r.Classes, func(i, j int) bool { return less(r.Classes[i], r.Classes[j]) })
	sort.Slice(r.Workspaces, func(i, j int) bool { return less(r.Workspaces[i], r.Workspaces[j]) })
}

func less(a, b *Row) bool {
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
			sum.Met += c.Met
		}
	}
	return sum.Attainment()
}

// Worst returns, over the tiers, the smallest ratio of a workspace's attainment to its tier's, with that workspace.
// It is 1 and empty where no tier had traffic that met a target.
func (r *Report) Worst() (float64, string) {
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
