package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// evacuationTime is the platform's evacuationMs, within which an evacuation must be in force at all instances in touch;
	// calmEvacuationTime is the project's aim while the store is sound.
	evacuationTime, calmEvacuationTime = 5 * time.Second, 2 * time.Second
	evacuationKind                     = "evacuations"
)

var testDataCentres = []string{"one", "two", "three"}

// evacuationFleet is a number of instances that read evacuations from one store. A tenth of their datagrams is lost.
type evacuationFleet struct {
	store    *platformtest.Objects
	gateways map[netip.AddrPort]*Gateway
	// inboxes hold the datagrams to each instance, which handles one after the other.
	inboxes   map[netip.AddrPort]chan []byte
	instances []*Gateway
	mu        sync.Mutex
	rng       *rand.Rand
	// cutOff holds the instances that reach neither the store nor others, and slow those to which the store answers late.
	cutOff, slow map[string]bool
	storeDown    bool
}

func newEvacuationFleet(ctx context.Context, seed uint64, n int) *evacuationFleet {
	f := &evacuationFleet{gateways: map[netip.AddrPort]*Gateway{}, inboxes: map[netip.AddrPort]chan []byte{}, rng: rand.New(rand.NewPCG(seed, 3)), cutOff: map[string]bool{}, slow: map[string]bool{}}
	f.store = &platformtest.Objects{ChooseFault: func(c platformtest.Call) platformtest.Fault {
		f.mu.Lock()
		defer f.mu.Unlock()
		switch {
		case c.Instance != "operator" && f.storeDown, f.cutOff[c.Instance]:
			return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
		case f.slow[c.Instance]:
			return platformtest.Fault{Before: time.Second}
		}
		return platformtest.Fault{Before: 4 * time.Millisecond}
	}}
	for i := range n {
		f.add(ctx, fmt.Sprintf("i%02d", i), testDataCentres[i%len(testDataCentres)], netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000))
	}
	return f
}

// add starts an instance that has three backend servers, one in each data centre.
func (f *evacuationFleet) add(ctx context.Context, name, dataCentre string, address netip.AddrPort) {
	g := &Gateway{
		Log: zap.NewNop(), Platform: Platform{Store: f.store.Store(name), ConfigKind: "config", ServerKind: "servers", EvacuationKind: evacuationKind},
		Settings: &settings.Settings{Instance: name, DataCentre: dataCentre, Forwarding: &wire.SettingsForwarding{
			DataCentres: testDataCentres, EvacuationMs: float64(evacuationTime.Milliseconds()), MemoryMb: 8192, LeaseMs: 3000, UsageWindowS: 5, UsageDelayS: 10,
		}},
	}
	g.Settings.Listen.Peers = address.String()
	g.build()
	table, _ := hostroute.NewTable(hostroute.Config{Pools: []hostroute.Pool{{Name: "p", ColdRate: 18, ColdStartTime: 3 * time.Second}}})
	g.table.Store(table)
	g.mesh.Send = func(to netip.AddrPort, data []byte) { f.deliver(name, to, data) }
	g.evacuationFeed.ListFromPeer = func(context.Context) (wire.ObjectList, error) { return f.fetch(g) }
	var entries []registry.Entry
	for _, dc := range testDataCentres {
		entries = append(entries, registry.Entry{ID: dc, Pool: "p", DataCentre: dc, Slots: 4})
	}
	g.registry.Reset(entries, false)
	inbox := make(chan []byte, 1000)
	f.mu.Lock()
	f.gateways[address], f.inboxes[address] = g, inbox
	f.mu.Unlock()
	f.instances = append(f.instances, g)
	go g.mesh.Execute(ctx)
	go func() {
		for ctx.Err() == nil {
			select {
			case data := <-inbox:
				g.mesh.Receive(data)
			case <-ctx.Done():
			}
		}
	}()
	go g.watchEvacuations(ctx)
}

