package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

// State returns the state of a backend server in this instance's view. Unknown servers count as serving.
func (m *Manager) State(server string) wire.FleetServerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.states[server]
	if !ok {
		return wire.FleetServerStateServing
	}
	return state
}

// View returns this instance's view for its peers. AgeMs is -1 if it has none yet.
func (m *Manager) View() wire.FleetView {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := wire.FleetView{DataCentre: m.DataCentre, AgeMs: -1, Servers: []wire.FleetServer{}}
	if !m.readAt.IsZero() {
		view.AgeMs = int(time.Since(m.readAt).Milliseconds())
	}
	for server, state := range m.states {
		if state != wire.FleetServerStateServing {
			view.Servers = append(view.Servers, wire.FleetServer{Server: server, State: state})
		}
	}
	return view
}

// refreshView updates the view from the lease holder or, if that is stale, from the platform.
func (m *Manager) refreshView(ctx context.Context) {
	if m.PullView != nil {
		requestedAt := time.Now()
		view, err := m.PullView(ctx)
		if err == nil && view.DataCentre == m.DataCentre && view.AgeMs >= 0 {
			m.adoptView(view, requestedAt)
		}
	}
	m.mu.Lock()
	stale := time.Since(m.readAt) > staleAfter
	m.mu.Unlock()
	if !stale {
		return
	}
	if _, err := m.readPlatform(ctx); err != nil {
		m.log().Warn("fleet_unreadable", zap.Error(err))
	}
}

// adoptView replaces this instance's view by that of a peer if the peer's is newer. The age of the peer's view is
// counted from the time of the request.
func (m *Manager) adoptView(view wire.FleetView, requestedAt time.Time) {
	readAt := requestedAt.Add(-time.Duration(view.AgeMs) * time.Millisecond)
	states := make(map[string]wire.FleetServerState, len(view.Servers))
	for _, s := range view.Servers {
		states[s.Server] = s.State
	}
	m.setStates(states, readAt)
}

// setStates replaces the states if the new ones are more recent, logs the changes and calls OnChange.
func (m *Manager) setStates(states map[string]wire.FleetServerState, readAt time.Time) {
	m.mu.Lock()
	if !readAt.After(m.readAt) {
		m.mu.Unlock()
		return
	}
	before := m.states
	m.states = states
	m.readAt = readAt
	m.mu.Unlock()
	changed := false
	for server, state := range states {
		if before[server] != state {
			changed = true
			m.log().Info("server_state", zap.String("instance", m.Instance), zap.String("server", server), zap.String("state", string(state)))
		}
	}
	if (changed || len(before) != len(states)) && m.OnChange != nil {
		m.OnChange()
	}
}
