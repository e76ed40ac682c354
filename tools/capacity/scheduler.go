package main

import (
	"context"
	"fmt"
	"time"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/wire"
)

// grantCycles is the number of grants and releases in one measurement of a pool's scheduler.
const grantCycles = 1500

// schedulerFigures are the measurements of a pool's scheduler.
type schedulerFigures struct {
	// CPUByServers, CPUByWorkspaces, CPUByGrants and CPUByWaiting are the processor time of one grant and its release,
	// in microseconds.
	CPUByServers    Series
	CPUByWorkspaces Series
	CPUByGrants     Series
	CPUByWaiting    Series
	// HeapByServers, HeapByWorkspaces and HeapByGrants are the heap that the scheduler takes, in KB.
	HeapByServers    Series
	HeapByWorkspaces Series
	HeapByGrants     Series
}

// measureScheduler measures real pool schedulers in this process.
func measureScheduler(t Target) (schedulerFigures, error) {
	grants := t.Streams() / t.Homes()
	cpuSeries := func(parameter string, size float64) Series {
		return Series{Name: "grant and release at the home, by " + parameter, Unit: "µs", Parameter: parameter, Target: size}
	}
	heapSeries := func(parameter string, size float64) Series {
		return Series{Name: "heap of a home, by " + parameter, Unit: "KB", Parameter: parameter, Target: size}
	}
	f := schedulerFigures{
		CPUByServers:     cpuSeries("backend servers of the pool", t.ServersPerHome()),
		CPUByWorkspaces:  cpuSeries("workspaces", float64(t.Workspaces)),
		CPUByGrants:      cpuSeries("grants out", grants),
		CPUByWaiting:     cpuSeries("waiting requests", t.RequestsPerHome()*overloadQueueSeconds),
		HeapByServers:    heapSeries("backend servers of the pool", t.ServersPerHome()),
		HeapByWorkspaces: heapSeries("workspaces", float64(t.Workspaces)),
		HeapByGrants:     heapSeries("grants out", grants),
	}
	for _, n := range []int{10, 45, 180, 900, 5400} {
		cpu, bytes, err := grantCycleCost(t, n, smallWorkspaces, 0)
		if err != nil {
			return f, err
		}
		f.CPUByServers.addPoint(n, cpu*1e6)
		f.HeapByServers.addPoint(n, bytes/kilobyte)
	}
	for _, n := range []int{10, 120, 1200} {
		cpu, bytes, err := grantCycleCost(t, smallServers, n, 0)
		if err != nil {
			return f, err
		}
		f.CPUByWorkspaces.addPoint(n, cpu*1e6)
		f.HeapByWorkspaces.addPoint(n, bytes/kilobyte)
	}
	for _, n := range []int{0, 280, 2800} {
		cpu, bytes, err := grantCycleCost(t, 45, smallWorkspaces, n)
		if err != nil {
			return f, err
		}
		f.CPUByGrants.addPoint(n, cpu*1e6)
		f.HeapByGrants.addPoint(n, bytes/kilobyte)
	}
	for _, n := range []int{1, 8, 32, 128} {
		f.CPUByWaiting.addPoint(n, queuedGrantCost(t, n)*1e6)
	}
	return f, nil
}

// overloadQueueSeconds is the number of seconds whose arrivals wait in a scheduler's queue during overload, as the page
// assumes it.
const overloadQueueSeconds = 0.41

