package registry

import (
	"maps"

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
			returned++
		}
		srv.mu.Unlock()
	}
	r.rebuildIndex()
	r.Log.Info("servers_evacuated", zap.Int("data_centres", len(dataCentres)), zap.Int("returned", returned))
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
