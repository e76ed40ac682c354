package placement

import (
	"maps"
	"sync"
	"time"
)

// drainTime is the longest time for which a server that leaves the group for latency-sensitive requests gets no prompts.
// Most streams of a few hundred tokens have ended by then.
const drainTime = 10 * time.Second

// ServerGroups keeps long prompts away from the streams that still run at a server which changes its group. It is safe for
// concurrent use.
//
// It answers servers that come and go, and shares that change, while a pool is split: the bounds of the groups move, and a
// server full of streams would get a row of long prompts at once. The server serves neither group until its streams have
// ended, or for drainTime.
type ServerGroups struct {
	mu      sync.Mutex
	servers map[string]groupMember
	// prunedAt is the time at which servers that are gone were last removed.
	prunedAt time.Time
}

// groupMember is a server's group, since when it drains (zero if it doesn't), and when it was last a candidate.
type groupMember struct {
	delayTolerant bool
	drainsSince   time.Time
	seenAt        time.Time
}

// Settle remembers the groups of the candidates and moves those that drain to the group that the prompt doesn't use.
func (g *ServerGroups) Settle(p *Prompt, candidates []Candidate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.prune(now)
	for i := range candidates {
		c := &candidates[i]
		before, isKnown := g.servers[c.Name]
		member := groupMember{delayTolerant: c.DelayTolerant, drainsSince: before.drainsSince, seenAt: now}
		switch {
		case isKnown && c.DelayTolerant && !before.delayTolerant:
			member.drainsSince = now
		case !c.DelayTolerant || c.Running <= maxIdleRunning || now.Sub(member.drainsSince) > drainTime:
			member.drainsSince = time.Time{}
		}
		if g.servers[c.Name] = member; !member.drainsSince.IsZero() {
			c.DelayTolerant = !p.DelayTolerant
		}
	}
}

// prune removes the servers that haven't been candidates for a while; the caller holds the lock.
func (g *ServerGroups) prune(now time.Time) {
	if g.servers == nil {
		g.servers = map[string]groupMember{}
	}
	if now.Sub(g.prunedAt) < drainTime {
		return
	}
	g.prunedAt = now
	maps.DeleteFunc(g.servers, func(_ string, member groupMember) bool { return now.Sub(member.seenAt) > drainTime })
}

// Forget forgets all groups, since the pool isn't split any more.
func (g *ServerGroups) Forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.servers = nil
}
