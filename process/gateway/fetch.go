package gateway

import (
	"context"
	"time"
)

// fetchStagger is the time after which the next instance is asked too if one hasn't answered: many round trips, and a small
// part of the time within which a leaving server must stop receiving requests.
const fetchStagger = 100 * time.Millisecond

// fetchStaggered returns the first answer of some instances. It asks them in order, the next one once all earlier ones have
// failed or haven't answered for fetchStagger. It returns the last error if all fail.
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
			err = r.err
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
