package hostroute

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func tierPointer(n int) *int { return &n }

func testConfig() Config {
	engineShare := []Share{{Pool: "engines", Weight: 1}}
	return Config{
		Version: 3,
		Routes: []Route{
			{Name: "chat", Host: "A.example", Prefix: "/x/", Kind: Stream, Shares: engineShare, MaxEventGap: 200 * time.Millisecond, Resumable: true},
			{Name: "book", Host: "a.example", Prefix: "/x/y/", Kind: AtMostOnce, Shares: engineShare, Tier: 2},
			{Name: "long", Host: "a.example", Prefix: "/z/", Kind: Stream, Shares: engineShare, Tier: 1, MaxEventGap: 800 * time.Millisecond},
			{Name: "open", Host: "b.example", Prefix: "/", Kind: Repeatable, Shares: engineShare, Open: true},
		},
		Pools:      []Pool{{Name: "engines", Engine: &Engine{Slots: 8, TokensPerEvent: 6}}},
		Workspaces: []Workspace{{Name: "alba", Keys: []string{"k1", "k2"}, Tier: tierPointer(0)}, {Name: "bela", Keys: []string{"k3"}, Tier: tierPointer(1)}},
	}
}

func TestRoute(t *testing.T) {
	table, err := NewTable(testConfig())
	assert.NilError(t, err)
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "chat"},
		{"a.EXAMPLE:8080", "/x/", "chat"},
		{"a.example", "/x/y/z", "book"},
		{"a.example", "/x/y", "chat"},
		{"a.example", "/xy/", ""},
		{"a.example", "/x", ""},
		{"b.example", "/anything", "open"},
		{"c.example", "/x/1", ""},
		{"", "", ""},
	} {
		r, ok := table.Route(tc.host, tc.path)
		assert.Equal(t, ok, tc.want != "", "%s %s", tc.host, tc.path)
		if ok {
			assert.Equal(t, r.Name, tc.want)
		}
	}
}

func TestKeys(t *testing.T) {
	table, err := NewTable(testConfig())
	assert.NilError(t, err)
	chatRoute, _ := table.Route("a.example", "/x/1")
	openRoute, _ := table.Route("b.example", "/")
	assert.Assert(t, table.NeedsKey(chatRoute) && !table.NeedsKey(openRoute))
	owner, ok := table.WorkspaceByKey("k2")
	assert.Assert(t, ok && owner.Name == "alba")
	_, ok = table.WorkspaceByKey("k4")
	assert.Assert(t, !ok)
	_, ok = table.WorkspaceByKey("")
	assert.Assert(t, !ok)
}

// Requests are ordered by the tier of their workspace first and by the tier of their route second.
func TestRanks(t *testing.T) {
	table, err := NewTable(testConfig())
	assert.NilError(t, err)
	chatRoute, _ := table.Route("a.example", "/x/1")
	bookRoute, _ := table.Route("a.example", "/x/y/1")
	alba, _ := table.WorkspaceByKey("k1")
	bela, _ := table.WorkspaceByKey("k3")
	assert.Assert(t, table.Rank(chatRoute, alba) < table.Rank(bookRoute, alba))
	assert.Assert(t, table.Rank(bookRoute, alba) < table.Rank(chatRoute, bela))
	assert.Assert(t, table.Rank(chatRoute, bela) < table.Rank(bookRoute, bela))
}

func TestRanksAreBounded(t *testing.T) {
	cfg := testConfig()
	for i := range 40 {
		cfg.Workspaces = append(cfg.Workspaces, Workspace{Name: fmt.Sprint(i), Keys: []string{fmt.Sprint("key", i)}, Tier: tierPointer(i)})
	}
	table, err := NewTable(cfg)
	assert.NilError(t, err)
	last := -1
	for i := range 40 {
		w, _ := table.WorkspaceByKey(fmt.Sprint("key", i))
		rank := table.Rank(&table.Routes()[0], w)
		assert.Assert(t, rank >= last && rank < RankCount)
		last = rank
	}
}

// An event of six tokens takes six engine steps, each of which may include a prefill: 180 ms of the permitted 200 ms.
// With five tokens it takes 150 ms, which is below the threshold.
func TestSplitsServers(t *testing.T) {
	cfg := testConfig()
	table, err := NewTable(cfg)
	assert.NilError(t, err)
	assert.Assert(t, table.SplitsServers("engines"))
	assert.Assert(t, !table.DelayTolerant(&table.Routes()[0], "engines"))
	assert.Assert(t, table.DelayTolerant(&table.Routes()[2], "engines"))
	cfg = testConfig()
	cfg.Pools[0].Engine.TokensPerEvent = 5
	table, err = NewTable(cfg)
	assert.NilError(t, err)
	assert.Assert(t, !table.SplitsServers("engines"))
}

func TestNewTableRejectsInvalidConfig(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"prefix":  func(c *Config) { c.Routes[0].Prefix = "x/" },
		"pool":    func(c *Config) { c.Routes[1].Shares = []Share{{Pool: "none"}} },
		"no pool": func(c *Config) { c.Routes[1].Shares = nil },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		_, err := NewTable(cfg)
		var fault ErrConfig
		assert.Assert(t, errors.As(err, &fault), name)
		assert.Equal(t, fault.Version, 3)
	}
}

// With five tokens the servers may be split because of the streams' pauses: then only the routes with nearly the shortest
// pauses are latency-sensitive. With three, no prefill delays an event for too long.
func TestSplitForPace(t *testing.T) {
	cfg := testConfig()
	table, err := NewTable(cfg)
	assert.NilError(t, err)
	assert.Assert(t, !table.MaySplitForPace("engines"), "the servers are always split")
	cfg = testConfig()
	cfg.Pools[0].Engine.TokensPerEvent = 5
	cfg.Routes[2].MaxEventGap = cfg.Routes[0].MaxEventGap * 3 / 2
	table, err = NewTable(cfg)
	assert.NilError(t, err)
	assert.Assert(t, table.MaySplitForPace("engines"))
	chat, draft := &table.Routes()[0], &table.Routes()[2]
	assert.Assert(t, table.HasShortGap(chat, "engines") && !table.BearsPrefills(chat, "engines"))
	assert.Assert(t, !table.HasShortGap(draft, "engines") && table.BearsPrefills(draft, "engines"))
	assert.Assert(t, !table.DelayTolerant(draft, "engines"))
	cfg.Routes[2].MaxEventGap = cfg.Routes[0].MaxEventGap
	table, err = NewTable(cfg)
	assert.NilError(t, err)
	assert.Assert(t, !table.MaySplitForPace("engines"), "no request bears the prefills of others")
	cfg = testConfig()
	cfg.Pools[0].Engine.TokensPerEvent = 3
	table, err = NewTable(cfg)
	assert.NilError(t, err)
	assert.Assert(t, !table.MaySplitForPace("engines"))
}
