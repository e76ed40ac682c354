package ordering

import (
	"net/http"
	"slices"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// Stats is the response to GET /admin/stats.
type Stats struct {
	Orders   int `json:"orders"`
	Accepted int `json:"accepted"`
	// Executed counts the executed orders; an order that is repeated with the same id counts once.
	Executed int `json:"carried"`
	Repeats  int `json:"repeats"`
	// OldFences counts the orders with a lower fencing token than an earlier order of the same data centre.
	OldFences int `json:"old_fences"`
	// OldFencesAccepted counts those of OldFences that were executed, which the fault IgnoreFences allows.
	OldFencesAccepted int `json:"old_fences_accepted"`
	// SharedFences counts the orders whose fencing token another lease holder had used before; each takeover of the
	// lease should lead to a new token.
	SharedFences int `json:"shared_fences"`
	// Running, Stopped and Evicting count the servers by state; a starting server counts as running.
	Running  int `json:"running"`
	Stopped  int `json:"stopped"`
	Evicting int `json:"evicting"`
	// PaidRegularMs and PaidCheapMs are the sums of the paid time of all regular and all cheap servers in milliseconds.
	// A server is paid for while it isn't stopped.
	PaidRegularMs int `json:"paid_regular_ms"`
	PaidCheapMs   int `json:"paid_cheap_ms"`
}

// History is the response to GET /admin/history.
type History struct {
	Orders []ReceivedOrder `json:"orders"`
}

// addEntries adds servers. A server that exists already keeps its state.
func (s *Server) addEntries(entries []ServerEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range entries {
		if s.servers[entry.Server] == nil {
			s.servers[entry.Server] = newServer(entry)
		}
	}
}

func (s *Server) addServers(w http.ResponseWriter, r *http.Request) {
	var entries []ServerEntry
	if err := web.ReadJSON(r, &entries); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.addEntries(entries)
	web.WriteJSON(w, http.StatusOK, entries)
}

// evict handles POST /admin/evict: it announces that all cheap servers of a data centre stop after the notice period.
func (s *Server) evict(w http.ResponseWriter, r *http.Request) {
	var eviction Eviction
	if err := web.ReadJSON(r, &eviction); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		if srv.isCheap() && srv.entry.DataCentre == eviction.DataCentre {
			srv.evict(web.Millis(eviction.NoticeMs))
		}
	}
	web.WriteJSON(w, http.StatusOK, eviction)
}

func (s *Server) handleHistory(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	history := History{Orders: slices.Clone(s.history)}
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, history)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{SharedFences: s.sharedFences}
	for _, received := range s.history {
		stats.addOrder(received)
	}
	for _, srv := range s.servers {
		stats.addServer(srv.state())
	}
	web.WriteJSON(w, http.StatusOK, stats)
}

func (s *Stats) addOrder(received ReceivedOrder) {
	s.Orders++
	if received.Accepted {
		s.Accepted++
	}
	if received.Repeat {
		s.Repeats++
	}
	if received.Accepted && !received.Repeat {
		s.Executed++
	}
	if received.OldFence {
		s.OldFences++
	}
	if received.OldFence && received.Accepted && !received.Repeat {
		s.OldFencesAccepted++
	}
}

func (s *Stats) addServer(state wire.ServerState) {
	switch state.State {
	case wire.ServerStateStateRunning, wire.ServerStateStateStarting:
		s.Running++
	case wire.ServerStateStateEvicting:
		s.Evicting++
	default:
		s.Stopped++
	}
	if state.Kind == wire.ServerStateKindCheap {
		s.PaidCheapMs += state.PaidMs
		return
	}
	s.PaidRegularMs += state.PaidMs
}
