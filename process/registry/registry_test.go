package registry

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

// newEntry returns an entry of a serving server, changed by the given functions.
func newEntry(id string, change ...func(*Entry)) Entry {
	e := Entry{ID: id, Address: "10.0.0.1:80", Pool: "p", DataCentre: "x", Version: "v1", Slots: 4, StartedMs: 1000}
	for _, c := range change {
		c(&e)
	}
	return e
}

// draining changes an entry to that of a draining server.
func draining(e *Entry) { e.Draining = true }

// idSet returns the ids of the servers.
func idSet(servers []*Server) map[string]bool {
	set := map[string]bool{}
	for _, srv := range servers {
		set[srv.Entry().ID] = true
	}
	return set
}

func newTestRegistry(entries ...Entry) *Registry {
	r := &Registry{Log: zap.NewNop()}
	r.Reset(entries, false)
	return r
}

func TestDrainingServersGetNothing(t *testing.T) {
	r := newTestRegistry(newEntry("a"), newEntry("b"))
	r.Put(newEntry("a", draining))
	assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), map[string]bool{"b": true})
	assert.DeepEqual(t, idSet(r.CacheSources("p")), map[string]bool{"a": true, "b": true})
	r.Remove("b")
	assert.Equal(t, len(r.Usable("p", Selection{})), 0)
}

// After an outage of the store, a missing entry may only have expired, so its server is kept for two seconds.
func TestMissingEntriesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"), newEntry("b"), newEntry("c"))
		r.Reset([]Entry{newEntry("a")}, true)
		assert.Equal(t, len(r.Usable("p", Selection{})), 3)
		time.Sleep(time.Second)
		r.Put(newEntry("b"))
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), map[string]bool{"a": true, "b": true})
	})
}

func TestMissingEntryWithoutOutageIsRemoved(t *testing.T) {
	r := newTestRegistry(newEntry("a"), newEntry("b"))
	r.Reset([]Entry{newEntry("a")}, false)
	assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), map[string]bool{"a": true})
}

// A server that restarts under the same id starts with an empty state. An entry of its earlier start is ignored.
func TestRestartedServerStartsEmpty(t *testing.T) {
	r := newTestRegistry(newEntry("a"))
	earlier := r.Serving("p")[0]
	earlier.Begin(100)
	r.Put(newEntry("a", func(e *Entry) { e.StartedMs = 2000 }))
	restarted := r.Serving("p")[0]
	assert.Assert(t, restarted != earlier)
	assert.Equal(t, restarted.State(time.Now()).Running, 0)
	r.Put(newEntry("a", draining))
	assert.Equal(t, len(r.Serving("p")), 1, "an entry of an earlier start must be ignored")
}

// An unreachable server gets no requests until a test connection succeeds. Requests that wait for it are notified.
func TestUnreachableServerIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reachable atomic.Bool
		r := &Registry{Log: zap.NewNop(), Probe: func(string) error {
			if reachable.Load() {
				return nil
			}
			return errors.New("no route")
		}}
		r.Reset([]Entry{newEntry("a"), newEntry("b")}, false)
		var a *Server
		for _, srv := range r.Serving("p") {
			if srv.Entry().ID == "a" {
				a = srv
			}
		}
		unreachable := a.Unreachable()
		a.Begin(0).End(OutcomeUnreachable)
		select {
		case <-unreachable:
		default:
			t.Fatal("the channel for waiting requests isn't closed")
		}
		assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), map[string]bool{"b": true})
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), map[string]bool{"b": true})
		reachable.Store(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(r.Usable("p", Selection{})), 2)
	})
}

// The servers of a data centre that is cut off become suspect immediately, except one that has just responded. They are
// usable again as soon as the data centre is reachable.
func TestUnreachableDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		otherDataCentre := func(e *Entry) { e.DataCentre = "y" }
		r := newTestRegistry(newEntry("a"), newEntry("b", otherDataCentre), newEntry("c", otherDataCentre))
		time.Sleep(time.Second)
		for _, srv := range r.Serving("p") {
			if srv.Entry().ID == "c" {
				srv.Begin(0).RecordLoad(Load{Running: 1, Slots: 4})
			}
		}
		r.SuspectDataCentre("y")
		assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), map[string]bool{"a": true, "c": true})
		r.TrustDataCentre("y")
		assert.Equal(t, len(r.Usable("p", Selection{})), 3)
	})
}

func TestAllSuspectServersAreUsable(t *testing.T) {
	r := newTestRegistry(newEntry("a"), newEntry("b"))
	for _, srv := range r.Serving("p") {
		srv.Begin(0).End(OutcomeUnreachable)
	}
	assert.Equal(t, len(r.Usable("p", Selection{})), 2)
	assert.DeepEqual(t, idSet(r.Usable("p", Selection{Skip: map[string]bool{"a": true}})), map[string]bool{"b": true})
}

