// Package requestcount counts the requests that began in each time window and reports each window once for all
// instances.
//
// A run is the lifetime of one process of an instance. The counts of a run never decrease, so the larger of two copies
// is the newer one. Each run sends its counts to the writing instances: the few instances of each data centre that
// write to the store. These keep copies, and each of them stores the counts of all runs that it knows in an object of
// its own.
//
// The duties lease is the lease on the jobs that only one instance does at a time. Its holder takes the largest copy of
// each run's counts, adds up the runs, and stores the sums by a conditional update of one object before it reports
// them. A later holder therefore repeats the same figures and never reports different ones.
//
// The counts of the last half second before a process dies may be lost.
package requestcount

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/wire"
)

// Kinds of the store objects that this package writes.
const (
	KindCounts = "toucanroute-counts"
	KindSums   = "toucanroute-sums"
	// sumsName is the name of the single object of KindSums.
	sumsName = "all"
)

const (
	// keepReportDelays is the number of report delays for which counts are kept after the end of their window.
	keepReportDelays = 2
	// writeAfter is the time after the end of a window at which its counts are written. Copies of other runs' counts
	// arrive every half second.
	writeAfter = 900 * time.Millisecond
	// minWriteRetryDelay is the delay before a failed write is retried. It doubles up to maxWriteRetryDelay, which is a
	// small part of the usual time until a report is due.
	minWriteRetryDelay = 250 * time.Millisecond
	maxWriteRetryDelay = 2 * time.Second
	// recentWindows is the number of windows whose counts are sent to other instances: the current and the previous one.
	recentWindows = 2
)

// windowCounts holds the request counts of a run: for each window, by its start in Unix milliseconds, the counts by
// workspace.
type windowCounts map[int64]map[string]int

// Counter counts the requests of one process run of an instance and keeps copies of other runs' counts. Set the
// exported fields before use.
type Counter struct {
	// Run identifies this process. A restarted instance has a new one.
	Run        string
	DataCentre string
	// Window is the length of a time window.
	Window time.Duration
	// Delay is the time after the end of a window within which its report is due.
	Delay time.Duration
	Store platform.Store
	Log   *zap.Logger
	// IsWriter reports whether this instance writes the counts that it knows to the store.
	IsWriter func() bool

	mu sync.Mutex
	// runs holds the counts of this run and the copies of other runs' counts, by run.
	runs map[string]windowCounts
	// objectVersion is the version of this run's stored object; 0 if it isn't stored yet.
	objectVersion int
}

// windowCountsOf returns the counts of one window of a run and creates them if missing. The caller holds mu.
func (c *Counter) windowCountsOf(run string, start int64) map[string]int {
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

// CountRequest counts one request of the workspace that began at the given time.
func (c *Counter) CountRequest(workspace string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.windowCountsOf(c.Run, WindowStart(at, c.Window).UnixMilli())[workspace]++
}

// MergeCopy merges a copy of another run's counts.
func (c *Counter) MergeCopy(run string, windows []wire.NewsWindow) {
	if run == c.Run {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range windows {
		mergeMax(c.windowCountsOf(run, int64(w.StartMs)), w.Counts)
	}
}

// mergeMax raises each count to the count in the copy if that is larger.
func mergeMax(counts, copied map[string]int) {
	for name, n := range copied {
		counts[name] = max(counts[name], n)
	}
}

// RecentCounts returns this run's counts in the current and the previous window.
func (c *Counter) RecentCounts() []wire.NewsWindow {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []wire.NewsWindow
	for i := range recentWindows {
		start := WindowStart(now, c.Window).Add(-time.Duration(i) * c.Window).UnixMilli()
		counts := c.runs[c.Run][start]
		if len(counts) == 0 {
			continue
		}
		list = append(list, wire.NewsWindow{StartMs: int(start), Counts: maps.Clone(wire.NewsWindowCounts(counts))})
	}
	return list
}

// WindowStart returns the start of the window that contains the time.
func WindowStart(at time.Time, window time.Duration) time.Time {
	ms := at.UnixMilli()
	return time.UnixMilli(ms - ms%window.Milliseconds())
}

// Execute writes the counts to the store after the end of each window until ctx is done. It skips a window if IsWriter
// returns false at that time.
func (c *Counter) Execute(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		c.waitForWrite(ctx, WindowStart(now, c.Window).Add(c.Window+writeAfter))
		delays := &backoff.ExponentialBackOff{InitialInterval: minWriteRetryDelay, RandomizationFactor: 0.3, Multiplier: 2, MaxInterval: maxWriteRetryDelay}
		for ctx.Err() == nil && c.IsWriter() && c.Write(ctx) != nil {
			sleep.For(ctx, delays.NextBackOff())
		}
	}
}

// eraCheckInterval is the interval at which it is checked whether the store has lost the last write.
const eraCheckInterval = 500 * time.Millisecond

// waitForWrite waits until the next write. It returns early if the store came back from an older copy of itself since
// the last write, which is then lost.
func (c *Counter) waitForWrite(ctx context.Context, next time.Time) {
	for ctx.Err() == nil && time.Now().Before(next) {
		c.mu.Lock()
		isLost := c.objectVersion != 0 && platform.Era(c.objectVersion) < c.Store.CurrentEra()
		c.mu.Unlock()
		if isLost && c.IsWriter() {
			return
		}
		sleep.For(ctx, min(eraCheckInterval, time.Until(next)))
	}
}

// Write stores the currently known counts. Only this run writes its object, so on a version conflict the stored version
// comes from an earlier write of this run and is used for the next write.
func (c *Counter) Write(ctx context.Context) error {
	record, objectVersion := c.record(time.Now())
	var o wire.Object
	var err error
	if objectVersion == 0 {
		o, err = c.Store.Create(ctx, KindCounts, c.Run, record)
	} else {
		o, err = c.Store.Update(ctx, KindCounts, c.Run, objectVersion, record)
	}
	if err != nil {
		return c.handleWriteError(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.objectVersion = o.Version
	return nil
}

// handleWriteError logs a failed write and, on a conflict, adopts the stored version for the next one. A missing object
// is created next time. It returns err.
func (c *Counter) handleWriteError(err error) error {
	c.Log.Info("counts_not_written", zap.String("run", c.Run), zap.Error(err))
	var conflict platform.ErrConflict
	if errors.As(err, &conflict) || platform.IsErrNotFound(err) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.objectVersion = conflict.Current.Version
	}
	return err
}

// record returns the counts of the recent windows and the version of the stored object. It deletes older windows.
func (c *Counter) record(now time.Time) (wire.CountsRecord, int) {
	oldest := WindowStart(now.Add(-c.Window-keepReportDelays*c.Delay), c.Window).UnixMilli()
	c.mu.Lock()
	defer c.mu.Unlock()
	rec := wire.CountsRecord{WrittenMs: int(now.UnixMilli()), DataCentre: c.DataCentre, Runs: []wire.CountsRun{}}
	for _, run := range slices.Sorted(maps.Keys(c.runs)) {
		windows := c.runs[run]
		maps.DeleteFunc(windows, func(start int64, _ map[string]int) bool { return start < oldest })
		if len(windows) == 0 {
			delete(c.runs, run)
			continue
		}
		runCounts := wire.CountsRun{Run: run}
		for start, counts := range windows {
			runCounts.Windows = append(runCounts.Windows, wire.CountsWindow{StartMs: int(start), Counts: maps.Clone(wire.CountsWindowCounts(counts))})
		}
		rec.Runs = append(rec.Runs, runCounts)
	}
	return rec, c.objectVersion
}
