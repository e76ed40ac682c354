// Package ordering stands in for the platform's interface that starts and stops backend servers by data centre.
package ordering

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// Faults are the settable faults of the ordering interface.
type Faults struct {
	web.PlatformFaults
	// CheapUnavailable lists data centres without servers of the cheap kind to start; "*" is all.
	CheapUnavailable []string `json:"cheap_unavailable"`
	// IgnoreFences accepts orders with an old fencing number.
	IgnoreFences bool `json:"ignore_fences"`
	// StartMs is the time from an accepted start to the running server, in milliseconds.
	StartMs int `json:"start_ms"`
}

// Entry is a backend server as the stand-in is told of it.
type Entry struct {
	Server     string               `json:"server"`
	DataCentre string               `json:"data_centre"`
	Kind       wire.ServerStateKind `json:"kind"`
	// Stopped servers wait for a start order.
	Stopped bool `json:"stopped"`
	// Admin is the address of the server's stand-in, which goes down with it; empty is none.
	Admin string `json:"admin"`
}

// Eviction is the body of POST /admin/evict.
type Eviction struct {
	DataCentre string `json:"data_centre"`
	NoticeMs   int    `json:"notice_ms"`
}

// Received is an order of the history.
type Received struct {
	Order wire.ServerOrder `json:"order"`
	// AtMs is the Unix time of arrival in milliseconds.
	AtMs     int                          `json:"at_ms"`
	Accepted bool                         `json:"accepted"`
	Repeat   bool                         `json:"repeat"`
	Reason   wire.ServerOrderResultReason `json:"reason"`
	// OldFence tells that the data centre had sent a higher fencing number before.
	OldFence bool `json:"old_fence"`
}

// Server is one ordering interface. Its exported fields are set before Run or Handler.
type Server struct {
	// Address is the IP number and port that Run listens on.
	Address string
	// Ready, if set, gets the bound address.
	Ready func(address string)
	// Entries are the servers known at the start.
	Entries []Entry
	// StartDelay is the time from an accepted start to the running server.
	StartDelay time.Duration
	// IgnoreFences accepts orders with an old fencing number.
	IgnoreFences bool

	faults web.Faults[Faults]

	mu      sync.Mutex
	servers map[string]*server
	results map[string]wire.ServerOrderResult
	// fences holds the highest fencing number by data centre.
	fences map[string]int
	// holders names who first sent a fencing number of a data centre.
	holders map[fence]string
	history []Received
	shared  int
}

// fence is a fencing number of a data centre's lease.
type fence struct {
	dataCentre string
	number     int
}

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.Ready)
}

// Handler returns the ordering interface with the stand-in's own interface.
func (s *Server) Handler() http.Handler {
	s.servers = map[string]*server{}
	s.results = map[string]wire.ServerOrderResult{}
	s.fences = map[string]int{}
	s.holders = map[fence]string{}
	s.faults.Update(func(f *Faults) {
		f.StartMs = int(s.StartDelay / time.Millisecond)
		f.IgnoreFences = s.IgnoreFences
	})
	s.add(s.Entries)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", s.guard(s.order))
	mux.HandleFunc("GET /v1/servers", s.guard(s.list))
	mux.HandleFunc("POST /admin/servers", s.addServers)
	mux.HandleFunc("POST /admin/evict", s.evict)
	mux.HandleFunc("GET /admin/history", s.answerHistory)
	mux.HandleFunc("GET /admin/stats", s.answerStats)
	mux.Handle("/admin/faults", &s.faults)
	return mux
}

func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.Get()
		if f.Cuts(r) {
			web.Drop()
		}
		if f.Down {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		f.Wait()
		next(w, r)
	}
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order wire.ServerOrder
	if err := web.Read(r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if slices.Contains(s.faults.Get().CutInstances, order.Holder) && order.Holder != "" {
		web.Drop()
	}
	result := s.receive(order)
	if s.faults.Take(func(f *Faults) bool { return f.TakeLost("") }) {
		web.Drop()
	}
	web.Write(w, http.StatusOK, result)
}