func (s *Series) addPoint(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

// slotsPerServer is the number of slots of each server of a measured scheduler. It is twice the number in use at the
// target size, so that no request waits for spare capacity.
const slotsPerServer = 128

// queuePollInterval is the pause between two checks of a scheduler's queue length.
const queuePollInterval = 50 * time.Microsecond

// newScheduler returns the scheduler of one pool with the given number of servers.
func newScheduler(t Target, servers, workspaces int) *pool.Scheduler {
	scheduler := &pool.Scheduler{Pool: poolName(0), Instance: instanceName(0), ExpectedTokens: 400, Preempt: func(string, wire.GrantPreempt) {}}
	cfg := newConfig(t, 0, workspaces)
	specs := make([]pool.ServerSpec, 0, servers)
	for i := range servers {
		s := newServer(t, i)
		s.Slots = slotsPerServer
		specs = append(specs, pool.ServerSpec{Server: s, State: pool.ServerServing})
	}
	scheduler.Configure(cfg.Classes, cfg.Workspaces, specs)
	return scheduler
}

// newGrantAsk returns a typical request for a slot.
func newGrantAsk(t Target, i, workspaces int) wire.GrantAsk {
	return wire.GrantAsk{
		RequestID: fmt.Sprintf("01JE%022d", i), Pool: poolName(0), Class: className(i % t.Classes),
		Workspace: workspaceName(i % workspaces), Tokens: 400, Prefix: fmt.Sprintf("%016x", i%64),
	}
}

// newGrantRelease returns a typical release of a grant whose request met the targets of its class.
func newGrantRelease() wire.GrantRelease {
	return wire.GrantRelease{Pool: poolName(0), Tokens: 394, FirstTokenMs: 300, DurationMs: 16_000, CachedTokens: 128}
}

// grantCycleCost returns the processor seconds of a grant and its release while other grants are held, and the heap of
// the scheduler. A refused request is an error, since it would count as a cheap grant.
func grantCycleCost(t Target, servers, workspaces, heldGrants int) (cpu, heap float64, err error) {
	ctx := context.Background()
	var refusal error
	grantAndRelease := func(scheduler *pool.Scheduler, i int) {
		g, err := scheduler.Acquire(ctx, instanceName(i%32), newGrantAsk(t, i, workspaces))
		if err != nil {
			refusal = err
			return
		}
		g.Release(newGrantRelease())
	}
	heap, scheduler := heapUsedBy(func() *pool.Scheduler {
		scheduler := newScheduler(t, servers, workspaces)
		for i := range max(workspaces, 200) {
			grantAndRelease(scheduler, i)
		}
		for i := range heldGrants {
			_, _ = scheduler.Acquire(ctx, instanceName(i%32), newGrantAsk(t, i, workspaces))
		}
		return scheduler
	})
	measuredCycles := grantCycles
	if servers > 1000 {
		measuredCycles = grantCycles / 10
	}
	cpu = cpuSecondsPerCall(measuredCycles, func(i int) { grantAndRelease(scheduler, i) })
	scheduler.Close()
	return cpu, heap, refusal
}

// queuedGrantCost returns the processor seconds of three steps: a grant is released, a waiting request gets the free
// slot, and a new request starts to wait. Meanwhile the given number of requests wait at a scheduler with smallServers
// servers, all of whose slots are in use.
func queuedGrantCost(t Target, queued int) float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	scheduler := newScheduler(t, smallServers, smallWorkspaces)
	defer scheduler.Close()
	highestClassAsk := func(i int) wire.GrantAsk {
		a := newGrantAsk(t, i, smallWorkspaces)
		a.Class = className(0)
		return a
	}
	slots := smallServers * slotsPerServer
	grants := make(chan *pool.Grant, slots+queued)
	for i := range slots {
		if g, err := scheduler.Acquire(ctx, instanceName(i%32), highestClassAsk(i)); err == nil {
			grants <- g
		}
	}
	for w := range queued {
		go func() {
			for ctx.Err() == nil {
				g, err := scheduler.Acquire(ctx, instanceName(w%32), highestClassAsk(w))
				if err == nil {
					grants <- g
				}
			}
		}()
	}
	isQueueFull := func() bool { n, _, _ := scheduler.Status(); return n == queued }
	for !isQueueFull() {
		time.Sleep(queuePollInterval)
	}
	return cpuSecondsPerCall(grantCycles/10, func(int) {
		(<-grants).Release(newGrantRelease())
		for !isQueueFull() {
			time.Sleep(queuePollInterval)
		}
	})
}
