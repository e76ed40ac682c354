// Package service stands in for a plain service, some of whose calls may not be repeated. It counts how often each ran.
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

// maxBody bounds a request's body in bytes.
const maxBody = 4 << 20

// Faults are the settable faults of a service.
type Faults struct {
	// Down closes each connection without an answer.
	Down bool `json:"down"`
	// Freeze accepts calls and answers nothing; none runs.
	Freeze bool `json:"freeze"`
	// SlowMs delays the answer after the call ran.
	SlowMs int `json:"slow_ms"`
	// FailAfterRun is the number of calls that still run and then get no answer; -1 is all.
	FailAfterRun int `json:"fail_after_run"`
	// Errors is the number of calls that still get a 500 without running; -1 is all.
	Errors int `json:"errors"`
}

// Answer is what a call gets.
type Answer struct {
	ID string `json:"id"`
	// Runs tells how often the call with this id ran.
	Runs   int    `json:"runs"`
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// Stats are the figures of GET /admin/stats.
type Stats struct {
	Server string `json:"server"`
	// Runs counts by id how often a call that changes something ran.
	Runs map[string]int `json:"runs"`
	// Total is the sum of Runs.
	Total int `json:"total"`
	// Repeated is the number of ids that ran more than once.
	Repeated int `json:"repeated"`
	// Reads counts GET and HEAD calls.
	Reads int `json:"reads"`
	// KeysSeen counts requests that carried a caller's key.
	KeysSeen int `json:"keys_seen"`
	// Running is the number of calls that run now.
	Running int `json:"running"`
}

// Server is one plain service. Its exported fields are set before Run or Handler.
type Server struct {
	// Address is the IP number and port that Run listens on.
	Address string
	// Ready, if set, gets the bound address.
	Ready func(address string)
	// Name of the server, told in answers and load reports.
	Name string
	// Work is the time that each call takes.
	Work time.Duration
	// Slots is the number of calls told as the most that run at once.
	Slots int

	faults web.Faults[Faults]

	mu    sync.Mutex
	stats Stats
}

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	return web.Serve(ctx, s.Address, s.Handler(), s.Ready)
}

// Handler returns the service with the stand-in's own interface.
func (s *Server) Handler() http.Handler {
	s.stats.Runs = map[string]int{}
	mux := http.NewServeMux()
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", s.answerStats)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("/", s.call)
	return mux
}

// call runs one call of any path.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		web.Drop()
	}
	web.EchoRequestID(w, r)
	s.enter(web.HasKey(r) || web.HasTrailerKey(r))
	defer s.leave()
	s.thaw(r.Context())
	if s.faults.Get().Down {
		web.Drop()
	}
	if s.faults.Take(func(f *Faults) bool { return take(&f.Errors) }) {
		http.Error(w, `{"error":"internal"}`, http.StatusInternalServerError)
		return
	}
	answer := s.run(r, callID(r, body))
	web.Sleep(r.Context(), s.Work+web.Millis(s.faults.Get().SlowMs))
	if s.faults.Take(func(f *Faults) bool { return take(&f.FailAfterRun) }) {
		web.Drop()
	}
	web.Write(w, http.StatusOK, answer)
}

// run counts the call.
func (s *Server) run(r *http.Request, id string) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := Answer{ID: id, Server: s.Name, Method: r.Method, Path: r.URL.Path}
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		s.stats.Reads++
		return answer
	}
	s.stats.Total++
	s.stats.Runs[id]++
	answer.Runs = s.stats.Runs[id]
	if answer.Runs == 2 {
		s.stats.Repeated++
	}
	return answer
}

// thaw waits while the service is frozen; a caller that leaves meanwhile ends the call.
func (s *Server) thaw(ctx context.Context) {
	for {
		changed := s.faults.Changed()
		if !s.faults.Get().Freeze {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			web.Drop()
		}
	}
}

func (s *Server) enter(key bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running++
	if key {
		s.stats.KeysSeen++
	}
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	running := s.stats.Running
	s.mu.Unlock()
	now := int(time.Now().UnixMilli())
	web.Write(w, http.StatusOK, wire.LoadReport{Server: s.Name, AtMs: now, Running: running, Slots: s.Slots})
}

func (s *Server) answerStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := s.stats
	stats.Runs = maps.Clone(s.stats.Runs)
	s.mu.Unlock()
	stats.Server = s.Name
	web.Write(w, http.StatusOK, stats)
}

// callID returns the id of the JSON body, or else the Idempotency-Key.
func callID(r *http.Request, body []byte) string {
	var call struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(body, &call) == nil && call.ID != "" {
		return call.ID
	}
	return r.Header.Get("Idempotency-Key")
}

// take counts down n, where -1 never ends, and tells whether there was one left.
func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}
