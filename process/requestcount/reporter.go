package requestcount

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// sumAfterShare and sumDeadlineShare are the fractions of the report delay at which a window is summed: after
	// sumAfterShare once all writing instances have written their counts, after sumDeadlineShare even without the missing
	// ones.
	sumAfterShare    = 0.15
	sumDeadlineShare = 0.85
	// allWrittenAfter is the time after the end of a window by which all writing instances that reach the store have
	// written their counts.
	allWrittenAfter = writeAfter + 2*time.Second
	// removeAfterWindows is the number of windows without a write after which the stored object of a run is removed.
	removeAfterWindows = 20
	// pollInterval is the interval at which the lease holder checks for windows to sum or report.
	pollInterval = 500 * time.Millisecond
)

// Reporter sums and reports the windows while this instance holds the duties lease. Set the exported fields before
// Execute.
type Reporter struct {
	// Window is the length of a time window.
	Window time.Duration
	// Delay is the time after the end of a window within which its report is due.
	Delay time.Duration
	Store platform.Store
	Log   *zap.Logger
	// Held returns the fencing token of the duties lease and whether this instance holds it.
	Held func() (fence int, ok bool)
	// Report sends the counts of the window that begins at start. A repeated report has the same counts.
	Report func(ctx context.Context, fence int, start time.Time, counts map[string]int) error
	// Sent holds the newest window that any instance has reported.
	Sent *SentWindows
	// StartedAt is the time at which this process started to hear of the reports of other instances.
	StartedAt time.Time

	// fence is the fencing token under which sums was read; 0 if it must be read again.
	fence int
	// sums and sumsVersion are the stored sums and the version of their object; sumsVersion is 0 if it isn't stored yet.
	sums        wire.SumsRecord
	sumsVersion int
	// era is the era of the store in which sums was read.
	era int
	// doubtfulThroughMs is the start of the newest window that may have been reported although the store, which came back
	// from an older copy, lacks its sum; 0 if there is none.
	doubtfulThroughMs int64
	// sent holds the counts of the windows whose report this process sent, accepted or not, by the start in Unix
	// milliseconds.
	sent map[int64]map[string]int
	// reported holds the starts, in Unix milliseconds, of the windows whose report from this process was accepted.
	reported map[int64]bool
}

// Execute sums and reports windows until ctx is done.
func (r *Reporter) Execute(ctx context.Context) {
	r.reported, r.sent = map[int64]bool{}, map[int64]map[string]int{}
	for ctx.Err() == nil {
		if fence, ok := r.Held(); ok {
			if err := r.step(ctx, fence, time.Now()); err != nil {
				r.Log.Info("usage_step_failed", zap.Int("fence", fence), zap.Error(err))
			}
		}
		sleep.For(ctx, pollInterval)
	}
}

// step sums the windows that are due and reports those that aren't reported yet.
func (r *Reporter) step(ctx context.Context, fence int, now time.Time) error {
	if fence != r.fence || r.Store.CurrentEra() != r.era {
		if err := r.readSums(ctx, now); err != nil {
			return err
		}
		r.fence = fence
	}
	if err := r.sumDueWindows(ctx, now); err != nil {
		return err
	}
	return r.reportDueWindows(ctx, fence, now)
}

// readSums loads the stored sums.
func (r *Reporter) readSums(ctx context.Context, now time.Time) error {
	o, err := r.Store.Get(ctx, KindSums, sumsName)
	if platform.IsErrNotFound(err) {
		r.sums, r.sumsVersion = wire.SumsRecord{}, 0
		r.noteRewind(false, 0, now)
		return nil
	}
	if err != nil {
		return err
	}
	sums, err := platform.Decode[wire.SumsRecord](o)
	if err != nil {
		return err
	}
	r.sums, r.sumsVersion = sums, o.Version
	r.noteRewind(true, o.Version, now)
	return nil
}

// newestDue returns the start of the newest window that may be summed.
func (r *Reporter) newestDue(now time.Time) time.Time {
	return WindowStart(now.Add(-r.Window-r.shareOfDelay(sumAfterShare)), r.Window)
}

// shareOfDelay returns the given fraction of the report delay.
func (r *Reporter) shareOfDelay(share float64) time.Duration {
	return time.Duration(share * float64(r.Delay))
}

// sumDueWindows sums and stores the recent windows that aren't summed yet.
func (r *Reporter) sumDueWindows(ctx context.Context, now time.Time) error {
	newest := r.newestDue(now)
	oldest := WindowStart(now.Add(-r.Window-r.Delay), r.Window)
	var due []time.Time
	for start := oldest; !start.After(newest); start = start.Add(r.Window) {
		if !r.hasSum(start.UnixMilli()) {
			due = append(due, start)
		}
	}
	if len(due) == 0 {
		return nil
	}
	list, err := r.Store.List(ctx, KindCounts, "")
	if err != nil {
		return err
	}
	sums := r.sums
	sums.Windows = slices.Clone(sums.Windows)
	for _, start := range due {
		if counts, ok := r.settled(start); ok {
			sums.Windows = append(sums.Windows, wire.CountsWindow{StartMs: int(start.UnixMilli()), Counts: counts})
			continue
		}
		counts, waiting := r.sumWindow(list.Items, start, now)
		if waiting && now.Before(start.Add(r.Window+r.shareOfDelay(sumDeadlineShare))) {
			continue
		}
		sums.Windows = append(sums.Windows, wire.CountsWindow{StartMs: int(start.UnixMilli()), Counts: counts})
	}
	if len(sums.Windows) == len(r.sums.Windows) {
		return nil
	}
	if err := r.storeSums(ctx, sums, now); err != nil {
		return err
	}
	r.removeOldRuns(ctx, list.Items, now)
	return nil
}