// receive carries out an order unless its id is known, and records it.
func (s *Server) receive(order wire.ServerOrder) wire.ServerOrderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := s.fences[order.DataCentre]
	received := Received{Order: order, AtMs: nowMs(), OldFence: order.Fence < highest}
	result, known := s.results[order.Id]
	if !known {
		result = s.decide(order)
	}
	if !known && result.Reason != wire.ServerOrderResultReasonOldFence {
		s.noteHolder(order)
	}
	if !known && result.Accepted {
		s.results[order.Id] = result
	}
	received.Accepted = result.Accepted
	received.Repeat = known
	received.Reason = result.Reason
	s.history = append(s.history, received)
	return result
}

// decide checks an order and carries it out.
func (s *Server) decide(order wire.ServerOrder) wire.ServerOrderResult {
	f := s.faults.Get()
	refuse := func(reason wire.ServerOrderResultReason) wire.ServerOrderResult {
		return wire.ServerOrderResult{Id: order.Id, Reason: reason, HighestFence: s.fences[order.DataCentre]}
	}
	if order.Id == "" || order.DataCentre == "" {
		return refuse(wire.ServerOrderResultReasonBadRequest)
	}
	if order.Fence < s.fences[order.DataCentre] && !f.IgnoreFences {
		return refuse(wire.ServerOrderResultReasonOldFence)
	}
	s.fences[order.DataCentre] = max(s.fences[order.DataCentre], order.Fence)
	srv := s.find(order)
	if srv == nil {
		return refuse(wire.ServerOrderResultReasonUnknownServer)
	}
	switch order.Action {
	case wire.ServerOrderActionStart:
		if srv.isCheap() && lacksCheap(f, order.DataCentre) {
			return refuse(wire.ServerOrderResultReasonUnavailable)
		}
		srv.start(web.Millis(f.StartMs))
	case wire.ServerOrderActionStop:
		srv.stop()
	default:
		return refuse(wire.ServerOrderResultReasonBadRequest)
	}
	return wire.ServerOrderResult{Id: order.Id, Accepted: true, HighestFence: s.fences[order.DataCentre]}
}

// noteHolder counts a fencing number that two holders use.
func (s *Server) noteHolder(order wire.ServerOrder) {
	key := fence{order.DataCentre, order.Fence}
	first, ok := s.holders[key]
	if !ok {
		s.holders[key] = order.Holder
		return
	}
	if first != order.Holder {
		s.shared++
	}
}

// find returns the server that the order names, or for a start without a name the first stopped one of its kind.
func (s *Server) find(order wire.ServerOrder) *server {
	if order.Server != "" {
		srv := s.servers[order.Server]
		if srv == nil || srv.entry.DataCentre != order.DataCentre {
			return nil
		}
		return srv
	}
	if order.Action != wire.ServerOrderActionStart {
		return nil
	}
	for _, srv := range s.sorted() {
		sameKind := string(order.Kind) == "" || srv.isCheap() == (order.Kind == wire.ServerOrderKindCheap)
		if srv.entry.DataCentre == order.DataCentre && sameKind && srv.isStopped() {
			return srv
		}
	}
	return nil
}

func (s *Server) sorted() []*server {
	all := make([]*server, 0, len(s.servers))
	for _, srv := range s.servers {
		all = append(all, srv)
	}
	slices.SortFunc(all, func(a, b *server) int { return strings.Compare(a.entry.Server, b.entry.Server) })
	return all
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	dataCentre := r.URL.Query().Get("data_centre")
	s.mu.Lock()
	defer s.mu.Unlock()
	states := wire.ServerStates{Servers: []wire.ServerState{}}
	for _, srv := range s.sorted() {
		if dataCentre == "" || srv.entry.DataCentre == dataCentre {
			states.Servers = append(states.Servers, srv.state())
		}
	}
	web.Write(w, http.StatusOK, states)
}

func lacksCheap(f Faults, dataCentre string) bool {
	return slices.Contains(f.CheapUnavailable, dataCentre) || slices.Contains(f.CheapUnavailable, "*")
}

func nowMs() int {
	return int(time.Now().UnixMilli())
}
