package fleet

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/orders"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

const testDataCentre = "recife-a"

// bench is a data centre with two instances; the first that runs leads.
type bench struct {
	api      *platformtest.Objects
	ordering *platformtest.Ordering
	fleets   []*Fleet
	orders   []*orders.Orders
	cfg      *wire.Config
	demand   atomic.Value
	// streams on the server s0.
	streams atomic.Int64
}

func newBench(regular, cheap int) *bench {
	b := &bench{api: &platformtest.Objects{}, ordering: &platformtest.Ordering{}, cfg: &wire.Config{Version: 1}}
	b.cfg.Pools = []wire.PoolSpec{{Name: "assistant", CheapAllowed: true}}
	for i := range regular + cheap {
		s := wire.Server{Name: fmt.Sprintf("s%d", i), DataCentre: testDataCentre, Pool: "assistant", Slots: 4, CostPerHour: 3, Kind: wire.ServerKindRegular}
		if i >= regular {
			s.Kind, s.CostPerHour = wire.ServerKindCheap, 1
		}
		b.cfg.Servers = append(b.cfg.Servers, s)
		b.ordering.SetState(s.Name, testDataCentre, string(s.Kind), wire.ServerStateStateStopped)
	}
	for i := range 2 {
		b.fleets = append(b.fleets, b.newFleet(fmt.Sprintf("i%d", i)))
	}
	return b
}

func (b *bench) newFleet(name string) *Fleet {
	start := time.Now()
	store := b.api.Store(name)
	l := &lease.Lease{DataCentre: testDataCentre, Job: "fleet", Holder: name, RunID: name + "-1", Objects: store}
	l.Now = func() time.Duration { return time.Since(start) }
	o := &orders.Orders{DataCentre: testDataCentre, Instance: name, RunID: name + "-1", Lease: l, Objects: store, SendServer: b.ordering.Send}
	f := &Fleet{
		DataCentre: testDataCentre, Instance: name, Lease: l, Objects: store, Servers: b.ordering.Servers,
		Start: o.StartServer, Stop: o.StopServer,
		Config:  func() *wire.Config { return b.cfg },
		Demand:  func(string) (Demand, bool) { return b.demand.Load().(Demand), true },
		Running: func(string) (int, bool) { return int(b.streams.Load()), true },
	}
	f.Pull = func(context.Context) (wire.FleetView, error) { return b.fleets[0].View(), nil }
	o.Wanted = f.Wanted
	b.orders = append(b.orders, o)
	return f
}

func (b *bench) run(ctx context.Context) {
	for i, f := range b.fleets {
		go f.Lease.Run(ctx)
		go f.Run(ctx)
		go b.orders[i].Run(ctx)
		time.Sleep(10 * time.Millisecond)
	}
}

func (b *bench) running() map[string]bool {
	states, _ := b.ordering.Servers(context.Background(), testDataCentre)
	up := map[string]bool{}
	for _, s := range states.Servers {
		if s.State == wire.ServerStateStateRunning {
			up[s.Server] = true
		}
	}
	return up
}

func (b *bench) planStop(t *testing.T, server string) {
	t.Helper()
	record := wire.StopRecord{Server: server, State: wire.StopRecordStatePlanned, Operator: "ana"}
	_, err := b.api.Store("operator").Create(t.Context(), platform.KindStop, server, record)
	assert.NilError(t, err)
}

// A planned stop waits for running streams. The guard is the count of streams: without it, the stop cuts one.
func TestPlannedStopCutsNothing(t *testing.T) {
	for _, guard := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(3, 0)
			b.demand.Store(Demand{ExpectedRPS: 4, SlotSeconds: 1, Protected: 1})
			if !guard {
				for _, f := range b.fleets {
					f.Running = func(string) (int, bool) { return 0, true }
				}
			}
			b.run(t.Context())
			time.Sleep(10 * time.Second)
			assert.Assert(t, b.running()["s0"])
			b.streams.Store(1)
			b.planStop(t, "s0")
			time.Sleep(3 * time.Second)
			for _, f := range b.fleets {
				assert.Equal(t, f.State("s0"), wire.FleetServerStateDraining, f.Instance)
			}
			time.Sleep(time.Minute)
			assert.Equal(t, b.running()["s0"], guard)
			b.streams.Store(0)
			time.Sleep(time.Minute)
			assert.Assert(t, !b.running()["s0"])
			assert.Equal(t, b.fleets[1].State("s0"), wire.FleetServerStateStopped)
			assert.Assert(t, len(b.running()) >= 2, "no other server took over: %v", b.running())
		})
	}
}

