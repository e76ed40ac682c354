package tally

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/pause"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// sumAfter and sumAtLast are the parts of the delay after which a window is summed: as soon as all runs have written,
	// and at last without those that haven't.
	sumAfter  = 0.15
	sumAtLast = 0.85
	// allBy is how long after a window's end all instances that write have written, unless they can't.
	allBy = settle + 2*time.Second
	// deadAfter is the number of windows without a write after which a run's object is removed.
	deadAfter = 20
	// pollInterval is how often the holder looks for something to do.
	pollInterval = 500 * time.Millisecond
)

// Reporter reports the windows while this instance holds the duty. The exported fields are set before Execute.
type Reporter struct {
	Window time.Duration
	// Delay is the time after a window's end within which its report is due.
	Delay time.Duration
	Store platform.Store
	Log   *zap.Logger
	// Held returns the fencing number under which the instance holds the duty.
	Held func() (fence int, ok bool)
	// Report sends a report; a repeat carries the same counts.
	Report func(ctx context.Context, fence int, start time.Time, counts map[string]int) error

	// fence is the number under which sums was read; sums is the stored object.
	fence   int
	sums    wire.SumsRecord
	version int
	// reported holds the starts of the windows that were accepted under this run's duty.
	reported map[int64]bool
}

// Execute reports until ctx ends.
func (r *Reporter) Execute(ctx context.Context) {
	r.reported = map[int64]bool{}
	for ctx.Err() == nil {
		if fence, ok := r.Held(); ok {
			if err := r.step(ctx, fence, time.Now()); err != nil {
				r.Log.Info("usage_step_failed", zap.Int("fence", fence), zap.Error(err))
			}
		}
		pause.For(ctx, pollInterval)
	}
}

// step does what is due: it sums the windows whose time has come and reports those that aren't reported yet.
func (r *Reporter) step(ctx context.Context, fence int, now time.Time) error {
	if fence != r.fence {
		if err := r.read(ctx); err != nil {
			return err
		}
		r.fence = fence
	}
	if err := r.sumDue(ctx, now); err != nil {
		return err
	}
	return r.reportDue(ctx, fence, now)
}

// read takes in the stored sums.
func (r *Reporter) read(ctx context.Context) error {
	o, err := r.Store.Get(ctx, KindSums, sumsName)
	if platform.IsErrNotFound(err) {
		r.sums, r.version = wire.SumsRecord{}, 0
		return nil
	}
	if err != nil {
		return err
	}
	sums, err := platform.Decode[wire.SumsRecord](o)
	if err != nil {
		return err
	}
	r.sums, r.version = sums, o.Version
	return nil
}

// lateBy returns how long after its end a window is looked at.
func (r *Reporter) lateBy(share float64) time.Duration {
	return time.Duration(share * float64(r.Delay))
}

// sumDue sums the newest windows that have none yet.
func (r *Reporter) sumDue(ctx context.Context, now time.Time) error {
	newest := Start(now.Add(-r.Window-r.lateBy(sumAfter)), r.Window)
	oldest := Start(now.Add(-r.Window-r.Delay), r.Window)
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
		counts, waiting := r.sum(list.Items, start, now)
		if waiting && now.Before(start.Add(r.Window+r.lateBy(sumAtLast))) {
			continue
		}
		sums.Windows = append(sums.Windows, wire.CountsWindow{StartMs: int(start.UnixMilli()), Counts: counts})
	}
	if len(sums.Windows) == len(r.sums.Windows) {
		return nil
	}
	if err := r.fix(ctx, sums, now); err != nil {
		return err
	}
	r.clean(ctx, list.Items, now)
	return nil
}

func (r *Reporter) hasSum(startMs int64) bool {
	return slices.ContainsFunc(r.sums.Windows, func(w wire.CountsWindow) bool { return int64(w.StartMs) == startMs })
}

// sum adds up the counts of a window: of each run the largest copy. It tells whether it is worth waiting: at first for each
// instance that writes, then for one of each data centre.
func (r *Reporter) sum(objects []wire.Object, start, now time.Time) (counts wire.CountsWindowCounts, waiting bool) {
	end := start.Add(r.Window)
	runs := map[string]map[string]int{}
	fresh := map[string]bool{}
	stale := false
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
		fresh[record.DataCentre] = fresh[record.DataCentre] || !written.Before(end)
		stale = stale || written.Before(end)
		for _, run := range record.Runs {
			for _, w := range run.Windows {
				if int64(w.StartMs) != start.UnixMilli() {
					continue
				}
				if runs[run.Run] == nil {
					runs[run.Run] = map[string]int{}
				}
				raise(runs[run.Run], w.Counts)
			}
		}
	}
	counts = wire.CountsWindowCounts{}
	for _, run := range runs {
		for name, n := range run {
			counts[name] += n
		}
	}
	return counts, stale && now.Before(end.Add(allBy)) || slices.Contains(slices.Collect(maps.Values(fresh)), false)
}

// fix stores the sums. Where the answer is lost, what is stored counts.
func (r *Reporter) fix(ctx context.Context, sums wire.SumsRecord, now time.Time) error {
	oldest := now.Add(-r.Window - 2*r.Delay).UnixMilli()
	sums.Windows = slices.DeleteFunc(sums.Windows, func(w wire.CountsWindow) bool { return int64(w.StartMs) < oldest })
	var o wire.Object
	var err error
	if r.version == 0 {
		o, err = r.Store.Create(ctx, KindSums, sumsName, sums)
	} else {
		o, err = r.Store.Update(ctx, KindSums, sumsName, r.version, sums)
	}
	if err != nil {
		r.fence = 0
		return err
	}
	r.sums, r.version = sums, o.Version
	r.Log.Info("usage_summed", zap.Int("version", o.Version), zap.Int("windows", len(sums.Windows)))
	return nil
}

// reportDue reports the sums that weren't accepted yet and aren't too late.
func (r *Reporter) reportDue(ctx context.Context, fence int, now time.Time) error {
	var failed error
	for _, w := range r.sums.Windows {
		start := time.UnixMilli(int64(w.StartMs))
		if r.reported[start.UnixMilli()] || now.After(start.Add(r.Window+r.Delay)) {
			continue
		}
		if len(w.Counts) == 0 {
			continue
		}
		if err := r.Report(ctx, fence, start, maps.Clone(w.Counts)); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		r.reported[start.UnixMilli()] = true
		r.Log.Info("usage_reported", zap.Time("window", start), zap.Int("fence", fence), zap.Int("workspaces", len(w.Counts)))
	}
	for start := range r.reported {
		if time.UnixMilli(start).Before(now.Add(-r.Window - 2*r.Delay)) {
			delete(r.reported, start)
		}
	}
	return failed
}

// clean removes the objects of runs that have long ended.
func (r *Reporter) clean(ctx context.Context, runs []wire.Object, now time.Time) {
	for _, o := range runs {
		record, err := platform.Decode[wire.CountsRecord](o)
		if err == nil && now.Sub(time.UnixMilli(int64(record.WrittenMs))) < deadAfter*r.Window {
			continue
		}
		if err := r.Store.Delete(ctx, KindCounts, o.Name, o.Version); err != nil {
			r.Log.Info("counts_not_removed", zap.String("run", o.Name), zap.Error(err))
		}
	}
}
