package feed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// applyTime is the time within which a change must be known.
	applyTime = 2 * time.Second
	// refusedFetchTime is the time after which a fetch ends that is refused each time.
	refusedFetchTime = 500 * time.Millisecond
)

// refusedFeed returns a feed that has one object and then gets refusals only, and a function that signals that others have
// newer objects.
func refusedFeed(t *testing.T, objects *platformtest.Objects, name string, lacksChanges func() bool) (*recorder, func()) {
	t.Helper()
	f, recorded := newFeed(objects)
	f.Store = objects.Store(name)
	newerElsewhere := make(chan struct{}, 1)
	f.NewerElsewhere, f.LacksChanges = newerElsewhere, lacksChanges
	f.ReadsStore = func() bool { return false }
	f.ListFromPeer = func(ctx context.Context) (wire.ObjectList, error) {
		select {
		case <-ctx.Done():
			return wire.ObjectList{}, ctx.Err()
		case <-time.After(refusedFetchTime):
			return wire.ObjectList{}, ErrRefused{Kind: kind, Tries: 15}
		}
	}
	t.Cleanup(runFeed(t, f))
	time.Sleep(100 * time.Millisecond)
	return recorded, func() {
		select {
		case newerElsewhere <- struct{}{}:
		default:
		}
	}
}

// An instance whose peers refuse for long reads the store before a change must be known, whether it goes on to hear of
// newer objects or only once. Refusals without end cost less than one call to the store a second.
func TestLongRefusedFeedReadsStore(t *testing.T) {
	for name, signals := range map[string]int{"one datagram": 1, "a datagram every 100 ms": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := &platformtest.Objects{}
				createObject(t, objects, "first")
				recorded, signal := refusedFeed(t, objects, "a", nil)
				reads := objects.CallCount("list") + objects.CallCount("watch")
				const changes = 10
				for i := range changes {
					changed := fmt.Sprint("change-", i)
					createObject(t, objects, changed)
					for j := range 20 {
						if j < signals {
							signal()
						}
						time.Sleep(applyTime / 20)
					}
					assert.Check(t, recorded.hasObject(changed), "%s isn't known after %v", changed, applyTime)
				}
				n := objects.CallCount("list") + objects.CallCount("watch") - reads
				assert.Check(t, n <= changes*2, "%d calls to the store in %v", n, changes*applyTime)
			})
		})
	}
}

// Objects that came from a peer end the series of refusals: those of a later change don't send the instance to the store at once.
func TestFeedForgetsRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformtest.Objects{}
		createObject(t, objects, "first")
		f, recorded := newFeed(objects)
		newerElsewhere := make(chan struct{}, 1)
		f.NewerElsewhere = newerElsewhere
		f.ReadsStore = func() bool { return false }
		refusals := 0
		f.ListFromPeer = func(ctx context.Context) (wire.ObjectList, error) {
			if refusals++; refusals%2 == 1 {
				time.Sleep(refusedFetchTime)
				return wire.ObjectList{}, ErrRefused{Kind: kind, Tries: 15}
			}
			return objects.Store("b").List(ctx, kind, "")
		}
		stop := runFeed(t, f)
		time.Sleep(100 * time.Millisecond)
		const changes = 10
		for i := range changes {
			changed := fmt.Sprint("change-", i)
			createObject(t, objects, changed)
			newerElsewhere <- struct{}{}
			time.Sleep(refusedFetchTime + 100*time.Millisecond)
			newerElsewhere <- struct{}{}
			time.Sleep(100 * time.Millisecond)
			assert.Check(t, recorded.hasObject(changed), changed)
		}
		time.Sleep(10 * time.Second)
		// The first list is this instance's own, the others are those of the peer.
		assert.Equal(t, objects.CallCount("list"), 1+changes)
		stop()
	})
}

// Refusals of objects that have come by another way, or come while others refuse, don't make an instance read the store.
func TestRefusedFeedThatLacksNothingDoesNotReadStore(t *testing.T) {
	for name, lacksFor := range map[string]time.Duration{"lacks nothing": 0, "for a while": 900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := &platformtest.Objects{}
				createObject(t, objects, "first")
				var lacksUntil atomic.Int64
				_, signal := refusedFeed(t, objects, "a", func() bool { return time.Now().UnixNano() < lacksUntil.Load() })
				reads := objects.CallCount("list") + objects.CallCount("watch")
				for range 5 {
					lacksUntil.Store(time.Now().Add(lacksFor).UnixNano())
					for range 10 {
						signal()
						time.Sleep(100 * time.Millisecond)
					}
					time.Sleep(applyTime)
				}
				assert.Equal(t, objects.CallCount("list")+objects.CallCount("watch"), reads)
			})
		})
	}
}

// Instances that are refused together don't read the store together.
func TestRefusedFeedsSpreadTheirReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			instances = 80
			window    = 50 * time.Millisecond
		)
		var mu sync.Mutex
		reads := map[time.Duration]int{}
		var changedAt time.Time
		objects := &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if c.Method == "list" && !changedAt.IsZero() {
				reads[time.Since(changedAt).Truncate(window)]++
			}
			return platformtest.Fault{}
		}}
		createObject(t, objects, "first")
		var signals []func()
		for i := range instances {
			_, signal := refusedFeed(t, objects, fmt.Sprint("i", i), nil)
			signals = append(signals, signal)
		}
		mu.Lock()
		changedAt = time.Now()
		mu.Unlock()
		for _, signal := range signals {
			signal()
		}
		time.Sleep(applyTime)
		mu.Lock()
		defer mu.Unlock()
		total, most := 0, 0
		for _, n := range reads {
			total, most = total+n, max(most, n)
		}
		assert.Equal(t, total, instances)
		assert.Assert(t, most <= instances/2, "%d of %d instances within %v", most, total, window)
	})
}
