package orders

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

const testDataCentre = "nadi-b"

// simulation simulates a data centre with several instances that compete for the lease. The lease holder sends orders.
type simulation struct {
	objects   *platformtest.Objects
	ordering  *platformtest.Ordering
	instances []*Sender
	// cancel holds the functions that stop the instances, in the order in which the instances were started.
	cancel []context.CancelFunc
}

// faultFuncs holds the functions that choose the fault of an object API call and of an order.
type faultFuncs struct {
	objects  func(platformtest.Call) platformtest.Fault
	ordering func(wire.ServerOrder) platformtest.Fault
}

// newDriftingClock returns a clock that runs at the given rate; 1 is real time.
func newDriftingClock(rate float64) func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Duration(float64(time.Since(start)) * rate) }
}

// newSimulation returns a simulation of n instances. change changes the lease settings of an instance; it may be nil.
func newSimulation(t *testing.T, n int, f faultFuncs, change func(i int, l *lease.Lease)) *simulation {
	t.Helper()
	sim := &simulation{objects: &platformtest.Objects{ChooseFault: f.objects}, ordering: &platformtest.Ordering{ChooseFault: f.ordering}}
	for i := range n {
		name := fmt.Sprintf("i%d", i)
		l := &lease.Lease{
			DataCentre: testDataCentre, Job: "orders", Holder: name, RunID: name + "-1", Now: newDriftingClock(1),
			Duration: lease.DefaultDuration, Margin: lease.DefaultMargin, MaxInFlight: lease.DefaultMaxInFlight,
			Objects: sim.objects.Store(name),
		}
		if change != nil {
			change(i, l)
		}
		sender := &Sender{
			DataCentre: testDataCentre, Instance: name, RunID: name + "-1", Lease: l, Objects: l.Objects,
			SendServerOrder: sim.ordering.Send,
		}
		sim.instances = append(sim.instances, sender)
	}
	return sim
}

// run starts an instance.
func (sim *simulation) run(ctx context.Context, i int) {
	ctx, cancel := context.WithCancel(ctx)
	sim.cancel = append(sim.cancel, cancel)
	go sim.instances[i].Lease.Run(ctx)
	go sim.instances[i].Run(ctx)
}

// waitUntilReady waits until the instance holds the lease and has settled the open intents.
func (sim *simulation) waitUntilReady(t *testing.T, i int) {
	t.Helper()
	for range 1000 {
		if fence, _, held := sim.instances[i].Lease.Held(); held && sim.instances[i].isSettled(fence) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("i%d doesn't hold the lease or hasn't settled the open intents", i)
}

// lateOrder returns a description of an order that arrived after one with a higher fencing token, or an empty string if
// there is none.
func (sim *simulation) lateOrder() string {
	highest := 0
	for _, c := range sim.ordering.ExecutedOrders() {
		if c.Order.Fence < highest {
			return fmt.Sprintf("%s of %s arrived after fencing token %d", c.Order.Id, c.Order.Holder, highest)
		}
		highest = max(highest, c.Order.Fence)
	}
	return ""
}

// A process that is suspended between the check of the lease and the send sends its order late. A receiver that checks
// fencing tokens refuses that order. One that doesn't carries it out after an order of the new holder.
func TestFrozenBetweenCheckAndSend(t *testing.T) {
	for _, checksFencingTokens := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, 2, faultFuncs{
				ordering: func(order wire.ServerOrder) platformtest.Fault {
					if order.Server == "frozen" {
						return platformtest.Fault{Before: time.Minute}
					}
					return platformtest.Fault{}
				},
				objects: func(c platformtest.Call) platformtest.Fault {
					if c.Instance == "i0" && c.Method == "update" && c.Kind == platform.KindLease {
						return platformtest.Fault{Before: time.Minute}
					}
					return platformtest.Fault{}
				},
			}, nil)
			sim.ordering.ChecksFencingTokens = checksFencingTokens
			sim.run(t.Context(), 0)
			sim.waitUntilReady(t, 0)
			go func() { _ = sim.instances[0].StartServer(t.Context(), "frozen", "regular") }()
			time.Sleep(100 * time.Millisecond)
			sim.instances[1].IsWanted = func(wire.IntentRecord) bool { return false }
			sim.run(t.Context(), 1)
			sim.waitUntilReady(t, 1)
			assert.NilError(t, sim.instances[1].StartServer(t.Context(), "other", "regular"))
			time.Sleep(2 * time.Minute)
			assert.Equal(t, sim.lateOrder() == "", checksFencingTokens, sim.lateOrder())
		})
	}
}

