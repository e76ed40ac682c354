package mesh

import (
	"context"
	"fmt"
	"net/netip"
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

// net carries the datagrams of a few instances.
type net struct {
	mu    sync.Mutex
	nodes map[netip.AddrPort]*Mesh
	// cut tells whether a datagram is lost.
	cut func(from, to *Mesh) bool
}

func (n *net) send(from *Mesh) func(netip.AddrPort, []byte) {
	return func(to netip.AddrPort, data []byte) {
		n.mu.Lock()
		m, cut := n.nodes[to], n.cut
		n.mu.Unlock()
		if m == nil || cut != nil && cut(from, m) {
			return
		}
		m.Take(data)
	}
}

func (n *net) lose(cut func(from, to *Mesh) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// events notes what an instance is told.
type events struct {
	mu      sync.Mutex
	doubted map[string]bool
	version int
	loads   map[string][]wire.NewsLoad
	kept    map[string]bool
	// out makes the instance tell that it can't reach the store.
	out atomic.Bool
	// lease is the version of the lease that the instance tells to hold.
	lease atomic.Int64
}

func (e *events) doubts(dc string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.doubted[dc]
}

func (e *events) keeps(run string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.kept[run]
}

func add(n *net, objects *platformtest.Objects, name, dc, address string) (*Mesh, *events) {
	e := &events{doubted: map[string]bool{}, loads: map[string][]wire.NewsLoad{}, kept: map[string]bool{}}
	m := &Mesh{
		Instance: name, Run: name + ".1", DataCentre: dc, Address: address, Store: objects.Store(name), Log: zap.NewNop(),
		Loads: func(bool) []wire.NewsLoad { return []wire.NewsLoad{{S: 1, R: 2, U: 3}} },
		Counts: func() []wire.NewsWindow {
			return []wire.NewsWindow{{StartMs: 1, Counts: wire.NewsWindowCounts{"alba": 1}}}
		},
		Heard: func(from string, loads []wire.NewsLoad) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.loads[from] = loads
		},
		Learn: func(news wire.News) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.version = max(e.version, news.Version)
		},
		Keep: func(run string, _ []wire.NewsWindow) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.kept[run] = true
		},
		Doubt: func(dc string) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.doubted[dc] = true
		},
		Trust: func(dc string) {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.doubted, dc)
		},
	}
	m.About = func(news *wire.News) {
		news.Version, news.Reads, news.StoreOut, news.Lease = 7, m.IsReader(), e.out.Load(), int(e.lease.Load())
	}
	m.Send = n.send(m)
	n.nodes[netip.MustParseAddrPort(address)] = m
	return m, e
}

// started runs five instances in two data centres until the test stops them.
func started(t *testing.T) (n *net, meshes []*Mesh, told []*events, stop func()) {
	t.Helper()
	n = &net{nodes: map[netip.AddrPort]*Mesh{}}
	objects := &platformtest.Objects{}
	for _, i := range []struct{ name, dc, address string }{
		{"a1", "a", "10.0.0.1:1"}, {"a2", "a", "10.0.0.2:1"}, {"a3", "a", "10.0.0.3:1"}, {"b1", "b", "10.0.0.4:1"}, {"b2", "b", "10.0.0.5:1"},
	} {
		m, e := add(n, objects, i.name, i.dc, i.address)
		meshes, told = append(meshes, m), append(told, e)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, m := range meshes {
		wg.Go(func() { m.Execute(ctx) })
	}
	time.Sleep(3 * time.Second)
	return n, meshes, told, func() { cancel(); wg.Wait(); time.Sleep(time.Minute) }
}

func TestInstancesHearEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, meshes, told, stop := started(t)
		for i, m := range meshes {
			assert.Equal(t, m.Peers(), 4)
			assert.Equal(t, m.Instances(), 5)
			told[i].mu.Lock()
			assert.Equal(t, told[i].version, 7)
			assert.Equal(t, len(told[i].loads), 4)
			told[i].mu.Unlock()
		}
		assert.Assert(t, meshes[0].IsReader() && meshes[1].IsReader() && !meshes[2].IsReader())
		assert.Assert(t, meshes[3].IsReader() && meshes[4].IsReader())
		assert.DeepEqual(t, meshes[2].ReaderAddresses()[:2], []string{"10.0.0.1:1", "10.0.0.2:1"})
		assert.Assert(t, told[0].keeps("a3.1") && told[1].keeps("a3.1"), "the readers keep copies")
		assert.Assert(t, told[3].keeps("a3.1"), "and one of another data centre")
		stop()
	})
}

// A data centre is cut off: both sides doubt the other within half a second, and trust it at the first news after.
func TestCutOffDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, told, stop := started(t)
		n.lose(func(from, to *Mesh) bool { return from.DataCentre != to.DataCentre })
		time.Sleep(600 * time.Millisecond)
		assert.Assert(t, told[0].doubts("b") && told[3].doubts("a"))
		assert.Assert(t, !told[0].doubts("a"))
		n.lose(nil)
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(t, !told[0].doubts("b") && !told[3].doubts("a"))
		stop()
	})
}

