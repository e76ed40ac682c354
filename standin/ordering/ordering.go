// Package ordering simulates the platform's ordering API for tests, which starts and stops the backend servers of each
// data centre. The orders of a data centre come from the instance that holds its lease. Each order carries the fencing
// token of the lease, a number that each takeover increments, so that the API can refuse orders of a previous holder.
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

// Faults are the settable faults of the ordering API.
type Faults struct {
	web.PlatformFaults
	// CheapUnavailable lists the data centres in which no server of the cheap kind can be started; "*" means all.
	CheapUnavailable []string `json:"cheap_unavailable"`
	// IgnoreFences accepts an order even if its fencing token is lower than that of an earlier order.
	IgnoreFences bool `json:"ignore_fences"`
	// StartMs is the time between an accepted start order and the state running, in milliseconds.
	StartMs int `json:"start_ms"`
}

// ServerEntry describes a backend server to the stand-in.
type ServerEntry struct {
	Server     string               `json:"server"`
	DataCentre string               `json:"data_centre"`
	Kind       wire.ServerStateKind `json:"kind"`
	// Stopped is true if the server is initially stopped.
	Stopped bool `json:"stopped"`
	// Admin is the address of the stand-in that simulates the server. It is set to down while the server is stopped.
	// Empty means that there is none.
	Admin string `json:"admin"`
}

// Eviction is the body of POST /admin/evict. An eviction stops the cheap servers of a data centre after a notice
// period.
type Eviction struct {
	DataCentre string `json:"data_centre"`
	NoticeMs   int    `json:"notice_ms"`
}

// ReceivedOrder is an order in the history, with its outcome.
type ReceivedOrder struct {
	Order wire.ServerOrder `json:"order"`
	// AtMs is the Unix time of arrival in milliseconds.
	AtMs     int  `json:"at_ms"`
	Accepted bool `json:"accepted"`
	// Repeat is true if an order with the same id was accepted before.
	Repeat bool                         `json:"repeat"`
	Reason wire.ServerOrderResultReason `json:"reason"`
	// OldFence is true if an earlier order of the data centre had a higher fencing token.
	OldFence bool `json:"old_fence"`
}

// Server is one simulated ordering API. Its exported fields are set before Run or Handler is called.
type Server struct {
	// Address is the IP address and port on which Run listens.
	Address string
	// OnListen, if set, is called with the bound address.
	OnListen func(address string)
	// Entries describes the servers that exist when Run starts.
	Entries []ServerEntry
	// StartDelay is the initial value of the fault StartMs.
	StartDelay time.Duration
	// IgnoreFences is the initial value of the fault IgnoreFences.
	IgnoreFences bool

	faults web.Faults[Faults]

	mu      sync.Mutex
	servers map[string]*server
	// resultsByOrderID holds the results of the accepted orders.
	resultsByOrderID map[string]wire.ServerOrderResult
	// highestFences holds the highest fencing token of any order by data centre.
	highestFences map[string]int
	// fenceHolders holds, for each fencing token, the lease holder that used the token first.
	fenceHolders map[fenceKey]string
	history      []ReceivedOrder
	// sharedFences counts the orders whose fencing token another lease holder had used before.
	sharedFences int
}

// fenceKey identifies a fencing token among those of all data centres; each data centre has its own sequence of tokens.
type fenceKey struct {
	dataCentre   string
	fencingToken int
}

// Run serves requests until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.OnListen)
}

// Handler returns the handler of the ordering API and of the stand-in's /admin endpoints.
func (s *Server) Handler() http.Handler {
	s.servers = map[string]*server{}
	s.resultsByOrderID = map[string]wire.ServerOrderResult{}
	s.highestFences = map[string]int{}
	s.fenceHolders = map[fenceKey]string{}
	s.faults.Update(func(f *Faults) {
		f.StartMs = int(s.StartDelay / time.Millisecond)
		f.IgnoreFences = s.IgnoreFences
	})
	s.addEntries(s.Entries)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/orders", s.withFaults(s.order))
	mux.HandleFunc("GET /v1/servers", s.withFaults(s.listServers))
	mux.HandleFunc("POST /admin/servers", s.addServers)
	mux.HandleFunc("POST /admin/evict", s.evict)
	mux.HandleFunc("GET /admin/history", s.handleHistory)
	mux.HandleFunc("GET /admin/stats", s.handleStats)
	mux.Handle("/admin/faults", &s.faults)
	return mux
}

func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.Get()
		if f.IsCutOff(r) {
			web.AbortConnection()
		}
		if f.Down {
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
			return
		}
		f.Delay()
		next(w, r)
	}
}