// The loads of all instances are added up. The load of an instance that became silent is dropped after a while.
func TestRemoteLoadsAreAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"))
		srv := r.Serving("p")[0]
		attempt := srv.Begin(500)
		loads := r.LocalLoads(false)
		assert.DeepEqual(t, loads, []wire.NewsLoad{{S: hashID("a"), R: 1, U: 500}})
		assert.Equal(t, len(r.LocalLoads(false)), 0, "nothing changed")
		assert.Equal(t, len(r.LocalLoads(true)), 1)
		r.UpdateRemoteLoads("other", []wire.NewsLoad{{S: hashID("a"), R: 3, U: 2000}, {S: 1, R: 9}})
		s := srv.State(time.Now())
		assert.Assert(t, s.Running == 4 && s.PendingPrefill == 2500 && s.OwnRunning == 1)
		attempt.MarkPrefilled()
		attempt.End(OutcomeAnswered)
		attempt.End(OutcomeAnswered)
		time.Sleep(3 * time.Second)
		s = srv.State(time.Now())
		assert.Assert(t, s.Running == 0 && s.PendingPrefill == 0)
	})
}

func TestPositionsAreStable(t *testing.T) {
	r := newTestRegistry(newEntry("a"), newEntry("b"), newEntry("c"), newEntry("d"))
	before := map[string]float64{}
	for _, srv := range r.Serving("p") {
		before[srv.Entry().ID] = srv.State(time.Now()).Position
	}
	seen := map[float64]bool{}
	for _, p := range before {
		assert.Assert(t, p > 0 && p < 1 && !seen[p])
		seen[p] = true
	}
	r.Reset([]Entry{newEntry("d"), newEntry("c"), newEntry("b"), newEntry("a")}, false)
	for _, srv := range r.Serving("p") {
		assert.Equal(t, srv.State(time.Now()).Position, before[srv.Entry().ID])
	}
}

// A server is unresponsive if it sends nothing to any instance. It isn't unresponsive while requests of another
// instance make progress.
func TestUnresponsiveServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"))
		srv := r.Serving("p")[0]
		attempt := srv.Begin(0)
		r.UpdateRemoteLoads("other", []wire.NewsLoad{{S: hashID("a"), R: 3, U: 2000}})
		time.Sleep(time.Second)
		r.UpdateRemoteLoads("other", []wire.NewsLoad{{S: hashID("a"), R: 3, U: 1000}})
		assert.Assert(t, !attempt.CheckUnresponsive())
		time.Sleep(time.Millisecond)
		attempt = srv.Begin(0)
		time.Sleep(time.Second)
		r.UpdateRemoteLoads("other", []wire.NewsLoad{{S: hashID("a"), R: 4, U: 3000}})
		assert.Assert(t, attempt.CheckUnresponsive(), "an increased load of another instance isn't a response")
		assert.Assert(t, srv.State(time.Now()).FailureRate > 0.9)
	})
}

// A server whose address now belongs to another server gets no requests until its entry changes, although connections
// to the address succeed. A list with the same entry doesn't count as a change.
func TestReplacedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRegistry(newEntry("a"), newEntry("b"))
		r.Probe = func(string) error { return nil }
		for _, srv := range r.Serving("p") {
			if srv.Entry().ID == "a" {
				srv.Begin(0).End(OutcomeReplaced)
			}
		}
		onlyB := map[string]bool{"b": true}
		time.Sleep(time.Minute)
		assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), onlyB)
		assert.DeepEqual(t, idSet(r.CacheSources("p")), onlyB)
		assert.Equal(t, len(r.Usable("p", Selection{Skip: onlyB})), 0, "a replaced server must not be used even if no other is left")
		r.Reset([]Entry{newEntry("a"), newEntry("b")}, false)
		assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), onlyB)
		r.Put(newEntry("a", func(e *Entry) { e.WarmupTime = time.Second }))
		assert.Equal(t, len(r.Usable("p", Selection{})), 2)
	})
}

// Only servers of the selected software version are usable, and an unreachable one of that version comes before a
// reachable one of another.
func TestSelectionOfSoftwareVersion(t *testing.T) {
	r := &Registry{Log: zap.NewNop()}
	entry := func(id, version string) Entry {
		return Entry{ID: id, Address: "10.0.0.1:1", Pool: "p", Version: version, Slots: 4}
	}
	r.Reset([]Entry{entry("a", "v1"), entry("b", "v1"), entry("c", "v2")}, false)
	assert.DeepEqual(t, idSet(r.Usable("p", Selection{Version: "v1"})), map[string]bool{"a": true, "b": true})
	assert.DeepEqual(t, idSet(r.Usable("p", Selection{Version: "v1", Skip: map[string]bool{"a": true}})), map[string]bool{"b": true})
	assert.Equal(t, len(r.Usable("p", Selection{Version: "v3"})), 0)
	for _, srv := range r.Servers() {
		if srv.Entry().Version == "v1" {
			srv.Begin(0).End(OutcomeUnreachable)
		}
	}
	assert.DeepEqual(t, idSet(r.Usable("p", Selection{})), map[string]bool{"c": true})
	assert.DeepEqual(t, idSet(r.Usable("p", Selection{Version: "v1"})), map[string]bool{"a": true, "b": true})
}
