package registry

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
)

// SetEvacuated replaces the data centres whose servers get no requests, although they are neither draining nor out of reach.
// Running requests end there. The servers of a data centre that isn't evacuated any more may have become cold.
func (r *Registry) SetEvacuated(dataCentres map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.evacuated
	r.evacuated = maps.Clone(dataCentres)
	returned := 0
	for _, srv := range r.servers {
		srv.mu.Lock()
		if dc := srv.entry.DataCentre; previous[dc] && !dataCentres[dc] {
			srv.presumeCold("evacuation")
			if srv.unanswered && !r.path.broken {
				// It wasn't asked when the path was repaired.
				srv.unanswered = false
				if srv.probe != nil {
					time.AfterFunc(0, srv.retryProbe)
				} else {
					srv.clearSuspect()
				}
			}
			returned++
		}
		srv.mu.Unlock()
	}
	r.rebuildIndex()
	fields := []zap.Field{zap.Int("data_centres", len(dataCentres)), zap.Int("returned", returned)}
	if pools := r.poolsShut(); len(pools) > 0 {
		fields = append(fields, zap.Strings("pools_shut", pools))
	}
	r.Log.Info("servers_evacuated", fields...)
}

// poolsShut returns the names of the pools all of whose servers that aren't draining are in evacuated data centres, in order.
// The caller holds mu.
func (r *Registry) poolsShut() []string {
	shut := map[string]bool{}
	for _, srv := range r.servers {
		if e := srv.Entry(); !e.Draining && len(r.pools[e.Pool]) == 0 {
			shut[e.Pool] = true
		}
	}
	return slices.Sorted(maps.Keys(shut))
}

// IsEvacuated reports whether a pool has servers that aren't draining, and all of these are in evacuated data centres.
func (r *Registry) IsEvacuated(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.evacuated) > 0 && slices.Contains(r.poolsShut(), pool)
}

// Available returns the servers of a pool that aren't draining, also those of evacuated data centres.
func (r *Registry) Available(pool string) []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*Server
	for _, srv := range r.servers {
		if e := srv.Entry(); e.Pool == pool && !e.Draining {
			list = append(list, srv)
		}
	}
	return list
}
