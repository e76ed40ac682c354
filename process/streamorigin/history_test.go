package streamorigin

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/wire"
)

// fakeServers holds the versions of the servers of the pools p and q with the times at which they left; zero for those that
// serve.
type fakeServers struct {
	mu       sync.Mutex
	versions map[string]map[string]time.Time
}

func (s *fakeServers) set(pool, version string, leftAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versions == nil {
		s.versions = map[string]map[string]time.Time{}
	}
	if s.versions[pool] == nil {
		s.versions[pool] = map[string]time.Time{}
	}
	s.versions[pool][version] = leftAt
}

func (s *fakeServers) list(pool string, within time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, v := range slices.Sorted(maps.Keys(s.versions[pool])) {
		if leftAt := s.versions[pool][v]; leftAt.IsZero() || time.Since(leftAt) <= within {
			list = append(list, v)
		}
	}
	return list
}

func (s *fakeServers) add(pool, version string) {
	s.mu.Lock()
	_, ok := s.versions[pool][version]
	s.mu.Unlock()
	if !ok {
		s.set(pool, version, time.Now())
	}
}

// routeTimeout is the timeout of the route "r".
const routeTimeout = 10 * time.Second

// streamRoute returns the route "r" to some pools.
func streamRoute(pools ...string) []hostroute.Route {
	r := hostroute.Route{Name: "r", Host: "h", Prefix: "/s/", Kind: hostroute.Stream, Resumable: true, Timeout: routeTimeout}
	for _, pool := range pools {
		r.Shares = append(r.Shares, hostroute.Share{Pool: pool, Weight: 1})
	}
	return []hostroute.Route{r}
}

// newHistory returns the history of a process that has just started, in front of servers of some versions of the pool p.
func newHistory(versions ...string) (*History, *fakeServers) {
	s := &fakeServers{}
	for _, v := range versions {
		s.set("p", v, time.Time{})
	}
	h := &History{Versions: s.list, AddVersion: s.add}
	h.SetRoutes(streamRoute("p"))
	h.BeginWatch()
	return h, s
}

// only returns the only origin of the route "r" as POOL/VERSION; empty if that isn't certain.
func (h *History) only() string {
	origin, answer := h.Only("h", "/s/")
	if answer != Single {
		return ""
	}
	return origin.Pool + "/" + origin.Version
}

func TestOnlyOriginIsCertainAfterLongWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, s := newHistory("v1")
		assert.Equal(t, h.only(), "")
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, h.only(), "", "a stream of what left before the start may still be taken up")
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "p/v1")
		s.set("p", "v2", time.Now())
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, h.only(), "")
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "p/v1")
	})
}

// A route that was led to another pool, or to one more, has streams of both for a while.
func TestFormerPoolCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, s := newHistory("v1")
		h.MarkComplete()
		s.set("q", "v1", time.Time{})
		assert.Equal(t, h.only(), "p/v1")
		h.SetRoutes(streamRoute("p", "q"))
		assert.Equal(t, h.only(), "")
		h.SetRoutes(streamRoute("q"))
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, h.only(), "")
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "q/v1")
		time.Sleep(maxRouteMemory)
		h.SetRoutes(nil)
		assert.Assert(t, h.HasRoutes())
		time.Sleep(maxRouteMemory + time.Second)
		h.SetRoutes(nil)
		assert.Assert(t, !h.HasRoutes())
	})
}

