package mesh

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanroute/toucanroute/wire"
)

const (
	// allKeepStreams is the number of live peers up to which all of them are told what began a stream, so that any
	// instance knows it that outlasts the others.
	allKeepStreams = 8
	// localStreamKeepers and remoteStreamKeepers are the numbers of instances that are told what began a stream: those
	// of the own data centre, where callers usually come back, and one in each of some other data centres.
	localStreamKeepers, remoteStreamKeepers = 2, 2
	// localStreamSources and remoteStreamSources are the numbers of instances that are asked for it. They are higher,
	// since the instance that began the stream isn't among its keepers, and other instances may have joined or left.
	localStreamSources, remoteStreamSources = localStreamKeepers + 1, remoteStreamKeepers + 1
)

// SendStream tells the keepers of a stream what began it. The datagrams may get lost.
func (m *Mesh) SendStream(stream wire.NewsStream) {
	targets := m.streamKeepers(stream.I, localStreamKeepers, remoteStreamKeepers)
	if len(targets) == 0 {
		return
	}
	datagram := m.datagram()
	datagram.Streams = []wire.NewsStream{stream}
	m.send(targets, datagram)
}

// StreamSources returns the addresses of the instances that probably know what began the stream with the id.
func (m *Mesh) StreamSources(id string) []string {
	keepers := m.streamKeepers(id, localStreamSources, remoteStreamSources)
	addresses := make([]string, len(keepers))
	for i, address := range keepers {
		addresses[i] = address.String()
	}
	return addresses
}

// streamKeepers returns the live instances that come first for a stream by rendezvous hashing: the given number of the
// own data centre, and the first of each of the given number of other data centres, which are in the order of a hash
// too. It returns all live instances if there are few.
func (m *Mesh) streamKeepers(id string, local, remote int) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	type keeper struct {
		rank    uint64
		address netip.AddrPort
	}
	var all []netip.AddrPort
	var own []keeper
	firsts := map[string]keeper{}
	now := time.Now()
	for name, p := range m.peers {
		if now.Sub(p.received) > m.silenceTimeout() {
			continue
		}
		all = append(all, p.address)
		k := keeper{rank: xxhash.Sum64String(id + "\x00" + name), address: p.address}
		if p.dataCentre == m.DataCentre {
			own = append(own, k)
		} else if first, ok := firsts[p.dataCentre]; !ok || k.rank < first.rank {
			firsts[p.dataCentre] = k
		}
	}
	if len(all) <= allKeepStreams {
		return all
	}
	others := make([]keeper, 0, len(firsts))
	for dataCentre, first := range firsts {
		others = append(others, keeper{rank: xxhash.Sum64String(id + "\x00" + dataCentre), address: first.address})
	}
	byRank := func(a, b keeper) int { return cmp.Compare(a.rank, b.rank) }
	slices.SortFunc(own, byRank)
	slices.SortFunc(others, byRank)
	addresses := make([]netip.AddrPort, 0, local+remote)
	for _, k := range slices.Concat(own[:min(len(own), local)], others[:min(len(others), remote)]) {
		addresses = append(addresses, k.address)
	}
	return addresses
}
