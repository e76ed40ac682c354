// Package fleet keeps the right backend servers of a data centre running and stops them without cutting a request.
//
// The holder of the lease reads the planned stops and the states of the ordering interface, gives orders, and passes
// its view on; the other instances pull it, or read the platform themselves where it is stale.
//
// A stop goes from planned to draining, when no instance gives the server new work any more; to stopped, when no stream
// runs on it and draining has lasted drainGrace; and only then is the order sent. A cancel races with these writes and
// either of them wins: once the record says stopped, the stop is carried out by this holder or the next. Where an
// instance can't be asked for its streams, the server goes on running.
//
// Fleet has one mutex; no call is made while it is held.
package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/orders"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// interval is how often the view is read or pulled.
	interval = time.Second
	// staleAfter is the age of the view from which an instance reads the platform itself.
	staleAfter = 3 * time.Second
	// drainGrace passes between the mark and the stop, so that each reachable instance knows of it.
	drainGrace = 2*interval + staleAfter
	// reasonUnavailable is the refusal of a kind that can't be had.
	reasonUnavailable = string(wire.ServerOrderResultReasonUnavailable)
)

// Fleet manages the backend servers of one data centre. The exported fields are set before Run.
type Fleet struct {
	DataCentre string
	Instance   string
	Lease      *lease.Lease
	Objects    platform.Store
	Log        *zap.Logger
	// Servers reads the states of the ordering interface.
	Servers func(ctx context.Context, dataCentre string) (wire.ServerStates, error)
	// Start and Stop give orders under the lease.
	Start func(ctx context.Context, server, kind string) error
	Stop  func(ctx context.Context, server string) error
	// Config returns the configuration in force, or nil.
	Config func() *wire.Config
	// Demand returns the load of a pool; false leaves the pool's servers as they are. It may be nil.
	Demand func(pool string) (Demand, bool)
	// Running returns the streams on a server over all instances; false is that some instance couldn't be asked.
	Running func(server string) (int, bool)
	// Pull returns the view of the lease's holder; nil is none.
	Pull func(ctx context.Context) (wire.FleetView, error)
	// OnChange is called after a state has changed; it may be nil.
	OnChange func()

	plan Plan

	mu sync.Mutex
	// states by server, as of readAt.
	states map[string]wire.FleetServerState
	readAt time.Time
	// stops are the planned stops by server, as of readAt.
	stops map[string]storedStop
	// drained are the superfluous servers that are draining, and since when. They are forgotten with the lease.
	drained map[string]time.Time
}

// storedStop is a planned stop with its object.
type storedStop struct {
	obj    wire.Object
	record wire.StopRecord
}

// facts is one reading of the platform.
type facts struct {
	servers map[string]wire.ServerState
	stops   map[string]storedStop
}

func (f *Fleet) log() *zap.Logger {
	if f.Log == nil {
		return zap.NewNop()
	}
	return f.Log
}

// Run keeps the view and, while the lease is held, the servers, until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		if f.Lease.Check() == nil {
			f.lead(ctx)
		} else {
			f.forget()
			f.follow(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fleet) forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = nil
}

// lead does one round of the holder.
func (f *Fleet) lead(ctx context.Context) {
	known, err := f.read(ctx)
	if err != nil {
		f.log().Warn("fleet_unreadable", zap.Error(err))
		return
	}
	moved := false
	for server, stop := range known.stops {
		moved = f.advance(ctx, server, stop, known.servers[server]) || moved
	}
	if moved {
		if known, err = f.read(ctx); err != nil {
			return
		}
	}
	f.scale(ctx, known)
	f.stopDrained(ctx)
}

// read reads the platform and sets the view.
func (f *Fleet) read(ctx context.Context) (facts, error) {
	at := time.Now()
	list, err := f.Objects.List(ctx, platform.KindStop, "")
	if err != nil {
		return facts{}, err
	}
	states, err := f.Servers(ctx, f.DataCentre)
	if err != nil {
		return facts{}, err
	}
	known := facts{servers: map[string]wire.ServerState{}, stops: map[string]storedStop{}}
	for _, s := range states.Servers {
		known.servers[s.Server] = s
	}
	for _, obj := range list.Items {
		record, err := platform.Decode[wire.StopRecord](obj)
		if err != nil {
			f.log().Error("stop_unreadable", zap.String("name", obj.Name), zap.Error(err))
			continue
		}
		if f.isOurs(obj.Name) {
			known.stops[obj.Name] = storedStop{obj, record}
		}
	}
	f.setStates(f.derive(known), at)
	f.mu.Lock()
	f.stops = known.stops
	f.mu.Unlock()
	return known, nil
}

func (f *Fleet) isOurs(server string) bool {
	for _, s := range f.ownServers() {
		if s.Name == server {
			return true
		}
	}
	return false
}

// ownServers returns the configured servers of the data centre.
func (f *Fleet) ownServers() []wire.Server {
	cfg := f.Config()
	if cfg == nil {
		return nil
	}
	var own []wire.Server
	for _, s := range cfg.Servers {
		if s.DataCentre == f.DataCentre {
			own = append(own, s)
		}
	}
	return own
}