// A stream is taken up under the path under which it began: a route that has another name or another prefix now may have led
// it to another pool, also in the life of an earlier process.
func TestFormerRouteOfPathCounts(t *testing.T) {
	at := func(name, host, prefix, pool string) hostroute.Route {
		r := streamRoute(pool)[0]
		r.Name, r.Host, r.Prefix = name, host, prefix
		return r
	}
	for name, tc := range map[string]struct {
		former []hostroute.Route
		want   Answer
	}{
		"the same":                {streamRoute("q"), Single},
		"renamed":                 {[]hostroute.Route{at("old", "h", "/s/", "p")}, Several},
		"host in capital letters": {[]hostroute.Route{at("old", "H", "/s/", "p")}, Several},
		"narrower prefix removed": {[]hostroute.Route{at("r", "h", "/s/", "q"), at("narrow", "h", "/s/x/", "p")}, Several},
		"narrower prefix added":   {[]hostroute.Route{at("wide", "h", "/", "p")}, Several},
		"other prefix":            {[]hostroute.Route{at("r", "h", "/s/", "q"), at("other", "h", "/t/", "p")}, Single},
		"other host":              {[]hostroute.Route{at("r", "h", "/s/", "q"), at("other", "h.example", "/s/", "p")}, Single},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeServers{}
				s.set("p", "v1", time.Time{})
				s.set("q", "v1", time.Time{})
				h := &History{Versions: s.list, AddVersion: s.add}
				h.MarkComplete()
				h.SetRoutes(tc.former)
				next := &History{Versions: s.list, AddVersion: s.add}
				next.SetRoutes(streamRoute("q"))
				next.Merge(h.Record(0))
				next.MarkComplete()
				h.SetRoutes(streamRoute("q"))
				for _, h := range []*History{h, next} {
					_, got := h.Only("h", "/s/")
					assert.Equal(t, got, tc.want)
				}
				time.Sleep(takeUpTime + routeTimeout + time.Second)
				for _, h := range []*History{h, next} {
					assert.Equal(t, h.only(), "q/v1")
				}
			})
		})
	}
}

// What an earlier process recorded counts as leaving at the start of the next one.
func TestRecordHoldsForNextProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, s := newHistory("v1")
		before.MarkComplete()
		s.set("p", "v0", time.Now())
		time.Sleep(time.Minute)
		record := before.Record(0)
		after, _ := newHistory("v2")
		after.Merge(record)
		after.MarkComplete()
		assert.DeepEqual(t, after.Record(0).Pools["p"], []string{"v0", "v1", "v2"})
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, after.only(), "")
		after.Merge(record)
		time.Sleep(time.Second)
		assert.Equal(t, after.only(), "p/v2", "a record that is read again doesn't renew what has left")
	})
}

// objectStore is a store in memory that counts its calls.
type objectStore struct {
	mu            sync.Mutex
	objects       map[string]wire.Object
	reads, writes int
	era           atomic.Int64
	fails         atomic.Bool
	// rejects is the error of each write; nil if they are accepted.
	rejects error
}

func (s *objectStore) store() platform.Store {
	put := func(name string, version int, value any) (wire.Object, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.writes++
		if s.fails.Load() {
			return wire.Object{}, platform.ErrUnavailable{Call: "put"}
		}
		if s.rejects != nil {
			return wire.Object{}, s.rejects
		}
		if s.objects[name].Version != version {
			return wire.Object{}, platform.ErrConflict{Name: name}
		}
		data, err := json.Marshal(value)
		s.objects[name] = wire.Object{Name: name, Version: version + 1, Value: data}
		return s.objects[name], err
	}
	s.objects = map[string]wire.Object{}
	return platform.Store{
		Get: func(_ context.Context, _, name string) (wire.Object, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			if s.fails.Load() {
				return wire.Object{}, platform.ErrUnavailable{Call: "get"}
			}
			if o, ok := s.objects[name]; ok {
				return o, nil
			}
			return wire.Object{}, platform.ErrNotFound{Name: name}
		},
		Create: func(_ context.Context, _, name string, value any) (wire.Object, error) { return put(name, 0, value) },
		Update: func(_ context.Context, _, name string, version int, value any) (wire.Object, error) {
			return put(name, version, value)
		},
		Era: func() int { return int(s.era.Load()) },
	}
}

// calls returns the numbers of reads and writes since the last call.
func (s *objectStore) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads, writes, s.reads, s.writes = s.reads, s.writes, 0, 0
	return reads, writes
}

// keep runs a keeper of the history until the test ends.
func keep(t *testing.T, h *History, store platform.Store, position int, isFirstRun bool) {
	t.Helper()
	k := &Keeper{
		History: h, Store: store, Kind: "k", Log: zap.NewNop(),
		IsReader: func() bool { return true }, Position: func() int { return position }, IsCurrent: func() bool { return true },
		IsFirstRun: func() (bool, bool) { return isFirstRun, true },
	}
	go k.Run(t.Context())
}

