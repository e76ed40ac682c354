package pool

import (
	"time"

	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/request/queue"
	"github.com/toucanroute/toucanroute/wire"
)

// grantKey identifies a grant by its holder and its number. A grant has the number of its request. Two schedulers may
// use the same number, but seldom for grants of the same holder.
type grantKey struct {
	holder string
	number int
}

// activeGrant is a grant that hasn't been released.
type activeGrant struct {
	key grantKey
	// ask is the number of the request that was granted, or -1 if another scheduler issued the grant.
	ask    int
	server *server
	// cheap is set if the server was of the cheap kind when the slot was granted.
	cheap     bool
	class     string
	tier      int
	workspace string
	// prefix identifies the prefix of the prompt, as the request stated it; empty if unknown.
	prefix string
	// estimatedTokens is the estimated length of the answer in tokens, which the workspace was charged.
	estimatedTokens float64
	grantedAt       time.Time
	// releaseRate is the part that the grant adds to the release rate of its server, in slots per second.
	releaseRate float64
	// turn is set if the request was granted by a turn of its class; such a grant isn't preempted.
	turn bool
	// resumable is set if the stream can be paused and resumed later.
	resumable bool
	// preempted is set after the holder was asked to pause the stream.
	preempted bool
	// resumed is set if the stream was paused before and resumed under this grant.
	resumed bool
	// firstTokenRecorded is set if the time to first token was reported before the release.
	firstTokenRecorded bool
	// adopted is set if another scheduler issued the grant and its holder declared it to this one.
	adopted bool
	// grant is nil for an adopted grant.
	grant *Grant
}

// newGrant creates the grant of a request on a server.
func (sched *Scheduler) newGrant(w *waiter, s *server, turn queue.Turn, now time.Time) *Grant {
	holder := w.holder
	g := NewGrant(s.Name, sched.Instance, w.item.Number, func(r wire.GrantRelease) { sched.Release(holder, r) })
	if s.IsStraggler {
		sched.stragglers.RecordProbe(s.Name, now)
	}
	if w.ask.Prefix != "" {
		sched.prefixes.Put(w.ask.Prefix, s.Name, max(1, sched.prefixes.Cached(w.ask.Prefix, s.Name)))
	}
	sched.addGrant(&activeGrant{
		key:             grantKey{holder: holder, number: w.item.Number},
		ask:             w.item.Number,
		server:          s,
		class:           w.item.Class,
		tier:            w.item.Tier,
		workspace:       w.item.Workspace,
		prefix:          w.ask.Prefix,
		estimatedTokens: w.item.EstimatedTokens,
		grantedAt:       now,
		turn:            !turn.IsZero(),
		resumable:       w.class.Resumable,
		resumed:         w.ask.Resume != "",
		grant:           g,
	})
	return g
}

// addGrant records a grant and occupies its slot.
func (sched *Scheduler) addGrant(g *activeGrant) {
	g.releaseRate = 1 / max(sched.serviceStats.SlotTime(g.class), time.Millisecond).Seconds()
	g.cheap = g.server.Cheap
	g.server.Running++
	g.server.releaseRate += g.releaseRate
	sched.grants[g.key] = g
	if g.isPreemptible() {
		sched.preemptibleCounts[g.tierKind()]++
	}
}

func (g *activeGrant) tierKind() tierKind { return tierKind{tier: g.tier, cheap: g.cheap} }

// isPreemptible reports whether the stream of the grant may be paused and hasn't been asked to pause yet.
func (g *activeGrant) isPreemptible() bool { return g.resumable && !g.turn && !g.preempted }

// removeGrant removes a grant and frees its slot.
func (sched *Scheduler) removeGrant(g *activeGrant) {
	delete(sched.grants, g.key)
	g.server.Running--
	g.server.releaseRate -= g.releaseRate
	if g.server.Running == 0 {
		g.server.releaseRate = 0
	}
	if g.isPreemptible() {
		sched.preemptibleCounts[g.tierKind()]--
	}
	if g.preempted {
		sched.pendingReleases.add(g.tierKind().cheap, -1)
	}
	sched.trace(Event{Kind: EventReleased, Request: g.ask, Class: g.class, Tier: g.tier, Workspace: g.workspace, Server: g.server.Name})
	sched.removeUnused(g.server)
}