// An instance that hears nobody is itself cut off from the others: that says nothing of the data centres.
func TestLonelyInstanceDoubtsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, meshes, told, stop := started(t)
		n.lose(func(from, to *Mesh) bool { return from == meshes[2] || to == meshes[2] })
		time.Sleep(2 * time.Second)
		assert.Assert(t, !told[2].doubts("b") && !told[0].doubts("b") && !told[3].doubts("a"))
		assert.Assert(t, meshes[2].IsReader(), "it reads the store itself")
		assert.Equal(t, len(meshes[2].ReaderAddresses()), 0)
		stop()
	})
}

// A link that loses one datagram in ten raises no doubt.
func TestLossRaisesNoDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _, told, stop := started(t)
		sent := 0
		n.lose(func(from, to *Mesh) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			sent++
			return sent%10 == 0
		})
		time.Sleep(20 * time.Second)
		for i := range told {
			assert.Assert(t, !told[i].doubts("a") && !told[i].doubts("b"))
		}
		stop()
	})
}

// The store turns one reader away: that is no outage, so that entries that are missing elsewhere are gone. All readers away is.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, meshes, told, stop := started(t)
		told[0].out.Store(true)
		time.Sleep(time.Second)
		assert.Assert(t, !meshes[2].OutWithin(5*time.Second))
		for _, i := range []int{1, 3, 4} {
			told[i].out.Store(true)
		}
		time.Sleep(time.Second)
		assert.Assert(t, meshes[2].OutWithin(5*time.Second))
		stop()
	})
}

// A holder that tells no more that it holds the duties, or that falls silent, isn't waited for.
func TestHolderIsHeard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, meshes, told, stop := started(t)
		assert.Assert(t, !meshes[0].HearsHolder())
		told[3].lease.Store(12)
		time.Sleep(time.Second)
		assert.Assert(t, meshes[0].HearsHolder() && !meshes[3].HearsHolder())
		told[3].lease.Store(0)
		time.Sleep(time.Second)
		assert.Assert(t, !meshes[0].HearsHolder())
		told[3].lease.Store(13)
		time.Sleep(time.Second)
		n.lose(func(from, _ *Mesh) bool { return from == meshes[3] })
		time.Sleep(time.Second)
		assert.Assert(t, !meshes[0].HearsHolder())
		stop()
	})
}

// While the store is out for all, four instances of a data centre try it at most, however many there are; where it turns only
// the first two away, others take their place.
func TestFewTryAStoreThatIsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &net{nodes: map[netip.AddrPort]*Mesh{}}
		objects := &platformtest.Objects{}
		var meshes []*Mesh
		var told []*events
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for i := range 8 {
			m, e := add(n, objects, fmt.Sprint("a", i), "a", fmt.Sprintf("10.0.0.%d:1", i+1))
			meshes, told = append(meshes, m), append(told, e)
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
		assert.Equal(t, readers(), Readers)
		told[0].out.Store(true)
		told[1].out.Store(true)
		assert.Equal(t, readers(), 2+Readers)
		for _, e := range told {
			e.out.Store(true)
		}
		assert.Equal(t, readers(), outMost)
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
	})
}

func TestReaderIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, meshes, _, stop := started(t)
		n.lose(func(from, to *Mesh) bool { return from == meshes[0] || to == meshes[0] })
		time.Sleep(time.Second)
		assert.Assert(t, meshes[1].IsReader() && meshes[2].IsReader())
		stop()
	})
}

// The record of an instance that is gone is removed by one of the others; those of the living stay.
func TestRecordsOfTheGoneAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &net{nodes: map[netip.AddrPort]*Mesh{}}
		objects := &platformtest.Objects{}
		a, _ := add(n, objects, "a1", "a", "10.0.0.1:1")
		b, _ := add(n, objects, "a2", "a", "10.0.0.2:1")
		a.Cleans = func() bool { return true }
		gone := wire.InstanceRecord{Address: "10.0.0.9:1", Run: "x", DataCentre: "a"}
		_, err := objects.Store("x").Create(t.Context(), KindInstance, "gone", gone)
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

func TestFaultyNewsAreLeft(t *testing.T) {
	m, e := add(&net{nodes: map[netip.AddrPort]*Mesh{}}, &platformtest.Objects{}, "a1", "a", "10.0.0.1:1")
	for _, data := range []string{"", "{", `{"from":""}`, `{"from":"a1","address":"10.0.0.1:1"}`, `{"from":"b","address":"x"}`} {
		m.Take([]byte(data))
	}
	assert.Equal(t, m.Instances(), 1)
	assert.Equal(t, e.version, 0)
}
