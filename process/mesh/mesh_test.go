package mesh

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
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

// network delivers datagrams between the instances of a test.
type network struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*Mesh
	// drop reports whether a datagram is lost; nil loses none.
	drop func(from, to *Mesh) bool
}

// send returns the Send function of an instance.
func (n *network) send(from *Mesh) func(netip.AddrPort, []byte) {
	return func(to netip.AddrPort, data []byte) {
		n.mu.Lock()
		m, drop := n.nodes[to], n.drop
		n.mu.Unlock()
		if m == nil || drop != nil && drop(from, m) {
			return
		}
		m.Receive(data)
	}
}

func (n *network) setDrop(drop func(from, to *Mesh) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = drop
}

// events records the callbacks of an instance and sets the state that it reports to its peers.
type events struct {
	mu sync.Mutex
	// unreachable holds the data centres that the instance reported as unreachable.
	unreachable map[string]bool
	// version is the highest configuration version received.
	version int
	// loads holds the loads received last, by instance.
	loads map[string][]wire.NewsLoad
	// runsWithCounts holds the runs whose request counts were received.
	runsWithCounts map[string]bool
	// storeUnreachable makes the instance report that it can't reach the store.
	storeUnreachable atomic.Bool
	// lease is the version of the duties lease object that the instance reports as its holder; 0 if it isn't the holder.
	lease atomic.Int64
}

func (e *events) reportsUnreachable(dc string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unreachable[dc]
}

func (e *events) hasCounts(run string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runsWithCounts[run]
}

// addInstance creates an instance and connects it to the network.
func addInstance(n *network, objects *platformtest.Objects, name, dc, address string) (*Mesh, *events) {
	e := &events{unreachable: map[string]bool{}, loads: map[string][]wire.NewsLoad{}, runsWithCounts: map[string]bool{}}
	m := &Mesh{
		Instance: name, Run: name + ".1", DataCentre: dc, Address: address, Store: objects.Store(name), Log: zap.NewNop(),
		LocalLoads: func(bool) []wire.NewsLoad { return []wire.NewsLoad{{S: 1, R: 2, U: 3}} },
		LocalCounts: func() []wire.NewsWindow {
			return []wire.NewsWindow{{StartMs: 1, Counts: wire.NewsWindowCounts{"alba": 1}}}
		},
		OnPeerLoads: func(from string, loads []wire.NewsLoad) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loads[from] = loads
		},
		OnPeerStatus: func(datagram wire.News) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version = max(e.version, datagram.Version)
		},
		OnPeerCounts: func(run string, _ []wire.NewsWindow) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.runsWithCounts[run] = true
		},
		OnDataCentreUnreachable: func(dc string) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.unreachable[dc] = true
		},
		OnDataCentreReachable: func(dc string) {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.unreachable, dc)
		},
	}
	m.FillStatus = func(datagram *wire.News) {
		datagram.Version, datagram.Reads, datagram.StoreOut, datagram.Lease = 7, m.IsReader(), e.storeUnreachable.Load(), int(e.lease.Load())
	}
	m.Send = n.send(m)
	n.nodes[netip.MustParseAddrPort(address)] = m
	return m, e
}

// startNetwork starts five instances in two data centres and waits until they know each other. The caller must call
// stop.
func startNetwork(t *testing.T) (n *network, meshes []*Mesh, recorded []*events, stop func()) {
	t.Helper()
	n = &network{nodes: map[netip.AddrPort]*Mesh{}}
	objects := &platformtest.Objects{}
	for _, i := range []struct{ name, dc, address string }{
		{"a1", "a", "10.0.0.1:1"}, {"a2", "a", "10.0.0.2:1"}, {"a3", "a", "10.0.0.3:1"}, {"b1", "b", "10.0.0.4:1"}, {"b2", "b", "10.0.0.5:1"},
	} {
		m, e := addInstance(n, objects, i.name, i.dc, i.address)
		meshes, recorded = append(meshes, m), append(recorded, e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, m := range meshes {
		wg.Go(func() { m.Execute(ctx) })
	}
	time.Sleep(3 * time.Second)
	return n, meshes, recorded, func() { cancel(); wg.Wait(); time.Sleep(time.Minute) }
}

func TestInstancesExchangeState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, meshes, recorded, stop := startNetwork(t)
		for i, m := range meshes {
			assert.Equal(t, m.LivePeerCount(), 4)
			assert.Equal(t, m.InstanceCount(), 5)
			recorded[i].mu.Lock()
			assert.Equal(t, recorded[i].version, 7)
			assert.Equal(t, len(recorded[i].loads), 4)
			recorded[i].mu.Unlock()
		}
		assert.Assert(t, meshes[0].IsReader() && meshes[1].IsReader() && !meshes[2].IsReader())
		assert.Assert(t, meshes[3].IsReader() && meshes[4].IsReader())
		local := meshes[2].ReaderAddresses()[:2]
		slices.Sort(local)
		assert.DeepEqual(t, local, []string{"10.0.0.1:1", "10.0.0.2:1"})
		assert.Assert(t, recorded[0].hasCounts("a3.1") && recorded[1].hasCounts("a3.1"), "readers of the data centre store copies of the counts")
		assert.Assert(t, recorded[3].hasCounts("a3.1"), "one reader of another data centre stores a copy")
		stop()
	})
}