// An order is still in flight when the lease ends, and its receiver doesn't check fencing tokens. The order arrives
// before those of the next holder only if that holder waits for orders in flight.
func TestOrderInFlightAtTheEndOfTheLease(t *testing.T) {
	for _, waitsForOrdersInFlight := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, 2, faultFuncs{
				ordering: func(order wire.ServerOrder) platformtest.Fault {
					if order.Server == "slow" {
						return platformtest.Fault{Before: 1900 * time.Millisecond}
					}
					return platformtest.Fault{}
				},
				objects: func(c platformtest.Call) platformtest.Fault {
					if c.Instance == "i0" && c.Method == "update" && c.Kind == platform.KindLease {
						return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
					}
					return platformtest.Fault{}
				},
			}, func(i int, l *lease.Lease) {
				l.Margin = 100 * time.Millisecond
				if !waitsForOrdersInFlight {
					l.MaxInFlight = 10 * time.Millisecond
				}
			})
			sim.run(t.Context(), 0)
			sim.waitUntilReady(t, 0)
			_, until, _ := sim.instances[0].Lease.Held()
			sim.run(t.Context(), 1)
			time.Sleep(until - sim.instances[0].Lease.Now() - 10*time.Millisecond)
			go func() { _ = sim.instances[0].StartServer(t.Context(), "slow", "regular") }()
			sim.instances[1].IsWanted = func(wire.IntentRecord) bool { return false }
			sim.waitUntilReady(t, 1)
			assert.NilError(t, sim.instances[1].StartServer(t.Context(), "other", "regular"))
			time.Sleep(time.Minute)
			assert.Equal(t, sim.lateOrder() == "", waitsForOrdersInFlight, sim.lateOrder())
		})
	}
}

// The lease margin compensates for clocks that run at different rates. Without it, a holder with a slow clock still
// sends orders after the next holder has begun.
func TestSlowClockOfTheHolder(t *testing.T) {
	for _, useMargin := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			sim := newSimulation(t, 2, faultFuncs{objects: func(c platformtest.Call) platformtest.Fault {
				if c.Instance == "i0" && c.Kind == platform.KindLease && time.Since(start) > time.Second {
					return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
				}
				return platformtest.Fault{}
			}}, func(i int, l *lease.Lease) {
				l.MaxInFlight = 10 * time.Millisecond
				if i == 0 {
					l.Now = newDriftingClock(0.85)
				}
				if !useMargin {
					l.Margin = 0
				}
			})
			sim.run(t.Context(), 0)
			time.Sleep(20 * time.Millisecond)
			sim.run(t.Context(), 1)
			sim.waitUntilReady(t, 0)
			go func() {
				for i := range 1000 {
					_ = sim.instances[0].StartServer(t.Context(), fmt.Sprintf("old%d", i), "regular")
					time.Sleep(10 * time.Millisecond)
				}
			}()
			sim.waitUntilReady(t, 1)
			assert.NilError(t, sim.instances[1].StartServer(t.Context(), "other", "regular"))
			time.Sleep(time.Minute)
			assert.Equal(t, sim.lateOrder() == "", useMargin, sim.lateOrder())
		})
	}
}

// An order whose response is lost is carried out only once, because the next holder sends it again under the same id. A
// holder that doesn't settle the open intents repeats the order under a new id, and it is carried out twice.
func TestLostAnswerOfAnOrder(t *testing.T) {
	for _, settlesOpenIntents := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var sent atomic.Int64
			sim := newSimulation(t, 2, faultFuncs{ordering: func(wire.ServerOrder) platformtest.Fault {
				if sent.Add(1) == 1 {
					return platformtest.Fault{Outcome: platformtest.OutcomeResponseLost}
				}
				return platformtest.Fault{}
			}}, nil)
			sim.run(t.Context(), 0)
			sim.waitUntilReady(t, 0)
			err := sim.instances[0].StartServer(t.Context(), "s1", "regular")
			assert.Assert(t, IsErrPending(err), "%v", err)
			assert.Assert(t, IsErrUnsettled(sim.instances[0].StartServer(t.Context(), "s1", "regular")))
			sim.cancel[0]()
			if settlesOpenIntents {
				sim.run(t.Context(), 1)
				sim.waitUntilReady(t, 1)
			} else {
				// The next holder acquires the lease and doesn't settle the open intents.
				next := sim.instances[1]
				next.settledFence = 2
				go next.Lease.Run(t.Context())
				for next.Lease.Check() != nil {
					time.Sleep(10 * time.Millisecond)
				}
				assert.NilError(t, next.StartServer(t.Context(), "s1", "regular"))
			}
			assert.Equal(t, len(sim.ordering.ExecutedOrders()) == 1, settlesOpenIntents)
		})
	}
}

