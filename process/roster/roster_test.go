package roster

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

func entry(id string, change ...func(*Entry)) Entry {
	e := Entry{ID: id, Address: "10.0.0.1:80", Pool: "p", DataCentre: "x", Version: "v1", Slots: 4, Started: 1000}
	for _, c := range change {
		c(&e)
	}
	return e
}

func draining(e *Entry) { e.Draining = true }

func ids(members []*Member) map[string]bool {
	set := map[string]bool{}
	for _, m := range members {
		set[m.Entry().ID] = true
	}
	return set
}

func newRoster(entries ...Entry) *Roster {
	r := &Roster{Log: zap.NewNop()}
	r.Reset(entries, false)
	return r
}

func TestDrainingServersGetNothing(t *testing.T) {
	r := newRoster(entry("a"), entry("b"))
	r.Put(entry("a", draining))
	assert.DeepEqual(t, ids(r.Usable("p", nil)), map[string]bool{"b": true})
	assert.DeepEqual(t, ids(r.Sources("p")), map[string]bool{"a": true, "b": true})
	r.Remove("b")
	assert.Equal(t, len(r.Usable("p", nil)), 0)
}

// After an outage of the store a missing entry may have lapsed: its server is kept for two seconds.
func TestLapsedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster(entry("a"), entry("b"), entry("c"))
		r.Reset([]Entry{entry("a")}, true)
		assert.Equal(t, len(r.Usable("p", nil)), 3)
		time.Sleep(time.Second)
		r.Put(entry("b"))
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, ids(r.Usable("p", nil)), map[string]bool{"a": true, "b": true})
	})
}

func TestMissingWithoutOutageIsGone(t *testing.T) {
	r := newRoster(entry("a"), entry("b"))
	r.Reset([]Entry{entry("a")}, false)
	assert.DeepEqual(t, ids(r.Usable("p", nil)), map[string]bool{"a": true})
}

// A server that starts anew under its id knows nothing of before; an entry of its earlier run changes nothing.
func TestReborn(t *testing.T) {
	r := newRoster(entry("a"))
	old := r.Serving("p")[0]
	old.Begin(100)
	r.Put(entry("a", func(e *Entry) { e.Started = 2000 }))
	fresh := r.Serving("p")[0]
	assert.Assert(t, fresh != old)
	assert.Equal(t, fresh.State(time.Now()).Running, 0)
	r.Put(entry("a", draining))
	assert.Equal(t, len(r.Serving("p")), 1, "the entry of the run before is old")
}

// A server that can't be reached gets no requests until a connection succeeds; waiting requests are told.
func TestSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var back atomic.Bool
		r := &Roster{Log: zap.NewNop(), Reach: func(string) error {
			if back.Load() {
				return nil
			}
			return errors.New("no route")
		}}
		r.Reset([]Entry{entry("a"), entry("b")}, false)
		var a *Member
		for _, m := range r.Serving("p") {
			if m.Entry().ID == "a" {
				a = m
			}
		}
		cut := a.Cut()
		a.Begin(0).End(Unreached)
		select {
		case <-cut:
		default:
			t.Fatal("requests that wait aren't told")
		}
		assert.DeepEqual(t, ids(r.Usable("p", nil)), map[string]bool{"b": true})
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, ids(r.Usable("p", nil)), map[string]bool{"b": true})
		back.Store(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(r.Usable("p", nil)), 2)
	})
}

// A data centre is cut off: its servers are left at once, but for one that has just answered, and taken again at once.
func TestDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		far := func(e *Entry) { e.DataCentre = "y" }
		r := newRoster(entry("a"), entry("b", far), entry("c", far))
		time.Sleep(time.Second)
		for _, m := range r.Serving("p") {
			if m.Entry().ID == "c" {
				m.Begin(0).Told(Load{Running: 1, Slots: 4})
			}
		}
		r.Doubt("y")
		assert.DeepEqual(t, ids(r.Usable("p", nil)), map[string]bool{"a": true, "c": true})
		r.Trust("y")
		assert.Equal(t, len(r.Usable("p", nil)), 3)
	})
}