// When the link between two data centres fails, each side reports the other as unreachable within about half a second,
// and as reachable again at the first datagram after the link is restored.
func TestCutOffDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, recorded, stop := startNetwork(t)
		n.setDrop(func(from, to *Mesh) bool { return from.DataCentre != to.DataCentre })
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, recorded[0].reportsUnreachable("b") && recorded[3].reportsUnreachable("a"))
		assert.Assert(t, !recorded[0].reportsUnreachable("a"))
		n.setDrop(nil)
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(t, !recorded[0].reportsUnreachable("b") && !recorded[3].reportsUnreachable("a"))
		stop()
	})
}

// An instance that receives no datagrams at all is itself cut off and must not report any data centre as unreachable.
func TestIsolatedInstanceReportsNoDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, meshes, recorded, stop := startNetwork(t)
		n.setDrop(func(from, to *Mesh) bool { return from == meshes[2] || to == meshes[2] })
		time.Sleep(2 * time.Second)
		assert.Assert(t, !recorded[2].reportsUnreachable("b") && !recorded[0].reportsUnreachable("b") && !recorded[3].reportsUnreachable("a"))
		assert.Assert(t, meshes[2].IsReader(), "an isolated instance reads the store itself")
		assert.Equal(t, len(meshes[2].ReaderAddresses()), 0)
		stop()
	})
}

// The loss of every tenth datagram must not make a data centre count as unreachable.
func TestDatagramLossReportsNoDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, recorded, stop := startNetwork(t)
		sent := 0
		n.setDrop(func(from, to *Mesh) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			sent++
			return sent%10 == 0
		})
		time.Sleep(20 * time.Second)
		for i := range recorded {
			assert.Assert(t, !recorded[i].reportsUnreachable("a") && !recorded[i].reportsUnreachable("b"))
		}
		stop()
	})
}

// A store that rejects one reader isn't in an outage, so entries that are missing from a list were really removed. It
// is in an outage if no reader reaches it.
func TestStoreOutageNeedsHalfOfReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, meshes, recorded, stop := startNetwork(t)
		recorded[0].storeUnreachable.Store(true)
		time.Sleep(time.Second)
		assert.Assert(t, !meshes[2].StoreOutageWithin(5*time.Second))
		for _, i := range []int{1, 3, 4} {
			recorded[i].storeUnreachable.Store(true)
		}
		time.Sleep(time.Second)
		assert.Assert(t, meshes[2].StoreOutageWithin(5*time.Second))
		stop()
	})
}

// A peer counts as holder of the duties lease only while it reports a held lease and isn't silent.
func TestDutyHolderIsLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, meshes, recorded, stop := startNetwork(t)
		assert.Assert(t, !meshes[0].DutyHolderIsLive())
		recorded[3].lease.Store(12)
		time.Sleep(time.Second)
		assert.Assert(t, meshes[0].DutyHolderIsLive() && !meshes[3].DutyHolderIsLive())
		recorded[3].lease.Store(0)
		time.Sleep(time.Second)
		assert.Assert(t, !meshes[0].DutyHolderIsLive())
		recorded[3].lease.Store(13)
		time.Sleep(time.Second)
		n.setDrop(func(from, _ *Mesh) bool { return from == meshes[3] })
		time.Sleep(time.Second)
		assert.Assert(t, !meshes[0].DutyHolderIsLive())
		stop()
	})
}