// After a crash between storing the intent and sending the order, the next holder carries out the order.
func TestIntentOfALostHolderIsCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 2, faultFuncs{}, nil)
		sim.instances[0].SendServerOrder = func(context.Context, wire.ServerOrder, func() error) (wire.ServerOrderResult, error) {
			return wire.ServerOrderResult{}, platform.ErrUnknownOutcome{Call: "order_send", Cause: errors.New("killed")}
		}
		sim.run(t.Context(), 0)
		sim.waitUntilReady(t, 0)
		assert.Assert(t, IsErrPending(sim.instances[0].StopServer(t.Context(), "s1")))
		sim.cancel[0]()
		sim.run(t.Context(), 1)
		sim.waitUntilReady(t, 1)
		executed := sim.ordering.ExecutedOrders()
		assert.Equal(t, len(executed), 1)
		assert.Equal(t, executed[0].Order.Server, "s1")
		assert.Equal(t, executed[0].Order.Holder, "i1")
	})
}

func TestWeightLoadsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, faultFuncs{}, nil)
		o := sim.instances[0]
		o.WeightLoadLimiter = rate.NewLimiter(rate.Every(10*time.Second), 1)
		sent := 0
		o.SendEngineOrder = func(_ context.Context, _ string, order wire.EngineOrder, _ func() error) (wire.EngineOrderResult, error) {
			sent++
			return wire.EngineOrderResult{Id: order.Id, Accepted: true}, nil
		}
		sim.run(t.Context(), 0)
		sim.waitUntilReady(t, 0)
		start := time.Now()
		for range 4 {
			assert.NilError(t, o.OrderEngine(t.Context(), "s1", wire.EngineOrderActionLoadModel, "guide"))
		}
		assert.Assert(t, time.Since(start) >= 30*time.Second)
		assert.Equal(t, sent, 4)
	})
}

// TestRandomSchedules runs three instances with pauses, outages, lost responses and clocks of different rates. It
// checks that no order of an earlier holder arrives after one of a later holder, that no order is carried out twice,
// and that each accepted order was carried out. With clocks that drift by more than the margin covers, at least one
// seed must fail.
func TestRandomSchedules(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		synctest.Test(t, func(t *testing.T) { assert.Equal(t, runSchedule(t, seed, true), "", "seed %d", seed) })
	}
	violation := ""
	for seed := uint64(1); violation == "" && seed <= 60; seed++ {
		synctest.Test(t, func(t *testing.T) { violation = runSchedule(t, seed, false) })
	}
	assert.Assert(t, violation != "", "no seed fails without the lease margin")
	t.Logf("without the lease margin: %s", violation)
}

