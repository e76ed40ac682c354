package hostroute

import (
	"cmp"
	"slices"
	"time"
)

// Ranks is the number of ranks that engines tell apart.
const Ranks = 10

// Rank returns the rank of a request of the workspace on the route, from 0 for the most urgent to Ranks - 1; the workspace
// may be nil. A workspace's tier goes before the routes' tiers, which order the requests of equal workspaces.
func (t *Table) Rank(r *Route, w *Workspace) int { return t.ranks[levelOf(r, w)] }

// level is the urgency of a request: that of its workspace first, then that of its route.
type level struct {
	workspace, route int
}

func levelOf(r *Route, w *Workspace) level {
	if w != nil && w.Tier != nil {
		return level{*w.Tier, r.Tier}
	}
	return level{r.Tier, r.Tier}
}

// rankLevels numbers the levels that the configuration's routes and workspaces make.
func (t *Table) rankLevels() {
	var levels []level
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		levels = append(levels, levelOf(r, nil))
		for j := range t.cfg.Workspaces {
			levels = append(levels, levelOf(r, &t.cfg.Workspaces[j]))
		}
	}
	slices.SortFunc(levels, func(a, b level) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.route, b.route))
	})
	levels = slices.Compact(levels)
	t.ranks = make(map[level]int, len(levels))
	for i, l := range levels {
		t.ranks[l] = i
		if len(levels) > Ranks {
			t.ranks[l] = i * Ranks / len(levels)
		}
	}
}

// sharing names requests that share a pool's servers: all of them, or the patient ones and the others where these have servers
// of their own.
type sharing struct {
	pool    string
	patient bool
}

func (t *Table) sharingOf(r *Route, pool string) sharing {
	return sharing{pool, t.Apart(pool) && t.Patient(r, pool)}
}

// findLeastUrgent finds the highest rank of the requests that share servers.
func (t *Table) findLeastUrgent() {
	t.leastUrgent = map[sharing]int{}
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		rank := 0
		if !t.NeedsKey(r) {
			rank = t.Rank(r, nil)
		}
		for j := range t.cfg.Workspaces {
			rank = max(rank, t.Rank(r, &t.cfg.Workspaces[j]))
		}
		for _, s := range r.Shares {
			at := t.sharingOf(r, s.Pool)
			t.leastUrgent[at] = max(t.leastUrgent[at], rank)
		}
	}
}

// urgentWaits is how many times its target a request may be expected to wait that others yield to: engines read urgent prompts
// first, so that it waits for a part only of what is to be read.
const urgentWaits = 3

// WaitLimit returns the longest expected wait at which a request of the rank is let in; 0 is none.
func (t *Table) WaitLimit(r *Route, pool string, rank int) time.Duration {
	if rank < t.leastUrgent[t.sharingOf(r, pool)] {
		return YieldedLimit(r)
	}
	return r.Target
}

// YieldedLimit returns the same for a request that all others at its server yield to.
func YieldedLimit(r *Route) time.Duration { return urgentWaits * r.Target }