// Release frees the slot of a grant and records the observed times and tokens. An unknown grant is ignored.
func (sched *Scheduler) Release(holder string, r wire.GrantRelease) {
	sched.lock()
	defer sched.unlock()
	g := sched.grants[grantKey{holder: holder, number: r.Grant}]
	if g == nil {
		return
	}
	now := time.Now()
	sched.recordAttempt(g, r, now)
	sched.removeGrant(g)
	sched.notifyAttemptEnd(g.server.Name, r.Failed)
	sched.schedule(now)
}

// notifyAttemptEnd calls OnAttemptEnd after the lock has been released.
func (sched *Scheduler) notifyAttemptEnd(server string, failed bool) {
	if sched.OnAttemptEnd != nil {
		sched.callbacks = append(sched.callbacks, func() { sched.OnAttemptEnd(server, failed) })
	}
}

// chargedTokens returns the number of tokens that the workspace is charged for the attempt. An answer without tokens,
// such as that of a service that isn't a language model, is charged as estimated; a failure without an answer isn't
// charged.
func (g *activeGrant) chargedTokens(r wire.GrantRelease) float64 {
	if r.Tokens == 0 && r.FirstTokenMs > 0 && !r.Failed {
		return g.estimatedTokens
	}
	return min(float64(r.Tokens), maxChargeFactor*g.estimatedTokens)
}

// recordAttempt updates the usage of the workspace and the estimates of service times with a finished attempt.
func (sched *Scheduler) recordAttempt(g *activeGrant, r wire.GrantRelease, now time.Time) {
	sched.queue.AdjustCharge(g.tier, g.workspace, g.estimatedTokens, g.chargedTokens(r))
	sched.rateLimits.ChargeTokens(g.workspace, r.Tokens, now)
	if r.FirstTokenMs <= 0 || r.Failed {
		return
	}
	firstToken := time.Duration(r.FirstTokenMs) * time.Millisecond
	total := time.Duration(r.DurationMs) * time.Millisecond
	if !r.Paused && !g.resumed {
		sched.serviceStats.Observe(g.class, total, firstToken, r.Tokens)
	}
	var betweenTokens time.Duration
	if r.Tokens > 1 && total > firstToken {
		betweenTokens = (total - firstToken) / time.Duration(r.Tokens-1)
	}
	if g.firstTokenRecorded {
		firstToken = 0
	}
	sched.recordLatency(g.server, firstToken, betweenTokens)
	if g.prefix != "" {
		sched.prefixes.Put(g.prefix, g.server.Name, max(r.CachedTokens, 1))
	}
}

// RecordFirstToken records the time to first token of a grant. Holders report an unusually late one before the release,
// so that a straggler is detected before its streams end.
func (sched *Scheduler) RecordFirstToken(holder string, f wire.GrantFirst) {
	sched.lock()
	defer sched.unlock()
	g := sched.grants[grantKey{holder: holder, number: f.Grant}]
	if g == nil || g.firstTokenRecorded || f.FirstTokenMs <= 0 {
		return
	}
	g.firstTokenRecorded = true
	sched.recordLatency(g.server, time.Duration(f.FirstTokenMs)*time.Millisecond, 0)
}

// recordLatency records the time to first token and the time between tokens of a server; 0 means not observed.
func (sched *Scheduler) recordLatency(s *server, firstToken, betweenTokens time.Duration) {
	sched.stragglers.Observe(s.Name, firstToken, betweenTokens)
	s.FirstToken, s.BetweenTokens = sched.stragglers.Times(s.Name)
	s.IsStraggler = sched.stragglers.IsStraggler(s.Name)
}

// DropHolder frees the grants of an instance that has failed and refuses its waiting requests.
func (sched *Scheduler) DropHolder(holder string) {
	sched.lock()
	defer sched.unlock()
	for _, w := range sched.waiters {
		if w.holder == holder && sched.dequeue(w) {
			sched.trace(w.newEvent(EventAbandoned))
			w.result <- outcome{err: ErrRefused{Reason: ReasonSchedulerMoved}}
		}
	}
	for key, g := range sched.grants {
		if key.holder == holder {
			sched.removeGrant(g)
		}
	}
	delete(sched.recovering, holder)
	sched.schedule(time.Now())
}

// StartRecovery delays new grants until each of the instances has declared the grants that it holds (see
// ReconcileGrants) or has been dropped, and for at most maxWait. It is called when this instance becomes the home
// instance of the pool.
func (sched *Scheduler) StartRecovery(holders []string, maxWait time.Duration) {
	sched.lock()
	defer sched.unlock()
	sched.recovering = make(map[string]bool, len(holders))
	for _, name := range holders {
		sched.recovering[name] = true
	}
	sched.recoveringUntil = time.Now().Add(maxWait)
	sched.schedule(time.Now())
}