func TestAllSuspectedIsAsGoodAsNone(t *testing.T) {
	r := newRoster(entry("a"), entry("b"))
	for _, m := range r.Serving("p") {
		m.Begin(0).End(Unreached)
	}
	assert.Equal(t, len(r.Usable("p", nil)), 2)
	assert.DeepEqual(t, ids(r.Usable("p", map[string]bool{"a": true})), map[string]bool{"b": true})
}

// The loads of all instances add up, and fade if an instance falls silent.
func TestLoadsOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster(entry("a"))
		m := r.Serving("p")[0]
		v := m.Begin(500)
		loads := r.Loads(false)
		assert.DeepEqual(t, loads, []wire.NewsLoad{{S: keyOf("a"), R: 1, U: 500}})
		assert.Equal(t, len(r.Loads(false)), 0, "nothing changed")
		assert.Equal(t, len(r.Loads(true)), 1)
		r.Heard("other", []wire.NewsLoad{{S: keyOf("a"), R: 3, U: 2000}, {S: 1, R: 9}})
		s := m.State(time.Now())
		assert.Assert(t, s.Running == 4 && s.Unread == 2500 && s.Own == 1)
		v.Read()
		v.End(Answered)
		v.End(Answered)
		time.Sleep(3 * time.Second)
		s = m.State(time.Now())
		assert.Assert(t, s.Running == 0 && s.Unread == 0)
	})
}

func TestPositionsAreFixed(t *testing.T) {
	r := newRoster(entry("a"), entry("b"), entry("c"), entry("d"))
	before := map[string]float64{}
	for _, m := range r.Serving("p") {
		before[m.Entry().ID] = m.State(time.Now()).Position
	}
	seen := map[float64]bool{}
	for _, p := range before {
		assert.Assert(t, p > 0 && p < 1 && !seen[p])
		seen[p] = true
	}
	r.Reset([]Entry{entry("d"), entry("c"), entry("b"), entry("a")}, false)
	for _, m := range r.Serving("p") {
		assert.Equal(t, m.State(time.Now()).Position, before[m.Entry().ID])
	}
}

// A server is mute if nobody hears of it: not while another instance's requests get on there.
func TestMute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster(entry("a"))
		m := r.Serving("p")[0]
		v := m.Begin(0)
		r.Heard("other", []wire.NewsLoad{{S: keyOf("a"), R: 3, U: 2000}})
		time.Sleep(time.Second)
		r.Heard("other", []wire.NewsLoad{{S: keyOf("a"), R: 3, U: 1000}})
		assert.Assert(t, !v.Mute())
		time.Sleep(time.Millisecond)
		v = m.Begin(0)
		time.Sleep(time.Second)
		r.Heard("other", []wire.NewsLoad{{S: keyOf("a"), R: 4, U: 3000}})
		assert.Assert(t, v.Mute(), "more work there shows nothing")
		assert.Assert(t, m.State(time.Now()).Failing > 0.9)
	})
}

// A server whose address another has gets nothing, though it takes connections, until its entry changes; a list that tells the
// same as before changes nothing.
func TestReplacedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRoster(entry("a"), entry("b"))
		r.Reach = func(string) error { return nil }
		for _, m := range r.Serving("p") {
			if m.Entry().ID == "a" {
				m.Begin(0).End(Replaced)
			}
		}
		only := map[string]bool{"b": true}
		time.Sleep(time.Minute)
		assert.DeepEqual(t, ids(r.Usable("p", nil)), only)
		assert.DeepEqual(t, ids(r.Sources("p")), only)
		assert.Equal(t, len(r.Usable("p", only)), 0, "not even where no other is left")
		r.Reset([]Entry{entry("a"), entry("b")}, false)
		assert.DeepEqual(t, ids(r.Usable("p", nil)), only)
		r.Put(entry("a", func(e *Entry) { e.ColdFor = time.Second }))
		assert.Equal(t, len(r.Usable("p", nil)), 2)
	})
}
