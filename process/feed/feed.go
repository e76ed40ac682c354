// Package feed keeps a copy of all objects of one kind in the platform's store. It lists the objects, then watches for
// changes, and lists them again if the store has discarded the needed history, has come back from an older copy of
// itself, or after a failed call.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// minRetryDelay and maxRetryDelay limit the delay between failed calls. The minimum is a few times the usual response
	// time of the store. The maximum keeps the calls of all instances far below the store's rate limits.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// minOutage is the time without a response from the store after which objects that expire without heartbeats may be
	// missing from a list. It is far longer than the delay by one lost response, and far shorter than the time without
	// heartbeats after which an object expires.
	minOutage = time.Second
)

// Feed keeps a copy of the objects of one kind. Set the exported fields before Run.
type Feed struct {
	Kind  string
	Store platform.Store
	// WatchTimeout returns the timeout of the next watch. The timeout must be limited, because only a response shows that
	// the store is reachable.
	WatchTimeout func() time.Duration
	Log          *zap.Logger
	// OnList is called with the complete list of objects and with what may be wrong about it for a while.
	OnList func(items []wire.Object, gap Gap)
	// OnEvent is called with each change.
	OnEvent func(wire.ObjectEvent)
	// OnPeerList is called with the objects of another instance whose list is not newer than the known one; it may be
	// nil. After the store came back from an older copy, another instance may know an object that the store has lost.
	OnPeerList func(items []wire.Object)
	// NewerElsewhere signals that another instance knows newer objects; it may be nil.
	NewerElsewhere <-chan struct{}
	// LacksChanges reports whether another instance has told of newer objects than the known ones; nil means always. Refusals
	// don't make an instance read the store unless it holds.
	LacksChanges func() bool
	// BatchDelay is the delay between a response with changes and the next watch, so that consecutive changes arrive in
	// one response.
	BatchDelay time.Duration
	// ReadsStore reports whether this instance reads the store itself; nil means always. An instance that doesn't gets the
	// objects from one that does, through ListFromPeer, or from the store if no instance responds.
	ReadsStore func() bool
	// RecentOutage reports whether objects that are missing from a list may have expired during an outage of the store.
	// If it is nil, a list from another instance never counts as one after an outage, and a list from the store does if
	// this instance couldn't reach the store before.
	RecentOutage func() bool
	// ListFromPeer returns the objects as another instance knows them. It is used while this instance doesn't read the
	// store or can't reach it; it may be nil. ErrRefused tells that others may send the objects soon, so that the
	// instance waits for the next signal of NewerElsewhere, but no longer than minRefusedTime and refusedSpread together.
	ListFromPeer func(ctx context.Context) (wire.ObjectList, error)

	mu sync.Mutex
	// objects and version are the last known objects by name and the store version that they represent.
	objects map[string]wire.Object
	version int
	// changedVersion is the store version at the last change of the objects; 0 if there was none yet.
	changedVersion int
	// listedVersion is the store version of the newest complete list that had the known objects. Unlike version, it doesn't
	// rest on watches, which may miss a change.
	listedVersion int
	// lastWatchTimeout is the timeout of the last watch.
	lastWatchTimeout time.Duration
	// lastResponse is the time of the last response from the store.
	lastResponse time.Time
	// storeDown is set while the store is unreachable.
	storeDown bool

	// readStoreAt is the time at which an instance that other instances refuse reads the store; zero if they haven't refused
	// since the objects last came. Only Run uses it.
	readStoreAt time.Time
}

// Gap says how a list may differ from the objects of the writers that are alive.
type Gap int

const (
	// NoGap means that the list is complete and up to date.
	NoGap Gap = iota
	// Outage means that objects that expire without heartbeats may be missing, since their writers couldn't reach the
	// store.
	Outage
	// Rewind means that the store came back from an older copy: until the writers have written again, objects may be
	// missing or old, and removed objects may be listed.
	Rewind
)

// watchResponseSlack is the time by which the response of a watch may exceed its timeout while the objects still count
// as fresh.
const watchResponseSlack = time.Second

// Objects returns the last known objects. fresh reports whether the store has responded recently enough.
func (f *Feed) Objects() (list wire.ObjectList, fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list.Version = f.version
	list.Items = make([]wire.Object, 0, len(f.objects))
	for _, o := range f.objects {
		list.Items = append(list.Items, o)
	}
	return list, f.isFresh()
}

// IsFresh reports whether this instance reads the store and has got a response recently enough.
func (f *Feed) IsFresh() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isFresh()
}

// isFresh is IsFresh for a caller that holds mu.
func (f *Feed) isFresh() bool {
	return !f.storeDown && !f.lastResponse.IsZero() && time.Since(f.lastResponse) < f.lastWatchTimeout+watchResponseSlack
}

// ChangedVersion returns the store version at the newest known change; 0 if there is none yet.
func (f *Feed) ChangedVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedVersion
}

