// Package tally counts the requests that began in each window of time and reports each window once for all instances.
//
// Each run of an instance keeps its counts of the last windows in an object of its own, which only it writes. The holder of
// the duty sums the objects of all runs and fixes the sums by a conditional update of one object before it reports them, so
// that a later holder repeats the same figures and never others.
//
// A run that dies loses what it counted since its last write.
package tally

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// Kinds of the objects that the package writes.
const (
	KindCounts = "toucanroute-counts"
	KindSums   = "toucanroute-sums"
	// sumsName is the name of the only object with sums.
	sumsName = "all"
)

const (
	// keptWindows is the number of windows in a run's object; a report is due within two windows' time.
	keptWindows = 6
	// settle is how long after a window's end its counts are written: requests that began in it are known by then.
	settle = 200 * time.Millisecond
	// writeRetry is the delay before a failed write is tried again.
	writeRetry = 250 * time.Millisecond
)

// Counter counts the requests of one run of an instance. The exported fields are set before use.
type Counter struct {
	// Run names the process; it differs from that of the instance's earlier processes.
	Run    string
	Window time.Duration
	Store  platform.Store
	Log    *zap.Logger

	mu sync.Mutex
	// windows holds the counts of each workspace by the window's start in Unix milliseconds.
	windows map[int64]map[string]int
	// version is that of the run's object; 0 is not written yet.
	version int
}

// Began counts one request of the workspace that began then.
func (c *Counter) Began(workspace string, at time.Time) {
	start := Start(at, c.Window).UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.windows == nil {
		c.windows = map[int64]map[string]int{}
	}
	if c.windows[start] == nil {
		c.windows[start] = map[string]int{}
	}
	c.windows[start][workspace]++
}

// copiedWindows is the number of windows that other instances keep copies of: the running one and the last.
const copiedWindows = 2

// Newest returns the counts of the newest windows.
func (c *Counter) Newest() []wire.NewsWindow {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []wire.NewsWindow
	for i := range copiedWindows {
		start := Start(now, c.Window).Add(-time.Duration(i) * c.Window).UnixMilli()
		counts := c.windows[start]
		if len(counts) == 0 {
			continue
		}
		list = append(list, wire.NewsWindow{StartMs: int(start), Counts: maps.Clone(wire.NewsWindowCounts(counts))})
	}
	return list
}

// Start returns the start of the window that holds the time.
func Start(at time.Time, window time.Duration) time.Time {
	ms := at.UnixMilli()
	return time.UnixMilli(ms - ms%window.Milliseconds())
}

// Execute writes the counts after the end of each window until ctx ends, then once more.
func (c *Counter) Execute(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		next := Start(now, c.Window).Add(c.Window + settle)
		sleep(ctx, next.Sub(now))
		for ctx.Err() == nil && c.Write(ctx) != nil {
			sleep(ctx, writeRetry)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Write stores the counts as they are now. Only this run writes its object, so a version that another write of its own has
// raised is taken over.
func (c *Counter) Write(ctx context.Context) error {
	record, version := c.record(time.Now())
	var o wire.Object
	var err error
	if version == 0 {
		o, err = c.Store.Create(ctx, KindCounts, c.Run, record)
	} else {
		o, err = c.Store.Update(ctx, KindCounts, c.Run, version, record)
	}
	if err != nil {
		return c.writeFailed(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = o.Version
	return nil
}

func (c *Counter) writeFailed(err error) error {
	c.Log.Info("counts_not_written", zap.String("run", c.Run), zap.Error(err))
	if conflict, ok := conflictOf(err); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.version = conflict.Current.Version
	}
	return err
}

// record returns the counts of the last windows and forgets older ones.
func (c *Counter) record(now time.Time) (wire.CountsRecord, int) {
	oldest := Start(now, c.Window).Add(-keptWindows * c.Window).UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := wire.CountsRecord{WrittenMs: int(now.UnixMilli()), Windows: []wire.CountsWindow{}}
	for start, counts := range c.windows {
		if start < oldest {
			delete(c.windows, start)
			continue
		}
		w := wire.CountsWindow{StartMs: int(start), Counts: make(wire.CountsWindowCounts, len(counts))}
		for name, n := range counts {
			w.Counts[name] = n
		}
		r.Windows = append(r.Windows, w)
	}
	return r, c.version
}
