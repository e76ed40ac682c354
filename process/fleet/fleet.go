// Package fleet starts and stops the backend servers of a data centre as the demand requires, without interrupting
// requests.
//
// The holder of the lease reads the planned stops and the server states of the ordering interface and sends orders. The
// view of an instance is the state of each server as the instance knows it. The other instances pull the holder's view.
// If that is stale, they read the platform themselves.
//
// Servers of the cheap kind cost less, and the platform may evict them: it takes them back at short notice. A server is
// superfluous if the demand doesn't need it.
//
// The stop of a server is first planned by an operator. In state draining, no instance sends the server new requests.
// Once no stream runs on the server and draining has lasted drainGrace, the state becomes stopped, and only then is the
// stop order sent. A concurrent cancellation either precedes one of these conditional updates or fails: once the record
// says stopped, this holder or the next one carries out the stop. If an instance can't be asked for its streams, the
// server keeps running.
//
// Manager has one mutex; no function outside the package is called while it is held.
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
	// viewInterval is the time between two reads or pulls of the view.
	viewInterval = time.Second
	// staleAfter is the age of the view above which an instance reads the platform itself.
	staleAfter = 3 * time.Second
	// drainGrace is the minimum time between the draining and the stopped state, so that every reachable instance has
	// been informed of the draining.
	drainGrace = 2*viewInterval + staleAfter
	// reasonUnavailable is the reason of a refused order for a kind of server that is unavailable.
	reasonUnavailable = string(wire.ServerOrderResultReasonUnavailable)
)

// Manager manages the backend servers of one data centre. The exported fields must be set before Run.
type Manager struct {
	DataCentre string
	Instance   string
	Lease      *lease.Lease
	Objects    platform.Store
	Log        *zap.Logger
	// Servers reads the server states from the ordering interface.
	Servers func(ctx context.Context, dataCentre string) (wire.ServerStates, error)
	// Start and Stop send orders under the lease.
	Start func(ctx context.Context, server, kind string) error
	Stop  func(ctx context.Context, server string) error
	// Config returns the configuration in force, or nil.
	Config func() *wire.Config
	// Demand returns the load of a pool; if it returns false, the pool's servers are left unchanged. It may be nil.
	Demand func(pool string) (Demand, bool)
	// Running returns the number of streams of all instances on a server, or false if an instance couldn't be asked.
	Running func(server string) (int, bool)
	// PullView returns the view of the lease holder; it may be nil.
	PullView func(ctx context.Context) (wire.FleetView, error)
	// OnChange is called after the state of a server has changed; it may be nil.
	OnChange func()

	planner Planner

	mu sync.Mutex
	// states holds the states by server name, as of readAt. A server without an entry is serving.
	states map[string]wire.FleetServerState
	readAt time.Time
	// stops holds the stop records by server name, as of the last read of the platform.
	stops map[string]storedStop
	// drainingSince holds the superfluous servers that are draining, by name, with the time when they began to drain. It
	// is cleared when the lease is lost.
	drainingSince map[string]time.Time
}

// storedStop is a stop record with the object in which it is stored.
type storedStop struct {
	obj    wire.Object
	record wire.StopRecord
}

// platformState holds the server states and stop records of one read of the platform.
type platformState struct {
	servers map[string]wire.ServerState
	stops   map[string]storedStop
}

func (m *Manager) log() *zap.Logger {
	if m.Log == nil {
		return zap.NewNop()
	}
	return m.Log
}

