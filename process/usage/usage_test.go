package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	testDataCentre = "labasa-c"
	testWindow     = time.Minute
)

var errDown = errors.New("down")

// intake takes reports and may lose its answers.
type intake struct {
	lose func() bool

	mu      sync.Mutex
	reports []wire.UsageReport
	history []porcupine.Operation
}

func (k *intake) report(_ context.Context, r wire.UsageReport, guard func() error) error {
	call := time.Now().UnixNano()
	if err := guard(); err != nil {
		return err
	}
	time.Sleep(5 * time.Millisecond)
	lines, err := json.Marshal(r.Lines)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.reports = append(k.reports, r)
	k.history = append(k.history, porcupine.Operation{
		Input: r.WindowStartMs, Output: string(lines), Call: call, Return: time.Now().UnixNano(),
	})
	k.mu.Unlock()
	if k.lose != nil && k.lose() {
		return platform.ErrUnknownOutcome{Call: "usage_report", Cause: errDown}
	}
	return nil
}

// sealModel is a register for each window that is set once: all reports of a window carry the same figures.
func sealModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			windows := map[int][]porcupine.Operation{}
			for _, op := range history {
				windows[op.Input.(int)] = append(windows[op.Input.(int)], op)
			}
			parts := make([][]porcupine.Operation, 0, len(windows))
			for _, part := range windows {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: func(state, _, output any) (bool, any) {
			return state == "" || state == output, output
		},
	}
}

// total sums the requests of one report for each window.
func (k *intake) total() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	first := map[int]bool{}
	n := 0
	for _, r := range k.reports {
		if first[r.WindowStartMs] {
			continue
		}
		first[r.WindowStartMs] = true
		for _, l := range r.Lines {
			n += l.Requests
		}
	}
	return n
}

// bench is a data centre whose instances count, with sealers that each have a lease of their own: all of them believe
// that they are in charge.
type bench struct {
	api        *platformtest.Objects
	intake     *intake
	counters   []*Counter
	collectors []*Collector
	sealers    []*Sealer
	// collector is the one that instances hand over to; below 0 is none.
	collector func() int
}

func newBench(instances, sealers int, decide func(platformtest.Call) platformtest.Fault) *bench {
	b := &bench{api: &platformtest.Objects{Decide: decide}, intake: &intake{}, collector: func() int { return 0 }}
	for i := range instances {
		name := fmt.Sprintf("i%d", i)
		store := b.api.Store(name)
		b.collectors = append(b.collectors, &Collector{DataCentre: testDataCentre, RunID: name + "-1", Window: testWindow, Objects: store})
		counter := &Counter{DataCentre: testDataCentre, RunID: name + "-1", Window: testWindow, Objects: store}
		counter.HandOver = func(_ context.Context, counts wire.UsageHandOver) (wire.UsageHandOverReply, error) {
			n := b.collector()
			if n < 0 {
				return wire.UsageHandOverReply{}, errDown
			}
			return b.collectors[n].Take(counts), nil
		}
		b.counters = append(b.counters, counter)
	}
	for i := range sealers {
		name := fmt.Sprintf("i%d", i)
		l := &lease.Lease{DataCentre: testDataCentre, Job: fmt.Sprintf("usage%d", i), Holder: name, RunID: name + "-1", Objects: b.api.Store(name)}
		start := time.Now()
		l.Now = func() time.Duration { return time.Since(start) }
		b.sealers = append(b.sealers, &Sealer{
			DataCentre: testDataCentre, Instance: name, Window: testWindow, Lease: l, Objects: b.api.Store(name), Report: b.intake.report,
		})
	}
	return b
}

func (b *bench) run(ctx context.Context) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range b.counters {
		group.Go(func() { b.counters[i].Run(ctx) })
		group.Go(func() { b.collectors[i].Run(ctx) })
	}
	for _, s := range b.sealers {
		group.Go(func() { s.Lease.Run(ctx) })
		group.Go(func() { s.Run(ctx) })
	}
	return &group
}

func TestEachWindowIsReportedOnceWithAllCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(3, 1, nil)
		ctx, stop := context.WithCancel(t.Context())
		group := b.run(ctx)
		for n := range 300 {
			b.counters[n%3].Add("ladoo", "chat", 10, 20)
			time.Sleep(time.Second)
		}
		time.Sleep(3 * testWindow)
		stop()
		group.Wait()
		assert.Equal(t, b.intake.total(), 300)
		seen := map[int]bool{}
		for _, r := range b.intake.reports {
			assert.Assert(t, !seen[r.WindowStartMs], "reported twice without a cause")
			seen[r.WindowStartMs] = true
		}
	})
}

// The guard is the hand-over to one collector: without it, writes grow with the number of instances.
func TestWritesDoNotGrowWithTheFleet(t *testing.T) {
	for _, guard := range []bool{false, true} {
		writes := map[int]int{}
		for _, n := range []int{2, 40} {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(n, 0, nil)
				if !guard {
					b.collector = func() int { return -1 }
				}
				ctx, stop := context.WithCancel(t.Context())
				group := b.run(ctx)
				for range 60 {
					for _, c := range b.counters {
						c.Add("ladoo", "chat", 1, 1)
					}
					time.Sleep(time.Second)
				}
				writes[n] = b.api.Calls("create " + platform.KindUsagePart)
				stop()
				group.Wait()
			})
		}
		t.Logf("guard=%t part writes in a minute by instances: %v", guard, writes)
		assert.Equal(t, writes[40] < 2*writes[2], guard)
	}
}

