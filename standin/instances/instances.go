// Package instances simulates the platform's list of instances for tests. The list can be delayed, so that readers see
// an earlier list than the current one.
package instances

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/standin/web"
	"github.com/toucanroute/toucanroute/wire"
)

// Faults are the settable faults of the instance list.
type Faults struct {
	web.PlatformFaults
	// LagMs is the time after which a new list becomes visible, in milliseconds.
	LagMs int `json:"lag_ms"`
}

// Stats is the response to GET /admin/stats.
type Stats struct {
	// Reads counts the responses with a list.
	Reads int `json:"reads"`
	// Changes counts how often a new list was set.
	Changes int `json:"changes"`
}

// Server is one simulated instance list. Its exported fields are set before Run or Handler is called.
type Server struct {
	// Address is the IP address and port on which Run listens.
	Address string
	// OnListen, if set, is called with the bound address.
	OnListen func(address string)
	// File, if set, is the path of a JSON file with the initial list.
	File string
	// Lag is the initial value of the fault LagMs.
	Lag time.Duration

	faults web.Faults[Faults]

	mu    sync.Mutex
	stats Stats
	// lists are all lists that were set, sorted by AtMs.
	lists []wire.InstanceList
}

// Run serves requests until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if err := s.loadFile(); err != nil {
		return err
	}
	return web.Serve(ctx, s.Address, s.Handler(), s.OnListen)
}

// Handler returns the handler of the instance list and of the stand-in's /admin endpoints.
func (s *Server) Handler() http.Handler {
	s.faults.Update(func(f *Faults) { f.LagMs = int(s.Lag / time.Millisecond) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", s.list)
	mux.HandleFunc("POST /v1/instances", s.setList)
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", s.handleStats)
	return mux
}

// loadFile reads the initial list from File. This list is visible at once, whatever the fault LagMs is.
func (s *Server) loadFile() error {
	if s.File == "" {
		return nil
	}
	data, err := os.ReadFile(s.File)
	if err != nil {
		return err
	}
	var list wire.InstanceList
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	list.AtMs = 0
	s.lists = append(s.lists, list)
	return nil
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	f := s.faults.Get()
	if f.IsCutOff(r) {
		web.AbortConnection()
	}
	if f.Down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	f.Delay()
	s.mu.Lock()
	s.stats.Reads++
	list := s.listAt(int(time.Now().UnixMilli()) - f.LagMs)
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, list)
}

// listAt returns the newest list that was set at or before the Unix time ms, in milliseconds.
func (s *Server) listAt(ms int) wire.InstanceList {
	found := wire.InstanceList{Instances: []wire.InstanceInfo{}}
	for _, list := range s.lists {
		if list.AtMs <= ms {
			found = list
		}
	}
	found.AtMs = ms
	return found
}

// setList sets the current list.
func (s *Server) setList(w http.ResponseWriter, r *http.Request) {
	var list wire.InstanceList
	if err := web.ReadJSON(r, &list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list.AtMs = int(time.Now().UnixMilli())
	s.lists = append(s.lists, list)
	s.stats.Changes++
	web.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, s.stats)
}
