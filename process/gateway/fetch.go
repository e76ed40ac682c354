package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"time"

	"github.com/toucanroute/toucanroute/connection/gossip"
	"github.com/toucanroute/toucanroute/process/feed"
	"github.com/toucanroute/toucanroute/process/sleep"
)

// fetchStagger is the time after which the next instance is asked too if one hasn't answered: many round trips, and a small
// part of the time within which a leaving server must stop receiving requests.
const fetchStagger = 100 * time.Millisecond

// fetchStaggered returns the first answer of some instances. It asks them in order, the next one once all earlier ones have
// failed or haven't answered for fetchStagger. It returns the last error if all fail, or the last gossip.ErrRefused if there was
// one.
//
// It handles instances that are gone while they still count as live: asked one after the other, each would cost the whole
// timeout of a call.
func fetchStaggered[T any](ctx context.Context, addresses []string, fetch func(ctx context.Context, address string) (T, error)) (answer T, err error) {
	if len(addresses) == 0 {
		return answer, errNoPeer
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		answer T
		err    error
	}
	results := make(chan result, len(addresses))
	asked, running := 0, 0
	askNext := func() {
		address := addresses[asked]
		asked, running = asked+1, running+1
		go func() {
			answer, err := fetch(ctx, address)
			results <- result{answer, err}
		}()
	}
	askNext()
	timer := time.NewTimer(fetchStagger)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			running--
			if r.err == nil {
				return r.answer, nil
			}
			if !gossip.IsErrRefused(err) || gossip.IsErrRefused(r.err) {
				err = r.err
			}
		case <-timer.C:
		}
		switch {
		case asked < len(addresses):
			askNext()
			timer.Reset(fetchStagger)
		case running == 0:
			return answer, err
		}
	}
}

const (
	// refusedRetryDelay is the mean time after which instances that refused are asked again: that of one or two replies on
	// a slow link. Each delay is random, so that the askers don't return together.
	refusedRetryDelay = 30 * time.Millisecond
	// maxRefusedTime bounds the time for which they are asked again. After that, the next datagram that tells of newer objects
	// starts another fetch.
	maxRefusedTime = 500 * time.Millisecond
)

// fetchUnlessRefused calls fetch until it isn't refused. It returns feed.ErrRefused after maxRefusedTime, or if the objects
// aren't wanted any more.
func fetchUnlessRefused[T any](ctx context.Context, kind string, isWanted func() bool, fetch func(context.Context) (T, error)) (T, error) {
	started := time.Now()
	for tries := 1; ; tries++ {
		answer, err := fetch(ctx)
		if !gossip.IsErrRefused(err) || ctx.Err() != nil {
			return answer, err
		}
		if time.Since(started) >= maxRefusedTime || !isWanted() {
			return answer, feed.ErrRefused{Kind: kind, Tries: tries, Err: err}
		}
		sleep.For(ctx, refusedRetryDelay/2+rand.N(refusedRetryDelay))
	}
}

// fetchAgainIfLate calls fetch once more if the first call timed out: instances that are only slow hand the
// objects to others meanwhile, and those that wait for the same one mustn't all read the store.
func fetchAgainIfLate[T any](ctx context.Context, fetch func(context.Context) (T, error)) (T, error) {
	answer, err := fetch(ctx)
	if ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return answer, err
	}
	return fetch(ctx)
}
