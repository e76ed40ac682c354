package mesh

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/toucanroute/toucanroute/wire"
)

// meshOf returns the mesh of an instance that has received datagrams of all live instances but itself.
func meshOf(instance string, live []*Mesh) *Mesh {
	m := &Mesh{Instance: instance, peers: map[string]*peer{}}
	for _, other := range live {
		if other.Instance == instance {
			m.DataCentre = other.DataCentre
			continue
		}
		address := netip.MustParseAddrPort(other.Address)
		m.peers[other.Instance] = &peer{dataCentre: other.DataCentre, address: address, received: time.Now()}
	}
	return m
}

// drawInstances returns the instances of a deployment of up to four data centres, without state.
func drawInstances(rt *rapid.T) []*Mesh {
	var all []*Mesh
	for dc := range rapid.IntRange(1, 4).Draw(rt, "data centres") {
		for range rapid.IntRange(1, 40).Draw(rt, "instances") {
			n := len(all)
			all = append(all, &Mesh{Instance: fmt.Sprint("i", n), DataCentre: fmt.Sprint("dc", dc), Address: fmt.Sprintf("10.0.%d.%d:1", dc, n+1)})
		}
	}
	return all
}

// Whichever instance began a stream, the instances of its data centre, and of any other, ask one of its keepers or are
// one, also when the first is gone.
func TestKeepersOfAStreamAreAsked(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		all := drawInstances(rt)
		if len(all) < 2 {
			return
		}
		id := rapid.StringMatching(`[0-9a-f]{16}`).Draw(rt, "id")
		first := all[rapid.IntRange(0, len(all)-1).Draw(rt, "first")]
		keepers := meshOf(first.Instance, all).streamKeepers(id, localStreamKeepers, remoteStreamKeepers)
		assert.Assert(rt, len(keepers) > 0 && len(keepers) <= localStreamKeepers+remoteStreamKeepers)
		assert.Assert(rt, !slices.Contains(keepers, netip.MustParseAddrPort(first.Address)))
		live := all
		if rapid.Bool().Draw(rt, "first is gone") {
			live = slices.DeleteFunc(slices.Clone(all), func(m *Mesh) bool { return m == first })
		}
		later := live[rapid.IntRange(0, len(live)-1).Draw(rt, "later")]
		if later == first || slices.Contains(keepers, netip.MustParseAddrPort(later.Address)) {
			return
		}
		sources := meshOf(later.Instance, live).StreamSources(id)
		assert.Assert(rt, slices.ContainsFunc(keepers, func(k netip.AddrPort) bool { return slices.Contains(sources, k.String()) }),
			"keepers %v, asked %v", keepers, sources)
	})
}

// After the loss of most instances at once, the others still know what began most streams.
func TestKeepersOutlastLossOfMostInstances(t *testing.T) {
	const streams, instances, lost = 2000, 9, 5
	var all []*Mesh
	for n := range instances {
		all = append(all, &Mesh{Instance: fmt.Sprint("i", n), DataCentre: fmt.Sprint("dc", n%3), Address: fmt.Sprintf("10.0.0.%d:1", n+1)})
	}
	known := 0
	for n := range streams {
		id := fmt.Sprintf("%016x", n)
		first := all[n%lost]
		keepers := meshOf(first.Instance, all).streamKeepers(id, localStreamKeepers, remoteStreamKeepers)
		later := all[lost+n%(instances-lost)]
		sources := append(meshOf(later.Instance, all[lost:]).StreamSources(id), later.Address)
		if slices.ContainsFunc(keepers, func(k netip.AddrPort) bool { return slices.Contains(sources, k.String()) }) {
			known++
		}
	}
	assert.Assert(t, known > streams/2, "%d of %d streams", known, streams)
}

// The keepers get the datagram, which leaves what else they know of the sender as it is.
func TestStreamIsSentToKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, meshes, _, stop := startNetwork(t)
		defer stop()
		var mu sync.Mutex
		received := map[string][]wire.NewsStream{}
		for _, m := range meshes {
			m.OnPeerStreams = func(streams []wire.NewsStream) {
				mu.Lock()
				defer mu.Unlock()
				received[m.Instance] = append(received[m.Instance], streams...)
			}
		}
		stream := wire.NewsStream{I: "98bc5edc25d169ff", P: "p", V: "v1.2"}
		meshes[0].SendStream(stream)
		mu.Lock()
		defer mu.Unlock()
		assert.Equal(t, len(received), localStreamKeepers+1, "two of its own data centre, one of the only other")
		for instance, streams := range received {
			assert.DeepEqual(t, streams, []wire.NewsStream{stream})
			assert.Assert(t, instance != meshes[0].Instance)
		}
	})
}
