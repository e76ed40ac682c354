package engine

import (
	"sort"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// maxLoadSamples is the number of load samples above which the older half is discarded.
const maxLoadSamples = 8192

// loadSample is the load from the given time until the time of the next sample.
type loadSample struct {
	at   time.Time
	load wire.LoadReport
}

// loadHistory keeps past load samples, so that a load report can show the load of an earlier time.
type loadHistory struct {
	mu sync.Mutex
	// samples are sorted by time.
	samples []loadSample
}

func newLoadHistory() *loadHistory {
	return &loadHistory{}
}

func (l *loadHistory) add(load wire.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, loadSample{time.Now(), load})
	if len(l.samples) > maxLoadSamples {
		l.samples = append([]loadSample(nil), l.samples[maxLoadSamples/2:]...)
	}
}

// at returns the load at time t.
func (l *loadHistory) at(t time.Time) wire.LoadReport {
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
