package ordering

import (
	"net/http"
	"slices"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// Stats are the figures of GET /admin/stats.
type Stats struct {
	Orders   int `json:"orders"`
	Accepted int `json:"accepted"`
	// Carried counts the orders carried out, each id once.
	Carried int `json:"carried"`
	Repeats int `json:"repeats"`
	// OldFences counts the orders that came with an old fencing number.
	OldFences int `json:"old_fences"`
	// OldFencesAccepted counts those of them that were carried out.
	OldFencesAccepted int `json:"old_fences_accepted"`
	// SharedFences counts the orders whose fencing number another holder had used.
	SharedFences int `json:"shared_fences"`
	// Running, Stopped and Evicting count the servers by state.
	Running  int `json:"running"`
	Stopped  int `json:"stopped"`
	Evicting int `json:"evicting"`
	// PaidMs sums the paid time of all servers by kind.
	PaidRegularMs int `json:"paid_regular_ms"`
	PaidCheapMs   int `json:"paid_cheap_ms"`
}

// History is the answer of GET /admin/history.
type History struct {
	Orders []Received `json:"orders"`
}

// add takes in servers; one that is known keeps its state.
func (s *Server) add(entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range entries {
		if s.servers[entry.Server] == nil {
			s.servers[entry.Server] = newServer(entry)
		}
	}
}

func (s *Server) addServers(w http.ResponseWriter, r *http.Request) {
	var entries []Entry
	if err := web.Read(r, &entries); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.add(entries)
	web.Write(w, http.StatusOK, entries)
}

// evict takes away the cheap servers of a data centre after a notice.
func (s *Server) evict(w http.ResponseWriter, r *http.Request) {
	var eviction Eviction
	if err := web.Read(r, &eviction); err != nil {
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
	web.Write(w, http.StatusOK, eviction)
}

func (s *Server) answerHistory(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	history := History{Orders: slices.Clone(s.history)}
	s.mu.Unlock()
	web.Write(w, http.StatusOK, history)
}

func (s *Server) answerStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := Stats{SharedFences: s.shared}
	for _, received := range s.history {
		stats.count(received)
	}
	for _, srv := range s.servers {
		stats.countState(srv.state())
	}
	web.Write(w, http.StatusOK, stats)
}

func (s *Stats) count(received Received) {
	s.Orders++
	if received.Accepted {
		s.Accepted++
	}
	if received.Repeat {
		s.Repeats++
	}
	if received.Accepted && !received.Repeat {
		s.Carried++
	}
	if received.OldFence {
		s.OldFences++
	}
	if received.OldFence && received.Accepted && !received.Repeat {
		s.OldFencesAccepted++
	}
}

func (s *Stats) countState(state wire.ServerState) {
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
