package streamorigin

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// recordName is the name of the single object that holds the history.
	recordName = "all"
	// checkInterval is the interval at which the keeper looks for changes to store. A kill within it after a new version
	// began its first stream may lose the version if its servers leave too before the instances are back.
	checkInterval = 50 * time.Millisecond
	// reserveDelay is the time after which a reader instance stores a change that the one before it should have stored: many
	// times the usual time of a call.
	reserveDelay = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the time after which a failed call of the store is repeated.
	minRetryDelay = time.Second
	maxRetryDelay = reloadDelay
	// startJitter bounds the random delay of reads at the start or after a cut, so that all instances don't read at once.
	startJitter = 250 * time.Millisecond
	// compareInterval is the interval at which the history is compared with the stored one without a change, for what is
	// forgotten and for another era of the store.
	compareInterval = time.Second
	// maxPause is the time between two checks of the keeper above which the process counts as having been frozen, besides
	// the keeper's own calls. A version doesn't come, begin a stream and leave within it.
	maxPause = time.Second
	// reloadDelay is the time after which an instance that found no valid record looks for it again: the others may have
	// stored it meanwhile.
	reloadDelay = 15 * time.Second
)

// Keeper keeps a history in the platform's store, from which an instance learns at its start what left before. It calls the
// store only for a change, once at the start and once after a time in which this instance may have missed changes, and not
// at all without routes whose streams may be taken up. Set the fields before Run.
type Keeper struct {
	History *History
	Store   platform.Store
	// Kind is the kind of the store object that holds the history.
	Kind string
	// IsReader reports whether this instance writes the store for others.
	IsReader func() bool
	// Position is the place of this instance, from 0, among those that do.
	Position func() int
	// IsCurrent reports whether this instance has the newest list of servers, as far as it can tell.
	IsCurrent func() bool
	// IsFirstRun reports whether no process of the deployment ran before this one and those that started with it; decided is
	// false while that isn't known.
	IsFirstRun func() (isFirst, decided bool)
	Log        *zap.Logger

	// read is set once the store was read and what it lacked is known.
	read bool
	// stored is the newest known object and record in the store; the object's version is 0 if there is none.
	stored       wire.Object
	storedRecord wire.StreamOriginsRecord
	// savedState and comparedAt are the state of the history that was last found to be stored, and the time of that.
	savedState [2]int
	comparedAt time.Time
	// changedAt is the time at which the history was first seen to differ from the stored one; zero if it doesn't.
	changedAt time.Time
	// missed is set while this instance may lack changes, and checkedAt is the time of the last check of that.
	missed    bool
	checkedAt time.Time
	// absent is set while the store is known to hold no record and IsFirstRun isn't decided.
	absent bool
	// delays gives the delays after failed calls.
	delays backoff.ExponentialBackOff
	// callAfter is the time before which no call is made after a failed one.
	callAfter time.Time
}

// Run keeps the store and the history in step until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	k.delays = backoff.ExponentialBackOff{InitialInterval: minRetryDelay, RandomizationFactor: 0.3, Multiplier: 2, MaxInterval: maxRetryDelay}
	k.delays.Reset()
	k.callAfter = time.Now().Add(rand.N(startJitter))
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.checkCurrent()
			if k.History.HasRoutes() && time.Now().After(k.callAfter) {
				k.step(ctx)
				k.checkedAt = time.Now()
			}
		}
	}
}

// checkCurrent has the record read again once this instance has the changes that it lacked: a version that came and left
// meanwhile isn't in its list of servers.
func (k *Keeper) checkCurrent() {
	now, wasMissing := time.Now(), k.missed
	wasFrozen := !k.checkedAt.IsZero() && now.Sub(k.checkedAt) > maxPause
	k.checkedAt, k.missed = now, !k.IsCurrent()
	if !wasFrozen && !wasMissing && !k.missed {
		return
	}
	if k.read || wasFrozen {
		k.Log.Info("stream_origins_missed", zap.Bool("frozen", wasFrozen), zap.Bool("current", !k.missed))
	}
	k.read = false
	k.callAfter = now.Add(rand.N(startJitter))
	k.History.BeginAgain()
}

