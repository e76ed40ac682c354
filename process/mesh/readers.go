package mesh

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// keepers returns the instances that keep this one's counts: the readers of the own data centre and one of another, so that
// losing a data centre doesn't lose all copies.
func (m *Mesh) keepers(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []netip.AddrPort
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		switch {
		case now.Sub(p.heard) > m.silence() || !p.reads:
		case p.dataCentre == m.DataCentre:
			near = append(near, p.address)
		case len(far) == 0:
			far = append(far, p.address)
		}
	}
	return append(near, far...)
}

// outMost is the number of instances of a data centre that try a store which is out of reach: more would cost calls and reach it
// no sooner. Where it turns just these away, the readers of other data centres are asked.
const outMost = 2 * Readers

// IsReader tells whether this instance reads and writes the store for its data centre: the first ones there by name that are
// heard and reach the store.
func (m *Mesh) IsReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, out := 0, 0
	for name, p := range m.peers {
		if name > m.Instance || p.dataCentre != m.DataCentre || time.Since(p.heard) > m.silence() || p.leaving {
			continue
		}
		if p.storeOut {
			out++
			continue
		}
		before++
	}
	return before < Readers && out < outMost
}

// ReaderAddresses returns the addresses of the instances that read the store, those of the own data centre first.
func (m *Mesh) ReaderAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far []string
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		switch {
		case time.Since(p.heard) > m.silence() || !p.reads || p.storeOut:
		case p.dataCentre == m.DataCentre:
			near = append(near, p.address.String())
		default:
			far = append(far, p.address.String())
		}
	}
	return append(near, far...)
}

// OutWithin tells whether at least half of the instances that read the store couldn't reach it within that time. A store that
// turns single instances away is no outage.
func (m *Mesh) OutWithin(d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	readers, out := 0, 0
	for _, p := range m.peers {
		recently := !p.outAt.IsZero() && time.Since(p.outAt) < d
		if recently || p.reads && time.Since(p.heard) <= m.silence() {
			readers++
		}
		if recently {
			out++
		}
	}
	return out > 0 && 2*out >= readers
}

// HearsHolder tells whether an instance that holds the duties is heard.
func (m *Mesh) HearsHolder() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.holds && time.Since(p.heard) <= m.silence() {
			return true
		}
	}
	return false
}

// Instances returns the number of instances that are known, also silent ones, this one included.
func (m *Mesh) Instances() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// Peers returns the number of other instances that are heard.
func (m *Mesh) Peers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, p := range m.peers {
		if time.Since(p.heard) <= m.silence() {
			n++
		}
	}
	return n
}
