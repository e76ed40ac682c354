package engine

import (
	"sort"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// maxLoads bounds the kept load samples.
const maxLoads = 8192

// sample is the load from a time on.
type sample struct {
	at   time.Time
	load wire.LoadReport
}

// loads keeps past loads, so that a report may lag.
type loads struct {
	mu sync.Mutex
	// samples are in order of time.
	samples []sample
}

func newLoads() *loads {
	return &loads{}
}

func (l *loads) add(load wire.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample{time.Now(), load})
	if len(l.samples) > maxLoads {
		l.samples = append([]sample(nil), l.samples[maxLoads/2:]...)
	}
}

// at returns the load as it was at t.
func (l *loads) at(t time.Time) wire.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := sort.Search(len(l.samples), func(i int) bool { return l.samples[i].at.After(t) })
	var load wire.LoadReport
	if i > 0 {
		load = l.samples[i-1].load
	}
	load.AtMs = int(t.UnixMilli())
	return load
}
