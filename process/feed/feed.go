// Package feed follows all objects of a kind in the platform's store: it lists them, then watches for changes, and lists
// anew where the history is gone or the store was out.
package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/pause"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// retryFirst and retryMost bound the delay between failed calls: the first is a few usual answers of the store, and
	// the last keeps a whole fleet far below the store's rates.
	retryFirst = 50 * time.Millisecond
	retryMost  = time.Second
	// outageAfter is the time without an answer from which entries may have lapsed: far above one lost answer, far below
	// the heartbeats whose silence lets an entry lapse.
	outageAfter = time.Second
)

// Feed follows one kind. The fields are set before Run.
type Feed struct {
	Kind  string
	Store platform.Store
	// Wait returns how long the next watch may stay without an answer, since a watch that is silent proves nothing.
	Wait func() time.Duration
	Log  *zap.Logger
	// Reset takes the whole list. After an outage of the store, objects that expire may be missing for a while.
	Reset func(items []wire.Object, afterOutage bool)
	// Event takes one change.
	Event func(wire.ObjectEvent)
	// Wake, if not nil, tells that another instance knows newer objects.
	Wake <-chan struct{}
	// Pause is the time between an answer with changes and the next watch, so that changes in a row come together.
	Pause time.Duration
	// Lead tells whether this instance reads the store itself; others learn from those that do. Nil is always.
	Lead func() bool
	// Lapsed tells whether objects that another instance doesn't list may have lapsed with an outage; nil is never.
	Lapsed func() bool
	// Fallback, if not nil, returns the objects as another instance knows them, for the time in which the store is out of
	// reach.
	Fallback func(ctx context.Context) (wire.ObjectList, error)

	mu sync.Mutex
	// objects and version are the kind as it was last known.
	objects map[string]wire.Object
	version int
	// changed is the version at the last change.
	changed int
	// waiting is the wait of the last watch.
	waiting time.Duration
	// answered is when the store last answered.
	answered time.Time
	// out is true while the store is out of reach.
	out bool
}

// freshSlack is the time that a watch's answer may take beyond its wait for the feed to count as fresh.
const freshSlack = time.Second

// Objects returns the kind as it was last known, and whether the store answers.
func (f *Feed) Objects() (list wire.ObjectList, fresh bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	list.Version = f.version
	list.Items = make([]wire.Object, 0, len(f.objects))
	for _, o := range f.objects {
		list.Items = append(list.Items, o)
	}
	return list, !f.out && !f.answered.IsZero() && time.Since(f.answered) < f.waiting+freshSlack
}

// Changed returns the store's version at the newest change that is known; 0 is none yet.
func (f *Feed) Changed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Out tells whether the store is out of reach.
func (f *Feed) Out() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.out
}