// A stop stays pending where an instance can't be asked for its streams, and a cancel brings the server back.
func TestCancelledStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(2, 0)
		b.demand.Store(Demand{ExpectedRPS: 2, SlotSeconds: 1, Protected: 1})
		for _, f := range b.fleets {
			f.Running = func(string) (int, bool) { return 0, false }
		}
		b.run(t.Context())
		time.Sleep(10 * time.Second)
		b.planStop(t, "s0")
		time.Sleep(time.Minute)
		assert.Assert(t, b.running()["s0"])
		store := b.api.Store("operator")
		obj, err := store.Get(t.Context(), platform.KindStop, "s0")
		assert.NilError(t, err)
		_, err = store.Update(t.Context(), platform.KindStop, "s0", obj.Version, wire.StopRecord{Server: "s0", State: wire.StopRecordStateCancelled})
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.fleets[1].State("s0"), wire.FleetServerStateServing)
	})
}

// After a data centre's cheap servers are evicted and while no others can be had, regular ones take over.
func TestEvictionOfAllCheapServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(6, 6)
		var unavailable atomic.Bool
		b.ordering.CheapUnavailable = unavailable.Load
		b.demand.Store(Demand{ExpectedRPS: 14, SlotSeconds: 1, Protected: 0.4})
		b.run(t.Context())
		time.Sleep(20 * time.Second)
		regular, cheap := b.count()
		assert.Assert(t, cheap > 0 && float64(regular*4)*floorUse >= 14*0.4, "regular %d cheap %d", regular, cheap)
		unavailable.Store(true)
		for i := 6; i < 12; i++ {
			b.ordering.SetState(fmt.Sprintf("s%d", i), testDataCentre, "", wire.ServerStateStateEvicting)
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, b.fleets[1].State("s6"), wire.FleetServerStateEvicting)
		for i := 6; i < 12; i++ {
			b.ordering.SetState(fmt.Sprintf("s%d", i), testDataCentre, "", wire.ServerStateStateStopped)
		}
		time.Sleep(10 * time.Second)
		regular, cheap = b.count()
		assert.Equal(t, cheap, 0)
		assert.Assert(t, regular*4 >= 14, "regular %d", regular)
	})
}

func (b *bench) count() (regular, cheap int) {
	for _, s := range b.cfg.Servers {
		if !b.running()[s.Name] {
			continue
		}
		if s.Kind == wire.ServerKindCheap {
			cheap++
		} else {
			regular++
		}
	}
	return regular, cheap
}

// A server that the demand no longer needs is drained after the delay and then stopped.
func TestSuperfluousServersStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(4, 0)
		b.demand.Store(Demand{ExpectedRPS: 11, SlotSeconds: 1, Protected: 1})
		b.run(t.Context())
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(b.running()), 4)
		b.demand.Store(Demand{ExpectedRPS: 2, SlotSeconds: 1, Protected: 1})
		time.Sleep(surplusDelay - 20*time.Second)
		assert.Equal(t, len(b.running()), 4)
		time.Sleep(time.Minute)
		assert.Equal(t, len(b.running()), 1)
	})
}

// The regular servers that the plan keeps carry the protected demand by themselves, where there are enough.
func TestPlanKeepsTheProtectedDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := Demand{
			ObservedRPS: rapid.Float64Range(0, 50).Draw(t, "rps"), SlotSeconds: rapid.Float64Range(0.1, 4).Draw(t, "seconds"),
			Protected: rapid.Float64Range(0, 1).Draw(t, "protected"), Waiting: rapid.IntRange(0, 20).Draw(t, "waiting"),
			Burn: rapid.Float64Range(0, 3).Draw(t, "burn"),
		}
		var candidates []Candidate
		free, kept := 0, 0
		for i := range rapid.IntRange(1, 30).Draw(t, "servers") {
			c := Candidate{Server: wire.Server{Name: fmt.Sprintf("s%d", i), Slots: rapid.IntRange(1, 16).Draw(t, "slots"), CostPerHour: 1, Kind: wire.ServerKindCheap}}
			if rapid.Bool().Draw(t, "regular") {
				c.Server.Kind, c.Server.CostPerHour = wire.ServerKindRegular, 3
			}
			c.Barred = rapid.IntRange(0, 9).Draw(t, "barred") == 0
			if c.Server.Kind == wire.ServerKindRegular && !c.Barred {
				free += c.Server.Slots
			}
			candidates = append(candidates, c)
		}
		var p Plan
		wanted := p.choose(time.Now(), wire.PoolSpec{CheapAllowed: true}, demand, candidates)
		for _, c := range candidates {
			if wanted[c.Server.Name] && c.Barred {
				t.Fatalf("%s is barred", c.Server.Name)
			}
			if wanted[c.Server.Name] && c.Server.Kind == wire.ServerKindRegular {
				kept += c.Server.Slots
			}
		}
		need := demand.slots() * demand.Protected / floorUse
		if float64(kept) < min(need, float64(free)) {
			t.Fatalf("kept %d regular slots of %d for %f", kept, free, need)
		}
	})
}
