package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

const kind = "things"

// recorder records the callbacks of a feed.
type recorder struct {
	mu        sync.Mutex
	names     map[string]bool
	listCount int
	// listsAfterOutage is the number of calls of OnList with afterOutage.
	listsAfterOutage int
	// gaps are the gaps of all lists, oldest first.
	gaps []Gap
}

func (r *recorder) hasObject(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[name]
}

func newFeed(objects *platformtest.Objects) (*Feed, *recorder) {
	r := &recorder{names: map[string]bool{}}
	f := &Feed{
		Kind: kind, Store: objects.Store("a"), WatchTimeout: func() time.Duration { return time.Second }, Log: zap.NewNop(),
		NewerElsewhere: make(chan struct{}, 1),
		OnList: func(items []wire.Object, gap Gap) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.listCount++
			r.gaps = append(r.gaps, gap)
			if gap == Outage {
				r.listsAfterOutage++
			}
			clear(r.names)
			for _, o := range items {
				r.names[o.Name] = true
			}
		},
		OnEvent: func(e wire.ObjectEvent) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.names[e.Object.Name] = e.Type == wire.ObjectEventTypePut
		},
	}
	return f, r
}

// runFeed runs the feed until stop is called.
func runFeed(t *testing.T, f *Feed) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	return func() { cancel(); <-done }
}

// createObject creates an object in the store as another instance.
func createObject(t *testing.T, objects *platformtest.Objects, name string) wire.Object {
	t.Helper()
	o, err := objects.Store("b").Create(t.Context(), kind, name, map[string]int{"n": 1})
	assert.NilError(t, err)
	return o
}

func TestFeedFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		one := createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		stop := runFeed(t, f)
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("one"))
		createObject(t, objects, "two")
		assert.NilError(t, objects.Store("b").Delete(t.Context(), kind, "one", one.Version))
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("two") && !recorded.hasObject("one"))
		list, fresh := f.Objects()
		assert.Assert(t, fresh && len(list.Items) == 1)
		assert.Equal(t, recorded.listCount, 1)
		stop()
	})
}

// The store discards history while a watch is waiting. The feed must list all objects again and must not report an
// outage.
func TestFeedListsAfterDiscardedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slowWatch atomic.Bool
		objects := &platformtest.Objects{History: 1, ChooseFault: func(c platformtest.Call) platformtest.Fault {
			if slowWatch.Load() && c.Method == "watch" {
				return platformtest.Fault{Before: time.Second}
			}
			return platformtest.Fault{}
		}}
		createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		stop := runFeed(t, f)
		time.Sleep(100 * time.Millisecond)
		slowWatch.Store(true)
		time.Sleep(time.Second)
		for _, name := range []string{"two", "three", "four"} {
			createObject(t, objects, name)
		}
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("two") && recorded.hasObject("three") && recorded.hasObject("four"))
		assert.Equal(t, recorded.listsAfterOutage, 0)
		stop()
	})
}

func TestFeedReportsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		objects := &platformtest.Objects{ChooseFault: func(platformtest.Call) platformtest.Fault {
			if down.Load() {
				return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
			}
			return platformtest.Fault{}
		}}
		createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		stop := runFeed(t, f)
		time.Sleep(100 * time.Millisecond)
		down.Store(true)
		time.Sleep(4 * time.Second)
		assert.Assert(t, f.StoreDown() && recorded.hasObject("one"), "the known objects must be kept during an outage")
		_, fresh := f.Objects()
		assert.Assert(t, !fresh)
		down.Store(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !f.StoreDown())
		assert.Equal(t, recorded.listsAfterOutage, 1)
		stop()
	})
}

