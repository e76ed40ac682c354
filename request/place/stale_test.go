package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Loads that are a third of a second old, as many instances know them, at 0.85 of what the servers of long prompts can read:
// requests must not all go to the servers that looked free, which would then read shared parts again and fall behind for good.
func TestStaleLoads(t *testing.T) {
	m := newModel(30)
	m.stale = 300 * time.Millisecond
	long, short := m.play(newLoad(7), 10, 300, 80, 0.6, engine)
	base := newModel(30)
	base.stale = m.stale
	baseLong, baseShort := base.play(newLoad(7), 10, 300, 80, 0.6, leastLoaded)
	t.Logf("late %.3f, %.3f, read again %d; least loaded: late %.3f, %.3f, read again %d", late(long, time.Second), late(short, 200*time.Millisecond),
		m.reread, late(baseLong, time.Second), late(baseShort, 200*time.Millisecond), base.reread)
	assert.Assert(t, late(long, time.Second) < 0.05)
	assert.Assert(t, late(short, 200*time.Millisecond) < 0.05)
}

// A server of another data centre is looked at only where the hash names it among the first, also where none is near.
func TestFewAreLookedAt(t *testing.T) {
	for _, near := range []int{0, 10, 30} {
		var list []Candidate
		for i := range 30 {
			list = append(list, Candidate{Name: fmt.Sprint("s", i), Near: i < near, Running: 1 + i%7, Slots: 64})
		}
		chosen := map[int]bool{}
		p := &Prompt{Parts: []Part{{"subject", 300}, {"own", 500}}, Tokens: 800, Target: time.Second}
		for i := range list {
			// Each server in turn looks idle to all.
			at := slices.Clone(list)
			at[i].Running = 0
			chosen[Engine(p, at).Index] = true
		}
		assert.Assert(t, len(chosen) <= 2*choices, "%d of 30 with %d near", len(chosen), near)
	}
}