// step reads the store if that wasn't done yet, and stores a change.
func (k *Keeper) step(ctx context.Context) {
	if k.missed {
		return
	}
	if !k.read {
		k.load(ctx)
	}
	if k.read && k.History.IsComplete() && k.IsReader() {
		k.save(ctx)
	}
}

// load reads the history that earlier processes have stored.
func (k *Keeper) load(ctx context.Context) {
	isFirstRun, decided := k.IsFirstRun()
	if k.absent && !decided {
		return
	}
	err := k.refresh(ctx)
	if err != nil && !platform.IsErrNotFound(err) {
		k.failed("stream_origins_not_read", err)
		return
	}
	k.delays.Reset()
	k.absent = err != nil
	if k.absent && !decided {
		return
	}
	isValid := err == nil && k.storedRecord.Era == k.Store.CurrentEra()
	if isValid || err != nil && isFirstRun {
		k.History.MarkComplete()
	}
	k.read = k.History.IsComplete()
	if !k.read {
		k.callAfter = time.Now().Add(reloadDelay)
	}
	k.Log.Info("stream_origins_read", zap.Bool("found", err == nil), zap.Bool("valid", isValid), zap.Bool("first_run", isFirstRun), zap.Bool("complete", k.read))
}

// refresh reads the stored object and takes over what it says.
func (k *Keeper) refresh(ctx context.Context) error {
	k.stored, k.storedRecord = wire.Object{}, wire.StreamOriginsRecord{}
	o, err := k.Store.Get(ctx, k.Kind, recordName)
	if err != nil {
		return err
	}
	k.stored = o
	record, err := platform.Decode[wire.StreamOriginsRecord](o)
	if err != nil {
		k.Log.Warn("stream_origins_unreadable", zap.Error(err))
		// It counts as one of another era, which says nothing of what it lacks.
		record = wire.StreamOriginsRecord{Era: -1}
	}
	k.storedRecord = record
	k.History.Merge(record)
	return nil
}

// save stores the history if it has changed.
func (k *Keeper) save(ctx context.Context) {
	now := time.Now()
	state, isKnown := k.History.changes()
	if isKnown && state == k.savedState && now.Sub(k.comparedAt) < compareInterval {
		return
	}
	record := k.History.Record(k.Store.CurrentEra())
	if sameRecord(record, k.storedRecord) {
		k.changedAt, k.savedState, k.comparedAt = time.Time{}, state, now
		return
	}
	if k.changedAt.IsZero() {
		k.changedAt = now
	}
	if position := k.Position(); position > 0 {
		if now.Sub(k.changedAt) < time.Duration(position)*reserveDelay {
			return
		}
		if err := k.refresh(ctx); err != nil && !platform.IsErrNotFound(err) {
			k.failed("stream_origins_not_read", err)
			return
		}
		if record = k.History.Record(k.Store.CurrentEra()); sameRecord(record, k.storedRecord) {
			return
		}
	}
	o, err := k.write(ctx, record)
	if platform.IsErrConflict(err) {
		// The next step compares the history with what the other instance has stored.
		err = k.refresh(ctx)
	} else if err == nil {
		k.stored, k.storedRecord = o, record
		k.delays.Reset()
		k.Log.Info("stream_origins_stored", zap.Int("pools", len(record.Pools)), zap.Int("routes", len(record.Routes)))
	}
	if err != nil {
		k.failed("stream_origins_not_stored", err)
	}
}

// write stores a record in place of the known one.
func (k *Keeper) write(ctx context.Context, record wire.StreamOriginsRecord) (wire.Object, error) {
	if k.stored.Version == 0 {
		return k.Store.Create(ctx, k.Kind, recordName, record)
	}
	return k.Store.Update(ctx, k.Kind, recordName, k.stored.Version, record)
}

// failed logs a failed call and delays the next one, more after each, and at least for the time that the store asked for.
func (k *Keeper) failed(event string, err error) {
	delay := k.delays.NextBackOff()
	var limited platform.ErrRateLimited
	if errors.As(err, &limited) {
		delay = max(delay, limited.RetryAfter)
	}
	k.callAfter = time.Now().Add(delay)
	k.Log.Info(event, zap.Error(err))
}
