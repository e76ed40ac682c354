package mesh

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// instancesOf returns n instances of one data centre without state.
func instancesOf(n int) []*Mesh {
	all := make([]*Mesh, n)
	for i := range all {
		all[i] = &Mesh{Instance: fmt.Sprint("i", i), DataCentre: "dc", Address: fmt.Sprintf("10.0.0.%d:1", i+1)}
	}
	return all
}

// Instances that know each other have different ranks, and exactly one is first for a key.
func TestRanksOfInstancesDiffer(t *testing.T) {
	for _, n := range []int{1, 9, 78} {
		all := instancesOf(n)
		ranks := map[int]bool{}
		first := 0
		for _, self := range all {
			m := meshOf(self.Instance, all)
			m.listed = true
			position, count := m.Rank()
			assert.Equal(t, count, n)
			assert.Assert(t, position >= 0 && position < count && !ranks[position])
			ranks[position] = true
			if m.IsFirst("some key") {
				first++
			}
		}
		assert.Equal(t, first, 1)
	}
}

// A silent instance keeps its rank, since it may only be cut off from this one, but is not first for any key.
func TestSilentInstanceKeepsItsRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := meshOf("i1", instancesOf(9))
		m.listed = true
		time.Sleep(10 * time.Second)
		position, count := m.Rank()
		assert.Equal(t, position, 1)
		assert.Equal(t, count, 9)
		assert.Assert(t, m.IsFirst("some key"))
	})
}

// An instance that hasn't read yet which others there are doesn't take itself for the only one.
func TestNewInstanceAssumesOthers(t *testing.T) {
	m := &Mesh{Instance: "i0"}
	_, count := m.Rank()
	assert.Equal(t, count, minRankInstances)
	assert.Assert(t, !m.KnowsOthers())
	m.addListed(nil)
	_, count = m.Rank()
	assert.Equal(t, count, 1)
	assert.Assert(t, m.KnowsOthers())
}

func TestBroadcastReachesAllOrSome(t *testing.T) {
	m := meshOf("i0", instancesOf(78))
	m.Run, m.Address = "i0.1", "10.0.0.1:1"
	m.FillStatus = func(n *wire.News) { n.Version = 7 }
	sent := map[string]int{}
	m.Send = func(to netip.AddrPort, data []byte) {
		var got wire.News
		assert.NilError(t, json.Unmarshal(data, &got))
		assert.Equal(t, got.From, "i0")
		assert.Equal(t, got.Version, 7)
		assert.DeepEqual(t, got.Sound, []string{"a"})
		sent[to.String()]++
	}
	messages := []wire.News{{Sound: []string{"a"}}}
	m.Broadcast(messages, 0)
	assert.Equal(t, len(sent), 77)
	clear(sent)
	m.Broadcast(messages, 16)
	assert.Equal(t, len(sent), 16)
	(&Mesh{}).Broadcast(messages, 0)
}
