package streamorigin

import (
	"context"
	"encoding/json"
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