// runSchedule runs three instances under the random schedule of the seed and returns a description of the violation
// that it found, or an empty string. Without useMargin, the lease margin is 0 and the clocks drift further apart.
func runSchedule(t *testing.T, seed uint64, useMargin bool) string {
	// The schedule has its own random source, so that it doesn't depend on the order of the instances' calls.
	schedule := rand.New(rand.NewPCG(seed, 5))
	random := rand.New(rand.NewPCG(seed, 6))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	suspendedUntil := make([]time.Time, 3)
	// Until the time in leaseUnreachableUntil, an instance can't reach the lease object, but it can reach all others.
	leaseUnreachableUntil := make([]time.Time, 3)
	outageUntil := time.Time{}
	sim := newSimulation(t, 3, faultFuncs{
		objects: func(c platformtest.Call) platformtest.Fault {
			var i int
			_, _ = fmt.Sscanf(c.Instance, "i%d", &i)
			fault := platformtest.Fault{Before: time.Duration(draw(50)) * time.Millisecond}
			mu.Lock()
			fault.Before += max(0, time.Until(suspendedUntil[i]))
			down := time.Now().Before(outageUntil) || c.Kind == platform.KindLease && time.Now().Before(leaseUnreachableUntil[i])
			mu.Unlock()
			if down {
				return platformtest.Fault{Outcome: platformtest.OutcomeUnavailable}
			}
			if draw(8) == 0 {
				fault.Outcome = platformtest.OutcomeResponseLost + platformtest.Outcome(draw(3))
				fault.WriteDelay = time.Duration(draw(3000)) * time.Millisecond
			}
			return fault
		},
		ordering: func(wire.ServerOrder) platformtest.Fault {
			fault := platformtest.Fault{Before: time.Duration(draw(1500)) * time.Millisecond}
			if draw(5) == 0 {
				fault.Outcome = platformtest.OutcomeResponseLost + platformtest.Outcome(draw(2))
			}
			return fault
		},
	}, func(i int, l *lease.Lease) {
		l.Now = newDriftingClock(0.97 + 0.03*float64(i))
		if !useMargin {
			l.Now = newDriftingClock(0.5 + 0.25*float64(i))
			l.Margin = 0
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	var accepted []string
	var senders sync.WaitGroup
	for i := range sim.instances {
		sim.run(ctx, i)
		for k := range 4 {
			senders.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					server := fmt.Sprintf("i%d-%d-%d", i, k, n)
					if sim.instances[i].StartServer(ctx, server, "regular") == nil {
						mu.Lock()
						accepted = append(accepted, server)
						mu.Unlock()
					}
					sleep(ctx, 100*time.Millisecond)
				}
			})
		}
	}
	for range 60 {
		time.Sleep(time.Duration(schedule.IntN(4000)) * time.Millisecond)
		duration := time.Duration(schedule.IntN(20000)) * time.Millisecond
		i, action := schedule.IntN(3), schedule.IntN(10)
		mu.Lock()
		switch action {
		case 0:
			outageUntil = time.Now().Add(duration)
		case 1:
			suspendedUntil[i] = time.Now().Add(duration)
		default:
			leaseUnreachableUntil[i] = time.Now().Add(duration)
		}
		mu.Unlock()
	}
	stop()
	senders.Wait()
	time.Sleep(time.Minute)
	sim.objects.Wait()
	if violation := sim.lateOrder(); violation != "" {
		return violation
	}
	executions := map[string]int{}
	for _, c := range sim.ordering.ExecutedOrders() {
		executions[c.Order.Server]++
		if executions[c.Order.Server] > 1 {
			return c.Order.Server + " was ordered twice"
		}
	}
	for _, server := range accepted {
		if executions[server] == 0 {
			return server + " was accepted and not carried out"
		}
	}
	if useMargin && len(accepted) == 0 {
		return "no order was accepted"
	}
	return ""
}

// An order that was settled after the list of open intents was read must not be sent again.
func TestSettledOrderIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, faultFuncs{objects: func(c platformtest.Call) platformtest.Fault {
			if c.Kind == platform.KindIntent && c.Method == "list" {
				return platformtest.Fault{After: 300 * time.Millisecond}
			}
			return platformtest.Fault{After: 10 * time.Millisecond}
		}}, nil)
		o := sim.instances[0]
		sends := map[string]int{}
		o.SendEngineOrder = func(_ context.Context, _ string, order wire.EngineOrder, _ func() error) (wire.EngineOrderResult, error) {
			time.Sleep(100 * time.Millisecond)
			sends[order.Id]++
			return wire.EngineOrderResult{Id: order.Id, Accepted: true}, nil
		}
		sim.run(t.Context(), 0)
		sim.waitUntilReady(t, 0)
		accepted := 0
		for range 200 {
			err := o.OrderEngine(t.Context(), "s1", wire.EngineOrderActionLoadModel, "guide")
			if err == nil {
				accepted++
			}
			assert.Check(t, err == nil || IsErrUnsettled(err), err)
			time.Sleep(250 * time.Millisecond)
		}
		sim.cancel[0]()
		time.Sleep(time.Minute)
		assert.Equal(t, len(sends), accepted)
		for id, n := range sends {
			assert.Equal(t, n, 1, id)
		}
	})
}