// Run keeps the view up to date and, while the lease is held, starts and stops servers. It returns when ctx is done.
func (m *Manager) Run(ctx context.Context) {
	t := time.NewTicker(viewInterval)
	defer t.Stop()
	for {
		if m.Lease.Check() == nil {
			m.runRound(ctx)
		} else {
			m.clearDraining()
			m.refreshView(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// clearDraining clears the list of draining superfluous servers; it is called while the lease isn't held.
func (m *Manager) clearDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drainingSince = nil
}

// runRound performs one round of the lease holder: it reads the platform and starts, drains and stops servers.
func (m *Manager) runRound(ctx context.Context) {
	current, err := m.readPlatform(ctx)
	if err != nil {
		m.log().Warn("fleet_unreadable", zap.Error(err))
		return
	}
	changed := false
	for server, stop := range current.stops {
		changed = m.advanceStop(ctx, server, stop, current.servers[server]) || changed
	}
	if changed {
		if current, err = m.readPlatform(ctx); err != nil {
			return
		}
	}
	m.scale(ctx, current)
	m.stopDrained(ctx)
}

// readPlatform reads the server states and the stop records from the platform and updates the view.
func (m *Manager) readPlatform(ctx context.Context) (platformState, error) {
	at := time.Now()
	list, err := m.Objects.List(ctx, platform.KindStop, "")
	if err != nil {
		return platformState{}, err
	}
	states, err := m.Servers(ctx, m.DataCentre)
	if err != nil {
		return platformState{}, err
	}
	current := platformState{servers: map[string]wire.ServerState{}, stops: map[string]storedStop{}}
	for _, s := range states.Servers {
		current.servers[s.Server] = s
	}
	for _, obj := range list.Items {
		record, err := platform.Decode[wire.StopRecord](obj)
		if err != nil {
			m.log().Error("stop_unreadable", zap.String("name", obj.Name), zap.Error(err))
			continue
		}
		if m.isOwnServer(obj.Name) {
			current.stops[obj.Name] = storedStop{obj, record}
		}
	}
	m.setStates(m.deriveStates(current), at)
	m.mu.Lock()
	m.stops = current.stops
	m.mu.Unlock()
	return current, nil
}

// isOwnServer reports whether the server is configured in this data centre.
func (m *Manager) isOwnServer(server string) bool {
	for _, s := range m.ownServers() {
		if s.Name == server {
			return true
		}
	}
	return false
}

// ownServers returns the configured servers of the data centre.
func (m *Manager) ownServers() []wire.Server {
	cfg := m.Config()
	if cfg == nil {
		return nil
	}
	var own []wire.Server
	for _, s := range cfg.Servers {
		if s.DataCentre == m.DataCentre {
			own = append(own, s)
		}
	}
	return own
}

// deriveStates returns the state of each configured server.
func (m *Manager) deriveStates(current platformState) map[string]wire.FleetServerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := map[string]wire.FleetServerState{}
	for _, s := range m.ownServers() {
		reported, listed := current.servers[s.Name]
		_, draining := m.drainingSince[s.Name]
		stop := current.stops[s.Name].record.State
		switch {
		case listed && reported.State == wire.ServerStateStateEvicting:
			states[s.Name] = wire.FleetServerStateEvicting
		case listed && reported.State != wire.ServerStateStateRunning:
			states[s.Name] = wire.FleetServerStateStopped
		case draining, stop == wire.StopRecordStateDraining, stop == wire.StopRecordStateStopped:
			states[s.Name] = wire.FleetServerStateDraining
		default:
			states[s.Name] = wire.FleetServerStateServing
		}
	}
	return states
}

// advanceStop moves a stop to its next state if possible and reports whether its record has changed.
func (m *Manager) advanceStop(ctx context.Context, server string, stop storedStop, state wire.ServerState) bool {
	switch stop.record.State {
	case wire.StopRecordStatePlanned:
		if time.Now().UnixMilli() >= int64(stop.record.NotBeforeMs) {
			return m.updateStop(ctx, stop, wire.StopRecordStateDraining)
		}
	case wire.StopRecordStateDraining:
		since := time.UnixMilli(int64(stop.record.AtMs))
		if time.Since(since) >= drainGrace && m.isIdle(server) {
			return m.updateStop(ctx, stop, wire.StopRecordStateStopped)
		}
	case wire.StopRecordStateStopped:
		if state.State == wire.ServerStateStateRunning && m.isIdle(server) {
			m.logOrderError(server, "stop", m.Stop(ctx, server))
		}
	}
	return false
}

// isIdle reports whether no stream runs on the server. It returns false if an instance couldn't be asked.
func (m *Manager) isIdle(server string) bool {
	n, known := m.Running(server)
	return known && n == 0
}

// updateStop sets the state of a stop by a conditional update, which fails if an operator has cancelled the stop in the
// meantime. It reports whether the update succeeded.
func (m *Manager) updateStop(ctx context.Context, stop storedStop, state wire.StopRecordState) bool {
	if m.Lease.Check() != nil {
		return false
	}
	record := stop.record
	record.State = state
	record.AtMs = int(time.Now().UnixMilli())
	_, err := m.Objects.Update(ctx, platform.KindStop, stop.obj.Name, stop.obj.Version, record)
	m.log().Info("stop_"+string(state), zap.String("server", stop.obj.Name), zap.Error(err))
	return err == nil
}

// logOrderError logs the error of an order.
func (m *Manager) logOrderError(server, action string, err error) {
	if err != nil {
		m.log().Warn("server_order_failed", zap.String("server", server), zap.String("action", action), zap.Error(err))
	}
}

// scale starts the servers that the demand needs and begins to drain the superfluous ones.
func (m *Manager) scale(ctx context.Context, current platformState) {
	cfg := m.Config()
	if cfg == nil || m.Demand == nil {
		return
	}
	for _, pool := range cfg.Pools {
		demand, ok := m.Demand(pool.Name)
		if !ok {
			continue
		}
		decision := m.planner.Decide(time.Now(), pool, demand, m.candidates(pool.Name, current))
		for _, server := range decision.Start {
			m.startServer(ctx, server, current)
		}
		m.drainServers(decision.Drain)
	}
}

// candidates returns the servers of a pool that are configured in this data centre and listed by the ordering
// interface.
func (m *Manager) candidates(pool string, current platformState) []Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Candidate
	for _, s := range m.ownServers() {
		state, listed := current.servers[s.Name]
		if s.Pool != pool || !listed {
			continue
		}
		stop, planned := current.stops[s.Name]
		_, draining := m.drainingSince[s.Name]
		list = append(list, Candidate{
			Server:   s,
			Running:  state.State == wire.ServerStateStateRunning || state.State == wire.ServerStateStateStarting,
			Excluded: draining || state.State == wire.ServerStateStateEvicting || planned && stop.record.State != wire.StopRecordStateCancelled,
		})
	}
	return list
}

// startServer orders a server to start. If the cheap kind is unavailable, this is recorded in the planner.
func (m *Manager) startServer(ctx context.Context, server string, current platformState) {
	kind := string(current.servers[server].Kind)
	for _, s := range m.ownServers() {
		if s.Name == server && s.Kind != "" {
			kind = string(s.Kind)
		}
	}
	err := m.Start(ctx, server, kind)
	var refused orders.ErrRefused
	if errors.As(err, &refused) && refused.Reason == reasonUnavailable && kind == string(wire.ServerKindCheap) {
		m.planner.MarkCheapUnavailable(time.Now())
	}
	m.logOrderError(server, "start", err)
}

// drainServers marks superfluous servers as draining.
func (m *Manager) drainServers(servers []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, server := range servers {
		if m.drainingSince == nil {
			m.drainingSince = map[string]time.Time{}
		}
		if _, known := m.drainingSince[server]; !known {
			m.drainingSince[server] = time.Now()
			m.log().Info("server_superfluous", zap.String("server", server))
		}
	}
}

// stopDrained stops the superfluous servers that are idle and have been draining for drainGrace.
func (m *Manager) stopDrained(ctx context.Context) {
	m.mu.Lock()
	var ready []string
	for server, since := range m.drainingSince {
		if time.Since(since) >= drainGrace {
			ready = append(ready, server)
		}
	}
	m.mu.Unlock()
	for _, server := range ready {
		if !m.isIdle(server) {
			continue
		}
		err := m.Stop(ctx, server)
		m.logOrderError(server, "stop", err)
		if err == nil {
			m.mu.Lock()
			delete(m.drainingSince, server)
			m.mu.Unlock()
		}
	}
}

// IsWanted reports whether an order that an earlier lease holder left open should still be carried out.
func (m *Manager) IsWanted(intent wire.IntentRecord) bool {
	if intent.Receiver != wire.IntentRecordReceiverPlatform {
		return true
	}
	m.mu.Lock()
	stop, planned := m.stops[intent.Server]
	m.mu.Unlock()
	if intent.Action == string(wire.ServerOrderActionStart) {
		return !planned || stop.record.State == wire.StopRecordStateCancelled
	}
	return planned && stop.record.State == wire.StopRecordStateStopped && m.isIdle(intent.Server)
}
