package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/wire"
)

// quietFor is how long a server must have sent nothing to be suspected with its data centre: two of the shortest pauses
// between instances' heartbeats.
const quietFor = 500 * time.Millisecond

// keyOf returns the short name under which instances tell each other of a server.
func keyOf(id string) int { return int(uint32(xxhash.Sum64String(id))) }

// Loads returns this instance's load on each server that changed since the last call, or on all that have one.
func (r *Roster) Loads(all bool) []wire.NewsLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	var loads []wire.NewsLoad
	for key, m := range r.byKey {
		m.mu.Lock()
		if m.changed || all && (m.running > 0 || m.unread > 0) {
			loads = append(loads, wire.NewsLoad{S: key, R: m.running, U: m.unread})
		}
		m.changed = false
		m.mu.Unlock()
	}
	return loads
}

// Heard takes in the loads that another instance has put on servers.
func (r *Roster) Heard(instance string, loads []wire.NewsLoad) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range loads {
		m := r.byKey[l.S]
		if m == nil {
			continue
		}
		m.mu.Lock()
		if m.remote == nil {
			m.remote = map[string]remoteLoad{}
		}
		if before := m.remote[instance]; l.R < before.running || l.U < before.unread {
			// Another instance's request got on: the server isn't mute.
			m.heardAt = now
		}
		m.remote[instance] = remoteLoad{running: l.R, unread: l.U, at: now}
		m.mu.Unlock()
	}
}

// Doubt suspects the servers of a data centre whose instances have fallen silent, but for those that have just sent
// something. It answers a data centre that is cut off: requests leave its servers at once.
func (r *Roster) Doubt(dataCentre string) {
	now := time.Now()
	n := r.each(dataCentre, func(m *Member) bool {
		if now.Sub(m.heardAt) < quietFor {
			return false
		}
		m.doubt()
		return true
	})
	r.Log.Info("servers_suspected", zap.String("data_centre", dataCentre), zap.Int("servers", n))
}

// Trust ends the suspicion of a data centre's servers.
func (r *Roster) Trust(dataCentre string) {
	n := r.each(dataCentre, func(m *Member) bool {
		was := m.suspect
		m.trust()
		return was
	})
	r.Log.Info("servers_trusted", zap.String("data_centre", dataCentre), zap.Int("servers", n))
}

// each calls f with each member of a data centre, with its lock held, and returns how often f told true.
func (r *Roster) each(dataCentre string, f func(*Member) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.members {
		m.mu.Lock()
		if m.entry.DataCentre == dataCentre && f(m) {
			n++
		}
		m.mu.Unlock()
	}
	return n
}
