package registry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request/placement"
)

// missingEntryGracePeriod is the time after the return of the store within which a live server whose entry has expired
// stores it again, as the platform specifies.
const missingEntryGracePeriod = 2 * time.Second

// drainingSourceTime is the time after the start of draining for which cached prompt data is still fetched from a
// server. It is half of the shortest notice that the platform gives before it reclaims a server. An attempt to fetch
// data from a server that is gone would delay the request that needs the data.
const drainingSourceTime = time.Second

// Registry holds the known backend servers. Set the exported fields before use.
type Registry struct {
	Log *zap.Logger
	// Probe opens and closes a connection to a server's address. If it is nil, a suspect server stays so until a request
	// to it succeeds.
	Probe func(address string) error
	// Ask sends a request that has no effect to a server of a pool at an address; an error means that no answer came, and cold
	// is the time for which the server stays cold by its answer. If it is nil, the path to the servers isn't tested.
	Ask func(pool, address string) (cold time.Duration, err error)
	// Rank returns the position of this instance among all known ones, from 0, and their number, by which limits of requests
	// are divided; nil means that there is no other instance.
	Rank func() (position, count int)
	// KnowsOthers reports whether the number that Rank returns counts all instances, before which cold servers get nothing
	// from this one; nil means always. It must not call the registry.
	KnowsOthers func() bool
	// Cold returns what the cold servers of a pool stand; nil means that none needs care. It must not call the registry.
	Cold func(pool string) ColdLimit
	// OnLimitChange is called when the answer of a server changed its limit, or made it cold; it may be nil. It must not call the registry.
	OnLimitChange func()

	mu sync.Mutex
	// servers holds the servers by id. A server that restarts under the same id gets a new Server.
	servers map[string]*Server
	// evacuated holds the data centres whose servers get no requests.
	evacuated map[string]bool
	// pools holds the serving servers, which are those that aren't draining and whose data centre isn't evacuated, by pool. It
	// is rebuilt at each change.
	pools map[string][]*Server
	// byHash holds the servers by the hash that instances use in datagrams; see hashID.
	byHash map[int]*Server
	// removedStarts holds the starts of the servers that were removed lately, by id.
	removedStarts map[string]removedStart
	// goneVersions holds the software versions of the servers that were removed or restarted, with the times of that, by
	// pool.
	goneVersions map[string]map[string]time.Time
	// versionChanges counts the changes of the servers and of goneVersions, except for what is forgotten.
	versionChanges int
	path           path
	// failedID is the id of the server that became unreachable last, at failedAt, and sweptAt the time at which all others were
	// checked because of that.
	failedID          string
	failedAt, sweptAt time.Time
	// lenientUntil is the time until which a list may lack entries, because the store came back from an older copy.
	lenientUntil time.Time
	// hasList is set after the first list of entries was received.
	hasList bool
}

// HasList reports whether a list of entries was received yet.
func (r *Registry) HasList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasList
}

// Put adds or updates the server of a changed entry.
func (r *Registry) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.putEntry(e)
	r.servers[e.ID].confirm()
	r.rebuildIndex()
}

// putEntry adds or updates the server of an entry, except for an entry of an earlier start. The caller holds mu.
func (r *Registry) putEntry(e Entry) {
	if r.servers == nil {
		r.servers = map[string]*Server{}
	}
	srv := r.servers[e.ID]
	if srv == nil || srv.isRestart(e) {
		if srv != nil {
			r.rememberVersion(srv.Entry())
		}
		srv = newServer(e, r.Log, r.Probe)
		srv.rank, srv.onLimitChange, srv.onUnreachable, srv.coldLimit = r.Rank, r.OnLimitChange, r.checkAfterFailure, r.Cold
		srv.onUnanswered, srv.knowsOthers = r.noteUnanswered, r.KnowsOthers
		srv.listCold(e, false)
		if removed, ok := r.removedStarts[e.ID]; ok && removed.startedMs == e.StartedMs {
			// It wrote no entry for a while, so it may have been out of reach and cold since.
			srv.presumeCold("listed_again")
		}
		if e.Draining {
			srv.drainingSince = time.Now()
		}
		if r.path.broken {
			srv.unanswered = true
			srv.markSuspect()
		}
		r.servers[e.ID] = srv
		r.Log.Info("server_in", logFields(e)...)
		return
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if e.StartedMs != 0 && e.StartedMs < srv.entry.StartedMs {
		r.Log.Info("server_entry_old", logFields(e)...)
		return
	}
	if srv.entry.Draining && e.StartedMs != 0 {
		// A server doesn't come back from draining before its next start, so the entry is from an older copy of the store.
		e.Draining, e.TimeToExit = true, srv.entry.TimeToExit
	}
	if e.Draining != srv.entry.Draining {
		r.Log.Info("server_draining", append(logFields(e), zap.Bool("draining", e.Draining), zap.Duration("leaves_in", e.TimeToExit))...)
	}
	if !e.isSame(srv.entry) {
		srv.addressTaken = false
	}
	if e.Version != srv.entry.Version || e.Pool != srv.entry.Pool {
		r.rememberVersion(srv.entry)
	}
	srv.listCold(e, time.Now().Before(r.lenientUntil))
	srv.entry = e
	srv.keptUntil = time.Time{}
	switch {
	case !e.Draining && !srv.leaving:
		srv.drainingSince = time.Time{}
	case srv.drainingSince.IsZero():
		srv.drainingSince = time.Now()
	}
}

// isRestart reports whether the entry belongs to a later start of the server under the same id.
func (srv *Server) isRestart(e Entry) bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return e.StartedMs > srv.entry.StartedMs && srv.entry.StartedMs != 0 || e.Address != srv.entry.Address && e.StartedMs >= srv.entry.StartedMs
}

