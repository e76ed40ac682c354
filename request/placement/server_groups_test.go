package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Servers are lost while the pool is split, so that the bounds of the groups move over servers full of streams. Long
// prompts keep away from these until the streams have ended, and streams go to the rest of their group.
func TestServersDrainBeforeTheyChangeGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, load := &ServerGroups{}, newWorkload(2)
		candidates := func(tolerant, running int) []Candidate {
			list := make([]Candidate, 12)
			for i := range list {
				list[i] = Candidate{Name: fmt.Sprint("s", i), Running: running, Slots: modelSlots, SameDataCentre: true, DelayTolerant: i < tolerant}
			}
			return list
		}
		// placed returns how many of 400 prompts of a kind go to server 8.
		placed := func(isLong bool, tolerant, running int) (n int) {
			for range 400 {
				p := load.short()
				if isLong {
					p = load.long(280)
				}
				list := candidates(tolerant, running)
				g.Settle(p, list)
				if ChooseEngine(p, list).Index == 8 {
					n++
				}
			}
			return n
		}
		assert.Assert(t, placed(false, 8, 40) > 0)
		assert.Equal(t, placed(true, 8, 40), 0)
		assert.Equal(t, placed(true, 9, 40), 0, "streams run there")
		assert.Equal(t, placed(false, 9, 40), 0, "it leaves the group")
		time.Sleep(5 * time.Second)
		assert.Equal(t, placed(true, 9, 20), 0, "streams still run there")
		assert.Assert(t, placed(true, 9, maxIdleRunning) > 0, "its streams have ended")
		assert.Assert(t, placed(true, 9, 20) > 0, "these are prompts of its own group")

		assert.Assert(t, placed(false, 8, 40) > 0, "it is back at once")
		assert.Equal(t, placed(true, 9, 40), 0)
		time.Sleep(drainTime + time.Second)
		assert.Assert(t, placed(true, 9, 30) > 0, "it drains for a limited time")

		time.Sleep(drainTime + time.Second)
		g.Settle(load.short(), candidates(8, 0)[:3])
		assert.Equal(t, len(g.servers), 3, "servers that are gone are forgotten")
	})
}