// deliver brings a datagram to its receiver, or loses it.
func (f *evacuationFleet) deliver(from string, to netip.AddrPort, data []byte) {
	f.mu.Lock()
	g, inbox := f.gateways[to], f.inboxes[to]
	lost := g == nil || f.rng.IntN(10) == 0 || f.cutOff[from] || f.cutOff[g.Settings.Instance]
	f.mu.Unlock()
	if !lost {
		inbox <- data
	}
}

// fetch returns the evacuations as a reader instance knows them.
func (f *evacuationFleet) fetch(g *Gateway) (wire.ObjectList, error) {
	addresses := g.mesh.ReaderAddresses()
	for _, address := range addresses[:min(len(addresses), maxPeersAsked)] {
		f.mu.Lock()
		peer := f.gateways[netip.MustParseAddrPort(address)]
		cut := f.cutOff[peer.Settings.Instance] || f.cutOff[g.Settings.Instance]
		f.mu.Unlock()
		if list, fresh := peer.freshObjects(evacuationKind); fresh && !cut {
			return list, nil
		}
	}
	return wire.ObjectList{}, errors.New("no reader answered")
}

// set changes the state of the network.
func (f *evacuationFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *evacuationFleet) begin(t *testing.T, dataCentre string) wire.Object {
	t.Helper()
	o, err := f.store.Store("operator").Create(t.Context(), evacuationKind, dataCentre, json.RawMessage("{}"))
	assert.NilError(t, err)
	return o
}

func (f *evacuationFleet) end(t *testing.T, o wire.Object) {
	t.Helper()
	assert.NilError(t, f.store.Store("operator").Delete(t.Context(), evacuationKind, o.Name, o.Version))
}

// check checks that exactly the evacuations of some data centres are in force at all instances in touch.
func (f *evacuationFleet) check(t *testing.T, want ...string) {
	t.Helper()
	for _, g := range f.instances {
		if f.cutOff[g.Settings.Instance] {
			continue
		}
		got := g.evacuations.InForce()
		assert.Assert(t, slices.Equal(got, want), "%s has %v, want %v", g.Settings.Instance, got, want)
		for _, srv := range g.registry.Usable("p", registry.Selection{}) {
			assert.Assert(t, !slices.Contains(want, srv.Entry().DataCentre))
		}
		assert.Equal(t, len(g.registry.CacheSources("p")), len(testDataCentres)-len(want))
	}
}

