// Package metrics holds the Prometheus metrics of an instance, in families with stable names and units.
//
// The labels are class, result, reason, data centre, state, job, pool and kind, which have few values. No label names a workspace,
// a key, a backend server or an instance.
//
// No other lock is taken while Metrics.mu is held, and the function Gauges is called without it.
package metrics

import (
	"fmt"
	"io"
	"sync"
	"time"

	vm "github.com/VictoriaMetrics/metrics"

	"github.com/toucanroute/toucanroute/process/memory"
)

// MaxClasses is the maximum number of classes that get a label value of their own.
const MaxClasses = 64

// Values of the label class for requests without a class and for classes beyond MaxClasses.
const (
	classNone  = "none"
	classOther = "other"
)

// firstTokenBounds holds the upper bounds, in seconds, of the buckets of the histogram of times to first token.
var firstTokenBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 3, 5, 10, 20, 60}

// Gauges holds the current values of all gauges of an instance, and of counters that other packages keep.
type Gauges struct {
	// Running is the number of callers' requests that have not ended, including those that wait for a slot.
	Running int64
	// Memory is the memory of requests, and SlowCallers the number of connections for which a response is held.
	Memory      memory.Stats
	SlowCallers int
	// Slots, Busy and Waiting are the numbers of slots, busy slots and waiting requests of the pools whose home is this
	// instance.
	Slots, Busy, Waiting int
	// Live, Suspect and Leaving are the numbers of other instances in these states.
	Live, Suspect, Leaving int
	// ConfigVersion and KeyringVersion are the versions in force; 0 means that there is none.
	ConfigVersion, KeyringVersion int
	// ColdServers is the number of backend servers that count as cold, and Evacuated that of evacuated data centres.
	ColdServers, Evacuated int
	// VersionsAge is the time since the versions in force were confirmed to be the newest; negative if they never were.
	VersionsAge time.Duration
	// PeerDatagramBytes is the total of the status datagrams that were sent to other instances.
	PeerDatagramBytes int64
	// Fleet and Usage are the states of the leases for these two jobs of the data centre.
	Fleet, Usage Lease
	// Pools holds the loads of the pools of backend servers, of which the first MaxClasses get series.
	Pools []PoolLoad
}

// PoolLoad is the load of a pool's backend servers as the instance knows it.
type PoolLoad struct {
	Pool string
	// Spread is the highest load of a server over the mean load, per slot and with the servers' speeds counted; 1 is even.
	Spread float64
	// ReportAge is the mean time since the servers' last reports of their load; negative if none reported one.
	ReportAge time.Duration
}

// Lease is the state of a lease as the instance knows it: whether the instance holds it, and the newest fencing token.
type Lease struct {
	Held  bool
	Fence int
}

// Request is one ended request.
type Request struct {
	// Class is empty if the key of the request gave no rights.
	Class string
	// Result is a value of the label result, such as ok, refused or failed.
	Result string
	// Reason is the code of the error; empty if there was none.
	Reason string
	// FirstToken is the time to first token; 0 if no token was received or the response is incomplete.
	FirstToken time.Duration
	// LatePause is set if a complete stream is late only by a pause between two events.
	LatePause bool
	// Tokens is the number of generated tokens of a complete response.
	Tokens int
	// Wasted is the number of generated tokens that are not part of a complete response.
	Wasted int
}

// series identifies one counter: name is the name of its family, and label and value are its first label. The value of
// its label result is in the field result, which is empty if the counter has no such label.
type series struct {
	name, label, value, result string
}

// Metrics holds the metrics of one instance. Set Gauges before Register.
type Metrics struct {
	// Gauges returns the current gauge values. It is called once each time the metrics are written.
	Gauges func() Gauges

	set *vm.Set
	// counters holds a *vm.Counter for each series, and histograms a *vm.PrometheusHistogram for each class.
	counters   sync.Map
	histograms sync.Map

	mu sync.Mutex
	// classes holds the classes that have a label value of their own.
	classes map[string]bool
}

// New returns metrics that the process doesn't expose until Register is called.
func New(gauges func() Gauges) *Metrics {
	return &Metrics{Gauges: gauges, set: vm.NewSet(), classes: map[string]bool{}}
}

// Register adds the metrics to those that the process exposes.
func (m *Metrics) Register() {
	m.set.RegisterMetricsWriter(func(w io.Writer) { m.Gauges().write(w) })
	vm.RegisterSet(m.set)
}

// Unregister removes the metrics from those that the process exposes.
func (m *Metrics) Unregister() { vm.UnregisterSet(m.set, true) }

