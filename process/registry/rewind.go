package registry

import (
	"time"

	"go.uber.org/zap"
)

const (
	// rewindRecoveryTime is the time after the store came back from an older copy within which live servers have written
	// their entries again.
	rewindRecoveryTime = 5 * time.Second
	// removedMemory is the time for which a removed server is remembered: longer than a copy of the store is old.
	removedMemory = time.Minute
)

// removedStart is one start of a server that was removed.
type removedStart struct {
	startedMs int64
	// leaving is set if the server was draining or had announced its shutdown.
	leaving bool
	at      time.Time
}

// rememberRemoved remembers a removed server for Rewind. The caller holds the registry's mu.
func (r *Registry) rememberRemoved(srv *Server) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.entry.StartedMs == 0 {
		return
	}
	if r.removedStarts == nil {
		r.removedStarts = map[string]removedStart{}
	}
	now := time.Now()
	for id, removed := range r.removedStarts {
		if now.Sub(removed.at) > removedMemory {
			delete(r.removedStarts, id)
		}
	}
	r.removedStarts[srv.entry.ID] = removedStart{srv.entry.StartedMs, srv.leaving || srv.entry.Draining, now}
}

// Rewind replaces all servers by the list of a store that came back from an older copy. Until the servers have written
// their entries again, it may lack servers that are alive, and list servers that are gone. The former are kept, as
// after an outage. The latter get nothing if they were leaving; other removed servers get nothing until they write
// their entry again, or until the store would have removed the entry of a dead server.
func (r *Registry) Rewind(entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.lenientUntil = now.Add(rewindRecoveryTime)
	known := make(map[string]bool, len(r.servers))
	for id := range r.servers {
		known[id] = true
	}
	r.reset(entries, missingEntryGracePeriod)
	for _, e := range entries {
		removed, ok := r.removedStarts[e.ID]
		srv := r.servers[e.ID]
		if known[e.ID] || !ok || srv == nil || removed.startedMs != e.StartedMs || now.Sub(removed.at) > removedMemory {
			continue
		}
		srv.mu.Lock()
		srv.leaving = removed.leaving
		srv.unconfirmedUntil = now.Add(rewindRecoveryTime)
		srv.mu.Unlock()
		r.Log.Info("server_unconfirmed", append(logFields(e), zap.Bool("leaving", removed.leaving))...)
	}
}

// confirm records that the server has written its entry.
func (srv *Server) confirm() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.unconfirmedUntil = time.Time{}
}