// Remove removes a server whose entry was deleted.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeServer(id, "entry_removed")
	r.rebuildIndex()
}

// removeServer removes a server and logs the reason. The caller holds mu.
func (r *Registry) removeServer(id, reason string) {
	srv := r.servers[id]
	if srv == nil {
		return
	}
	srv.mu.Lock()
	srv.removed = true
	srv.mu.Unlock()
	delete(r.servers, id)
	r.rememberRemoved(srv)
	r.rememberVersion(srv.Entry())
	r.Log.Info("server_out", append(logFields(srv.entry), zap.String("reason", reason))...)
}

// Reset replaces all servers by a complete list of entries. With afterOutage, the store has just come back from an outage.
func (r *Registry) Reset(entries []Entry, afterOutage bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.reset(entries, r.graceAfter(now, afterOutage, now))
}

// ResetAfterOutage replaces all servers by a list of entries that was made after the store came back from an outage at
// storeBack. A missing entry may only have expired, so its server is kept until missingEntryGracePeriod after that; an
// entry that is missing later was removed.
func (r *Registry) ResetAfterOutage(entries []Entry, storeBack time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset(entries, r.graceAfter(storeBack, true, time.Now()))
}

// graceAfter returns for how long servers are kept whose entries are missing from a list that is read now. The caller
// holds mu.
func (r *Registry) graceAfter(storeBack time.Time, afterOutage bool, now time.Time) time.Duration {
	switch {
	case now.Before(r.lenientUntil):
		return missingEntryGracePeriod
	case !afterOutage:
		return 0
	}
	return missingEntryGracePeriod - now.Sub(storeBack)
}

// reset replaces all servers by a list of entries. It keeps those whose entries are missing for the grace time, if that
// is positive, counted from the first list that lacks the entry or from an earlier end. The caller holds mu.
func (r *Registry) reset(entries []Entry, grace time.Duration) {
	r.hasList = true
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.putEntry(e)
	}
	now := time.Now()
	for id, srv := range r.servers {
		if listed[id] {
			continue
		}
		if grace <= 0 {
			r.removeServer(id, "not_listed")
			continue
		}
		srv.mu.Lock()
		if end := now.Add(grace); srv.keptUntil.IsZero() || end.Before(srv.keptUntil) {
			srv.keptUntil = end
		}
		srv.mu.Unlock()
		r.Log.Info("server_missed", logFields(srv.entry)...)
	}
	if grace > 0 {
		time.AfterFunc(grace, r.removeMissing)
	}
	r.rebuildIndex()
}

// removeMissing removes the servers whose missing entries weren't stored again in time.
func (r *Registry) removeMissing() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, srv := range r.servers {
		srv.mu.Lock()
		expired := !srv.keptUntil.IsZero() && !time.Now().Before(srv.keptUntil)
		srv.mu.Unlock()
		if expired {
			r.removeServer(id, "not_back")
		}
	}
	r.rebuildIndex()
}

// rebuildIndex rebuilds the lists of serving servers and the index by hash. The caller holds mu.
func (r *Registry) rebuildIndex() {
	r.versionChanges++
	pools := make(map[string][]*Server, len(r.pools))
	r.byHash = make(map[int]*Server, len(r.servers))
	for id, srv := range r.servers {
		r.byHash[hashID(id)] = srv
		e := srv.Entry()
		if !e.Draining && !r.evacuated[e.DataCentre] {
			pools[e.Pool] = append(pools[e.Pool], srv)
		}
	}
	r.pools = pools
	setPositions(pools)
}