// The store is called once at the start and once for each change, by one of the instances; the others check it once.
func TestStoreIsCalledForChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var objects objectStore
		store := objects.store()
		first, s1 := newHistory("v1")
		second, s2 := newHistory("v1")
		keep(t, first, store, 0, true)
		keep(t, second, store, 1, true)
		time.Sleep(5 * time.Second)
		reads, writes := objects.calls()
		assert.Assert(t, reads <= 3 && writes == 1, "%d reads, %d writes", reads, writes)
		assert.Equal(t, second.only(), "p/v1")
		for _, s := range []*fakeServers{s1, s2} {
			s.set("p", "v2", time.Time{})
		}
		time.Sleep(5 * time.Second)
		reads, writes = objects.calls()
		assert.Assert(t, reads == 1 && writes == 1, "%d reads, %d writes", reads, writes)
		time.Sleep(time.Hour)
		reads, writes = objects.calls()
		assert.Assert(t, reads+writes == 0, "%d reads, %d writes", reads, writes)
		third, _ := newHistory("v2")
		keep(t, third, store, 1, false)
		time.Sleep(time.Second)
		assert.Equal(t, third.only(), "", "v1 served when the record was written")
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, third.only(), "p/v2")
	})
}

// Readers store a change one after the other until it is stored: if the first ones don't, one of the others does, and the
// rest make no call.
func TestReadersStoreInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var objects objectStore
		store := objects.store()
		for position := range 6 {
			h, _ := newHistory("v1")
			h.MarkComplete()
			keep(t, h, store, position+2, true)
		}
		time.Sleep(time.Minute)
		reads, writes := objects.calls()
		assert.Assert(t, writes == 1 && reads <= 12, "%d reads, %d writes", reads, writes)
	})
}

// The history is compared with the stored one once a second and at each change, not at each check.
func TestHistoryIsComparedForChangesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var objects objectStore
		store := objects.store()
		h, s := newHistory("v1")
		var lists, changes atomic.Int64
		h.Versions = func(pool string, within time.Duration) []string {
			lists.Add(1)
			return s.list(pool, within)
		}
		h.VersionChanges = func() int { return int(changes.Load()) }
		keep(t, h, store, 0, true)
		time.Sleep(time.Second)
		objects.calls()
		lists.Store(0)
		time.Sleep(time.Minute)
		assert.Assert(t, lists.Load() <= 61, "compared %d times", lists.Load())
		s.set("p", "v2", time.Time{})
		changes.Add(1)
		time.Sleep(2 * checkInterval)
		_, writes := objects.calls()
		assert.Equal(t, writes, 1)
	})
}

// Without routes whose streams may be taken up, the store isn't called at all.
func TestStoreIsNotCalledWithoutRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var objects objectStore
		s := &fakeServers{}
		h := &History{Versions: s.list, AddVersion: s.add}
		h.SetRoutes([]hostroute.Route{{Name: "r", Kind: hostroute.Stream}})
		keep(t, h, objects.store(), 0, true)
		time.Sleep(time.Minute)
		reads, writes := objects.calls()
		assert.Equal(t, reads+writes, 0)
	})
}

// A store without a valid record tells nothing of what has left: nothing is certain before this process has watched for long
// enough, or others have stored what they know.
func TestNothingIsCertainWithoutValidRecord(t *testing.T) {
	for name, prepare := range map[string]func(*objectStore, platform.Store){
		"missing": func(*objectStore, platform.Store) {},
		"unreadable": func(s *objectStore, _ platform.Store) {
			s.objects[recordName] = wire.Object{Name: recordName, Version: 3, Value: []byte(`{"pools":7}`)}
		},
		"of an earlier era": func(s *objectStore, store platform.Store) {
			h, _ := newHistory("v1")
			_, _ = store.Create(context.Background(), "k", recordName, h.Record(0))
			s.era.Store(1)
		},
		"store out": func(s *objectStore, _ platform.Store) { s.fails.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var objects objectStore
				store := objects.store()
				prepare(&objects, store)
				h, _ := newHistory("v1")
				keep(t, h, store, 0, false)
				time.Sleep(time.Minute)
				assert.Equal(t, h.only(), "")
				objects.fails.Store(false)
				time.Sleep(takeUpTime + routeTimeout)
				assert.Equal(t, h.only(), "p/v1")
				next, _ := newHistory("v1")
				keep(t, next, store, 1, false)
				time.Sleep(time.Second)
				assert.Equal(t, next.only(), "p/v1", "the record is valid again")
			})
		})
	}
}