// runEvacuations runs a test for fleets of some sizes.
func runEvacuations(t *testing.T, sizes []int, test func(t *testing.T, f *evacuationFleet)) {
	t.Helper()
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newEvacuationFleet(ctx, uint64(n), n)
				time.Sleep(3 * time.Second)
				test(t, f)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Evacuations are in force at all instances in time, two at once too, and end. What comes back counts as cold.
func TestEvacuationReachesAllInstances(t *testing.T) {
	runEvacuations(t, []int{9, 78}, func(t *testing.T, f *evacuationFleet) {
		f.check(t)
		one := f.begin(t, "one")
		time.Sleep(calmEvacuationTime)
		f.check(t, "one")
		three := f.begin(t, "three")
		time.Sleep(calmEvacuationTime)
		f.check(t, "one", "three")
		f.end(t, one)
		time.Sleep(calmEvacuationTime)
		f.check(t, "three")
		for _, g := range f.instances {
			for _, srv := range g.registry.Available("p") {
				assert.Equal(t, srv.IsCold(), srv.Entry().DataCentre == "one")
			}
		}
		f.end(t, three)
		time.Sleep(calmEvacuationTime)
		f.check(t)
	})
}

// An evacuation that is taken back within a second is in force nowhere afterwards, and one of an unknown data centre or of
// all shuts no pool.
func TestEvacuationTakenBackAtOnce(t *testing.T) {
	runEvacuations(t, []int{9}, func(t *testing.T, f *evacuationFleet) {
		one := f.begin(t, "one")
		time.Sleep(300 * time.Millisecond)
		f.end(t, one)
		f.begin(t, "elsewhere")
		time.Sleep(calmEvacuationTime)
		f.check(t)
		for _, dc := range testDataCentres {
			f.begin(t, dc)
		}
		time.Sleep(calmEvacuationTime)
		f.check(t, "one", "two")
	})
}

// One reader's calls are slow, another instance is cut off and learns of it after it is back.
func TestEvacuationIsReadLate(t *testing.T) {
	runEvacuations(t, []int{9, 78}, func(t *testing.T, f *evacuationFleet) {
		f.set(func() { f.slow["i00"], f.cutOff["i01"], f.cutOff["i08"] = true, true, true })
		time.Sleep(3 * time.Second)
		f.begin(t, "one")
		time.Sleep(evacuationTime)
		f.check(t, "one")
		f.set(func() { f.cutOff = map[string]bool{} })
		time.Sleep(evacuationTime)
		f.check(t, "one")
	})
}

// An evacuation outlives an outage of the store, and the loss of its history; one that is acknowledged right before is known
// soon after.
func TestEvacuationDuringOutage(t *testing.T) {
	runEvacuations(t, []int{9}, func(t *testing.T, f *evacuationFleet) {
		f.begin(t, "one")
		time.Sleep(calmEvacuationTime)
		f.set(func() { f.storeDown = true })
		two := f.begin(t, "two")
		time.Sleep(10 * time.Second)
		f.set(func() { f.storeDown = false })
		time.Sleep(evacuationTime)
		f.check(t, "one", "two")
		f.set(func() { f.storeDown = true })
		time.Sleep(5 * time.Second)
		f.end(t, two)
		f.store.History = 1
		f.begin(t, "elsewhere")
		f.set(func() { f.storeDown = false })
		time.Sleep(evacuationTime)
		f.check(t, "one")
	})
}

// A store that comes back from an older copy has lost an evacuation, which is kept for a while; an instance that starts
// meanwhile doesn't know it. Begun again, it is in force at all.
func TestEvacuationAndRewind(t *testing.T) {
	runEvacuations(t, []int{9}, func(t *testing.T, f *evacuationFleet) {
		older := f.store.Copy()
		f.begin(t, "one")
		time.Sleep(calmEvacuationTime)
		f.store.Rewind(older)
		time.Sleep(evacuationTime)
		f.check(t, "one")
		f.begin(t, "one")
		time.Sleep(evacuationTime)
		f.check(t, "one")
		// It doesn't end with the time for which the lost one is kept.
		time.Sleep(90 * time.Second)
		f.check(t, "one")
	})
}

// An instance that starts during an evacuation, and gets its list late, serves nothing before: its forwarder and its
// readiness say so. If no list comes, it serves after the time within which an evacuation must be in force.
func TestStartDuringEvacuation(t *testing.T) {
	for name, storeDown := range map[string]bool{"slow": false, "down": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newEvacuationFleet(ctx, 1, 9)
				time.Sleep(3 * time.Second)
				f.begin(t, "one")
				time.Sleep(calmEvacuationTime)
				f.set(func() {
					f.slow["late"], f.storeDown = true, storeDown
					f.cutOff["late"] = storeDown
				})
				startedAt := time.Now()
				f.add(ctx, "late", "two", netip.MustParseAddrPort("10.0.1.1:7000"))
				g := f.instances[len(f.instances)-1]
				for !g.forwarder.KnowsEvacuations() {
					assert.Assert(t, !g.ready())
					time.Sleep(10 * time.Millisecond)
				}
				waited := time.Since(startedAt)
				if storeDown {
					assert.Assert(t, waited >= evacuationTime && waited < evacuationTime+100*time.Millisecond, "%v", waited)
				} else {
					assert.DeepEqual(t, g.evacuations.InForce(), []string{"one"})
					assert.Assert(t, waited >= time.Second && waited < evacuationTime, "%v", waited)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
