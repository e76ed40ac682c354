package evacuation

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

func newTable(dataCentres ...string) (table *Table, changes *int) {
	changes = new(int)
	return &Table{DataCentres: func() []string { return dataCentres }, OnChange: func(map[string]bool) { *changes++ }, Log: zap.NewNop()}, changes
}

// Two evacuations at once, one of them taken back at once; an unknown data centre changes nothing.
func TestEvacuationsBeginAndEnd(t *testing.T) {
	table, changes := newTable("a", "b", "c")
	table.Replace(map[string]int{}, false)
	table.Put("a", 5)
	table.Put("b", 6)
	table.Put("elsewhere", 7)
	assert.DeepEqual(t, table.InForce(), []string{"a", "b"})
	table.Remove("b")
	assert.DeepEqual(t, table.InForce(), []string{"a"})
	assert.Equal(t, *changes, 3)
	table.Replace(map[string]int{"a": 5}, false)
	assert.Equal(t, *changes, 3)
	table.Replace(map[string]int{"c": 9}, false)
	assert.DeepEqual(t, table.InForce(), []string{"c"})
}

// The evacuation of all data centres can't be meant: the newest isn't in force, at whichever instance and in whichever order
// they are read.
func TestOneDataCentreIsLeft(t *testing.T) {
	names := []string{"a", "b", "c"}
	versions := map[string]int{"a": 3, "b": 9, "c": 4}
	for first := range names {
		table, _ := newTable(names...)
		for i := range names {
			name := names[(first+i)%len(names)]
			table.Put(name, versions[name])
		}
		assert.DeepEqual(t, table.InForce(), []string{"a", "c"})
		table.Remove("a")
		assert.DeepEqual(t, table.InForce(), []string{"b", "c"})
	}
	single, _ := newTable("a")
	single.Put("a", 1)
	assert.Equal(t, len(single.InForce()), 0)
	none, _ := newTable()
	none.Put("a", 1)
	assert.Equal(t, len(none.InForce()), 0)
}

// A store that comes back from an older copy may have lost an evacuation, which is kept for a while, or until its end is
// read; it may list one that had ended, which is in force again.
func TestEvacuationOutlivesRewind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, _ := newTable("a", "b", "c")
		table.Replace(map[string]int{"a": 5, "b": 6}, false)
		table.Remove("b")
		table.Replace(map[string]int{"b": 6}, true)
		assert.DeepEqual(t, table.InForce(), []string{"a", "b"})
		time.Sleep(keptAfterRewind / 2)
		table.Replace(map[string]int{"b": 6}, false)
		assert.DeepEqual(t, table.InForce(), []string{"a", "b"})
		time.Sleep(keptAfterRewind)
		assert.DeepEqual(t, table.InForce(), []string{"b"})

		table.Put("a", 8)
		table.Replace(map[string]int{}, true)
		table.Put("a", 9)
		time.Sleep(2 * keptAfterRewind)
		assert.Assert(t, slices.Contains(table.InForce(), "a"), "it was begun again")
	})
}

// Settings that are read anew may name other data centres.
func TestDataCentresChange(t *testing.T) {
	known := []string{"a", "b"}
	table := &Table{DataCentres: func() []string { return known }, OnChange: func(map[string]bool) {}, Log: zap.NewNop()}
	table.Refresh()
	table.Replace(map[string]int{"c": 5}, false)
	assert.Equal(t, len(table.InForce()), 0)
	known = []string{"a", "b", "c"}
	table.Refresh()
	assert.DeepEqual(t, table.InForce(), []string{"c"})
}