// An instance whose own record can't be written reads what earlier ones have stored.
func TestRecordIsReadBeforeFirstRunIsDecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var objects objectStore
		store := objects.store()
		before, _ := newHistory("v1")
		_, _ = store.Create(t.Context(), "k", recordName, before.Record(0))
		objects.calls()
		run := func() *History {
			h, _ := newHistory("v1")
			k := &Keeper{
				History: h, Store: store, Kind: "k", Log: zap.NewNop(),
				IsReader: func() bool { return true }, Position: func() int { return 0 }, IsCurrent: func() bool { return true },
				IsFirstRun: func() (bool, bool) { return false, false },
			}
			go k.Run(t.Context())
			time.Sleep(time.Second)
			return h
		}
		assert.Equal(t, run().only(), "p/v1")
		delete(objects.objects, recordName)
		assert.Equal(t, run().only(), "")
		reads, _ := objects.calls()
		assert.Equal(t, reads, 2)
	})
}

// A version that came and left while an instance was cut off is in the record that others have stored, which counts
// again once the instance is current.
func TestRecordIsReadAgainAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var objects objectStore
		store := objects.store()
		other, s := newHistory("v1")
		keep(t, other, store, 0, true)
		time.Sleep(time.Second)
		h, _ := newHistory("v1")
		var isCutOff atomic.Bool
		k := &Keeper{
			History: h, Store: store, Kind: "k", Log: zap.NewNop(),
			IsReader: func() bool { return false }, Position: func() int { return 0 },
			IsCurrent:  func() bool { return !isCutOff.Load() },
			IsFirstRun: func() (bool, bool) { return false, true },
		}
		go k.Run(t.Context())
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "p/v1")
		isCutOff.Store(true)
		s.set("p", "v2", time.Now())
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "")
		isCutOff.Store(false)
		objects.calls()
		time.Sleep(time.Second)
		assert.Equal(t, h.only(), "", "v2 came and left during the cut")
		reads, _ := objects.calls()
		assert.Equal(t, reads, 1)
		time.Sleep(takeUpTime + routeTimeout)
		assert.Equal(t, h.only(), "p/v1")
	})
}

// A frozen process has missed what came and left meanwhile.
func TestRecordIsReadAgainAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, _ := newHistory("v1")
		h.MarkComplete()
		k := &Keeper{History: h, Log: zap.NewNop(), IsCurrent: func() bool { return true }, read: true}
		for range 3 {
			k.checkCurrent()
			time.Sleep(maxPause)
		}
		assert.Assert(t, k.read && h.IsComplete())
		time.Sleep(time.Millisecond)
		k.checkCurrent()
		assert.Assert(t, !k.read && !h.IsComplete())
	})
}

// A store that rejects a write is called ever less often, and not before the time that it names.
func TestRejectedWriteIsRepeatedLessOften(t *testing.T) {
	for name, tc := range map[string]struct {
		err       error
		maxWrites int
	}{
		"rejected":     {platform.ErrRejected{Call: "put"}, 400},
		"rate limited": {platform.ErrRateLimited{Call: "put", RetryAfter: time.Minute}, 61},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var objects objectStore
				store := objects.store()
				objects.rejects = tc.err
				h, _ := newHistory("v1")
				keep(t, h, store, 0, true)
				time.Sleep(time.Hour)
				_, writes := objects.calls()
				assert.Assert(t, writes <= tc.maxWrites, "%d writes", writes)
			})
		})
	}
}

// A store that came back from an older copy gets the record again from an instance that lives on.
func TestRecordIsStoredAgainAfterRewind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var objects objectStore
		store := objects.store()
		h, _ := newHistory("v1")
		keep(t, h, store, 0, true)
		time.Sleep(time.Second)
		objects.mu.Lock()
		delete(objects.objects, recordName)
		objects.mu.Unlock()
		objects.era.Store(1)
		time.Sleep(3 * time.Second)
		next, _ := newHistory("v1")
		keep(t, next, store, 1, false)
		time.Sleep(time.Second)
		assert.Equal(t, next.only(), "p/v1")
	})
}
