// Package members keeps the table of instances and their states, and ranks the live ones for each pool. The first one
// in that order is the pool's home instance: it schedules the requests of the pool.
//
// Lock order: no other lock is acquired while Table.mu is held.
package members

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// State is the state of an instance as this instance observes it.
type State string

// States of an instance. A link is the connection between two instances, which exchange heartbeats over it.
const (
	// StateSelf marks this instance itself.
	StateSelf State = "self"
	// StateLive marks an instance whose link answers heartbeats.
	StateLive State = "live"
	// StateSuspect marks an instance without a working link.
	StateSuspect State = "suspect"
	// StateLeaving marks a live instance that is shutting down.
	StateLeaving State = "leaving"
)

// Member holds the state of one instance.
type Member struct {
	instance   string
	dataCentre string
	state      State
	// configVersion is the configuration version in the last heartbeat.
	configVersion int
	// lastHeartbeat is the time of the last heartbeat, or of the creation of this entry if there was none.
	lastHeartbeat time.Time
}

// Instance returns the instance's name.
func (m Member) Instance() string { return m.instance }

// DataCentre returns the instance's data centre.
func (m Member) DataCentre() string { return m.dataCentre }

// State returns the state of the instance.
func (m Member) State() State { return m.state }

// SinceHeartbeat returns the time since the last heartbeat of the instance, or since it was added if there was none.
func (m Member) SinceHeartbeat() time.Duration { return time.Since(m.lastHeartbeat) }

// ConfigVersion returns the configuration version in the last heartbeat of the instance.
func (m Member) ConfigVersion() int { return m.configVersion }

// Table holds the instances of the deployment. Set the exported fields before use.
type Table struct {
	// Instance is this instance's name.
	Instance string
	// DataCentre is this instance's data centre.
	DataCentre string

	mu sync.Mutex
	// members holds the other instances by name. It never contains this instance.
	members map[string]*Member
	// leaving is set while this instance is shutting down.
	leaving bool
}

// Add adds an instance, which is suspect until its first heartbeat.
func (t *Table) Add(instance, dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance == t.Instance {
		return
	}
	t.memberFor(instance, dataCentre)
}

// memberFor returns the member with that name and adds it if it is missing. The caller holds mu.
func (t *Table) memberFor(instance, dataCentre string) *Member {
	if t.members == nil {
		t.members = map[string]*Member{}
	}
	m := t.members[instance]
	if m == nil {
		m = &Member{instance: instance, dataCentre: dataCentre, state: StateSuspect, lastHeartbeat: time.Now()}
		t.members[instance] = m
	}
	return m
}

// RecordHeartbeat updates an instance from its heartbeat and reports whether its state changed.
func (t *Table) RecordHeartbeat(h wire.Hello) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Instance == t.Instance {
		return false
	}
	m := t.memberFor(h.Instance, h.DataCentre)
	oldState := m.state
	m.dataCentre = h.DataCentre
	m.configVersion = h.Config
	m.lastHeartbeat = time.Now()
	m.state = StateLive
	if h.Leaving {
		m.state = StateLeaving
	}
	return m.state != oldState
}

// MarkSuspect marks an instance as suspect after its link was lost.
func (t *Table) MarkSuspect(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[instance]; m != nil {
		m.state = StateSuspect
	}
}

// Remove removes an instance permanently.
func (t *Table) Remove(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, instance)
}

// MarkLeaving marks this instance as shutting down. HomeCandidates no longer returns it.
func (t *Table) MarkLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Leaving reports whether this instance is shutting down.
func (t *Table) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// All returns all instances sorted by name, including this one with StateSelf.
func (t *Table) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []Member{{instance: t.Instance, dataCentre: t.DataCentre, state: StateSelf, lastHeartbeat: time.Now()}}
	for _, m := range t.members {
		all = append(all, *m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].instance < all[j].instance })
	return all
}

// HomeCandidates returns the live instances of a data centre, ranked for a pool. The first one is the pool's home
// instance. The others replace it in this order if it fails.
func (t *Table) HomeCandidates(pool, dataCentre string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var names []string
	if dataCentre == t.DataCentre && !t.leaving {
		names = append(names, t.Instance)
	}
	for name, m := range t.members {
		if m.dataCentre == dataCentre && m.state == StateLive {
			names = append(names, name)
		}
	}
	rankByHash(names, pool+"@"+dataCentre)
	return names
}

// LiveCount returns the number of live instances in a data centre, including this one unless it is shutting down.
func (t *Table) LiveCount(dataCentre string) int {
	return len(t.HomeCandidates("", dataCentre))
}

// rankByHash sorts names by their rendezvous hash with key, highest first.
func rankByHash(names []string, key string) {
	hashes := make(map[string]uint64, len(names))
	for _, n := range names {
		hashes[n] = xxhash.Sum64String(key + "\x00" + n)
	}
	sort.Slice(names, func(i, j int) bool { return hashes[names[i]] > hashes[names[j]] })
}

// Status returns the instances for the status page.
func (t *Table) Status() []wire.MemberStatus {
	var list []wire.MemberStatus
	for _, m := range t.All() {
		s := wire.MemberStatus{
			Instance:      m.instance,
			DataCentre:    m.dataCentre,
			State:         wire.MemberStatusState(m.state),
			ConfigVersion: m.configVersion,
		}
		if m.state != StateSelf && !m.lastHeartbeat.IsZero() {
			s.HeardMsAgo = int(time.Since(m.lastHeartbeat).Milliseconds())
		}
		list = append(list, s)
	}
	return list
}
