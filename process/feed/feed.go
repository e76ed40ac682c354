// Package feed follows all objects of a kind in the platform's store: it lists them, then watches for changes, and lists
// anew where the history is gone or the store was out.
package feed

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

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
	// Wait is how long a watch may stay without an answer. It bounds how long a dead connection goes unnoticed.
	Wait time.Duration
	Log  *zap.Logger
	// Reset takes the whole list. After an outage of the store, objects that expire may be missing for a while.
	Reset func(items []wire.Object, afterOutage bool)
	// Event takes one change.
	Event func(wire.ObjectEvent)
	// Wake, if not nil, makes the feed list anew.
	Wake <-chan struct{}

	answered time.Time
	out      bool
}

// Run follows the kind until ctx ends.
func (f *Feed) Run(ctx context.Context) {
	delays := &backoff.ExponentialBackOff{InitialInterval: retryFirst, RandomizationFactor: 0.3, Multiplier: 2, MaxInterval: retryMost}
	f.answered = time.Now()
	for ctx.Err() == nil {
		list, err := f.Store.List(ctx, f.Kind, "")
		if err != nil {
			f.failed(err)
			sleep(ctx, delays.NextBackOff())
			continue
		}
		delays.Reset()
		f.Reset(list.Items, f.good("list", list.Version))
		f.watch(ctx, list.Version)
	}
}

// watch takes in changes until the history is gone or a call fails.
func (f *Feed) watch(ctx context.Context, from int) {
	for ctx.Err() == nil {
		events, err := f.call(ctx, from)
		if err != nil {
			f.failed(err)
			return
		}
		f.answered = time.Now()
		for _, e := range events.Events {
			f.Event(e)
		}
		from = max(from, events.Version)
	}
}

// errWoken tells that the feed was asked to list anew.
type errWoken struct{}

func (errWoken) Error() string { return "a newer version is known elsewhere" }

// call is one watch, which Wake cuts short.
func (f *Feed) call(ctx context.Context, from int) (wire.ObjectEvents, error) {
	if f.Wake == nil {
		return f.Store.Watch(ctx, f.Kind, from, f.Wait)
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
	events, err := f.Store.Watch(ctx, f.Kind, from, f.Wait)
	if cause := context.Cause(ctx); err != nil && cause != nil {
		return events, cause
	}
	return events, err
}

// good notes an answer of the store and tells whether an outage has ended.
func (f *Feed) good(what string, version int) (afterOutage bool) {
	away := time.Since(f.answered)
	f.answered = time.Now()
	afterOutage = f.out && away > outageAfter
	f.out = false
	f.Log.Info("store_reached", zap.String("kind", f.Kind), zap.String("call", what), zap.Int("version", version),
		zap.Duration("away", away), zap.Bool("after_outage", afterOutage))
	return afterOutage
}

func (f *Feed) failed(err error) {
	if f.out {
		return
	}
	f.out = true
	f.Log.Info("store_lost", zap.String("kind", f.Kind), zap.Error(err))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
