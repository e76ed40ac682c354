package registry

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// partitionable is a registry of some servers in two pools, whose probes fail while it is partitioned.
type partitionable struct {
	*Registry
	partitioned atomic.Bool
	probes      atomic.Int32
}

func newPartitionable(n int) *partitionable {
	r := &partitionable{Registry: &Registry{Log: zap.NewNop()}}
	r.Probe = func(string) error {
		r.probes.Add(1)
		if r.partitioned.Load() {
			return syscall.ETIMEDOUT
		}
		return nil
	}
	var entries []Entry
	for i := range n {
		entries = append(entries, newEntry(fmt.Sprint("a", i)), newEntry(fmt.Sprint("b", i), func(e *Entry) { e.Pool = "q" }))
	}
	r.Reset(entries, false)
	return r
}

// fail records a request that found a server unreachable.
func (r *partitionable) fail(id string) {
	for _, srv := range r.Servers() {
		if srv.Entry().ID == id {
			srv.Begin(0).End(OutcomeUnreachable)
		}
	}
}

// Two servers that become unreachable have all others checked, so that a partition is known without a request for each.
// Once it ends the servers count as reachable again.
func TestPartitionIsFoundByTwoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPartitionable(20)
		r.partitioned.Store(true)
		r.fail("a1")
		synctest.Wait()
		assert.Assert(t, !r.IsUnreachable("p"))
		r.fail("a2")
		synctest.Wait()
		assert.Assert(t, r.IsUnreachable("p") && r.IsUnreachable("q"))
		assert.DeepEqual(t, r.UnreachablePools(), []string{"p", "q"})
		assert.Assert(t, !r.IsUnreachable("unknown"))
		r.partitioned.Store(false)
		time.Sleep(2 * maxProbeDelay)
		assert.Equal(t, len(r.UnreachablePools()), 0)
	})
}

// One server that fails has nothing checked, and several that crash don't make the others count as unreachable.
func TestFailedServersLeaveOthersReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPartitionable(20)
		for range 5 {
			r.fail("a1")
		}
		synctest.Wait()
		assert.Equal(t, r.probes.Load(), int32(0))
		r.fail("a2")
		synctest.Wait()
		assert.Assert(t, !r.IsUnreachable("p"))
		assert.Equal(t, len(r.Usable("p", Selection{})), 18)
	})
}

// A server that has sent something since the check began stays reachable; so does a silent one that accepts connections.
func TestCheckLeavesLiveServersReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPartitionable(3)
		attempt := r.Serving("p")[0].Begin(0)
		time.Sleep(time.Second)
		assert.Assert(t, attempt.CheckUnresponsive())
		synctest.Wait()
		assert.Equal(t, len(r.Usable("p", Selection{})), 3)
		r.partitioned.Store(true)
		attempt.MarkPrefilled()
		r.fail("b0")
		r.fail("b1")
		synctest.Wait()
		assert.Equal(t, len(r.Usable("p", Selection{})), 1)
	})
}

// A server that is silent for a while and accepts no connections keeps the requests that it has; a request that finds it
// unreachable has them moved.
func TestSilentServerKeepsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newPartitionable(1)
		r.partitioned.Store(true)
		srv := r.Serving("p")[0]
		unreachable, attempt := srv.Unreachable(), srv.Begin(0)
		time.Sleep(time.Second)
		assert.Assert(t, attempt.CheckUnresponsive())
		synctest.Wait()
		assert.Assert(t, r.IsUnreachable("p"))
		select {
		case <-unreachable:
			t.Error("the requests were moved")
		default:
		}
		srv.Begin(0).End(OutcomeUnreachable)
		<-unreachable
		r.partitioned.Store(false)
		time.Sleep(2 * maxProbeDelay)
		assert.Assert(t, !r.IsUnreachable("p"))
	})
}

// A request whose connection doesn't open in time doesn't make a server unreachable that goes on sending to this instance: its
// running requests stay there. One that has sent nothing for a while becomes unreachable.
func TestTimeoutSuspectsNoServerThatSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"))
		srv := r.Serving("p")[0]
		unreachable := srv.Unreachable()
		stream := srv.Begin(0)
		stream.MarkPrefilled()
		time.Sleep(heardTime - time.Millisecond)
		srv.Begin(0).End(OutcomeTimedOut)
		assert.Assert(t, !srv.IsSuspect() && !isClosed(unreachable))
		time.Sleep(time.Second)
		// What it sends to another instance shows nothing about the path from here.
		srv.mu.Lock()
		srv.markHeardElsewhere(time.Now())
		srv.mu.Unlock()
		srv.Begin(0).End(OutcomeTimedOut)
		assert.Assert(t, srv.IsSuspect() && isClosed(unreachable))
	})
}

// A refused connection shows that a server has ended, whatever it sent just before.
func TestRefusedConnectionSuspectsServerThatSent(t *testing.T) {
	srv := newTestRegistry(newEntry("a")).Serving("p")[0]
	srv.Begin(0).MarkPrefilled()
	srv.Begin(0).End(OutcomeUnreachable)
	assert.Assert(t, srv.IsSuspect())
}

// isClosed reports whether the channel is closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