// While no instance reaches the store, at most four instances of a data centre retry it, whatever their number. If the
// store rejects only the first two, other instances become readers in their place.
func TestFewInstancesRetryUnreachableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{nodes: map[netip.AddrPort]*Mesh{}}
		objects := &platformtest.Objects{}
		var meshes []*Mesh
		var recorded []*events
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range 8 {
			m, e := addInstance(n, objects, fmt.Sprint("a", i), "a", fmt.Sprintf("10.0.0.%d:1", i+1))
			meshes, recorded = append(meshes, m), append(recorded, e)
			wg.Go(func() { m.Execute(ctx) })
		}
		readers := func() (count int) {
			time.Sleep(3 * time.Second)
			for _, m := range meshes {
				if m.IsReader() {
					count++
				}
			}
			return count
		}
		assert.Equal(t, readers(), ReadersPerDataCentre)
		recorded[0].storeUnreachable.Store(true)
		recorded[1].storeUnreachable.Store(true)
		assert.Equal(t, readers(), 2+ReadersPerDataCentre)
		for _, e := range recorded {
			e.storeUnreachable.Store(true)
		}
		assert.Equal(t, readers(), maxReadersInOutage)
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
	})
}

func TestLostReaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, meshes, _, stop := startNetwork(t)
		n.setDrop(func(from, to *Mesh) bool { return from == meshes[0] || to == meshes[0] })
		time.Sleep(time.Second)
		assert.Assert(t, meshes[1].IsReader() && meshes[2].IsReader())
		stop()
	})
}

// The stored record of an instance that is gone is removed; the records of live instances stay.
func TestRecordsOfGoneInstancesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{nodes: map[netip.AddrPort]*Mesh{}}
		objects := &platformtest.Objects{}
		a, _ := addInstance(n, objects, "a1", "a", "10.0.0.1:1")
		b, _ := addInstance(n, objects, "a2", "a", "10.0.0.2:1")
		a.RemovesRecords = func() bool { return true }
		record := wire.InstanceRecord{Address: "10.0.0.9:1", Run: "x", DataCentre: "a"}
		_, err := objects.Store("x").Create(t.Context(), KindInstance, "gone", record)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
		defer cancel()
		var wg sync.WaitGroup
		for _, m := range []*Mesh{a, b} {
			wg.Go(func() { m.Execute(ctx) })
		}
		wg.Wait()
		time.Sleep(time.Minute)
		list, err := objects.Store("x").List(t.Context(), KindInstance, "")
		assert.NilError(t, err)
		assert.Equal(t, len(list.Items), 2)
	})
}

// An instance takes a deployment for new only if no instance that it finds had a record of an earlier process.
func TestFirstRunOfDeployment(t *testing.T) {
	for name, tc := range map[string]struct {
		// records are the records that the store has at the start, by instance.
		records map[string]wire.InstanceRecord
		want    bool
	}{
		"nothing":                {nil, true},
		"others that are new":    {map[string]wire.InstanceRecord{"a2": {Address: "10.0.0.2:1", FirstRun: true}}, true},
		"one that restarted":     {map[string]wire.InstanceRecord{"a2": {Address: "10.0.0.2:1"}, "a3": {Address: "10.0.0.3:1", FirstRun: true}}, false},
		"an earlier process":     {map[string]wire.InstanceRecord{"a1": {Address: "10.0.0.1:1", FirstRun: true}}, false},
		"unreadable address too": {map[string]wire.InstanceRecord{"a2": {Address: "x"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				objects := &platformtest.Objects{}
				for instance, record := range tc.records {
					_, err := objects.Store("x").Create(t.Context(), KindInstance, instance, record)
					assert.NilError(t, err)
				}
				m, _ := addInstance(&network{nodes: map[netip.AddrPort]*Mesh{}}, objects, "a1", "a", "10.0.0.1:1")
				_, decided := m.IsFirstRun()
				assert.Assert(t, !decided)
				go m.Execute(t.Context())
				time.Sleep(time.Second)
				isFirst, decided := m.IsFirstRun()
				assert.Assert(t, decided)
				assert.Equal(t, isFirst, tc.want)
			})
		})
	}
}

func TestInvalidDatagramsAreIgnored(t *testing.T) {
	m, e := addInstance(&network{nodes: map[netip.AddrPort]*Mesh{}}, &platformtest.Objects{}, "a1", "a", "10.0.0.1:1")
	for _, data := range []string{"", "{", `{"from":""}`, `{"from":"a1","address":"10.0.0.1:1"}`, `{"from":"b","address":"x"}`} {
		m.Receive([]byte(data))
	}
	assert.Equal(t, m.InstanceCount(), 1)
	assert.Equal(t, e.version, 0)
}
