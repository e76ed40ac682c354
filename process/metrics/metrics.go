// Package metrics counts what an instance does, in families with stable names and units.
//
// Labels have few values: class, result, reason, data centre, state and job. None names a workspace, a key, a backend
// server or an instance.
//
// Metrics.mu is a leaf; Gauges is called without it.
package metrics

import (
	"fmt"
	"io"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
)

// MaxClasses is the number of classes that are counted apart.
const MaxClasses = 64

// Values of the label class that name no class.
const (
	classNone  = "none"
	classOther = "other"
)

// firstTokenBounds are the upper bounds of the histogram's buckets, in seconds.
var firstTokenBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 20, 60}

// Gauges returns the values that an instance has at the moment.
type Gauges struct {
	// Running is the number of callers' requests under way.
	Running int64
	// Slots, Busy and Waiting are those of the pools whose home the instance is.
	Slots, Busy, Waiting int
	// Live, Suspect and Leaving are numbers of other instances.
	Live, Suspect, Leaving int
	// ConfigVersion and KeyringVersion are what is in force; 0 is nothing.
	ConfigVersion, KeyringVersion int
	// VersionsAge is negative where the versions were never known to be the newest.
	VersionsAge time.Duration
	// Fleet and Usage are the leases of the data centre's jobs.
	Fleet, Usage Lease
}

// Lease is a lease as the instance sees it.
type Lease struct {
	Held  bool
	Fence int
}

// Request is one ended request.
type Request struct {
	// Class is empty where the key gave no rights.
	Class string
	// Result is one of dispatch's results.
	Result string
	// Reason is the error's code; empty is none.
	Reason string
	// FirstToken is 0 where no token came or the answer isn't whole.
	FirstToken time.Duration
	// Tokens is the number of tokens of a whole answer.
	Tokens int
	// Wasted is the number of tokens of no whole answer.
	Wasted int
}

// series names one counter.
type series struct {
	name, label, value, result string
}

// Metrics are those of one instance. Set Gauges before Register.
type Metrics struct {
	// Gauges is called once each time that the metrics are written.
	Gauges func() Gauges

	set *vm.Set
	// counters has a *vm.Counter for each series, histograms a *vm.PrometheusHistogram for each class.
	counters   sync.Map
	histograms sync.Map

	mu      sync.Mutex
	classes map[string]bool
}

// New returns metrics that are not yet written.
func New(gauges func() Gauges) *Metrics {
	return &Metrics{Gauges: gauges, set: vm.NewSet(), classes: map[string]bool{}}
}

// Register adds the metrics to those that the process writes.
func (m *Metrics) Register() {
	m.set.RegisterMetricsWriter(func(w io.Writer) { m.Gauges().write(w) })
	vm.RegisterSet(m.set)
}

// Unregister takes the metrics back.
func (m *Metrics) Unregister() { vm.UnregisterSet(m.set, true) }

// write writes all gauges.
func (g Gauges) write(w io.Writer) {
	vm.WriteGaugeUint64(w, nameRunning, uint64(max(g.Running, 0)))
	vm.WriteGaugeUint64(w, nameSlots, uint64(max(g.Slots, 0)))
	vm.WriteGaugeUint64(w, nameSlotsBusy, uint64(max(g.Busy, 0)))
	vm.WriteGaugeUint64(w, nameWaiting, uint64(max(g.Waiting, 0)))
	vm.WriteGaugeUint64(w, nameMembers+`{state="live"}`, uint64(max(g.Live, 0)))
	vm.WriteGaugeUint64(w, nameMembers+`{state="suspect"}`, uint64(max(g.Suspect, 0)))
	vm.WriteGaugeUint64(w, nameMembers+`{state="leaving"}`, uint64(max(g.Leaving, 0)))
	vm.WriteGaugeUint64(w, nameConfigVersion, uint64(max(g.ConfigVersion, 0)))
	vm.WriteGaugeUint64(w, nameKeyringVersion, uint64(max(g.KeyringVersion, 0)))
	vm.WriteGaugeFloat64(w, nameVersionsAge, age(g.VersionsAge))
	g.Fleet.write(w, `{job="fleet"}`)
	g.Usage.write(w, `{job="usage"}`)
}

func (l Lease) write(w io.Writer, labels string) {
	held := uint64(0)
	if l.Held {
		held = 1
	}
	vm.WriteGaugeUint64(w, nameLeaseHeld+labels, held)
	vm.WriteGaugeUint64(w, nameLeaseFence+labels, uint64(max(l.Fence, 0)))
}

func age(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}

// Observe counts an ended request.
func (m *Metrics) Observe(r Request) {
	class := m.class(r.Class)
	m.counter(series{nameRequests, "class", class, r.Result}).Inc()
	if r.Reason != "" {
		m.counter(series{name: nameErrors, label: "reason", value: r.Reason}).Inc()
	}
	if r.FirstToken > 0 {
		m.histogram(class).Update(r.FirstToken.Seconds())
	}
	if r.Tokens > 0 {
		m.counter(series{name: nameTokens, label: "class", value: class}).Add(r.Tokens)
	}
	if r.Wasted > 0 {
		m.counter(series{name: nameWasted, label: "class", value: class}).Add(r.Wasted)
	}
}

// Grant counts an ask for a slot.
func (m *Metrics) Grant(dataCentre, result string) {
	m.counter(series{nameGrants, "data_centre", dataCentre, result}).Inc()
}

// class returns the label's value for a class.
func (m *Metrics) class(name string) string {
	if name == "" {
		return classNone
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.classes[name] {
		return name
	}
	if len(m.classes) >= MaxClasses {
		return classOther
	}
	m.classes[name] = true
	return name
}

// counter returns the counter of a series.
func (m *Metrics) counter(s series) *vm.Counter {
	if c, ok := m.counters.Load(s); ok {
		return c.(*vm.Counter)
	}
	name := fmt.Sprintf(`%s{%s=%q}`, s.name, s.label, s.value)
	if s.result != "" {
		name = fmt.Sprintf(`%s{%s=%q,result=%q}`, s.name, s.label, s.value, s.result)
	}
	c, _ := m.counters.LoadOrStore(s, m.set.GetOrCreateCounter(name))
	return c.(*vm.Counter)
}

// histogram returns the times to first token of a class.
func (m *Metrics) histogram(class string) *vm.PrometheusHistogram {
	if h, ok := m.histograms.Load(class); ok {
		return h.(*vm.PrometheusHistogram)
	}
	name := fmt.Sprintf(`%s{class=%q}`, nameFirstToken, class)
	h, _ := m.histograms.LoadOrStore(class, m.set.GetOrCreatePrometheusHistogramExt(name, firstTokenBounds))
	return h.(*vm.PrometheusHistogram)
}
