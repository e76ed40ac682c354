// Package instances stands in for the platform's list of instances, which lags behind the truth.
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

// Faults are the settable faults of the list.
type Faults struct {
	web.PlatformFaults
	// LagMs is the time by which the list lags, in milliseconds.
	LagMs int `json:"lag_ms"`
}

// Stats are the figures of GET /admin/stats.
type Stats struct {
	// Reads counts the answered lists.
	Reads int `json:"reads"`
	// Changes counts the lists that were set.
	Changes int `json:"changes"`
}

// Server is one instance list. Its exported fields are set before Run or Handler.
type Server struct {
	// Address is the IP number and port that Run listens on.
	Address string
	// Ready, if set, gets the bound address.
	Ready func(address string)
	// File, if set, holds the first list as JSON.
	File string
	// Lag is the time by which the list lags at the start.
	Lag time.Duration

	faults web.Faults[Faults]

	mu    sync.Mutex
	stats Stats
	// lists are in order of their AtMs.
	lists []wire.InstanceList
}

// Run answers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if err := s.readFile(); err != nil {
		return err
	}
	return web.Serve(ctx, s.Address, s.Handler(), s.Ready)
}

// Handler returns the list with the stand-in's own interface.
func (s *Server) Handler() http.Handler {
	s.faults.Update(func(f *Faults) { f.LagMs = int(s.Lag / time.Millisecond) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", s.list)
	mux.HandleFunc("POST /v1/instances", s.set)
	mux.Handle("/admin/faults", &s.faults)
	mux.HandleFunc("GET /admin/stats", s.answerStats)
	return mux
}

// readFile takes the first list from File; it has no lag.
func (s *Server) readFile() error {
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
	if f.Cuts(r) {
		web.Drop()
	}
	if f.Down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	f.Wait()
	s.mu.Lock()
	s.stats.Reads++
	list := s.at(int(time.Now().UnixMilli()) - f.LagMs)
	s.mu.Unlock()
	web.Write(w, http.StatusOK, list)
}

// at returns the newest list that was set at or before ms.
func (s *Server) at(ms int) wire.InstanceList {
	found := wire.InstanceList{Instances: []wire.InstanceInfo{}}
	for _, list := range s.lists {
		if list.AtMs <= ms {
			found = list
		}
	}
	found.AtMs = ms
	return found
}

// set takes a list as the truth from now on.
func (s *Server) set(w http.ResponseWriter, r *http.Request) {
	var list wire.InstanceList
	if err := web.Read(r, &list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list.AtMs = int(time.Now().UnixMilli())
	s.lists = append(s.lists, list)
	s.stats.Changes++
	web.Write(w, http.StatusOK, list)
}

func (s *Server) answerStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.Write(w, http.StatusOK, s.stats)
}
