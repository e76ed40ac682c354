package registry

import (
	"slices"
	"time"
)

const (
	// failureWindow is the time within which two servers must become unreachable for all others to be checked, and the
	// shortest time between two such checks.
	failureWindow = time.Second
	// heardTime is the time for which a server that sent something isn't checked, nor found unreachable by a timeout.
	heardTime = 300 * time.Millisecond
)

// IsUnreachable reports whether a pool has serving servers, and all of them count as unreachable.
func (r *Registry) IsUnreachable(pool string) bool { return areUnreachable(r.Serving(pool)) }

// UnreachablePools returns the names of the pools of which no serving server counts as reachable, in order.
func (r *Registry) UnreachablePools() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, servers := range r.pools {
		if areUnreachable(servers) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func areUnreachable(servers []*Server) bool {
	return len(servers) > 0 && !slices.ContainsFunc(servers, func(srv *Server) bool { return !srv.IsSuspect() })
}

// checkAfterFailure checks all servers outside evacuated data centres that have sent nothing lately if another than the failed one has become unreachable
// within failureWindow: this instance may be partitioned from all of them.
func (r *Registry) checkAfterFailure(failed *Server) {
	id, now := failed.Entry().ID, time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	isSecond := r.failedID != id && now.Sub(r.failedAt) < failureWindow
	r.failedID, r.failedAt = id, now
	if !isSecond || now.Sub(r.sweptAt) < failureWindow {
		return
	}
	r.sweptAt = now
	for _, srv := range r.servers {
		if !r.evacuated[srv.Entry().DataCentre] {
			go srv.check()
		}
	}
}

// check opens a test connection to a server that counts as reachable and has sent nothing lately. If that fails, the
// server gets no new requests until one succeeds.
func (srv *Server) check() {
	startedAt := time.Now()
	srv.mu.Lock()
	address, due := srv.entry.Address, srv.probe != nil && !srv.checking && !srv.suspect && !srv.removed && startedAt.Sub(srv.lastReceived) >= heardTime
	if due {
		srv.checking = true
	}
	srv.mu.Unlock()
	if !due {
		return
	}
	err := srv.probe(address)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.checking = false
	if err != nil && !srv.removed && srv.lastReceived.Before(startedAt) {
		srv.suspend()
	}
}
