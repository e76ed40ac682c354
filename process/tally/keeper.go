package tally

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// adoptAfter is how long after a window's end the counts of a run that has died are written in its place: several
	// heartbeats of the instances.
	adoptAfter = 1500 * time.Millisecond
	// keepFor is the number of windows for which a copy is kept.
	keepFor = 4
)

// Keeper holds copies of other runs' counts and writes them for a run that dies before it could, or can't reach the store.
// A run that is only cut off writes its own counts over them later. The exported fields are set before use.
type Keeper struct {
	Window time.Duration
	Store  platform.Store
	Log    *zap.Logger
	// Writes tells whether the run is alive and can write its counts itself.
	Writes func(run string) bool

	mu sync.Mutex
	// copies holds the counts by run and window.
	copies map[string]map[int64]map[string]int
}

// Keep takes a copy of a run's counts. Counts only grow, so that of two copies the larger holds.
func (k *Keeper) Keep(run string, windows []wire.NewsWindow) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.copies == nil {
		k.copies = map[string]map[int64]map[string]int{}
	}
	if k.copies[run] == nil {
		k.copies[run] = map[int64]map[string]int{}
	}
	for _, w := range windows {
		counts := k.copies[run][int64(w.StartMs)]
		if counts == nil {
			counts = map[string]int{}
			k.copies[run][int64(w.StartMs)] = counts
		}
		for name, n := range w.Counts {
			counts[name] = max(counts[name], n)
		}
	}
}

// Execute writes the counts of dead runs until ctx ends.
func (k *Keeper) Execute(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		next := Start(now, k.Window).Add(k.Window + adoptAfter)
		sleep(ctx, next.Sub(now))
		if ctx.Err() != nil {
			return
		}
		for run, windows := range k.dead(time.Now()) {
			if err := k.adopt(ctx, run, windows); err != nil {
				k.Log.Info("counts_not_adopted", zap.String("run", run), zap.Error(err))
				continue
			}
			k.mu.Lock()
			delete(k.copies, run)
			k.mu.Unlock()
		}
	}
}

// dead returns the copies of the runs that can't write, and forgets old ones.
func (k *Keeper) dead(now time.Time) map[string]map[int64]map[string]int {
	oldest := Start(now, k.Window).Add(-keepFor * k.Window).UnixMilli()
	k.mu.Lock()
	defer k.mu.Unlock()
	dead := map[string]map[int64]map[string]int{}
	for run, windows := range k.copies {
		for start := range windows {
			if start < oldest {
				delete(windows, start)
			}
		}
		if len(windows) == 0 {
			delete(k.copies, run)
			continue
		}
		if !k.Writes(run) {
			dead[run] = windows
		}
	}
	return dead
}

// adopt writes a dead run's counts where they are more than what it wrote itself.
func (k *Keeper) adopt(ctx context.Context, run string, windows map[int64]map[string]int) error {
	o, err := k.Store.Get(ctx, KindCounts, run)
	if err != nil && !platform.IsErrNotFound(err) {
		return err
	}
	var record wire.CountsRecord
	if err == nil {
		if record, err = platform.Decode[wire.CountsRecord](o); err != nil {
			return err
		}
	}
	k.mu.Lock()
	more := merge(&record, windows)
	k.mu.Unlock()
	if !more {
		return nil
	}
	record.WrittenMs = int(time.Now().UnixMilli())
	if o.Version == 0 {
		_, err = k.Store.Create(ctx, KindCounts, run, record)
	} else {
		_, err = k.Store.Update(ctx, KindCounts, run, o.Version, record)
	}
	if platform.IsErrConflict(err) {
		return nil
	}
	if err == nil {
		k.Log.Info("counts_adopted", zap.String("run", run), zap.Int("windows", len(windows)))
	}
	return err
}

// merge raises the record's counts to those of the windows and tells whether any grew.
func merge(record *wire.CountsRecord, windows map[int64]map[string]int) bool {
	more := false
	for start, counts := range windows {
		at := -1
		for i, w := range record.Windows {
			if int64(w.StartMs) == start {
				at = i
			}
		}
		if at < 0 {
			record.Windows = append(record.Windows, wire.CountsWindow{StartMs: int(start), Counts: wire.CountsWindowCounts{}})
			at = len(record.Windows) - 1
		}
		for name, n := range counts {
			if n > record.Windows[at].Counts[name] {
				record.Windows[at].Counts[name] = n
				more = true
			}
		}
	}
	return more
}
