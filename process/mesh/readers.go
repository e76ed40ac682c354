package mesh

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

// countKeeperAddrs returns the addresses of the instances that store copies of this instance's request counts: the
// readers of its own data centre and one of another data centre, so that the loss of a data centre doesn't lose all
// copies.
func (m *Mesh) countKeeperAddrs(now time.Time) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	var local, remote []netip.AddrPort
	for _, name := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[name]
		switch {
		case now.Sub(p.received) > m.silenceTimeout() || !p.isReader:
		case p.dataCentre == m.DataCentre:
			local = append(local, p.address)
		case len(remote) == 0:
			remote = append(remote, p.address)
		}
	}
	return append(local, remote...)
}

// maxReadersInOutage is the number of instances per data centre that retry an unreachable store. More of them would
// cost calls and wouldn't reach it sooner. If the store rejects only these instances, they get the objects from the
// readers of other data centres.
const maxReadersInOutage = 2 * ReadersPerDataCentre

// IsReader reports whether this instance reads and writes the store for its data centre. The readers are the first
// instances of the data centre by name that are live, aren't shutting down and reach the store.
func (m *Mesh) IsReader() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	// readersBefore counts the peers that are readers and come before this instance by name.
	readersBefore, peersWithoutStore := 0, 0
	for name, p := range m.peers {
		if name > m.Instance || p.dataCentre != m.DataCentre || time.Since(p.received) > m.silenceTimeout() || p.leaving {
			continue
		}
		if p.storeUnreachable {
			peersWithoutStore++
			continue
		}
		readersBefore++
	}
	return readersBefore < ReadersPerDataCentre && peersWithoutStore < maxReadersInOutage
}

// readsStore reports whether the instance is live and reads the store. The caller holds mu.
func (m *Mesh) readsStore(p *peer) bool {
	return time.Since(p.received) <= m.silenceTimeout() && p.isReader && !p.storeUnreachable
}

// ReaderPosition returns the position of this instance, from 0, among the readers of all data centres for a key, by
// rendezvous hashing. Each reader is in another place, so that one of them writes what all know.
func (m *Mesh) ReaderPosition(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	own, position := xxhash.Sum64String(key+"\x00"+m.Instance), 0
	for name, p := range m.peers {
		if m.readsStore(p) && !p.leaving && xxhash.Sum64String(key+"\x00"+name) < own {
			position++
		}
	}
	return position
}

// MayLackChanges reports whether another instance may know changes of the store that no live instance can tell this one:
// neither this one, as given by readsStore, nor a live one reads the store, and an instance is silent that didn't tell that
// it leaves. It is meant for instances and data centres that are cut off.
func (m *Mesh) MayLackChanges(readsStore bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	isSilent := m.forgotten
	for _, p := range m.peers {
		if readsStore || m.readsStore(p) {
			return false
		}
		isSilent = isSilent || !p.leaving && time.Since(p.received) > m.silenceTimeout()
	}
	return isSilent && !readsStore
}

// ReaderAddresses returns the addresses of the live instances that read the store, those in this data centre first.
func (m *Mesh) ReaderAddresses() []string {
	return m.readersAhead(func(*peer) bool { return true })
}

// ServerReaders returns the same with those first that have reported a newer list of backend servers than the own version:
// the watches of the others may have missed a change.
func (m *Mesh) ServerReaders(own int) []string {
	return m.readersAhead(func(p *peer) bool { return p.servers > own })
}