// order handles POST /v1/orders.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order wire.ServerOrder
	if err := web.ReadJSON(r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if slices.Contains(s.faults.Get().CutInstances, order.Holder) && order.Holder != "" {
		web.AbortConnection()
	}
	result := s.handleOrder(order)
	if s.faults.Consume(func(f *Faults) bool { return f.ConsumeLostAnswer("") }) {
		web.AbortConnection()
	}
	web.WriteJSON(w, http.StatusOK, result)
}

// handleOrder executes an order and adds it to the history. An order that repeats an accepted id isn't executed again
// and gets the earlier result.
func (s *Server) handleOrder(order wire.ServerOrder) wire.ServerOrderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest := s.highestFences[order.DataCentre]
	received := ReceivedOrder{Order: order, AtMs: nowMs(), OldFence: order.Fence < highest}
	result, isRepeat := s.resultsByOrderID[order.Id]
	if !isRepeat {
		result = s.execute(order)
	}
	if !isRepeat && result.Reason != wire.ServerOrderResultReasonOldFence {
		s.countSharedFence(order)
	}
	if !isRepeat && result.Accepted {
		s.resultsByOrderID[order.Id] = result
	}
	received.Accepted = result.Accepted
	received.Repeat = isRepeat
	received.Reason = result.Reason
	s.history = append(s.history, received)
	return result
}

// execute validates an order and executes it.
func (s *Server) execute(order wire.ServerOrder) wire.ServerOrderResult {
	f := s.faults.Get()
	refuse := func(reason wire.ServerOrderResultReason) wire.ServerOrderResult {
		return wire.ServerOrderResult{Id: order.Id, Reason: reason, HighestFence: s.highestFences[order.DataCentre]}
	}
	if order.Id == "" || order.DataCentre == "" {
		return refuse(wire.ServerOrderResultReasonBadRequest)
	}
	if order.Fence < s.highestFences[order.DataCentre] && !f.IgnoreFences {
		return refuse(wire.ServerOrderResultReasonOldFence)
	}
	s.highestFences[order.DataCentre] = max(s.highestFences[order.DataCentre], order.Fence)
	srv := s.findServer(order)
	if srv == nil {
		return refuse(wire.ServerOrderResultReasonUnknownServer)
	}
	switch order.Action {
	case wire.ServerOrderActionStart:
		if srv.isCheap() && isCheapUnavailable(f, order.DataCentre) {
			return refuse(wire.ServerOrderResultReasonUnavailable)
		}
		srv.start(web.Millis(f.StartMs))
	case wire.ServerOrderActionStop:
		srv.stop()
	default:
		return refuse(wire.ServerOrderResultReasonBadRequest)
	}
	return wire.ServerOrderResult{Id: order.Id, Accepted: true, HighestFence: s.highestFences[order.DataCentre]}
}

// countSharedFence counts the order if another lease holder was the first to use its fencing token.
func (s *Server) countSharedFence(order wire.ServerOrder) {
	key := fenceKey{order.DataCentre, order.Fence}
	firstHolder, ok := s.fenceHolders[key]
	if !ok {
		s.fenceHolders[key] = order.Holder
		return
	}
	if firstHolder != order.Holder {
		s.sharedFences++
	}
}

// findServer returns the server that the order names. For a start order without a name it returns the first stopped
// server of the requested kind.
func (s *Server) findServer(order wire.ServerOrder) *server {
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
	for _, srv := range s.sortedServers() {
		sameKind := string(order.Kind) == "" || srv.isCheap() == (order.Kind == wire.ServerOrderKindCheap)
		if srv.entry.DataCentre == order.DataCentre && sameKind && srv.isStopped() {
			return srv
		}
	}
	return nil
}

func (s *Server) sortedServers() []*server {
	all := make([]*server, 0, len(s.servers))
	for _, srv := range s.servers {
		all = append(all, srv)
	}
	slices.SortFunc(all, func(a, b *server) int { return strings.Compare(a.entry.Server, b.entry.Server) })
	return all
}

func (s *Server) listServers(w http.ResponseWriter, r *http.Request) {
	dataCentre := r.URL.Query().Get("data_centre")
	s.mu.Lock()
	defer s.mu.Unlock()
	states := wire.ServerStates{Servers: []wire.ServerState{}}
	for _, srv := range s.sortedServers() {
		if dataCentre == "" || srv.entry.DataCentre == dataCentre {
			states.Servers = append(states.Servers, srv.state())
		}
	}
	web.WriteJSON(w, http.StatusOK, states)
}

func isCheapUnavailable(f Faults, dataCentre string) bool {
	return slices.Contains(f.CheapUnavailable, dataCentre) || slices.Contains(f.CheapUnavailable, "*")
}

// nowMs returns the current Unix time in milliseconds.
func nowMs() int {
	return int(time.Now().UnixMilli())
}