// KnownVersion returns the store version up to which all changes are surely known: that of the newest known change, or
// that of the newest complete list; 0 if there is none yet.
func (f *Feed) KnownVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.changedVersion, f.listedVersion)
}

// StoreDown reports whether the store is unreachable.
func (f *Feed) StoreDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeDown
}

// Run keeps the objects up to date until ctx is done.
func (f *Feed) Run(ctx context.Context) {
	delays := &backoff.ExponentialBackOff{InitialInterval: minRetryDelay, RandomizationFactor: 0.3, Multiplier: 2, MaxInterval: maxRetryDelay}
	for ctx.Err() == nil {
		if !f.mustReadStore() && f.waitForPeer(ctx) {
			continue
		}
		list, err := f.Store.List(ctx, f.Kind, "")
		if err != nil {
			f.callFailed(err)
			_ = f.updateFromPeer(ctx)
			sleep.For(ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		f.replaceAll(list, f.listSucceeded(list.Version))
		for f.watch(ctx) && f.updateFromPeer(ctx) == nil {
			// The objects were updated from another instance with a newer version; watch from there.
		}
	}
}

// mustReadStore reports whether this instance reads the store itself. It always does until it has a first list.
func (f *Feed) mustReadStore() bool {
	f.mu.Lock()
	hasList := f.version > 0
	f.mu.Unlock()
	return f.ReadsStore == nil || f.ListFromPeer == nil || !hasList || f.ReadsStore()
}

// differs reports whether the listed objects or their versions differ from the known ones. The caller holds mu.
func (f *Feed) differs(items []wire.Object) bool {
	if len(items) != len(f.objects) {
		return true
	}
	return slices.ContainsFunc(items, func(o wire.Object) bool { return f.objects[o.Name].Version != o.Version })
}

// readerCheckInterval is the interval at which an instance that doesn't read the store checks whether it now must.
const readerCheckInterval = 200 * time.Millisecond

const (
	// minRefusedTime is the time after the first refusal, counted from when the objects were asked for, before which the store
	// isn't read instead: longer than a new list needs to reach all instances. Together with refusedSpread, the delay of a
	// datagram and a call to the store it is within the time in which a leaving server must stop receiving requests.
	minRefusedTime = 1100 * time.Millisecond
	// refusedSpread is the time over which instances that are refused together spread their reads of the store.
	refusedSpread = 400 * time.Millisecond
)

// waitForPeer waits for readerCheckInterval. If NewerElsewhere signals newer objects before that, it updates the
// objects from another instance. It returns false if the store must be read instead: no instance responded, or others have
// refused for too long.
func (f *Feed) waitForPeer(ctx context.Context) bool {
	wait := readerCheckInterval
	if !f.readStoreAt.IsZero() {
		wait = min(wait, time.Until(f.readStoreAt))
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	f.mu.Lock()
	f.lastWatchTimeout, f.lastResponse = 0, time.Time{}
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return true
	case <-t.C:
		return !f.isRefusedTooLong()
	case <-f.NewerElsewhere:
	}
	if f.readStoreAt.IsZero() {
		return f.firstUpdateFromPeer(ctx)
	}
	fetchCtx, cancel := context.WithDeadline(ctx, f.readStoreAt)
	defer cancel()
	err := f.updateFromPeer(fetchCtx)
	if err != nil && (IsErrRefused(err) || fetchCtx.Err() != nil) {
		return !f.isRefusedTooLong()
	}
	f.readStoreAt = time.Time{}
	return err == nil
}

// firstUpdateFromPeer updates the objects from another instance when none has refused so far. It returns false if no instance
// responded.
func (f *Feed) firstUpdateFromPeer(ctx context.Context) bool {
	readStoreAt := time.Now().Add(minRefusedTime + rand.N(refusedSpread))
	err := f.updateFromPeer(ctx)
	if IsErrRefused(err) {
		if f.lacksChanges() {
			f.readStoreAt = readStoreAt
		}
		return true
	}
	return err == nil
}

func (f *Feed) lacksChanges() bool { return f.LacksChanges == nil || f.LacksChanges() }

// isRefusedTooLong reports whether the store must be read since other instances refuse. That ends the series of refusals, as
// does the arrival of what they refused.
func (f *Feed) isRefusedTooLong() bool {
	if f.readStoreAt.IsZero() {
		return false
	}
	if !f.lacksChanges() {
		f.readStoreAt = time.Time{}
		return false
	}
	if time.Now().Before(f.readStoreAt) {
		return false
	}
	f.readStoreAt = time.Time{}
	f.Log.Info("store_read_after_refusals", zap.String("kind", f.Kind))
	return true
}

// replaceAll replaces all objects by the list.
func (f *Feed) replaceAll(list wire.ObjectList, afterOutage bool) {
	gap := NoGap
	if afterOutage {
		gap = Outage
	}
	f.mu.Lock()
	if f.version > 0 && platform.Era(list.Version) > platform.Era(f.version) {
		gap = Rewind
		f.Log.Warn("store_rewound", zap.String("kind", f.Kind), platform.VersionField("version", list.Version), platform.VersionField("own", f.version))
	}
	if f.version == 0 || f.differs(list.Items) {
		f.changedVersion = list.Version
	}
	f.objects = make(map[string]wire.Object, len(list.Items))
	for _, o := range list.Items {
		f.objects[o.Name] = o
	}
	f.version, f.listedVersion = list.Version, list.Version
	f.mu.Unlock()
	f.OnList(list.Items, gap)
}

// updateFromPeer replaces the objects by those of another instance if they are newer, and returns an error if no instance
// sent any.
func (f *Feed) updateFromPeer(ctx context.Context) error {
	if f.ListFromPeer == nil {
		return errNoPeers{}
	}
	list, err := f.ListFromPeer(ctx)
	if IsErrRefused(err) {
		f.Log.Info("peers_refused", zap.String("kind", f.Kind), zap.Error(err))
		return err
	}
	if err != nil {
		f.Log.Debug("peer_has_no_objects", zap.String("kind", f.Kind), zap.Error(err))
		return err
	}
	f.mu.Lock()
	notNewer := list.Version <= f.version
	if notNewer && !f.differs(list.Items) {
		f.listedVersion = max(f.listedVersion, list.Version)
	}
	f.mu.Unlock()
	if notNewer {
		if f.OnPeerList != nil {
			f.OnPeerList(list.Items)
		}
		return nil
	}
	f.Log.Info("objects_from_peer", zap.String("kind", f.Kind), platform.VersionField("version", list.Version), zap.Int("objects", len(list.Items)))
	f.replaceAll(list, f.RecentOutage != nil && f.RecentOutage())
	return nil
}

// watch applies changes until a call fails, ctx is done or this instance no longer reads the store. It also ends when
// NewerElsewhere signals that another instance knows newer objects, and then returns true.
func (f *Feed) watch(ctx context.Context) (newerElsewhere bool) {
	for ctx.Err() == nil && f.mustReadStore() {
		f.mu.Lock()
		fromVersion := f.version
		f.mu.Unlock()
		events, err := f.watchOnce(ctx, fromVersion)
		if errors.As(err, &errNewerElsewhere{}) {
			return true
		}
		if err != nil {
			f.callFailed(err)
			return false
		}
		f.mu.Lock()
		f.lastResponse = time.Now()
		for _, e := range events.Events {
			if e.Type == wire.ObjectEventTypeDelete {
				delete(f.objects, e.Object.Name)
			} else {
				f.objects[e.Object.Name] = e.Object
			}
		}
		fromVersion = max(fromVersion, events.Version)
		f.version = fromVersion
		if len(events.Events) > 0 {
			f.changedVersion = fromVersion
		}
		f.mu.Unlock()
		for _, e := range events.Events {
			f.OnEvent(e)
		}
		if len(events.Events) > 0 {
			sleep.For(ctx, f.BatchDelay)
		}
	}
	return false
}

// watchOnce does one watch call, which NewerElsewhere cancels.
func (f *Feed) watchOnce(ctx context.Context, fromVersion int) (wire.ObjectEvents, error) {
	timeout := f.WatchTimeout()
	f.mu.Lock()
	f.lastWatchTimeout = timeout
	f.mu.Unlock()
	if f.NewerElsewhere == nil {
		return f.Store.Watch(ctx, f.Kind, fromVersion, timeout)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.NewerElsewhere:
			cancel(errNewerElsewhere{})
		case <-ctx.Done():
		}
	}()
	events, err := f.Store.Watch(ctx, f.Kind, fromVersion, timeout)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return events, cause
	}
	return events, err
}

// listSucceeded records a successful list call and reports whether it ended an outage in which entries may have
// expired.
func (f *Feed) listSucceeded(version int) (afterOutage bool) {
	f.mu.Lock()
	sinceLastResponse := time.Since(f.lastResponse)
	if f.lastResponse.IsZero() {
		sinceLastResponse = 0
	}
	wasDown := f.storeDown
	f.lastResponse = time.Now()
	f.storeDown = false
	f.mu.Unlock()
	afterOutage = wasDown && sinceLastResponse > minOutage && (f.RecentOutage == nil || f.RecentOutage())
	f.Log.Info("store_reached", zap.String("kind", f.Kind), platform.VersionField("version", version), zap.Duration("away", sinceLastResponse), zap.Bool("after_outage", afterOutage))
	return afterOutage
}

// callFailed records that a call to the store failed, so that the store counts as unreachable.
func (f *Feed) callFailed(err error) {
	f.mu.Lock()
	wasDown := f.storeDown
	f.storeDown = true
	f.mu.Unlock()
	if !wasDown {
		f.Log.Info("store_lost", zap.String("kind", f.Kind), zap.Error(err))
	}
}