// write writes all gauges in the Prometheus text format.
func (g Gauges) write(w io.Writer) {
	vm.WriteGaugeUint64(w, nameRunning, uint64(max(g.Running, 0)))
	vm.WriteGaugeUint64(w, nameMemory, uint64(g.Memory.Size))
	vm.WriteGaugeUint64(w, nameMemoryTaken, uint64(g.Memory.Taken))
	vm.WriteCounterUint64(w, nameMemoryRefused, uint64(g.Memory.Refused))
	vm.WriteCounterUint64(w, namePeerDatagrams, uint64(max(g.PeerDatagramBytes, 0)))
	vm.WriteGaugeUint64(w, nameSlowCallers, uint64(max(g.SlowCallers, 0)))
	vm.WriteGaugeUint64(w, nameSlots, uint64(max(g.Slots, 0)))
	vm.WriteGaugeUint64(w, nameSlotsBusy, uint64(max(g.Busy, 0)))
	vm.WriteGaugeUint64(w, nameWaiting, uint64(max(g.Waiting, 0)))
	vm.WriteGaugeUint64(w, nameMembers+`{state="live"}`, uint64(max(g.Live, 0)))
	vm.WriteGaugeUint64(w, nameMembers+`{state="suspect"}`, uint64(max(g.Suspect, 0)))
	vm.WriteGaugeUint64(w, nameMembers+`{state="leaving"}`, uint64(max(g.Leaving, 0)))
	vm.WriteGaugeUint64(w, nameConfigVersion, uint64(max(g.ConfigVersion, 0)))
	vm.WriteGaugeUint64(w, nameServersCold, uint64(max(g.ColdServers, 0)))
	vm.WriteGaugeUint64(w, nameEvacuated, uint64(max(g.Evacuated, 0)))
	vm.WriteGaugeUint64(w, nameKeyringVersion, uint64(max(g.KeyringVersion, 0)))
	vm.WriteGaugeFloat64(w, nameVersionsAge, ageSeconds(g.VersionsAge))
	g.Fleet.write(w, `{job="fleet"}`)
	g.Usage.write(w, `{job="usage"}`)
	for _, p := range g.Pools[:min(len(g.Pools), MaxClasses)] {
		label := fmt.Sprintf("{pool=%q}", p.Pool)
		vm.WriteGaugeFloat64(w, nameLoadSpread+label, p.Spread)
		vm.WriteGaugeFloat64(w, nameReportAge+label, ageSeconds(p.ReportAge))
	}
}

// write writes the gauges of the lease.
func (l Lease) write(w io.Writer, labels string) {
	held := uint64(0)
	if l.Held {
		held = 1
	}
	vm.WriteGaugeUint64(w, nameLeaseHeld+labels, held)
	vm.WriteGaugeUint64(w, nameLeaseFence+labels, uint64(max(l.Fence, 0)))
}

// ageSeconds returns the age in seconds, or -1 for an unknown age.
func ageSeconds(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return d.Seconds()
}

// ObserveRequest counts an ended request.
func (m *Metrics) ObserveRequest(r Request) {
	class := m.class(r.Class)
	m.counter(series{nameRequests, "class", class, r.Result}).Inc()
	if r.Reason != "" {
		m.counter(series{name: nameErrors, label: "reason", value: r.Reason}).Inc()
	}
	if r.FirstToken > 0 {
		m.histogram(class).Update(r.FirstToken.Seconds())
	}
	if r.LatePause {
		m.counter(series{name: nameLatePauses, label: "class", value: class}).Inc()
	}
	if r.Tokens > 0 {
		m.counter(series{name: nameTokens, label: "class", value: class}).Add(r.Tokens)
	}
	if r.Wasted > 0 {
		m.counter(series{name: nameWasted, label: "class", value: class}).Add(r.Wasted)
	}
}

// Grant counts a slot request by the data centre and the result.
func (m *Metrics) Grant(dataCentre, result string) {
	m.counter(series{nameGrants, "data_centre", dataCentre, result}).Inc()
}

// TakeUp counts a stream that a caller took up again, by the result.
func (m *Metrics) TakeUp(result string) {
	m.counter(series{name: nameTakeUps, label: "result", value: result}).Inc()
}

// PeerReply counts a call of another instance for objects by their kind and the result, and the bytes of its reply. Both
// must have few values.
func (m *Metrics) PeerReply(kind, result string, bytes int) {
	m.counter(series{namePeerReplies, "kind", kind, result}).Inc()
	if bytes > 0 {
		m.counter(series{name: namePeerReplyBytes, label: "kind", value: kind}).Add(bytes)
	}
}

// class returns the label value for a class: its name, or classOther if MaxClasses other classes came first.
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

// histogram returns the histogram of times to first token of a class.
func (m *Metrics) histogram(class string) *vm.PrometheusHistogram {
	if h, ok := m.histograms.Load(class); ok {
		return h.(*vm.PrometheusHistogram)
	}
	name := fmt.Sprintf(`%s{class=%q}`, nameFirstToken, class)
	h, _ := m.histograms.LoadOrStore(class, m.set.GetOrCreatePrometheusHistogramExt(name, firstTokenBounds))
	return h.(*vm.PrometheusHistogram)
}