// isRecovering reports whether new grants are delayed until all instances have declared the grants that they hold.
func (sched *Scheduler) isRecovering(now time.Time) bool {
	return len(sched.recovering) > 0 && now.Before(sched.recoveringUntil)
}

// ReconcileGrants makes the known grants of an instance agree with the complete list that it has declared. Grants of an
// earlier scheduler are added under their numbers. Grants that the instance no longer holds are freed, since their
// release was lost. Recent ones are kept, since the reply with the grant may not have reached the instance yet.
func (sched *Scheduler) ReconcileGrants(holder string, grants []wire.GrantHeld) {
	sched.lock()
	defer sched.unlock()
	declared := make(map[int]bool, len(grants))
	for _, grant := range grants {
		declared[grant.Grant] = true
		sched.adoptGrant(holder, grant)
	}
	cutoff := time.Now().Add(-maxReplyDelay)
	for key, g := range sched.grants {
		if key.holder == holder && !declared[key.number] && g.grantedAt.Before(cutoff) {
			sched.removeGrant(g)
		}
	}
	delete(sched.recovering, holder)
	sched.schedule(time.Now())
}

// adoptGrant adds a grant that an instance has declared, unless it is known.
func (sched *Scheduler) adoptGrant(holder string, declared wire.GrantHeld) {
	key := grantKey{holder: holder, number: declared.Grant}
	if sched.grants[key] != nil {
		return
	}
	tier, resumable := 0, false
	if c := sched.classes[declared.Class]; c != nil {
		tier, resumable = c.Tier, c.Resumable
	}
	sched.addGrant(&activeGrant{
		key:       key,
		ask:       -1,
		server:    sched.server(declared.Server),
		class:     declared.Class,
		tier:      tier,
		workspace: declared.Workspace,
		grantedAt: time.Now(),
		resumable: resumable,
		adopted:   true,
	})
	sched.trace(Event{Kind: EventGranted, Request: -1, Class: declared.Class, Tier: tier, Workspace: declared.Workspace, Server: declared.Server})
}

// preemptOne preempts one grant whose slot the waiting request could use. It chooses one of the lowest tier. Within
// that tier, it prefers streams that weren't paused before, and among these the newest grant.
func (sched *Scheduler) preemptOne(w *waiter) {
	var victim *activeGrant
	ask := sched.requirements(w, time.Now())
	for _, g := range sched.grants {
		if g.tier <= w.item.Tier || !g.isPreemptible() || !sched.mayServe(g.server, w) {
			continue
		}
		if pick.TooSlow(&g.server.Server, ask) || g.server.Running > g.server.Slots {
			continue
		}
		if victim == nil || g.preemptedBefore(victim) {
			victim = g
		}
	}
	if victim == nil {
		return
	}
	sched.preemptibleCounts[victim.tierKind()]--
	victim.preempted = true
	sched.pendingReleases.add(victim.tierKind().cheap, 1)
	sched.trace(Event{
		Kind: EventPreempted, Request: victim.ask, Class: victim.class, Tier: victim.tier,
		Workspace: victim.workspace, Server: victim.server.Name, PreemptedForTier: w.item.Tier,
	})
	sched.callbacks = append(sched.callbacks, func() { sched.sendPreempt(victim) })
}

// preemptedBefore reports whether g is to be preempted rather than other.
func (g *activeGrant) preemptedBefore(other *activeGrant) bool {
	if g.tier != other.tier {
		return g.tier > other.tier
	}
	if g.resumed != other.resumed {
		return other.resumed
	}
	if !g.grantedAt.Equal(other.grantedAt) {
		return g.grantedAt.After(other.grantedAt)
	}
	return g.key.number > other.key.number
}

// sendPreempt asks the holder of a grant to pause its stream, on this instance or on another.
func (sched *Scheduler) sendPreempt(g *activeGrant) {
	if g.grant != nil {
		g.grant.Preempt()
	}
	remote := g.adopted || g.key.holder != sched.Instance
	if remote && sched.Preempt != nil {
		sched.Preempt(g.key.holder, wire.GrantPreempt{Grant: g.key.number, Pool: sched.Pool})
	}
}