// readersAhead returns the addresses of the live instances that read the store: first those that are ahead, and of these
// those in this data centre. Otherwise they are in a random order, so that no reader is asked first by all.
func (m *Mesh) readersAhead(isAhead func(*peer) bool) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var local, remote []*peer
	for _, p := range m.peers {
		switch {
		case !m.readsStore(p):
		case p.dataCentre == m.DataCentre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	shuffle(local)
	shuffle(remote)
	readers := slices.Concat(local, remote)
	behind := func(p *peer) int {
		if isAhead(p) {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(readers, func(a, b *peer) int { return cmp.Compare(behind(a), behind(b)) })
	return addressesOf(readers)
}

// sourcesPerReader is the number of other instances that are asked for a configuration before a reader.
const sourcesPerReader = 2

// ConfigSources returns the addresses of the live instances that may have a newer configuration than the own version, those
// in this data centre first: those that have reported one, in a random order, and among them the readers, which may have one
// and not have reported it yet. A reader follows after two others, since instances of an older build don't send a
// configuration unless they read the store.
func (m *Mesh) ConfigSources(own int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	type sources struct{ readers, others []*peer }
	var local, remote sources
	for _, p := range m.peers {
		s := &remote
		if p.dataCentre == m.DataCentre {
			s = &local
		}
		switch {
		case m.readsStore(p):
			s.readers = append(s.readers, p)
		case p.config > own && !p.leaving && time.Since(p.received) <= m.silenceTimeout():
			s.others = append(s.others, p)
		}
	}
	var list []*peer
	for _, s := range []sources{local, remote} {
		shuffle(s.readers)
		shuffle(s.others)
		for len(s.readers) > 0 || len(s.others) > 0 {
			n := min(len(s.others), sourcesPerReader)
			list, s.others = append(list, s.others[:n]...), s.others[n:]
			n = min(len(s.readers), 1)
			list, s.readers = append(list, s.readers[:n]...), s.readers[n:]
		}
	}
	return addressesOf(list)
}

func shuffle(peers []*peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

func addressesOf(peers []*peer) []string {
	addresses := make([]string, len(peers))
	for i, p := range peers {
		addresses[i] = p.address.String()
	}
	return addresses
}

// StoreOutageWithin reports whether at least half of the instances that read the store failed to reach it at some time
// in the last d. A store that rejects only single instances doesn't count as an outage.
func (m *Mesh) StoreOutageWithin(d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	readers, readersWithoutStore, now := 0, 0, time.Now()
	for _, p := range m.peers {
		recentOutage := p.missedStoreWithin(d, now)
		if recentOutage || p.isReader && time.Since(p.received) <= m.silenceTimeout() {
			readers++
		}
		if recentOutage {
			readersWithoutStore++
		}
	}
	return readersWithoutStore > 0 && 2*readersWithoutStore >= readers
}

// observeStore records what a datagram that was just received tells of the store, before the peer's other state is
// updated.
func (p *peer) observeStore(datagram wire.News) {
	if datagram.StoreOut {
		if !p.storeUnreachable {
			p.storeUnreachableSince = p.received
		}
		p.storeUnreachableAt = p.received
	}
	// An instance that has no list of servers yet has not reached the store.
	switch reads := datagram.Reads && !datagram.StoreOut && datagram.Servers > 0; {
	case !reads:
		p.readsSince = time.Time{}
	case p.readsSince.IsZero():
		p.readsSince = p.received
	}
}

// StoreBackAt returns the earliest known time at which the store was reachable after the last reader had begun to miss it in
// the last d. It is zero if no reader missed it, and known is false if the store isn't known to have been reachable since.
// Reachable means that a reader told that it reaches the store again, or that one has told nothing else for longer than
// callTime: a call that hangs in an outage fails within that time.
func (m *Mesh) StoreBackAt(d, callTime time.Duration) (back time.Time, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var began time.Time
	for _, p := range m.peers {
		if p.isReader && p.missedStoreWithin(d, now) && p.storeUnreachableSince.After(began) {
			began = p.storeUnreachableSince
		}
	}
	for _, p := range m.peers {
		if p.readsSince.IsZero() || now.Sub(p.received) > m.silenceTimeout() {
			continue
		}
		var reachedAt time.Time
		switch {
		case p.missedStoreWithin(d, now) && !p.readsSince.Before(began):
			reachedAt = p.readsSince
		case now.Sub(began) > callTime && now.Sub(p.readsSince) > callTime:
			reachedAt = began
		default:
			continue
		}
		if !known || reachedAt.Before(back) {
			back, known = reachedAt, true
		}
	}
	return back, known
}

// missedStoreWithin reports whether the instance told in the last d that it can't reach the store.
func (p *peer) missedStoreWithin(d time.Duration, now time.Time) bool {
	return !p.storeUnreachableAt.IsZero() && now.Sub(p.storeUnreachableAt) < d
}

// DutyHolderIsLive reports whether a live peer holds the duties lease.
func (m *Mesh) DutyHolderIsLive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.holdsLease && time.Since(p.received) <= m.silenceTimeout() {
			return true
		}
	}
	return false
}

// InstanceCount returns the number of known instances, including this one and silent ones.
func (m *Mesh) InstanceCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers) + 1
}

// LivePeerCount returns the number of other instances that are live.
func (m *Mesh) LivePeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, p := range m.peers {
		if time.Since(p.received) <= m.silenceTimeout() {
			n++
		}
	}
	return n
}
