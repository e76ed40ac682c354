package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
)

// holders watches the leases of several processes: at most one may hold the lease at a time, and each holder has a
// higher fencing token than all holders before it.
type holders struct {
	t            *testing.T
	leases       []*Lease
	highestFence int
	holder       *Lease
	// changes counts the changes of the holder.
	changes int
}

// check checks the present holders.
func (h *holders) check() {
	h.t.Helper()
	var present *Lease
	for _, l := range h.leases {
		fence, _, held := l.Held()
		if !held {
			continue
		}
		assert.Assert(h.t, present == nil, "%s and %s hold the lease", l.RunID, h.holderName(present))
		present = l
		if l != h.holder || fence != h.highestFence {
			assert.Assert(h.t, fence > h.highestFence, "fencing token %d of %s after %d of %s", fence, l.RunID, h.highestFence, h.holderName(h.holder))
			h.highestFence, h.holder = fence, l
			h.changes++
		}
	}
}

func (h *holders) holderName(l *Lease) string {
	if l == nil {
		return "nobody"
	}
	return l.RunID
}

// watch checks the holders for a while.
func (h *holders) watch(d time.Duration) {
	h.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		h.check()
		time.Sleep(10 * time.Millisecond)
	}
}

// start starts a process with the lease and returns a function that stops it.
func (h *holders) start(api *platformtest.Objects, holder string, run int) (stop func()) {
	l := newLease(api, holder)
	l.RunID = fmt.Sprint(holder, "-", run)
	h.leases = append(h.leases, l)
	ctx, cancel := context.WithCancel(h.t.Context())
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// TestLostTakeover checks that a takeover that the store has lost stays valid until its expiry: the copy shows the
// lease as released, and then as never taken.
func TestLostTakeover(t *testing.T) {
	for _, released := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			api := &platformtest.Objects{}
			h := &holders{t: t}
			lost := api.Copy()
			if released {
				stop := h.start(api, "a", 1)
				h.watch(time.Second)
				stop()
				lost = api.Copy()
			}
			stopB := h.start(api, "b", 1)
			h.watch(1900 * time.Millisecond)
			assert.Equal(t, h.holder.Holder, "b")
			stopC := h.start(api, "c", 1)
			h.watch(time.Second)
			api.Rewind(lost)
			stopD := h.start(api, "d", 1)
			h.watch(30 * time.Second)
			assert.Assert(t, h.holder.Check() == nil, "nobody holds the lease")
			stopB()
			stopC()
			stopD()
		})
	}
}

// TestHolderKeepsOlderRenewal checks that a holder whose older renewal the store still has goes on without a gap.
func TestHolderKeepsOlderRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := &platformtest.Objects{}
		h := &holders{t: t}
		stopA := h.start(api, "a", 1)
		h.watch(3 * time.Second)
		older := api.Copy()
		h.watch(5 * time.Second)
		api.Rewind(older)
		stopB := h.start(api, "b", 1)
		h.watch(20 * time.Second)
		assert.Equal(t, h.changes, 1)
		assert.NilError(t, h.leases[0].Check())
		stopA()
		stopB()
	})
}

// TestRandomRewinds draws starts, stops, crashes of the path to the store and rewinds, also twice within a second, and
// checks that there is never a second holder and that no fencing token is used again or falls.
func TestRandomRewinds(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			cutOff := map[string]*atomic.Bool{"a": {}, "b": {}, "c": {}, "d": {}}
			api := &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
				if cutOff[c.Instance].Load() {
					return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
				}
				return platformtest.Fault{}
			}}
			h := &holders{t: t}
			stops := map[string]func(){}
			copies := []platformtest.Copy{api.Copy()}
			for run := range 40 {
				name := string(rune('a' + rng.IntN(4)))
				switch rng.IntN(6) {
				case 0, 1:
					if stops[name] == nil {
						stops[name] = h.start(api, name, run)
					}
				case 2:
					if stop := stops[name]; stop != nil {
						stop()
						stops[name] = nil
					}
				case 3:
					cutOff[name].Store(!cutOff[name].Load())
				default:
					api.Rewind(copies[max(0, len(copies)-1-rng.IntN(3))])
				}
				copies = append(copies, api.Copy())
				h.watch(time.Duration(rng.Int64N(int64(3 * time.Second))))
			}
			for _, isCutOff := range cutOff {
				isCutOff.Store(false)
			}
			for _, name := range []string{"a", "b"} {
				if stops[name] == nil {
					stops[name] = h.start(api, name, 1000)
				}
			}
			h.watch(2 * (DefaultDuration + DefaultMargin + DefaultMaxInFlight))
			assert.Assert(t, h.holder != nil && h.holder.Check() == nil, "nobody holds the lease")
			for _, stop := range stops {
				if stop != nil {
					stop()
				}
			}
		})
	}
}
