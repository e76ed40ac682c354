// Package members holds the live instances and chooses the home of each pool among them.
//
// Lock order: Table.mu is a leaf.
package members

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// State tells what is known of an instance.
type State string

// States of an instance.
const (
	// StateSelf is this instance.
	StateSelf State = "self"
	// StateLive has a link with answered heartbeats.
	StateLive State = "live"
	// StateSuspect has no live link.
	StateSuspect State = "suspect"
	// StateLeaving is live but shuts down.
	StateLeaving State = "leaving"
)

// Member is an instance with what is known of it.
type Member struct {
	instance   string
	dataCentre string
	state      State
	config     int
	heard      time.Time
}

// Instance returns the instance's name.
func (m Member) Instance() string { return m.instance }

// DataCentre returns the instance's data centre.
func (m Member) DataCentre() string { return m.dataCentre }

// State returns what is known of the instance.
func (m Member) State() State { return m.state }

// Silence returns the time since the instance was last heard; it is the process's whole life where it never was.
func (m Member) Silence() time.Duration { return time.Since(m.heard) }

// Config returns the configuration version that the instance last told.
func (m Member) Config() int { return m.config }

// Table holds the instances of the deployment. Set the fields before use.
type Table struct {
	// Instance is this instance's name.
	Instance string
	// DataCentre is this instance's data centre.
	DataCentre string

	mu sync.Mutex
	// members holds each other instance by name; it never holds this instance.
	members map[string]*Member
	leaving bool
}

// Add makes an instance known; it is suspect until heard.
func (t *Table) Add(instance, dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if instance == t.Instance {
		return
	}
	t.entry(instance, dataCentre)
}

// entry returns the member of that name and makes one where there is none. The caller holds mu.
func (t *Table) entry(instance, dataCentre string) *Member {
	if t.members == nil {
		t.members = map[string]*Member{}
	}
	m := t.members[instance]
	if m == nil {
		m = &Member{instance: instance, dataCentre: dataCentre, state: StateSuspect, heard: time.Now()}
		t.members[instance] = m
	}
	return m
}

// Heard takes a heartbeat in. It returns true where the instance's state changed.
func (t *Table) Heard(h wire.Hello) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.Instance == t.Instance {
		return false
	}
	m := t.entry(h.Instance, h.DataCentre)
	old := m.state
	m.dataCentre = h.DataCentre
	m.config = h.Config
	m.heard = time.Now()
	m.state = StateLive
	if h.Leaving {
		m.state = StateLeaving
	}
	return m.state != old
}

// Suspect marks an instance whose link is lost.
func (t *Table) Suspect(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[instance]; m != nil {
		m.state = StateSuspect
	}
}

// Forget drops an instance that is gone for good.
func (t *Table) Forget(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.members, instance)
}

// Leave marks this instance as shutting down, so that it is home to no pool.
func (t *Table) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// Leaving tells whether this instance shuts down.
func (t *Table) Leaving() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving
}

// All returns all instances by name, this one with StateSelf included.
func (t *Table) All() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := []Member{{instance: t.Instance, dataCentre: t.DataCentre, state: StateSelf, heard: time.Now()}}
	for _, m := range t.members {
		all = append(all, *m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].instance < all[j].instance })
	return all
}

// Homes returns the candidates for the home of a pool in a data centre, best first. The first is the home; the
// others follow in the order in which they take its place.
func (t *Table) Homes(pool, dataCentre string) []string {
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
	rank(names, pool+"@"+dataCentre)
	return names
}

// Live returns the number of live instances in a data centre, this one included.
func (t *Table) Live(dataCentre string) int {
	return len(t.Homes("", dataCentre))
}

// rank sorts names by rendezvous hash with key, highest first.
func rank(names []string, key string) {
	weight := make(map[string]uint64, len(names))
	for _, n := range names {
		weight[n] = xxhash.Sum64String(key + "\x00" + n)
	}
	sort.Slice(names, func(i, j int) bool { return weight[names[i]] > weight[names[j]] })
}

// Status returns the instances as the status page shows them.
func (t *Table) Status() []wire.MemberStatus {
	var list []wire.MemberStatus
	for _, m := range t.All() {
		s := wire.MemberStatus{
			Instance:      m.instance,
			DataCentre:    m.dataCentre,
			State:         wire.MemberStatusState(m.state),
			ConfigVersion: m.config,
		}
		if m.state != StateSelf && !m.heard.IsZero() {
			s.HeardMsAgo = int(time.Since(m.heard).Milliseconds())
		}
		list = append(list, s)
	}
	return list
}