// Run follows the kind until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	delays := &backoff.ExponentialBackOff{InitialInterval: retryFirst, RandomizationFactor: 0.3, Multiplier: 2, MaxInterval: retryMost}
	for ctx.Err() == nil {
		if !f.leads() && f.follow(ctx) {
			continue
		}
		list, err := f.Store.List(ctx, f.Kind, "")
		if err != nil {
			f.failed(err)
			f.fallBack(ctx)
			pause.For(ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		f.reset(list, f.good(list.Version))
		for f.watch(ctx) && f.fallBack(ctx) {
			// Another instance knew something newer, and has told it.
		}
	}
}

// leads tells whether this instance reads the store itself; one that knows nothing yet does.
func (f *Feed) leads() bool {
	f.mu.Lock()
	known := f.version > 0
	f.mu.Unlock()
	return f.Lead == nil || f.Fallback == nil || !known || f.Lead()
}

// differs tells whether the list isn't what is known; the lock is held.
func (f *Feed) differs(items []wire.Object) bool {
	if len(items) != len(f.objects) {
		return true
	}
	return slices.ContainsFunc(items, func(o wire.Object) bool { return f.objects[o.Name].Version != o.Version })
}

// followTick is how often an instance that follows looks whether it has to lead.
const followTick = 200 * time.Millisecond

// follow takes in what another instance knows once it knows more. It tells false where no other can be asked.
func (f *Feed) follow(ctx context.Context) bool {
	t := time.NewTimer(followTick)
	defer t.Stop()
	f.mu.Lock()
	f.waiting, f.answered = 0, time.Time{}
	f.mu.Unlock()
	select {
	case <-ctx.Done():
		return true
	case <-t.C:
		return true
	case <-f.Wake:
	}
	return f.fallBack(ctx)
}

// reset takes in the whole list.
func (f *Feed) reset(list wire.ObjectList, afterOutage bool) {
	f.mu.Lock()
	if f.version == 0 || f.differs(list.Items) {
		f.changed = list.Version
	}
	f.objects = make(map[string]wire.Object, len(list.Items))
	for _, o := range list.Items {
		f.objects[o.Name] = o
	}
	f.version = list.Version
	f.mu.Unlock()
	f.Reset(list.Items, afterOutage)
}

// fallBack takes in what another instance knows, unless that is older, and tells whether one answered.
func (f *Feed) fallBack(ctx context.Context) bool {
	if f.Fallback == nil {
		return false
	}
	list, err := f.Fallback(ctx)
	if err != nil {
		f.Log.Debug("peer_has_no_objects", zap.String("kind", f.Kind), zap.Error(err))
		return false
	}
	f.mu.Lock()
	older := list.Version <= f.version
	f.mu.Unlock()
	if older {
		return true
	}
	f.Log.Info("objects_from_peer", zap.String("kind", f.Kind), zap.Int("version", list.Version), zap.Int("objects", len(list.Items)))
	f.reset(list, f.Lapsed != nil && f.Lapsed())
	return true
}

// watch takes in changes until the history is gone or a call fails. It tells true where another instance knows newer ones.
func (f *Feed) watch(ctx context.Context) (woken bool) {
	for ctx.Err() == nil && f.leads() {
		f.mu.Lock()
		from := f.version
		f.mu.Unlock()
		events, err := f.call(ctx, from)
		if errors.As(err, &errWoken{}) {
			return true
		}
		if err != nil {
			f.failed(err)
			return false
		}
		f.mu.Lock()
		f.answered = time.Now()
		for _, e := range events.Events {
			if e.Type == wire.ObjectEventTypeDelete {
				delete(f.objects, e.Object.Name)
			} else {
				f.objects[e.Object.Name] = e.Object
			}
		}
		from = max(from, events.Version)
		f.version = from
		if len(events.Events) > 0 {
			f.changed = from
		}
		f.mu.Unlock()
		for _, e := range events.Events {
			f.Event(e)
		}
		if len(events.Events) > 0 {
			pause.For(ctx, f.Pause)
		}
	}
	return false
}

// errWoken tells that the feed was asked to list anew.
type errWoken struct{}

func (errWoken) Error() string { return "a newer version is known elsewhere" }

// call is one watch, which Wake cuts short.
func (f *Feed) call(ctx context.Context, from int) (wire.ObjectEvents, error) {
	wait := f.Wait()
	f.mu.Lock()
	f.waiting = wait
	f.mu.Unlock()
	if f.Wake == nil {
		return f.Store.Watch(ctx, f.Kind, from, wait)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		select {
		case <-f.Wake:
			cancel(errWoken{})
		case <-ctx.Done():
		}
	}()
	events, err := f.Store.Watch(ctx, f.Kind, from, wait)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return events, cause
	}
	return events, err
}

// good notes an answer of the store and tells whether an outage has ended.
func (f *Feed) good(version int) (afterOutage bool) {
	f.mu.Lock()
	away := time.Since(f.answered)
	if f.answered.IsZero() {
		away = 0
	}
	was := f.out
	f.answered = time.Now()
	f.out = false
	f.mu.Unlock()
	afterOutage = was && away > outageAfter
	f.Log.Info("store_reached", zap.String("kind", f.Kind), zap.Int("version", version), zap.Duration("away", away), zap.Bool("after_outage", afterOutage))
	return afterOutage
}

func (f *Feed) failed(err error) {
	f.mu.Lock()
	was := f.out
	f.out = true
	f.mu.Unlock()
	if !was {
		f.Log.Info("store_lost", zap.String("kind", f.Kind), zap.Error(err))
	}
}
