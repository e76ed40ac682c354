// Package service simulates a plain HTTP service for tests. It counts how often each call was executed, since some
// calls of such a service, for example a booking, must not be executed twice.
package service

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 4 << 20

// Faults are the settable faults of a service.
type Faults struct {
	// Down closes the connection of each request without a response.
	Down bool `json:"down"`
	// Freeze accepts calls but neither executes them nor responds to them.
	Freeze bool `json:"freeze"`
	// SlowMs delays the response after the call was executed, in milliseconds.
	SlowMs int `json:"slow_ms"`
	// FailAfterRun is the number of next calls that are executed but get no response; -1 means all calls.
	FailAfterRun int `json:"fail_after_run"`
	// Errors is the number of next calls that get status 500 without being executed; -1 means all calls.
	Errors int `json:"errors"`
}

// Response is the response to a call.
type Response struct {
	ID string `json:"id"`
	// Runs is the number of times that a call with this id was executed.
	Runs   int    `json:"runs"`
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Stats is the response to GET /admin/stats.
type Stats struct {
	Server string `json:"server"`
	// Runs counts by id how often a call was executed; GET and HEAD calls aren't counted.
	Runs map[string]int `json:"runs"`
	// Total is the sum of Runs.
	Total int `json:"total"`
	// Repeated is the number of ids whose calls were executed more than once.
	Repeated int `json:"repeated"`
	// Reads counts GET and HEAD calls.
	Reads int `json:"reads"`
	// KeysSeen counts requests that carried an API key.
	KeysSeen int `json:"keys_seen"`
	// Running is the number of calls in progress.
	Running int `json:"running"`
}

// Server is one simulated service. Its exported fields are set before Run or Handler is called.
type Server struct {
	// Address is the IP address and port on which Run listens.
	Address string
	// OnListen, if set, is called with the bound address.
	OnListen func(address string)
	// Name is the name of the server in responses and load reports.
	Name string
	// Work is the simulated time that the execution of a call takes.
	Work time.Duration
	// Slots is the maximum number of concurrent calls in load reports; the service itself doesn't enforce it.
	Slots int

	faults web.Faults[Faults]

	mu    sync.Mutex
	stats Stats
}

// Run serves requests until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.OnListen)
}

// Handler returns the handler of the service and of the stand-in's /admin endpoints.
func (s *Server) Handler() http.Handler {
	s.stats.Runs = map[string]int{}
	mux := http.NewServeMux()
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", s.handleStats)
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("/", s.handleCall)
	return mux
}

// handleCall handles a call on any path other than /load and the /admin endpoints.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		web.AbortConnection()
	}
	web.EchoRequestID(w, r)
	s.beginCall(web.HasAPIKey(r) || web.HasAPIKeyInTrailer(r))
	defer s.endCall()
	s.waitWhileFrozen(r.Context())
	if s.faults.Get().Down {
		web.AbortConnection()
	}
	if s.faults.Consume(func(f *Faults) bool { return decrement(&f.Errors) }) {
		http.Error(w, `{"error":"internal"}`, http.StatusInternalServerError)
		return
	}
	response := s.countRun(r, callID(r, body))
	web.Sleep(r.Context(), s.Work+web.Millis(s.faults.Get().SlowMs))
	if s.faults.Consume(func(f *Faults) bool { return decrement(&f.FailAfterRun) }) {
		web.AbortConnection()
	}
	web.WriteJSON(w, http.StatusOK, response)
}

// countRun counts the execution of a call and returns the response.
func (s *Server) countRun(r *http.Request, id string) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := Response{ID: id, Server: s.Name, Method: r.Method, Path: r.URL.Path}
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.stats.Reads++
		return response
	}
	s.stats.Total++
	s.stats.Runs[id]++
	response.Runs = s.stats.Runs[id]
	if response.Runs == 2 {
		s.stats.Repeated++
	}
	return response
}

// waitWhileFrozen waits until the fault Freeze is off. If the caller disconnects before that, the call ends.
func (s *Server) waitWhileFrozen(ctx context.Context) {
	for {
		changed := s.faults.Changed()
		if !s.faults.Get().Freeze {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			web.AbortConnection()
		}
	}
}

func (s *Server) beginCall(hasKey bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running++
	if hasKey {
		s.stats.KeysSeen++
	}
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running := s.stats.Running
	s.mu.Unlock()
	now := int(time.Now().UnixMilli())
	web.WriteJSON(w, http.StatusOK, wire.LoadReport{Server: s.Name, AtMs: now, Running: running, Slots: s.Slots})
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := s.stats
	stats.Runs = maps.Clone(s.stats.Runs)
	s.mu.Unlock()
	stats.Server = s.Name
	web.WriteJSON(w, http.StatusOK, stats)
}

// callID returns the field id of the JSON body, or the Idempotency-Key header if there is no such field.
func callID(r *http.Request, body []byte) string {
	var call struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &call) == nil && call.ID != "" {
		return call.ID
	}
	return r.Header.Get("Idempotency-Key")
}

// decrement counts down n, the number of next calls to which a fault applies, and reports whether it applies to this
// call. A negative n means all calls and isn't changed.
func decrement(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
