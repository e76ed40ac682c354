// Package control wires what one instance does for its data centre where it is in charge: backend servers and orders
// under the lease of the job "fleet", seals and reports under that of the job "usage".
//
// On a graceful stop the work ends first, then the leases are released, and counts are handed over or stored.
package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/toucanroute/toucanroute/process/fleet"
	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/orders"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/usage"
	"github.com/toucanroute/toucanroute/wire"
)

// Jobs of a data centre that need one holder.
const (
	JobFleet = "fleet"
	JobUsage = "usage"
)

const (
	// DefaultWindow is the usage window where no configuration is in force yet.
	DefaultWindow = time.Minute
	// weightStoreInterval is the time between two loads from the weight store.
	weightStoreInterval = 5 * time.Second
)

// Control is what one instance does for its data centre. The exported fields are set before Run.
type Control struct {
	Instance   string
	DataCentre string
	// RunID names the process; it differs from that of the instance's earlier processes.
	RunID   string
	Objects platform.Store
	Log     *zap.Logger
	// Ordering is the client of the ordering interface; nil is none, and then the instance never takes JobFleet.
	Ordering *platform.Ordering
	// Intake is the client of the usage intake; nil is none, and then the instance never takes JobUsage.
	Intake *platform.Usage
	// Window is the length of a usage window; 0 is DefaultWindow.
	Window time.Duration
	// Config returns the configuration in force, or nil.
	Config func() *wire.Config
	// Candidate tells whether the instance should take a job that is free; nil is always. A few instances of a data
	// centre suffice, so that their reads don't grow with it.
	Candidate func(job string) bool
	// Demand returns the load of a pool; nil never scales.
	Demand func(pool string) (fleet.Demand, bool)
	// Running returns the streams on a server over all listed instances; false is that one of them couldn't be asked.
	Running func(server string) (int, bool)
	// PullFleet asks the holder of JobFleet for its view; the name is empty where this instance is no candidate and doesn't
	// know it, and then any candidate may answer. nil is none.
	PullFleet func(ctx context.Context, holder string) (wire.FleetView, error)
	// HandOver passes counts to the data centre's collector; nil is this instance's own.
	HandOver func(ctx context.Context, counts wire.UsageHandOver) (wire.UsageHandOverReply, error)
	// SendEngine sends an order to an engine; nil is none.
	SendEngine func(ctx context.Context, server string, order wire.EngineOrder, guard func() error) (wire.EngineOrderResult, error)
	// OnServers is called after the state of a backend server has changed; it may be nil.
	OnServers func()

	once       sync.Once
	fleetLease *lease.Lease
	usageLease *lease.Lease
	orders     *orders.Orders
	fleet      *fleet.Fleet
	counter    *usage.Counter
	collector  *usage.Collector
	sealer     *usage.Sealer
}

func (c *Control) build() {
	c.once.Do(func() {
		if c.Window == 0 {
			c.Window = DefaultWindow
		}
		if c.Log == nil {
			c.Log = zap.NewNop()
		}
		c.fleetLease = c.newLease(JobFleet, c.Ordering != nil)
		c.usageLease = c.newLease(JobUsage, c.Intake != nil)
		c.buildFleet()
		c.buildUsage()
	})
}

func (c *Control) newLease(job string, able bool) *lease.Lease {
	return &lease.Lease{
		DataCentre: c.DataCentre, Job: job, Holder: c.Instance, RunID: c.RunID, Objects: c.Objects, Log: c.Log,
		Duration: lease.DefaultDuration, Margin: lease.DefaultMargin, MaxInFlight: lease.DefaultMaxInFlight,
		Candidate: func() bool { return able && (c.Candidate == nil || c.Candidate(job)) },
	}
}

