package hostroute

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// RankCount is the number of priority ranks that engines distinguish.
const RankCount = 10

// Rank returns the priority rank of a request of the workspace on the route: 0 is the most urgent, and all ranks are
// less than RankCount. The workspace may be nil. Requests are ordered by the tier of their workspace first and by the
// tier of their route second.
func (t *Table) Rank(r *Route, w *Workspace) int { return t.ranks[tiersOf(r, w)] }

// tierPair is the priority of a request: its workspace's tier is compared first, then its route's.
type tierPair struct {
	workspaceTier, routeTier int
}

// tiersOf returns the tier pair of a request of the workspace, which may be nil, on the route. Without a tier of the
// workspace, the route's tier takes its place.
func tiersOf(r *Route, w *Workspace) tierPair {
	if w != nil && w.Tier != nil {
		return tierPair{*w.Tier, r.Tier}
	}
	return tierPair{r.Tier, r.Tier}
}

// assignRanks gives a rank to each tier pair of the configuration's routes and workspaces. If there are more pairs than
// ranks, neighbouring pairs share a rank.
func (t *Table) assignRanks() {
	var pairs []tierPair
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		pairs = append(pairs, tiersOf(r, nil))
		for j := range t.cfg.Workspaces {
			pairs = append(pairs, tiersOf(r, &t.cfg.Workspaces[j]))
		}
	}
	slices.SortFunc(pairs, func(a, b tierPair) int {
		return cmp.Or(cmp.Compare(a.workspaceTier, b.workspaceTier), cmp.Compare(a.routeTier, b.routeTier))
	})
	pairs = slices.Compact(pairs)
	t.ranks = make(map[tierPair]int, len(pairs))
	for i, pair := range pairs {
		t.ranks[pair] = i
		if len(pairs) > RankCount {
			t.ranks[pair] = i * RankCount / len(pairs)
		}
	}
}

// serverGroup identifies the requests that share the same servers of a pool. A pool has two groups, the delay-tolerant
// and the latency-sensitive requests, if its servers are split between them, and one group otherwise.
type serverGroup struct {
	pool          string
	delayTolerant bool
}

// serverGroupOf returns the server group of the route's requests at a pool.
func (t *Table) serverGroupOf(r *Route, pool string) serverGroup {
	return serverGroup{pool, t.SplitsServers(pool) && t.DelayTolerant(r, pool)}
}

// findLowestPriorities sets lowestPriorityRanks: it finds the highest rank, which is the least urgent one, among the
// requests of each server group.
func (t *Table) findLowestPriorities() {
	t.lowestPriorityRanks = map[serverGroup]int{}
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
			group := t.serverGroupOf(r, s.Pool)
			t.lowestPriorityRanks[group] = max(t.lowestPriorityRanks[group], rank)
		}
	}
}

// noLimit stands for the wait of requests that may wait for as long as they like.
const noLimit = time.Duration(math.MaxInt64)

// findLessUrgentLimits sets lessUrgentLimits.
func (t *Table) findLessUrgentLimits() {
	t.lessUrgentLimits = map[string]*[RankCount]time.Duration{}
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		ranks := make([]int, 0, len(t.cfg.Workspaces)+1)
		if !t.NeedsKey(r) {
			ranks = append(ranks, t.Rank(r, nil))
		}
		for j := range t.cfg.Workspaces {
			ranks = append(ranks, t.Rank(r, &t.cfg.Workspaces[j]))
		}
		for _, s := range r.Shares {
			limits := t.lessUrgentLimits[s.Pool]
			if limits == nil {
				limits = &[RankCount]time.Duration{}
				t.lessUrgentLimits[s.Pool] = limits
			}
			for _, rank := range ranks {
				limit := cmp.Or(t.WaitLimit(r, s.Pool, rank), noLimit)
				for more := range rank {
					limits[more] = max(limits[more], limit)
				}
			}
		}
	}
}

// LessUrgentWaitLimit returns the longest wait limit among the requests of a pool that are less urgent than the rank; 0 if
// there are none.
func (t *Table) LessUrgentWaitLimit(pool string, rank int) time.Duration {
	limits := t.lessUrgentLimits[pool]
	if limits == nil {
		return 0
	}
	return limits[min(max(rank, 0), RankCount-1)]
}

// priorityWaitFactor multiplies the wait limit of a request that has priority over others. The expected wait counts all
// prompt tokens that an engine still has to prefill, but engines prefill urgent prompts first, so such a request waits
// for only a part of them.
const priorityWaitFactor = 3

// WaitLimit returns the longest time that a request of the rank may be expected to wait at a server of the pool and
// still be admitted; 0 means no limit.
func (t *Table) WaitLimit(r *Route, pool string, rank int) time.Duration {
	if rank < t.lowestPriorityRanks[t.serverGroupOf(r, pool)] {
		return HighPriorityWaitLimit(r)
	}
	return r.FirstEventTarget
}

// RankShare returns the place of a rank among those of its server group, from 0 for the most urgent to 1.
func (t *Table) RankShare(r *Route, pool string, rank int) float64 {
	lowest := t.lowestPriorityRanks[t.serverGroupOf(r, pool)]
	return float64(rank) / float64(max(lowest, rank, 1))
}

// HighPriorityWaitLimit returns the wait limit of a request that has priority over all others at its server.
func HighPriorityWaitLimit(r *Route) time.Duration { return priorityWaitFactor * r.FirstEventTarget }