// An instance that is lost has its counts reported from the collector's copy, though the object API was out.
func TestCopyOfALostInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		down := true
		b := newBench(2, 1, func(platformtest.Call) platformtest.Fault {
			mu.Lock()
			defer mu.Unlock()
			if down {
				return platformtest.Fault{Outcome: platformtest.OutcomeDown}
			}
			return platformtest.Fault{}
		})
		ctx, stop := context.WithCancel(t.Context())
		lost := b.counters[1]
		b.counters = b.counters[:1]
		group := b.run(ctx)
		lost.Add("ladoo", "chat", 1, 1)
		lost.cut(true)
		assert.Assert(t, lost.handOver(ctx))
		time.Sleep(5 * testWindow)
		mu.Lock()
		down = false
		mu.Unlock()
		time.Sleep(4 * testWindow)
		stop()
		group.Wait()
		assert.Equal(t, b.intake.total(), 1)
	})
}

// overwrite is a seal without the condition.
func overwrite(store platform.Store) func(context.Context, string, wire.UsageSeal) (wire.Object, error) {
	return func(ctx context.Context, name string, seal wire.UsageSeal) (wire.Object, error) {
		obj, err := store.Create(ctx, platform.KindUsageSeal, name, seal)
		var conflict platform.ErrConflict
		if errors.As(err, &conflict) {
			return store.Update(ctx, platform.KindUsageSeal, name, conflict.Current.Version, seal)
		}
		return obj, err
	}
}

// A sealer is frozen before it writes a seal, with parts that another has seen more of. The guard is the conditional
// create: without it, the window is reported again with other figures.
func TestFrozenSealer(t *testing.T) {
	for _, guard := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var frozen atomic.Bool
			b := newBench(1, 2, func(c platformtest.Call) platformtest.Fault {
				if frozen.Load() && c.Instance == "i0" && c.Method == "create" {
					return platformtest.Fault{Before: time.Minute}
				}
				return platformtest.Fault{}
			})
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			first, second := b.sealers[0], b.sealers[1]
			for _, s := range b.sealers {
				go s.Lease.Run(ctx)
				if !guard {
					s.create = overwrite(s.Objects)
				}
			}
			time.Sleep(time.Second)
			start := windowStart(time.Now(), testWindow)
			step := func(s *Sealer) {
				fence, _, _ := s.Lease.Held()
				_, err := s.Step(ctx, fence)
				assert.NilError(t, err)
			}
			part := func(seq int) {
				lines := []wire.UsageLine{{Workspace: "ladoo", Class: "chat", Requests: 1}}
				counts := []wire.UsageCount{{Run: "r", Seq: seq, WindowStartMs: start, Lines: lines}}
				name := partName(testDataCentre, start, "r", seq)
				assert.NilError(t, storePart(ctx, first.Objects, name, newPart(testDataCentre, testWindow, counts)))
			}
			step(first)
			step(second)
			part(1)
			time.Sleep(2 * testWindow)
			step(second)
			frozen.Store(true)
			go step(first)
			time.Sleep(time.Second)
			frozen.Store(false)
			part(2)
			step(second)
			step(second)
			time.Sleep(testWindow)
			step(second)
			assert.Equal(t, porcupine.CheckOperations(sealModel(), b.intake.history), guard)
		})
	}
}

// TestReportsOfAWindowAgree runs seeded schedules in which two instances believe that they are in charge, with
// outages, lost answers, late writes and seals that are frozen before they are written.
func TestReportsOfAWindowAgree(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		synctest.Test(t, func(t *testing.T) {
			added, b := runUsage(t, seed, true)
			assert.Assert(t, porcupine.CheckOperations(sealModel(), b.intake.history), "seed %d: reports of a window differ", seed)
			assert.Equal(t, b.intake.total(), added, "seed %d", seed)
		})
	}
}

func runUsage(t *testing.T, seed uint64, guard bool) (int, *bench) {
	schedule, random := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	calm := false
	var outage time.Time
	b := newBench(4, 2, func(c platformtest.Call) platformtest.Fault {
		fault := platformtest.Fault{Before: time.Duration(draw(400)) * time.Millisecond, After: time.Duration(draw(50)) * time.Millisecond}
		if c.Kind == platform.KindUsageSeal && c.IsWrite() && draw(4) == 0 {
			fault.Before = time.Duration(draw(120)) * time.Second
		}
		lost := draw(6) == 0 && c.Kind != platform.KindLease
		mu.Lock()
		defer mu.Unlock()
		if time.Now().Before(outage) {
			fault.Outcome = platformtest.OutcomeDown
		} else if lost && !calm {
			fault.Outcome = platformtest.Outcome(1 + random.IntN(4))
			fault.Late = time.Duration(random.IntN(90)) * time.Second
		}
		return fault
	})
	b.intake.lose = func() bool { return draw(4) == 0 }
	b.collector = func() int { return draw(6) - 2 }
	if !guard {
		for _, s := range b.sealers {
			s.create = overwrite(s.Objects)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	group := b.run(ctx)
	added := 0
	for range 200 {
		b.counters[schedule.IntN(4)].Add("ladoo", "chat", 1, 1)
		added++
		time.Sleep(time.Duration(schedule.IntN(2000)) * time.Millisecond)
		if schedule.IntN(100) == 0 {
			mu.Lock()
			outage = time.Now().Add(time.Duration(schedule.IntN(180)) * time.Second)
			mu.Unlock()
		}
	}
	mu.Lock()
	outage, calm = time.Time{}, true
	mu.Unlock()
	time.Sleep(10 * testWindow)
	stop()
	group.Wait()
	b.api.Wait()
	return added, b
}