func (c *Control) buildFleet() {
	c.orders = &orders.Orders{
		DataCentre: c.DataCentre, Instance: c.Instance, RunID: c.RunID, Lease: c.fleetLease, Objects: c.Objects, Log: c.Log,
		SendEngine: c.SendEngine, Loads: rate.NewLimiter(rate.Every(weightStoreInterval), 1),
	}
	c.fleet = &fleet.Fleet{
		DataCentre: c.DataCentre, Instance: c.Instance, Lease: c.fleetLease, Objects: c.Objects, Log: c.Log,
		Start: c.orders.StartServer, Stop: c.orders.StopServer, Config: c.Config, Demand: c.Demand, Running: c.running,
		Pull: c.pull, OnChange: c.OnServers, Servers: c.servers,
	}
	c.orders.Wanted = c.fleet.Wanted
	if c.Ordering != nil {
		c.orders.SendServer = c.Ordering.Send
	}
}

// servers returns no states where the deployment has no ordering interface.
func (c *Control) servers(ctx context.Context, dataCentre string) (wire.ServerStates, error) {
	if c.Ordering == nil {
		return wire.ServerStates{}, nil
	}
	return c.Ordering.Servers(ctx, dataCentre)
}

func (c *Control) running(server string) (int, bool) {
	if c.Running == nil {
		return 0, false
	}
	return c.Running(server)
}

// pull asks the holder as the lease names it.
func (c *Control) pull(ctx context.Context) (wire.FleetView, error) {
	holder := c.fleetLease.Status().Holder
	if c.PullFleet == nil || holder == c.Instance {
		return wire.FleetView{AgeMs: -1}, nil
	}
	return c.PullFleet(ctx, holder)
}

func (c *Control) buildUsage() {
	c.collector = &usage.Collector{DataCentre: c.DataCentre, RunID: c.RunID, Window: c.Window, Objects: c.Objects, Log: c.Log}
	handOver := c.HandOver
	if handOver == nil {
		handOver = func(_ context.Context, counts wire.UsageHandOver) (wire.UsageHandOverReply, error) {
			return c.collector.Take(counts), nil
		}
	}
	c.counter = &usage.Counter{
		DataCentre: c.DataCentre, RunID: c.RunID, Window: c.Window, Objects: c.Objects, Log: c.Log, HandOver: handOver,
	}
	c.sealer = &usage.Sealer{
		DataCentre: c.DataCentre, Instance: c.Instance, Window: c.Window, Lease: c.usageLease, Objects: c.Objects, Log: c.Log,
	}
	if c.Intake != nil {
		c.sealer.Report = c.Intake.Report
	}
}

// Run does the work until ctx ends, and then releases what is held.
func (c *Control) Run(ctx context.Context) {
	c.build()
	held, release := context.WithCancel(context.WithoutCancel(ctx))
	var leases, work sync.WaitGroup
	leases.Go(func() { c.fleetLease.Run(held) })
	leases.Go(func() { c.usageLease.Run(held) })
	work.Go(func() { c.orders.Run(ctx) })
	work.Go(func() { c.fleet.Run(ctx) })
	work.Go(func() { c.sealer.Run(ctx) })
	work.Go(func() { c.collector.Run(ctx) })
	work.Go(func() { c.counter.Run(ctx) })
	work.Wait()
	release()
	leases.Wait()
}

// Count counts one answered request.
func (c *Control) Count(workspace, class string, prompt, completion int) {
	c.build()
	c.counter.Add(workspace, class, prompt, completion)
}

// Take keeps the counts of a peer that has chosen this instance as collector.
func (c *Control) Take(counts wire.UsageHandOver) wire.UsageHandOverReply {
	c.build()
	return c.collector.Take(counts)
}

// Leases returns the data centre's leases as this instance sees them.
func (c *Control) Leases() []wire.LeaseStatus {
	c.build()
	return []wire.LeaseStatus{c.fleetLease.Status(), c.usageLease.Status()}
}

// ServerState returns the state of a backend server of the data centre.
func (c *Control) ServerState(server string) wire.FleetServerState {
	c.build()
	return c.fleet.State(server)
}

// FleetView returns what this instance knows of the backend servers, for its peers.
func (c *Control) FleetView() wire.FleetView {
	c.build()
	return c.fleet.View()
}

// OrderEngine orders the engine of a server to change what it serves, where this instance holds JobFleet.
func (c *Control) OrderEngine(ctx context.Context, server string, action wire.EngineOrderAction, target string) error {
	c.build()
	return c.orders.Engine(ctx, server, action, target)
}