// setPositions sets the positions of the serving servers of each pool and data centre, the slow ones first and those of
// equal speed in the order of their hashed ids. A faster server takes more room between 0 and 1. The servers of a pool
// are split by position between delay-tolerant and latency-sensitive requests, so that the latter, whose streams must
// not pause for long, get the fast ones, and each group its part of the speed of all.
func setPositions(pools map[string][]*Server) {
	for _, servers := range pools {
		byDataCentre := map[string][]*Server{}
		for _, srv := range servers {
			dc := srv.Entry().DataCentre
			byDataCentre[dc] = append(byDataCentre[dc], srv)
		}
		for _, list := range byDataCentre {
			levels, total := make(map[*Server]float64, len(list)), 0.0
			for _, srv := range list {
				levels[srv] = srv.updateLevel()
				total += levels[srv]
			}
			slices.SortFunc(list, func(a, b *Server) int {
				return cmp.Or(cmp.Compare(levels[a], levels[b]), cmp.Compare(hashID(a.Entry().ID), hashID(b.Entry().ID)))
			})
			before := 0.0
			for _, srv := range list {
				srv.mu.Lock()
				srv.position = (before + levels[srv]/2) / total
				srv.mu.Unlock()
				before += levels[srv]
			}
		}
	}
}

// updateLevel sets the level of the server's speed by which positions are set, and returns it.
func (srv *Server) updateLevel() float64 {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.level = placement.SpeedLevel(srv.speed.Lasting())
	return srv.level
}

// levelChanged reports whether the server's speed has another level than when positions were last set. The caller holds
// mu.
func (srv *Server) levelChanged() bool { return placement.SpeedLevel(srv.speed.Lasting()) != srv.level }

// Serving returns the servers of a pool that aren't draining and whose data centre isn't evacuated. Callers must not modify
// the slice.
func (r *Registry) Serving(pool string) []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[pool]
}

// Selection restricts the servers of a pool from which one is chosen. The zero value admits all.
type Selection struct {
	// Skip holds the ids of servers that are not admitted.
	Skip map[string]bool
	// Version is the only software version that is admitted; empty admits all.
	Version string
	// DataCentres holds the data centres that are admitted; nil admits all.
	DataCentres map[string]bool
}

// Admits reports whether the selection admits the server of an entry.
func (s Selection) Admits(e Entry) bool { return s.admits(&e) }

func (s Selection) admits(e *Entry) bool {
	return !s.Skip[e.ID] && (s.Version == "" || s.Version == e.Version) && (s.DataCentres == nil || s.DataCentres[e.DataCentre])
}

// Usable returns the selected serving servers of a pool that count as reachable, or all selected serving ones if none
// does. Servers whose address belongs to another server, those that accept nothing, those of whose limit this instance has
// used up its share, cold ones likewise and full ones of a brittle pool are never included.
func (r *Registry) Usable(pool string, selection Selection) []*Server {
	serving, now := r.Serving(pool), time.Now()
	usable := make([]*Server, 0, len(serving))
	limited, brittle := false, isBrittle(serving, now)
	for _, srv := range serving {
		srv.mu.Lock()
		ok := !srv.removed && !srv.suspect && srv.accepts(now) && selection.admits(&srv.entry)
		if ok && (!srv.hasAllowance(now) || brittle && !srv.hasRoom(now)) {
			ok, limited = false, true
		}
		srv.mu.Unlock()
		if ok {
			usable = append(usable, srv)
		}
	}
	if len(usable) > 0 || limited {
		return usable
	}
	for _, srv := range serving {
		srv.mu.Lock()
		ok := srv.accepts(now) && srv.hasAllowance(now) && selection.admits(&srv.entry)
		srv.mu.Unlock()
		if ok {
			usable = append(usable, srv)
		}
	}
	return usable
}

// CacheSources returns the reachable servers of a pool from which cached prompt data can be fetched. This includes
// servers that have been draining for less than drainingSourceTime, but none of evacuated data centres: they are to do no work
// for others either.
func (r *Registry) CacheSources(pool string) []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	list := make([]*Server, 0, len(r.pools[pool]))
	for _, srv := range r.servers {
		srv.mu.Lock()
		drainedTooLong := !srv.drainingSince.IsZero() && now.Sub(srv.drainingSince) > drainingSourceTime
		if srv.entry.Pool == pool && !r.evacuated[srv.entry.DataCentre] && !drainedTooLong && !srv.suspect && !srv.addressTaken {
			list = append(list, srv)
		}
		srv.mu.Unlock()
	}
	return list
}

// Servers returns all servers.
func (r *Registry) Servers() []*Server {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*Server, 0, len(r.servers))
	for _, srv := range r.servers {
		list = append(list, srv)
	}
	return list
}

// logFields returns the fields that identify the server of an entry in the log.
func logFields(e Entry) []zap.Field {
	return []zap.Field{
		zap.String("server", e.ID),
		zap.String("address", e.Address),
		zap.String("pool", e.Pool),
		zap.String("data_centre", e.DataCentre),
		zap.String("version", e.Version),
	}
}
