package hostroute

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The longest wait limit among less urgent requests falls with the rank, and is 0 for the least urgent.
func TestLessUrgentWaitLimit(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Routes {
		cfg.Routes[i].FirstEventTarget = time.Duration(i+1) * 100 * time.Millisecond
	}
	table, err := NewTable(cfg)
	assert.NilError(t, err)
	for i := range cfg.Routes {
		for j := range cfg.Workspaces {
			rank := table.Rank(&cfg.Routes[i], &cfg.Workspaces[j])
			for more := range rank {
				assert.Assert(t, table.LessUrgentWaitLimit("engines", more) >= table.WaitLimit(&cfg.Routes[i], "engines", rank))
			}
		}
	}
	lowest := table.Rank(&cfg.Routes[1], &cfg.Workspaces[1])
	assert.Equal(t, table.LessUrgentWaitLimit("engines", lowest), time.Duration(0))
	assert.Equal(t, table.LessUrgentWaitLimit("other", 0), time.Duration(0))
}

// The wait limit of the least urgent requests of a server group is their target. More urgent requests have a higher
// limit, since engines prefill their prompts first.
func TestWaitLimit(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Routes {
		cfg.Routes[i].FirstEventTarget = time.Duration(i+1) * 100 * time.Millisecond
	}
	cfg.Routes[3].Open, cfg.Routes[3].Tier = false, 3
	table, err := NewTable(cfg)
	assert.NilError(t, err)
	assert.Assert(t, table.SplitsServers("engines"))
	rank := func(r, w int) int { return table.Rank(&cfg.Routes[r], &cfg.Workspaces[w]) }
	// Indexes of the routes in testConfig.
	const chat, long, open = 0, 2, 3
	assert.Equal(t, table.WaitLimit(&cfg.Routes[open], "engines", rank(open, 1)), 400*time.Millisecond)
	assert.Equal(t, table.WaitLimit(&cfg.Routes[open], "engines", rank(open, 0)), 1200*time.Millisecond)
	assert.Equal(t, table.WaitLimit(&cfg.Routes[chat], "engines", rank(chat, 1)), 300*time.Millisecond)
	// The delay-tolerant route has servers of its own, where its requests are the least urgent.
	assert.Equal(t, table.WaitLimit(&cfg.Routes[long], "engines", rank(long, 1)), 300*time.Millisecond)
	assert.Equal(t, table.WaitLimit(&cfg.Routes[long], "engines", rank(long, 0)), 900*time.Millisecond)
}
