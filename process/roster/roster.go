package roster

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// lapseGrace is the time after the store's return within which a live server's entry is back, as the platform states.
const lapseGrace = 2 * time.Second

// sourceFor is how long after it began to drain a server still hands out what it keeps: half of the shortest notice of a
// reclaim, since asking one that is gone holds a request up.
const sourceFor = time.Second

// Roster holds the backend servers. The exported fields are set before use.
type Roster struct {
	Log *zap.Logger
	// Reach connects to a server's address and hangs up; nil lets suspected servers wait for a request.
	Reach func(address string) error

	mu sync.Mutex
	// members holds the servers by id; an id that started anew has a new Member.
	members map[string]*Member
	// pools holds the serving members of each pool; it is made anew at each change.
	pools map[string][]*Member
	// byKey holds the members by the short name that instances use among themselves.
	byKey map[int]*Member
	// known is set once a list was read.
	known bool
}

// Known tells whether the servers were ever listed.
func (r *Roster) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

// Put takes in an entry that was written.
func (r *Roster) Put(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(e)
	r.index()
}

func (r *Roster) put(e Entry) {
	if r.members == nil {
		r.members = map[string]*Member{}
	}
	m := r.members[e.ID]
	if m == nil || m.replacedBy(e) {
		m = newMember(e, r.Log, r.Reach)
		if e.Draining {
			m.drainingSince = time.Now()
		}
		r.members[e.ID] = m
		r.Log.Info("server_in", fields(e)...)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if e.Started != 0 && e.Started < m.entry.Started {
		r.Log.Info("server_entry_old", fields(e)...)
		return
	}
	if e.Draining != m.entry.Draining {
		r.Log.Info("server_draining", append(fields(e), zap.Bool("draining", e.Draining), zap.Duration("leaves_in", e.LeavesIn))...)
	}
	if e != m.entry {
		m.replaced = false
	}
	m.entry = e
	m.lapsed = time.Time{}
	switch {
	case !e.Draining:
		m.drainingSince = time.Time{}
	case m.drainingSince.IsZero():
		m.drainingSince = time.Now()
	}
}

// replacedBy tells whether the entry is of a later run under the same id.
func (m *Member) replacedBy(e Entry) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return e.Started > m.entry.Started && m.entry.Started != 0 || e.Address != m.entry.Address && e.Started >= m.entry.Started
}

// Remove takes out a server whose entry was removed.
func (r *Roster) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(id, "entry_removed")
	r.index()
}

func (r *Roster) remove(id, reason string) {
	m := r.members[id]
	if m == nil {
		return
	}
	m.mu.Lock()
	m.gone = true
	m.mu.Unlock()
	delete(r.members, id)
	r.Log.Info("server_out", append(fields(m.entry), zap.String("reason", reason))...)
}

// Reset takes in the whole list. After an outage of the store, an entry that is missing may only have lapsed: its server
// is kept for a grace time.
func (r *Roster) Reset(entries []Entry, afterOutage bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known = true
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		r.put(e)
	}
	now := time.Now()
	for id, m := range r.members {
		if listed[id] {
			continue
		}
		if !afterOutage {
			r.remove(id, "not_listed")
			continue
		}
		m.mu.Lock()
		if m.lapsed.IsZero() {
			m.lapsed = now
		}
		m.mu.Unlock()
		r.Log.Info("server_missed", fields(m.entry)...)
	}
	if afterOutage {
		time.AfterFunc(lapseGrace, r.dropLapsed)
	}
	r.index()
}

// dropLapsed takes out the servers whose entries haven't come back.
func (r *Roster) dropLapsed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, m := range r.members {
		m.mu.Lock()
		late := !m.lapsed.IsZero() && time.Since(m.lapsed) >= lapseGrace
		m.mu.Unlock()
		if late {
			r.remove(id, "not_back")
		}
	}
	r.index()
}

// index makes the lists of serving members anew.
func (r *Roster) index() {
	pools := make(map[string][]*Member, len(r.pools))
	r.byKey = make(map[int]*Member, len(r.members))
	for id, m := range r.members {
		r.byKey[keyOf(id)] = m
		e := m.Entry()
		if !e.Draining {
			pools[e.Pool] = append(pools[e.Pool], m)
		}
	}
	r.pools = pools
	order(pools)
}

// order gives the serving members of each pool and data centre their positions, by the hash of their ids.
func order(pools map[string][]*Member) {
	for _, members := range pools {
		byPlace := map[string][]*Member{}
		for _, m := range members {
			dc := m.Entry().DataCentre
			byPlace[dc] = append(byPlace[dc], m)
		}
		for _, list := range byPlace {
			slices.SortFunc(list, func(a, b *Member) int { return cmp.Compare(keyOf(a.Entry().ID), keyOf(b.Entry().ID)) })
			for i, m := range list {
				m.mu.Lock()
				m.position = (float64(i) + 0.5) / float64(len(list))
				m.mu.Unlock()
			}
		}
	}
}

// Serving returns the members of a pool that aren't leaving; callers must not change the list.
func (r *Roster) Serving(pool string) []*Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[pool]
}

// Usable returns the serving members of a pool that are believed to be reachable, or all serving ones if none is. Those
// that skip names are left out.
func (r *Roster) Usable(pool string, skip map[string]bool) []*Member {
	serving := r.Serving(pool)
	usable := make([]*Member, 0, len(serving))
	for _, m := range serving {
		m.mu.Lock()
		ok := !m.gone && !m.suspect && !m.replaced && !skip[m.entry.ID]
		m.mu.Unlock()
		if ok {
			usable = append(usable, m)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	for _, m := range serving {
		m.mu.Lock()
		ok := !m.replaced && !skip[m.entry.ID]
		m.mu.Unlock()
		if ok {
			usable = append(usable, m)
		}
	}
	return usable
}

// Sources returns the members of a pool that are believed to be reachable, also those that are leaving.
func (r *Roster) Sources(pool string) []*Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	list := make([]*Member, 0, len(r.pools[pool]))
	for _, m := range r.members {
		m.mu.Lock()
		leaving := !m.drainingSince.IsZero() && now.Sub(m.drainingSince) > sourceFor
		if m.entry.Pool == pool && !leaving && !m.suspect && !m.replaced {
			list = append(list, m)
		}
		m.mu.Unlock()
	}
	return list
}

// Members returns all members.
func (r *Roster) Members() []*Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*Member, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m)
	}
	return list
}

func fields(e Entry) []zap.Field {
	return []zap.Field{
		zap.String("server", e.ID),
		zap.String("address", e.Address),
		zap.String("pool", e.Pool),
		zap.String("data_centre", e.DataCentre),
	}
}
