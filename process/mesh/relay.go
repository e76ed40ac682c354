package mesh

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// RelayAt returns the address of the instance at one of the positions that Rank counts, for requests that this instance
// can't send to backend servers; false if none of them is live. Instances whose address is in skip are left out.
func (m *Mesh) RelayAt(positions []int, skip map[string]bool) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := append(slices.Collect(maps.Keys(m.peers)), m.Instance)
	slices.Sort(names)
	var candidates []string
	for _, position := range positions {
		if position >= len(names) {
			continue
		}
		p := m.peers[names[position]]
		if p != nil && time.Since(p.received) <= m.silenceTimeout() && !p.leaving && !skip[p.address.String()] {
			candidates = append(candidates, p.address.String())
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// AddressesOutside returns the addresses of the other instances that aren't in one of the data centres.
func (m *Mesh) AddressesOutside(dataCentres map[string]bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, p := range m.peers {
		if !dataCentres[p.dataCentre] {
			list = append(list, p.address.String())
		}
	}
	return list
}

// Relay returns the address of a live instance that reaches the backend servers of a pool, for requests that this instance
// can't send there; false if none is known. Instances whose address is in skip are left out. One of the own data centre is
// chosen if at least half of its instances reach the servers, otherwise any, so that few of them don't get the requests
// of all.
func (m *Mesh) Relay(pool string, skip map[string]bool) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var local, remote []netip.AddrPort
	// cut counts the instances of the own data centre that don't reach the servers, with this one.
	cut := 1
	for _, p := range m.peers {
		switch {
		case now.Sub(p.received) > m.silenceTimeout() || p.leaving || skip[p.address.String()]:
		case slices.Contains(p.unreachable, pool):
			if p.dataCentre == m.DataCentre {
				cut++
			}
		case p.dataCentre == m.DataCentre:
			local = append(local, p.address)
		default:
			remote = append(remote, p.address)
		}
	}
	candidates := local
	if len(local) < cut {
		candidates = slices.Concat(local, remote)
	}
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[rand.IntN(len(candidates))].String(), true
}
