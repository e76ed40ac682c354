// Package tally counts the requests that began in each window of time and reports each window once for all instances.
//
// Counts of a run of an instance only grow, so that of two copies the larger holds. Each run tells its counts to the
// instances that write for its data centre; those keep copies and write what they know of all runs into an object of their
// own each. The holder of the duty takes the largest copy of each run's counts, sums the runs, and fixes the sums by a
// conditional update of one object before it reports them, so that a later holder repeats the same figures and never others.
//
// What a run counted in its last half second may be lost with it.
package tally

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/pause"
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
	// keptDelays is the time for which counts are kept, in delays within which a report is due, beside the window itself.
	keptDelays = 2
	// settle is how long after a window's end its counts are written: copies of other runs' counts are told every half
	// second.
	settle = 900 * time.Millisecond
	// writeRetry is the delay before a failed write is tried again; it doubles up to writeRetryMost, a small part of the usual
	// time until a report is due.
	writeRetry     = 250 * time.Millisecond
	writeRetryMost = 2 * time.Second
	// copiedWindows is the number of windows that are told to other instances: the running one and the last.
	copiedWindows = 2
)

// windowCounts holds the counts of each workspace by the window's start in Unix milliseconds.
type windowCounts map[int64]map[string]int

// Counter counts the requests of one run of an instance and keeps copies of other runs' counts. The exported fields are set
// before use.
type Counter struct {
	// Run names the process; it differs from that of the instance's earlier processes.
	Run        string
	DataCentre string
	Window     time.Duration
	// Delay is the time after a window's end within which its report is due.
	Delay time.Duration
	Store platform.Store
	Log   *zap.Logger
	// Writes tells whether this instance writes the counts that it knows.
	Writes func() bool

	mu sync.Mutex
	// runs holds the counts of this run and the copies of others.
	runs map[string]windowCounts
	// version is that of the run's object; 0 is not written yet.
	version int
}

// counts returns the counts of a run's window, which it makes; the lock is held.
func (c *Counter) counts(run string, start int64) map[string]int {
	if c.runs == nil {
		c.runs = map[string]windowCounts{}
	}
	if c.runs[run] == nil {
		c.runs[run] = windowCounts{}
	}
	if c.runs[run][start] == nil {
		c.runs[run][start] = map[string]int{}
	}
	return c.runs[run][start]
}

// Began counts one request of the workspace that began then.
func (c *Counter) Began(workspace string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts(c.Run, Start(at, c.Window).UnixMilli())[workspace]++
}

// Keep takes a copy of another run's counts.
func (c *Counter) Keep(run string, windows []wire.NewsWindow) {
	if run == c.Run {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range windows {
		raise(c.counts(run, int64(w.StartMs)), w.Counts)
	}
}

// raise lifts the counts to those of a copy.
func raise(counts, copied map[string]int) {
	for name, n := range copied {
		counts[name] = max(counts[name], n)
	}
}

// Newest returns this run's counts of the newest windows.
func (c *Counter) Newest() []wire.NewsWindow {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []wire.NewsWindow
	for i := range copiedWindows {
		start := Start(now, c.Window).Add(-time.Duration(i) * c.Window).UnixMilli()
		counts := c.runs[c.Run][start]
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

// Execute writes the counts after the end of each window until ctx ends, where this instance writes.
func (c *Counter) Execute(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		next := Start(now, c.Window).Add(c.Window + settle)
		pause.For(ctx, next.Sub(now))
		delays := &backoff.ExponentialBackOff{InitialInterval: writeRetry, RandomizationFactor: 0.3, Multiplier: 2, MaxInterval: writeRetryMost}
		for ctx.Err() == nil && c.Writes() && c.Write(ctx) != nil {
			pause.For(ctx, delays.NextBackOff())
		}
	}
}

// Write stores the counts as they are known now. Only this run writes its object, so a version that another write of its own
// has raised is taken over.
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
	var conflict platform.ErrConflict
	if errors.As(err, &conflict) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.version = conflict.Current.Version
	}
	return err
}

// record returns what is known of the last windows and forgets older ones.
func (c *Counter) record(now time.Time) (wire.CountsRecord, int) {
	oldest := Start(now.Add(-c.Window-keptDelays*c.Delay), c.Window).UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := wire.CountsRecord{WrittenMs: int(now.UnixMilli()), DataCentre: c.DataCentre, Runs: []wire.CountsRun{}}
	for _, run := range slices.Sorted(maps.Keys(c.runs)) {
		windows := c.runs[run]
		maps.DeleteFunc(windows, func(start int64, _ map[string]int) bool { return start < oldest })
		if len(windows) == 0 {
			delete(c.runs, run)
			continue
		}
		cr := wire.CountsRun{Run: run}
		for start, counts := range windows {
			cr.Windows = append(cr.Windows, wire.CountsWindow{StartMs: int(start), Counts: maps.Clone(wire.CountsWindowCounts(counts))})
		}
		r.Runs = append(r.Runs, cr)
	}
	return r, c.version
}
