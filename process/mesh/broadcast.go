package mesh

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// Broadcast sends messages, each in a datagram with the status of this instance, to all other instances, also to silent
// ones. With a limit above 0 it chooses that many of them at random.
func (m *Mesh) Broadcast(messages []wire.News, limit int) {
	targets := m.addresses()
	if limit > 0 && limit < len(targets) {
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:limit]
	}
	if len(targets) == 0 {
		return
	}
	for _, message := range messages {
		m.sign(&message)
		m.send(targets, message)
	}
}

// addresses returns the addresses of all other instances.
func (m *Mesh) addresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(m.peers))
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		list = append(list, m.peers[name].address)
	}
	return list
}

// IsFirst reports whether this instance comes first of all live instances for a key, by rendezvous hashing.
func (m *Mesh) IsFirst(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := xxhash.Sum64String(key + "\x00" + m.Instance)
	for name, p := range m.peers {
		if time.Since(p.received) <= m.silenceTimeout() && xxhash.Sum64String(key+"\x00"+name) < own {
			return false
		}
	}
	return true
}

// minRankInstances is the minimum number of instances that Rank counts while this instance hasn't read yet which others
// there are.
const minRankInstances = 8

// KnowsOthers reports whether the instances were read from the store, so that Rank counts all of them.
func (m *Mesh) KnowsOthers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// Rank returns the position of this instance, from 0, among all known instances in the order of their names, and their
// number. Silent instances count too: they may only be cut off from this one.
func (m *Mesh) Rank() (position, count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.peers {
		if name < m.Instance {
			position++
		}
	}
	count = len(m.peers) + 1
	if !m.listed {
		count = max(count, minRankInstances)
	}
	return position, count
}