// While the store rejects this instance, it gets the objects from another instance, but never an older version.
func TestFeedReadsFromPeerInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		objects := &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
			if down.Load() && c.Instance == "a" {
				return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
			}
			return platformtest.Fault{}
		}}
		createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		f.ListFromPeer = func(ctx context.Context) (wire.ObjectList, error) { return objects.Store("b").List(ctx, kind, "") }
		stop := runFeed(t, f)
		time.Sleep(100 * time.Millisecond)
		down.Store(true)
		createObject(t, objects, "two")
		time.Sleep(3 * time.Second)
		assert.Assert(t, recorded.hasObject("two"))
		stop()
		listCount := recorded.listCount
		f.ListFromPeer = func(context.Context) (wire.ObjectList, error) { return wire.ObjectList{Version: 1}, nil }
		stop = runFeed(t, f)
		time.Sleep(3 * time.Second)
		stop()
		assert.Assert(t, recorded.hasObject("two") && recorded.listCount == listCount, "an older list must be ignored")
	})
}

// An instance that doesn't read the store makes no calls to it, unless no other instance responds.
func TestFeedReadsFromPeerUnlessReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		var readsFromPeer, peerDown atomic.Bool
		f.ReadsStore = func() bool { return !readsFromPeer.Load() }
		f.ListFromPeer = func(ctx context.Context) (wire.ObjectList, error) {
			if peerDown.Load() {
				return wire.ObjectList{}, errors.New("no live instance")
			}
			return objects.Store("b").List(ctx, kind, "")
		}
		newerElsewhere := make(chan struct{}, 1)
		f.NewerElsewhere = newerElsewhere
		stop := runFeed(t, f)
		time.Sleep(100 * time.Millisecond)
		readsFromPeer.Store(true)
		time.Sleep(2 * time.Second)
		watches := objects.CallCount("watch")
		createObject(t, objects, "two")
		time.Sleep(5 * time.Second)
		assert.Assert(t, !recorded.hasObject("two"))
		assert.Equal(t, objects.CallCount("watch"), watches)
		newerElsewhere <- struct{}{}
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("two"))
		peerDown.Store(true)
		createObject(t, objects, "three")
		newerElsewhere <- struct{}{}
		time.Sleep(300 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("three"), "without a live instance, the feed must read the store itself")
		stop()
	})
}

// Instances that refuse to send objects for now don't make all others read the store. The objects come with a later signal.
func TestRefusedFeedDoesNotReadStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		var readsFromPeer, peerBusy atomic.Bool
		f.ReadsStore = func() bool { return !readsFromPeer.Load() }
		f.ListFromPeer = func(ctx context.Context) (wire.ObjectList, error) {
			if peerBusy.Load() {
				return wire.ObjectList{}, ErrRefused{Kind: kind, Tries: 5}
			}
			return objects.Store("b").List(ctx, kind, "")
		}
		newerElsewhere := make(chan struct{}, 1)
		f.NewerElsewhere = newerElsewhere
		stop := runFeed(t, f)
		time.Sleep(100 * time.Millisecond)
		readsFromPeer.Store(true)
		peerBusy.Store(true)
		time.Sleep(2 * time.Second)
		createObject(t, objects, "two")
		reads := objects.CallCount("list") + objects.CallCount("watch")
		for range 5 {
			newerElsewhere <- struct{}{}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, objects.CallCount("list")+objects.CallCount("watch"), reads)
		assert.Assert(t, !recorded.hasObject("two"))
		peerBusy.Store(false)
		newerElsewhere <- struct{}{}
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, recorded.hasObject("two"))
		stop()
	})
}

// A store that rejects only this instance isn't in an outage, so the objects that are missing from its list afterwards
// were really removed.
func TestRejectedInstanceTrustsList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rejected atomic.Bool
		objects := &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
			if rejected.Load() && c.Instance == "a" {
				return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
			}
			return platformtest.Fault{}
		}}
		one := createObject(t, objects, "one")
		f, recorded := newFeed(objects)
		f.RecentOutage = func() bool { return false }
		stop := runFeed(t, f)
		time.Sleep(10 * time.Millisecond)
		rejected.Store(true)
		time.Sleep(5 * time.Second)
		assert.NilError(t, objects.Store("b").Delete(t.Context(), kind, "one", one.Version))
		rejected.Store(false)
		time.Sleep(2 * time.Second)
		assert.Assert(t, !recorded.hasObject("one"))
		assert.Equal(t, recorded.listsAfterOutage, 0)
		stop()
	})
}
