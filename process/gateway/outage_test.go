package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// heartbeat is the interval of the readers' datagrams.
	heartbeat = 100 * time.Millisecond
	// newsTime is the time within which a change of the list reaches the instance.
	newsTime = 3 * heartbeat
)

// outageFixture is an instance that gets the list of backend servers from four others, which read the store.
type outageFixture struct {
	*Gateway
	store *platformtest.Objects
	// out holds for each half of the readers whether they report that they can't reach the store.
	out [2]atomic.Bool
	// version is the version of the list that the readers report.
	version atomic.Int64
}

// runOutage runs a test with an instance that knows the backend servers a and b.
func runOutage(t *testing.T, test func(t *testing.T, f *outageFixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		f := &outageFixture{store: &platformtest.Objects{}}
		f.Gateway = &Gateway{
			Log: zap.NewNop(),
			Platform: Platform{
				Store: f.store.Store("i4"), ConfigKind: "config", ServerKind: "servers",
				ParseServerEntry: func(o wire.Object) (registry.Entry, error) {
					return registry.Entry{ID: o.Name, Pool: "p", DataCentre: "dc", Slots: 4, StartedMs: 1}, nil
				},
			},
			Settings: &settings.Settings{Instance: "i4", DataCentre: "dc", Forwarding: &wire.SettingsForwarding{
				DataCentres: []string{"dc"}, MemoryMb: 8192, LeaseMs: 3000, UsageWindowS: 5, UsageDelayS: 10,
			}},
		}
		f.Settings.Listen.Peers = "10.0.0.4:7000"
		f.build()
		f.serverFeed.ListFromPeer = func(ctx context.Context) (wire.ObjectList, error) {
			if f.out[0].Load() && f.out[1].Load() {
				return wire.ObjectList{}, errors.New("no reader reaches the store")
			}
			return f.store.Store("i0").List(ctx, "servers", "")
		}
		f.put(t, "a")
		f.put(t, "b")
		go func() {
			for ; ctx.Err() == nil; time.Sleep(heartbeat) {
				for i, name := range []string{"i0", "i1", "i2", "i3"} {
					data, _ := json.Marshal(wire.News{
						From: name, Run: name, DataCentre: "dc", Address: "10.0.0." + name[1:] + ":7000", Reads: true, StoreOut: f.out[i/2].Load(),
						Servers: int(f.version.Load()),
					})
					f.mesh.Receive(data)
				}
			}
		}()
		time.Sleep(time.Second)
		go f.serverFeed.Run(ctx)
		time.Sleep(10 * time.Second)
		f.check(t, "a", "b")
		test(t, f)
	})
}

func (f *outageFixture) put(t *testing.T, name string) {
	t.Helper()
	o, err := f.store.Store("servers").Create(t.Context(), "servers", name, map[string]int{})
	assert.NilError(t, err)
	f.version.Store(int64(o.Version))
}

// remove removes the entry of a server and has the readers report the list without it.
func (f *outageFixture) remove(t *testing.T, name string) {
	t.Helper()
	store := f.store.Store("servers")
	list, err := store.List(t.Context(), "servers", "")
	assert.NilError(t, err)
	i := slices.IndexFunc(list.Items, func(o wire.Object) bool { return o.Name == name })
	assert.NilError(t, store.Delete(t.Context(), "servers", name, list.Items[i].Version))
	list, err = store.List(t.Context(), "servers", "")
	assert.NilError(t, err)
	f.version.Store(int64(list.Version))
}

// setOut sets for each half of the readers whether they report that they can't reach the store.
func (f *outageFixture) setOut(first, second bool) {
	f.out[0].Store(first)
	f.out[1].Store(second)
}

// check checks that exactly some servers get requests.
func (f *outageFixture) check(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for _, srv := range f.registry.Usable("p", registry.Selection{}) {
		got = append(got, srv.Entry().ID)
	}
	slices.Sort(got)
	assert.DeepEqual(t, got, want)
}

// A server that is removed when the store has been back for long enough gets nothing once that is known, although the
// readers missed the store a short time ago.
func TestRemovedServerGetsRequestsAfterOutage(t *testing.T) {
	runOutage(t, func(t *testing.T, f *outageFixture) {
		f.setOut(true, true)
		time.Sleep(4500 * time.Millisecond)
		f.setOut(false, false)
		time.Sleep(3 * time.Second)
		f.remove(t, "a")
		time.Sleep(newsTime)
		f.check(t, "b")
	})
}

// The same while half of the readers have missed the store for a while, and after they have returned.
func TestRemovedServerGetsRequestsWhileHalfOfReadersAreCutOff(t *testing.T) {
	runOutage(t, func(t *testing.T, f *outageFixture) {
		f.setOut(true, false)
		time.Sleep(maxWatchTimeout + storeCallTimeout + time.Second)
		f.remove(t, "a")
		time.Sleep(newsTime)
		f.check(t, "b")
		f.put(t, "c")
		time.Sleep(newsTime)
		f.setOut(false, false)
		time.Sleep(newsTime)
		f.remove(t, "c")
		time.Sleep(newsTime)
		f.check(t, "b")
	})
}

// An entry that expired in an outage may be back two seconds after the return of the store. Its server gets requests
// all the time.
func TestExpiredServerIsKeptUntilItIsBack(t *testing.T) {
	runOutage(t, func(t *testing.T, f *outageFixture) {
		f.setOut(true, true)
		time.Sleep(4500 * time.Millisecond)
		f.setOut(false, true)
		f.remove(t, "a")
		for range 19 {
			time.Sleep(100 * time.Millisecond)
			f.check(t, "a", "b")
		}
		f.put(t, "a")
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			f.check(t, "a", "b")
		}
		f.remove(t, "b")
		time.Sleep(newsTime)
		f.check(t, "a")
	})
}

// A server whose entry isn't back in time gets nothing, whenever the instance first learnt that it is missing.
func TestExpiredServerIsRemovedWhenItIsNotBack(t *testing.T) {
	runOutage(t, func(t *testing.T, f *outageFixture) {
		f.setOut(true, true)
		time.Sleep(4500 * time.Millisecond)
		f.setOut(false, false)
		time.Sleep(1500 * time.Millisecond)
		f.remove(t, "a")
		time.Sleep(newsTime)
		f.check(t, "a", "b")
		time.Sleep(time.Second)
		f.check(t, "b")
	})
}

// A reader that hasn't noticed an outage yet doesn't show that the store is reachable: its watch may hang.
func TestExpiredServerIsKeptWhileAWatchMayHang(t *testing.T) {
	runOutage(t, func(t *testing.T, f *outageFixture) {
		f.setOut(true, false)
		time.Sleep(storeCallTimeout)
		f.remove(t, "a")
		time.Sleep(newsTime)
		f.check(t, "a", "b")
		time.Sleep(2 * time.Second)
		f.check(t, "b")
	})
}
