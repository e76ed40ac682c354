package mesh

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

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
	synctest.Test(t, func(t *testing.T) {
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
	})
}

// Instances of one data centre ask its readers in different orders, and those of others after them.
func TestLocalReadersShareTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := readersOf(t)
		asked := map[string]int{}
		for range 1000 {
			addresses := m.ReaderAddresses()
			asked[addresses[0]]++
			local := addresses[:2]
			slices.Sort(local)
			assert.DeepEqual(t, local, []string{"10.0.0.2:1", "10.0.0.3:1"})
		}
		assert.Assert(t, asked["10.0.0.2:1"] > 400 && asked["10.0.0.3:1"] > 400, "%v", asked)
	})
}

// sourcesOf returns the mesh of an instance in a data centre with two readers and six others, beside another data centre
// with two readers and two others.
func sourcesOf() *Mesh {
	all := instancesOf(13)
	for _, instance := range all[9:] {
		instance.DataCentre = "other"
	}
	m := meshOf("i0", all)
	for _, name := range []string{"i1", "i2", "i9", "i10"} {
		m.peers[name].isReader = true
	}
	return m
}

// positionsOf returns the positions of the addresses.
func positionsOf(addresses []string) map[string]int {
	positions := map[string]int{}
	for i, address := range addresses {
		positions[address] = i
	}
	return positions
}

// A configuration is asked of any instance that has told a newer one, at random, so that each copy serves further ones. A reader
// follows after two others at most, and another data centre after all of the own.
func TestInstancesWithNewerConfigurationShareTheWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := sourcesOf()
		for _, name := range []string{"i3", "i4", "i5", "i11"} {
			m.peers[name].config = 8
		}
		m.peers["i6"].config, m.peers["i7"].config, m.peers["i7"].leaving = 7, 8, true
		asked := map[string]int{}
		for range 1000 {
			addresses := m.ConfigSources(7)
			asked[addresses[0]]++
			positions := positionsOf(addresses)
			assert.Equal(t, len(positions), 8, "%v", addresses)
			reader := min(positions["10.0.0.2:1"], positions["10.0.0.3:1"])
			assert.Equal(t, reader, 2)
			for _, address := range addresses[:5] {
				assert.Assert(t, address <= "10.0.0.6:1" && address >= "10.0.0.2:1", "%v", addresses)
			}
		}
		for _, address := range []string{"10.0.0.4:1", "10.0.0.5:1", "10.0.0.6:1"} {
			assert.Assert(t, asked[address] > 250, "%v", asked)
		}
	})
}

// Before an instance of the data centre has told a newer configuration, its readers are asked, then those of another one
// that have it.
func TestReadersAreAskedForFirstCopies(t *testing.T) {
	m := sourcesOf()
	m.peers["i11"].config, m.peers["i3"].config = 8, 8
	m.peers["i3"].received = time.Now().Add(-time.Hour)
	addresses := m.ConfigSources(7)
	local := slices.Clone(addresses[:2])
	slices.Sort(local)
	assert.DeepEqual(t, local, []string{"10.0.0.2:1", "10.0.0.3:1"})
	assert.Equal(t, addresses[2], "10.0.0.12:1")
	assert.Equal(t, len(addresses), 5)
}

// Of 85 instances that know each other, the readers take different places from 0 for each key: one of them is first.
func TestOneReaderIsFirst(t *testing.T) {
	for n := range 40 {
		key, all, positions := fmt.Sprint("key", n), instancesOf(85), map[int]bool{}
		for i, instance := range all {
			instance.DataCentre = fmt.Sprint("dc", i%4)
		}
		isReader := func(i int) bool { return i < 4*ReadersPerDataCentre }
		for i := range all {
			m := meshOf(all[i].Instance, all)
			for j := range all {
				if p := m.peers[all[j].Instance]; p != nil {
					p.isReader = isReader(j)
				}
			}
			if isReader(i) {
				positions[m.ReaderPosition(key)] = true
			}
		}
		for position := range 4 * ReadersPerDataCentre {
			assert.Assert(t, positions[position], "%s: nobody at %d", key, position)
		}
	}
}

// An instance that is cut off from the store, alone or with others, may lack what a silent one knows, for as long as the cut
// lasts. An outage of the store that all instances see lets none know more than another.
func TestCutOffInstanceMayLackChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := readersOf(t)
		hear := func(names ...string) {
			for _, name := range names {
				if p := m.peers[name]; p != nil {
					p.received = time.Now()
				}
			}
		}
		assert.Assert(t, !m.MayLackChanges(false))
		for _, p := range m.peers {
			p.storeUnreachable = true
		}
		assert.Assert(t, !m.MayLackChanges(false), "an outage of the store for all")
		m.peers["i5"].storeUnreachable = false
		m.peers["i6"].leaving = true
		time.Sleep(time.Second)
		hear("i1", "i2", "i3", "i4")
		assert.Assert(t, m.MayLackChanges(false), "the only one with the store is silent")
		assert.Assert(t, !m.MayLackChanges(true))
		m.peers["i1"].storeUnreachable = false
		assert.Assert(t, !m.MayLackChanges(false))
		m.peers["i1"].isReader = false
		assert.Assert(t, m.MayLackChanges(false), "who doesn't read the store doesn't notice that it is out")
		time.Sleep(time.Hour)
		hear("i1", "i2", "i3", "i4")
		m.targets(time.Now())
		assert.Assert(t, m.peers["i5"] == nil)
		assert.Assert(t, m.MayLackChanges(false), "a silent instance that was forgotten")
		m.addListed(nil)
		assert.Assert(t, !m.MayLackChanges(false), "the store names all instances")
	})
}