// derive returns the state of each configured server.
func (f *Fleet) derive(known facts) map[string]wire.FleetServerState {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := map[string]wire.FleetServerState{}
	for _, s := range f.ownServers() {
		ordered, listed := known.servers[s.Name]
		_, draining := f.drained[s.Name]
		stop := known.stops[s.Name].record.State
		switch {
		case listed && ordered.State == wire.ServerStateStateEvicting:
			states[s.Name] = wire.FleetServerStateEvicting
		case listed && ordered.State != wire.ServerStateStateRunning:
			states[s.Name] = wire.FleetServerStateStopped
		case draining, stop == wire.StopRecordStateDraining, stop == wire.StopRecordStateStopped:
			states[s.Name] = wire.FleetServerStateDraining
		default:
			states[s.Name] = wire.FleetServerStateServing
		}
	}
	return states
}

// advance moves a planned stop on and tells whether its record has changed.
func (f *Fleet) advance(ctx context.Context, server string, stop storedStop, state wire.ServerState) bool {
	switch stop.record.State {
	case wire.StopRecordStatePlanned:
		if time.Now().UnixMilli() >= int64(stop.record.NotBeforeMs) {
			return f.mark(ctx, stop, wire.StopRecordStateDraining)
		}
	case wire.StopRecordStateDraining:
		since := time.UnixMilli(int64(stop.record.AtMs))
		if time.Since(since) >= drainGrace && f.isIdle(server) {
			return f.mark(ctx, stop, wire.StopRecordStateStopped)
		}
	case wire.StopRecordStateStopped:
		if state.State == wire.ServerStateStateRunning && f.isIdle(server) {
			f.order(server, "stop", f.Stop(ctx, server))
		}
	}
	return false
}

func (f *Fleet) isIdle(server string) bool {
	n, known := f.Running(server)
	return known && n == 0
}

// mark sets the state of a stop by a conditional update and tells whether it did; a cancel that came first stays.
func (f *Fleet) mark(ctx context.Context, stop storedStop, state wire.StopRecordState) bool {
	if f.Lease.Check() != nil {
		return false
	}
	record := stop.record
	record.State = state
	record.AtMs = int(time.Now().UnixMilli())
	_, err := f.Objects.Update(ctx, platform.KindStop, stop.obj.Name, stop.obj.Version, record)
	f.log().Info("stop_"+string(state), zap.String("server", stop.obj.Name), zap.Error(err))
	return err == nil
}

func (f *Fleet) order(server, action string, err error) {
	if err != nil {
		f.log().Warn("server_order_failed", zap.String("server", server), zap.String("action", action), zap.Error(err))
	}
}

// scale starts what the demand needs and begins to drain what it doesn't.
func (f *Fleet) scale(ctx context.Context, known facts) {
	cfg := f.Config()
	if cfg == nil || f.Demand == nil {
		return
	}
	for _, pool := range cfg.Pools {
		demand, ok := f.Demand(pool.Name)
		if !ok {
			continue
		}
		decision := f.plan.Decide(time.Now(), pool, demand, f.candidates(pool.Name, known))
		for _, server := range decision.Start {
			f.start(ctx, server, known)
		}
		f.drain(decision.Drain)
	}
}

// candidates returns the servers of a pool that the ordering interface knows.
func (f *Fleet) candidates(pool string, known facts) []Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Candidate
	for _, s := range f.ownServers() {
		state, listed := known.servers[s.Name]
		if s.Pool != pool || !listed {
			continue
		}
		stop, planned := known.stops[s.Name]
		_, draining := f.drained[s.Name]
		list = append(list, Candidate{
			Server: s,
			Up:     state.State == wire.ServerStateStateRunning || state.State == wire.ServerStateStateStarting,
			Barred: draining || state.State == wire.ServerStateStateEvicting || planned && stop.record.State != wire.StopRecordStateCancelled,
		})
	}
	return list
}

func (f *Fleet) start(ctx context.Context, server string, known facts) {
	kind := string(known.servers[server].Kind)
	for _, s := range f.ownServers() {
		if s.Name == server && s.Kind != "" {
			kind = string(s.Kind)
		}
	}
	err := f.Start(ctx, server, kind)
	var refused orders.ErrRefused
	if errors.As(err, &refused) && refused.Reason == reasonUnavailable && kind == string(wire.ServerKindCheap) {
		f.plan.CheapUnavailable(time.Now())
	}
	f.order(server, "start", err)
}

func (f *Fleet) drain(servers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, server := range servers {
		if f.drained == nil {
			f.drained = map[string]time.Time{}
		}
		if _, known := f.drained[server]; !known {
			f.drained[server] = time.Now()
			f.log().Info("server_superfluous", zap.String("server", server))
		}
	}
}

// stopDrained stops the superfluous servers that are idle.
func (f *Fleet) stopDrained(ctx context.Context) {
	f.mu.Lock()
	var ready []string
	for server, since := range f.drained {
		if time.Since(since) >= drainGrace {
			ready = append(ready, server)
		}
	}
	f.mu.Unlock()
	for _, server := range ready {
		if !f.isIdle(server) {
			continue
		}
		err := f.Stop(ctx, server)
		f.order(server, "stop", err)
		if err == nil {
			f.mu.Lock()
			delete(f.drained, server)
			f.mu.Unlock()
		}
	}
}

// Wanted tells whether an order that an earlier holder left open should still be carried out.
func (f *Fleet) Wanted(intent wire.IntentRecord) bool {
	if intent.Receiver != wire.IntentRecordReceiverPlatform {
		return true
	}
	f.mu.Lock()
	stop, planned := f.stops[intent.Server]
	f.mu.Unlock()
	if intent.Action == string(wire.ServerOrderActionStart) {
		return !planned || stop.record.State == wire.StopRecordStateCancelled
	}
	return planned && stop.record.State == wire.StopRecordStateStopped && f.isIdle(intent.Server)
}
