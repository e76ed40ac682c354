package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// usableIDs returns the ids of the usable servers of the test pool.
func usableIDs(r *Registry) map[string]bool { return idSet(r.Usable("p", Selection{})) }

func server(r *Registry, id string) *Server {
	for _, srv := range r.Servers() {
		if srv.Entry().ID == id {
			return srv
		}
	}
	return nil
}

// TestLeavingUntilNextStart checks that a server that announced its shutdown gets nothing while its entry says
// otherwise, and that the next start under the same id isn't affected.
func TestLeavingUntilNextStart(t *testing.T) {
	r := newTestRegistry(newEntry("a"), newEntry("b"))
	a := server(r, "a").Begin(0)
	a.MarkLeaving()
	a.End(OutcomeAnswered)
	assert.DeepEqual(t, usableIDs(r), map[string]bool{"b": true})
	r.Put(newEntry("a", func(e *Entry) { e.Slots = 5 }))
	r.Reset([]Entry{newEntry("a"), newEntry("b")}, true)
	assert.DeepEqual(t, usableIDs(r), map[string]bool{"b": true})
	r.Put(newEntry("a", func(e *Entry) { e.StartedMs = 2000 }))
	assert.DeepEqual(t, usableIDs(r), map[string]bool{"a": true, "b": true})
}

// TestDrainingIsFinal checks that an older copy of its entry doesn't end a server's draining.
func TestDrainingIsFinal(t *testing.T) {
	r := newTestRegistry(newEntry("a", draining), newEntry("b"))
	r.Put(newEntry("a"))
	r.Reset([]Entry{newEntry("a"), newEntry("b")}, false)
	assert.DeepEqual(t, usableIDs(r), map[string]bool{"b": true})
	r.Put(newEntry("a", func(e *Entry) { e.StartedMs = 2000 }))
	assert.DeepEqual(t, usableIDs(r), map[string]bool{"a": true, "b": true})
}

// TestClosedForAWhile checks that a server is closed until the latest of the times that it stated, and no longer than
// the maximum.
func TestClosedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"), newEntry("b"))
		a := server(r, "a").Begin(0)
		_, closed := r.NextOpening("p", Selection{})
		assert.Assert(t, !closed)
		a.CloseFor(5*time.Second, "5")
		a.CloseFor(time.Second, "1")
		a.End(OutcomeRefused)
		time.Sleep(4900 * time.Millisecond)
		assert.DeepEqual(t, usableIDs(r), map[string]bool{"b": true})
		opensAt, closed := r.NextOpening("p", Selection{})
		assert.Assert(t, closed)
		assert.Equal(t, time.Until(opensAt), 100*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, usableIDs(r), map[string]bool{"a": true, "b": true})
		a.CloseFor(100*time.Hour, "360000")
		time.Sleep(maxClosedTime)
		assert.DeepEqual(t, usableIDs(r), map[string]bool{"a": true, "b": true})
	})
}

// A closed server that is also suspect gets nothing even if all other servers are suspect.
func TestClosedServerIsNoLastResort(t *testing.T) {
	r := newTestRegistry(newEntry("a"), newEntry("b"))
	for _, id := range []string{"a", "b"} {
		attempt := server(r, id).Begin(0)
		if id == "a" {
			attempt.CloseFor(time.Minute, "60")
		}
		attempt.End(OutcomeUnreachable)
	}
	assert.DeepEqual(t, usableIDs(r), map[string]bool{"b": true})
}
