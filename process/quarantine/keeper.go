package quarantine

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// keepInterval is the interval at which the keeper repeats what it tells the other instances, and at which it retries
	// failed calls of the store.
	keepInterval = time.Second
	// maxStoreDelay is the longest delay before a change is stored. Meanwhile another instance may have stored it.
	maxStoreDelay = 300 * time.Millisecond
	// watchedAfterCrash is the time after a crash for which the store is read once in each keepInterval while a part is
	// suspected: an instance that is cut off from this one may have stored a quarantine.
	watchedAfterCrash = 10 * time.Second
)

// Keeper stores the quarantines of a table in the platform's store, from which they come back after all instances were
// lost, and repeats them to the other instances. Set the fields before Run.
type Keeper struct {
	Table *Table
	Store platform.Store
	// Kind is the kind of the store objects that hold quarantines.
	Kind string
	// IsReader reports whether this instance reads and writes the store for others.
	IsReader func() bool
	// Announce tells some of the other instances what they may have missed.
	Announce func(Update)
	Log      *zap.Logger

	// changed is signalled when quarantines were added or changed.
	changed chan struct{}
	// loaded is set once the store was read, and tried once it was tried.
	loaded bool
	tried  atomic.Bool
	// era is the era of the store to which the stored revisions belong.
	era int
}

// Init prepares the keeper for NotifyChanged.
func (k *Keeper) Init() { k.changed = make(chan struct{}, 1) }

// NotifyChanged tells the keeper that quarantines were added or changed.
func (k *Keeper) NotifyChanged() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Ready reports whether the store was tried to be read.
func (k *Keeper) Ready() bool { return k.tried.Load() }

// Run keeps the store and the other instances up to date until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	k.load(ctx)
	k.tried.Store(true)
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
			sleep.For(ctx, rand.N(maxStoreDelay))
			k.save(ctx)
		case <-ticker.C:
			if u := k.Table.Repeat(); !u.isEmpty() {
				k.Announce(u)
			}
			if !k.loaded || k.IsReader() && (k.Table.takeEnded() || k.Table.suspectsWithin(watchedAfterCrash)) {
				k.load(ctx)
			}
			k.save(ctx)
		}
	}
}

// load reads the quarantines from the store.
func (k *Keeper) load(ctx context.Context) {
	list, err := k.Store.List(ctx, k.Kind, "")
	if err != nil {
		k.Log.Info("quarantines_not_read", zap.Error(err))
		return
	}
	k.loaded = true
	now := time.Now()
	var u Update
	for _, o := range list.Items {
		record, err := platform.Decode[wire.QuarantineRecord](o)
		if err != nil {
			k.Log.Warn("quarantine_unreadable", zap.String("name", o.Name), zap.Error(err))
			continue
		}
		until := now.Add(time.UnixMilli(int64(record.UntilMs)).Sub(now))
		if now.Sub(until) > retention+milliseconds(record.PeriodMs) {
			k.remove(ctx, o)
			continue
		}
		u.Quarantines = append(u.Quarantines, Announcement{Stored: true, Quarantine: Quarantine{
			Parts: record.Parts, Pool: record.Pool, Crashes: record.Crashes, Revision: record.Revision, Lifted: record.Lifted,
			Until: until, Period: milliseconds(record.PeriodMs),
		}})
	}
	k.Table.Merge(u)
}

// remove removes a quarantine from the store whose retention is over.
func (k *Keeper) remove(ctx context.Context, o wire.Object) {
	if !k.IsReader() {
		return
	}
	err := k.Store.Delete(ctx, k.Kind, o.Name, o.Version)
	k.Log.Info("quarantine_removed", zap.String("quarantine", o.Name), zap.Error(err))
}

// save stores the quarantines whose newest revision isn't in the store yet.
func (k *Keeper) save(ctx context.Context) {
	if !k.IsReader() {
		return
	}
	if era := k.Store.CurrentEra(); era != k.era {
		// The store came back from an older copy, which may lack them.
		k.era = era
		k.Table.forgetStored()
	}
	for _, q := range k.Table.unstored() {
		if err := k.write(ctx, q); err != nil {
			k.Log.Info("quarantine_not_stored", zap.String("quarantine", q.ID), zap.Error(err))
			return
		}
		k.Table.markStored(q.ID, q.Revision)
	}
}

// write stores a quarantine unless the store has a revision that is not older.
func (k *Keeper) write(ctx context.Context, q Quarantine) error {
	record := wire.QuarantineRecord{
		Parts: q.Parts, Pool: q.Pool, Crashes: q.Crashes, Revision: q.Revision, Lifted: q.Lifted, UntilMs: int(q.Until.UnixMilli()), PeriodMs: int(q.Period.Milliseconds()),
	}
	_, err := k.Store.Create(ctx, k.Kind, q.ID, record)
	if !platform.IsErrConflict(err) {
		return err
	}
	o, err := k.Store.Get(ctx, k.Kind, q.ID)
	if err != nil {
		return err
	}
	if stored, err := platform.Decode[wire.QuarantineRecord](o); err == nil && stored.Revision >= q.Revision {
		return nil
	}
	_, err = k.Store.Update(ctx, k.Kind, q.ID, o.Version, record)
	return err
}

// suspectsWithin reports whether a part of which other instances know, or would have been told, is suspected since a crash
// within the last d.
func (t *Table) suspectsWithin(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	for _, table := range t.suspicionTables() {
		for _, s := range table.Values() {
			if !s.told {
				continue
			}
			for _, at := range s.crashes {
				if time.Since(at) < d {
					return true
				}
			}
		}
	}
	return false
}

// takeEnded reports whether a quarantine was removed since the last call that may still be in the store.
func (t *Table) takeEnded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := t.ended
	t.ended = false
	return ended
}

// unstored returns the quarantines whose newest revision isn't known to be in the store.
func (t *Table) unstored() []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Quarantine
	for _, e := range t.entries {
		if e.storedRevision < e.Revision {
			list = append(list, e.Quarantine)
		}
	}
	return list
}

// markStored records that a revision of a quarantine is in the store.
func (t *Table) markStored(id string, revision int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		e.storedRevision = max(e.storedRevision, revision)
	}
}

// forgetStored has all quarantines stored again.
func (t *Table) forgetStored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		e.storedRevision = 0
	}
}
