package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/connection/gossip"
	"github.com/toucanroute/toucanroute/process/feed"
)

var errRefusedFetch = errors.New("refused")

// fetchTestTimeout is the time after which a call to an instance that is gone fails.
const fetchTestTimeout = 500 * time.Millisecond

// askedInstances records the instances that were asked.
type askedInstances struct {
	mu        sync.Mutex
	addresses []string
}

func (a *askedInstances) list() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.addresses)
}

// fetchAnswering returns a fetch that gets no answer from the instances "gone", an error from "bad" and an answer from others.
func fetchAnswering(asked *askedInstances) func(context.Context, string) (string, error) {
	return func(ctx context.Context, address string) (string, error) {
		asked.mu.Lock()
		asked.addresses = append(asked.addresses, address)
		asked.mu.Unlock()
		switch address {
		case "gone":
			ctx, cancel := context.WithTimeout(ctx, fetchTestTimeout)
			defer cancel()
			<-ctx.Done()
			return "", ctx.Err()
		case "bad":
			return "", errRefusedFetch
		}
		time.Sleep(10 * time.Millisecond)
		return "list of " + address, nil
	}
}

// Two instances that are gone, but still count as live, delay a fetch by far less than the timeouts of two calls.
func TestFetchIsNotDelayedByInstancesThatAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked askedInstances
		started := time.Now()
		list, err := fetchStaggered(t.Context(), []string{"gone", "gone", "c"}, fetchAnswering(&asked))
		assert.NilError(t, err)
		assert.Equal(t, list, "list of c")
		assert.Assert(t, time.Since(started) <= 2*fetchStagger+10*time.Millisecond, "%v", time.Since(started))
	})
}

// An instance that answers in time is the only one that is asked.
func TestFetchAsksOneInstanceThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked askedInstances
		list, err := fetchStaggered(t.Context(), []string{"a", "b"}, fetchAnswering(&asked))
		assert.NilError(t, err)
		assert.Equal(t, list, "list of a")
		assert.DeepEqual(t, asked.list(), []string{"a"})
	})
}

func TestFetchFailsIfAllFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var asked askedInstances
		started := time.Now()
		_, err := fetchStaggered(t.Context(), []string{"gone", "bad", "gone"}, fetchAnswering(&asked))
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.DeepEqual(t, asked.list(), []string{"gone", "bad", "gone"})
		assert.Equal(t, time.Since(started), fetchStagger+fetchTestTimeout)
		_, err = fetchStaggered(t.Context(), nil, fetchAnswering(&asked))
		assert.ErrorIs(t, err, errNoPeer)
	})
}

func always() bool { return true }

// Objects that have come by another way meanwhile aren't asked for again.
func TestFetchEndsIfObjectsAreNotWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tries := 0
		_, err := fetchUnlessRefused(t.Context(), "config", func() bool { return tries < 3 }, func(context.Context) (string, error) {
			tries++
			return "", gossip.ErrRefused{Address: "a", Reason: "nothing newer"}
		})
		assert.Assert(t, feed.IsErrRefused(err), "%v", err)
		assert.Equal(t, tries, 3)
	})
}

// Instances that refuse are asked again soon, and not at the next datagram that tells of newer objects.
func TestFetchIsTriedAgainAfterRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started, tries := time.Now(), 0
		answer, err := fetchUnlessRefused(t.Context(), "config", always, func(ctx context.Context) (string, error) {
			tries++
			return fetchStaggered(ctx, []string{"a", "b"}, func(context.Context, string) (string, error) {
				if tries < 4 {
					return "", gossip.ErrRefused{Address: "a", Reason: "busy"}
				}
				return "list", nil
			})
		})
		assert.NilError(t, err)
		assert.Equal(t, answer, "list")
		assert.Assert(t, time.Since(started) <= 3*refusedRetryDelay*3/2, "%v", time.Since(started))
	})
}

// A fetch that is refused each time ends with an error of its own. One instance that refuses is enough for that, since it is
// there and has answered; an error of all others isn't a refusal.
func TestRefusalsEndFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := func(ctx context.Context, address string) (string, error) {
			if address == "busy" {
				return "", gossip.ErrRefused{Address: address, Reason: "busy"}
			}
			return fetchAnswering(&askedInstances{})(ctx, address)
		}
		fetch := func(addresses ...string) (time.Duration, error) {
			started := time.Now()
			_, err := fetchUnlessRefused(t.Context(), "config", always, func(ctx context.Context) (string, error) { return fetchStaggered(ctx, addresses, refuse) })
			return time.Since(started), err
		}
		took, err := fetch("busy", "bad", "bad")
		assert.Assert(t, feed.IsErrRefused(err), "%v", err)
		assert.Assert(t, took >= maxRefusedTime && took <= maxRefusedTime+2*refusedRetryDelay, "%v", took)
		_, err = fetch("bad", "gone", "busy")
		assert.Assert(t, feed.IsErrRefused(err), "%v", err)
		took, err = fetch("bad", "bad")
		assert.ErrorIs(t, err, errRefusedFetch)
		assert.Equal(t, took, time.Duration(0))
	})
}

// Instances whose call timed out, for a configuration that others have by then, don't send the asker to the
// store. One that can't be asked at all does.
func TestLateFetchAsksOthersBeforeStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for name, tc := range map[string]struct {
			rounds [][]string
			want   string
			asked  int
		}{
			"others have it by then": {[][]string{{"gone", "gone"}, {"c"}}, "list of c", 3},
			"in time":                {[][]string{{"gone", "b"}}, "list of b", 2},
			"late again":             {[][]string{{"gone"}, {"gone"}}, "", 2},
			"refused connections":    {[][]string{{"bad", "bad"}}, "", 2},
			"nobody":                 {[][]string{nil}, "", 0},
		} {
			var asked askedInstances
			round := 0
			list, err := fetchAgainIfLate(t.Context(), func(ctx context.Context) (string, error) {
				addresses := tc.rounds[round]
				round++
				return fetchStaggered(ctx, addresses, fetchAnswering(&asked))
			})
			assert.Check(t, (err == nil) == (tc.want != "") && list == tc.want, "%s: %q %v", name, list, err)
			assert.Check(t, len(asked.list()) == tc.asked && round == len(tc.rounds), "%s: %v", name, asked.list())
		}
	})
}
