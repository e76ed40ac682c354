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
		assert.Assert(rt, len(keepers) > 0 && len(keepers) <= max(allKeepStreams, localStreamKeepers+remoteStreamKeepers))
		if len(all)-1 > allKeepStreams {
			assert.Assert(rt, len(keepers) <= localStreamKeepers+remoteStreamKeepers, "the cost must not grow with the fleet")
		}
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

// shareKnown returns the share of the streams of instances that were lost at once of which an instance that is left
// knows, or learns from the others, what began them.
func shareKnown(instances, lost int) float64 {
	const streams = 2000
	var all []*Mesh
	for n := range instances {
		all = append(all, &Mesh{Instance: fmt.Sprint("i", n), DataCentre: fmt.Sprint("dc", n%3), Address: fmt.Sprintf("10.0.0.%d:1", n+1)})
	}
	known := 0
	for n := range streams {
		id := fmt.Sprintf("%016x", n)
		keepers := meshOf(all[n%lost].Instance, all).streamKeepers(id, localStreamKeepers, remoteStreamKeepers)
		later := all[lost+n%(instances-lost)]
		sources := append(meshOf(later.Instance, all[lost:]).StreamSources(id), later.Address)
		if slices.ContainsFunc(keepers, func(k netip.AddrPort) bool { return slices.Contains(sources, k.String()) }) {
			known++
		}
	}
	return float64(known) / streams
}

// After the loss of most instances at once, those that are left still know what began most streams; in a small fleet,
// what began all of them.
func TestKeepersOutlastLossOfMostInstances(t *testing.T) {
	assert.Equal(t, shareKnown(9, 8), 1.0)
	assert.Equal(t, shareKnown(6, 5), 1.0)
	assert.Assert(t, shareKnown(85, 51) > 0.5)
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
		assert.Equal(t, len(received), len(meshes)-1, "few instances all know it")
		for instance, streams := range received {
			assert.DeepEqual(t, streams, []wire.NewsStream{stream})
			assert.Assert(t, instance != meshes[0].Instance)
		}
	})
}
