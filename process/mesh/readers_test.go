package mesh

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// readersOf returns the mesh of an instance in the first of three data centres with two readers each.
func readersOf(t *testing.T) *Mesh {
	t.Helper()
	all := instancesOf(7)
	for i, instance := range all[1:] {
		instance.DataCentre = []string{"dc", "other", "third"}[i/2]
	}
	m := meshOf("i0", all)
	for _, p := range m.peers {
		p.isReader, p.servers = true, 7
	}
	return m
}

// Readers that have what this instance lacks are asked first, and of these those in its data centre.
func TestReadersThatAreAheadAreAskedFirst(t *testing.T) {
	m := readersOf(t)
	m.peers["i3"].servers, m.peers["i4"].servers = 8, 9
	first := m.ServerReaders(7)[:2]
	slices.Sort(first)
	assert.DeepEqual(t, first, []string{"10.0.0.4:1", "10.0.0.5:1"})
	m.peers["i1"].servers = 8
	assert.Equal(t, m.ServerReaders(7)[0], "10.0.0.2:1", "the own data centre comes first, also with an older list than others")
	m.peers["i1"].storeUnreachable = true
	assert.Equal(t, len(m.ServerReaders(7)), 5)
}

// No reader is asked by all instances: those that are ahead share the work.
func TestReadersShareTheWork(t *testing.T) {
	m := readersOf(t)
	for _, name := range []string{"i3", "i4", "i5", "i6"} {
		m.peers[name].servers = 8
	}
	m.peers["i5"].servers = 9
	asked := map[string]int{}
	for range 1000 {
		asked[m.ServerReaders(7)[0]]++
	}
	assert.Equal(t, len(asked), 4)
	for address, n := range asked {
		assert.Assert(t, n < 500, "%s was asked %d times", address, n)
	}
}