// hasSum reports whether the window that begins at startMs, in Unix milliseconds, is summed.
func (r *Reporter) hasSum(startMs int64) bool {
	return slices.ContainsFunc(r.sums.Windows, func(w wire.CountsWindow) bool { return int64(w.StartMs) == startMs })
}

// sumWindow adds up the counts of a window over all runs, with the largest copy of each run's counts. waiting is set if
// the counts may still be incomplete. Until allWrittenAfter, that is the case if any writing instance hasn't written
// since the end of the window. After that, it is the case only if no writing instance of some data centre has.
func (r *Reporter) sumWindow(objects []wire.Object, start, now time.Time) (counts wire.CountsWindowCounts, waiting bool) {
	end := start.Add(r.Window)
	countsByRun := map[string]map[string]int{}
	wroteAfterEnd := map[string]bool{}
	missingWrite := false
	for _, o := range objects {
		record, err := platform.Decode[wire.CountsRecord](o)
		if err != nil {
			r.Log.Warn("counts_unreadable", zap.String("run", o.Name), zap.Error(err))
			continue
		}
		written := time.UnixMilli(int64(record.WrittenMs))
		if written.Before(end.Add(-2 * r.Window)) {
			continue
		}
		wroteAfterEnd[record.DataCentre] = wroteAfterEnd[record.DataCentre] || !written.Before(end)
		missingWrite = missingWrite || written.Before(end)
		for _, run := range record.Runs {
			for _, w := range run.Windows {
				if int64(w.StartMs) != start.UnixMilli() {
					continue
				}
				if countsByRun[run.Run] == nil {
					countsByRun[run.Run] = map[string]int{}
				}
				mergeMax(countsByRun[run.Run], w.Counts)
			}
		}
	}
	counts = wire.CountsWindowCounts{}
	for _, run := range countsByRun {
		for name, n := range run {
			counts[name] += n
		}
	}
	return counts, missingWrite && now.Before(end.Add(allWrittenAfter)) || slices.Contains(slices.Collect(maps.Values(wroteAfterEnd)), false)
}

// storeSums stores the sums. After an error, such as a lost response, the next step reads the stored sums again.
func (r *Reporter) storeSums(ctx context.Context, sums wire.SumsRecord, now time.Time) error {
	oldest := now.Add(-r.Window - 2*r.Delay).UnixMilli()
	sums.Windows = slices.DeleteFunc(sums.Windows, func(w wire.CountsWindow) bool { return int64(w.StartMs) < oldest })
	sums.Era = r.era
	var o wire.Object
	var err error
	if r.sumsVersion == 0 {
		o, err = r.Store.Create(ctx, KindSums, sumsName, sums)
	} else {
		o, err = r.Store.Update(ctx, KindSums, sumsName, r.sumsVersion, sums)
	}
	if err != nil {
		r.fence = 0
		return err
	}
	r.sums, r.sumsVersion = sums, o.Version
	r.Log.Info("usage_summed", platform.VersionField("version", o.Version), zap.Int("windows", len(sums.Windows)))
	return nil
}

// reportDueWindows reports the windows whose report wasn't accepted yet and is still in time.
func (r *Reporter) reportDueWindows(ctx context.Context, fence int, now time.Time) error {
	var errs error
	for _, w := range r.sums.Windows {
		start := time.UnixMilli(int64(w.StartMs))
		if r.reported[start.UnixMilli()] || now.After(start.Add(r.Window+r.Delay)) {
			continue
		}
		if len(w.Counts) == 0 {
			continue
		}
		r.sent[start.UnixMilli()] = w.Counts
		r.Sent.Observe(start.UnixMilli())
		if err := r.Report(ctx, fence, start, maps.Clone(w.Counts)); err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		r.reported[start.UnixMilli()] = true
		r.Log.Info("usage_reported", zap.Time("window", start), zap.Int("fence", fence), zap.Int("workspaces", len(w.Counts)))
	}
	oldest := now.Add(-r.Window - 2*r.Delay).UnixMilli()
	maps.DeleteFunc(r.reported, func(start int64, _ bool) bool { return start < oldest })
	maps.DeleteFunc(r.sent, func(start int64, _ map[string]int) bool { return start < oldest })
	return errs
}

// removeOldRuns removes the stored objects of runs that haven't written for removeAfterWindows windows, and unreadable
// objects.
func (r *Reporter) removeOldRuns(ctx context.Context, runs []wire.Object, now time.Time) {
	for _, o := range runs {
		record, err := platform.Decode[wire.CountsRecord](o)
		if err == nil && now.Sub(time.UnixMilli(int64(record.WrittenMs))) < removeAfterWindows*r.Window {
			continue
		}
		if err := r.Store.Delete(ctx, KindCounts, o.Name, o.Version); err != nil {
			r.Log.Info("counts_not_removed", zap.String("run", o.Name), zap.Error(err))
		}
	}
}
