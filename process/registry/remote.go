package registry

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

// minSilentTime is the time for which a server must have sent nothing to become suspect together with its data centre.
// It is twice the shortest interval between the instances' heartbeats.
const minSilentTime = 500 * time.Millisecond

// maxToldWorkTime bounds the work times that instances tell each other, in percent of the usual time.
const maxToldWorkTime = 10000

// hashID returns the hash that identifies a server in datagrams between instances.
func hashID(id string) int { return int(uint32(xxhash.Sum64String(id))) }

// LocalLoads returns this instance's load on each server where the load changed since the last call. With all, it also
// returns the unchanged loads that aren't zero, and sets the positions of the servers anew if their speeds have changed.
func (r *Registry) LocalLoads(all bool) []wire.NewsLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []wire.NewsLoad
	levelsChanged := false
	for key, srv := range r.byHash {
		srv.mu.Lock()
		levelsChanged = levelsChanged || srv.levelChanged()
		if srv.loadChanged || all && (srv.running > 0 || srv.pendingPrefill > 0) {
			isFull := time.Since(srv.brittle.rejectedAt) < fullNewsAge
			loads = append(loads, wire.NewsLoad{S: key, R: srv.running, U: srv.pendingPrefill, F: isFull, W: int(min(srv.untoldWorkTime*100, maxToldWorkTime))})
			srv.untoldWorkTime = 0
		}
		srv.loadChanged = false
		srv.mu.Unlock()
	}
	if all && levelsChanged {
		setPositions(r.pools)
	}
	return loads
}

// UpdateRemoteLoads records the loads of another instance on the servers.
func (r *Registry) UpdateRemoteLoads(instance string, loads []wire.NewsLoad) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		srv := r.byHash[l.S]
		if srv == nil {
			continue
		}
		srv.mu.Lock()
		if srv.remoteLoads == nil {
			srv.remoteLoads = map[string]remoteLoad{}
		}
		if previous := srv.remoteLoads[instance]; l.R < previous.running || l.U < previous.pendingPrefill {
			// A request of another instance made progress, so the server is responding.
			srv.markHeardElsewhere(now)
		}
		if l.W > 0 {
			srv.speed.ObserveWorkTime(float64(l.W)/100, now)
		}
		if l.F {
			srv.brittle.pause(now, fullPause)
		}
		srv.remoteLoads[instance] = remoteLoad{running: l.R, pendingPrefill: l.U, receivedAt: now}
		srv.mu.Unlock()
	}
}

// SuspectDataCentre marks the servers of a data centre as unreachable, except those that sent something within
// minSilentTime. It is called when all instances of the data centre have become silent, so that requests to a data
// centre that is cut off from the network are moved immediately.
func (r *Registry) SuspectDataCentre(dataCentre string) {
	now := time.Now()
	count := r.countEach(dataCentre, func(srv *Server) bool {
		if now.Sub(srv.lastReceived) < minSilentTime {
			return false
		}
		srv.markSuspect()
		return true
	})
	r.Log.Info("servers_suspected", zap.String("data_centre", dataCentre), zap.Int("servers", count))
}

// TrustDataCentre marks the servers of a data centre as reachable, after one of its instances has sent datagrams again.
func (r *Registry) TrustDataCentre(dataCentre string) {
	count := r.countEach(dataCentre, func(srv *Server) bool {
		wasSuspect := srv.suspect
		srv.clearSuspect()
		return wasSuspect
	})
	r.Log.Info("servers_trusted", zap.String("data_centre", dataCentre), zap.Int("servers", count))
}

// countEach calls f for each server of a data centre while holding the server's lock. It returns the number of calls
// that returned true.
func (r *Registry) countEach(dataCentre string, f func(*Server) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, srv := range r.servers {
		srv.mu.Lock()
		if srv.entry.DataCentre == dataCentre && f(srv) {
			n++
		}
		srv.mu.Unlock()
	}
	return n
}
