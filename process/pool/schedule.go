package pool

import (
	"time"

	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/request/queue"
)

// schedule grants free slots to waiting requests and preempts grants of lower tiers for requests that would otherwise
// miss their targets. It also plans the next sweep; see sweepInterval.
func (sched *Scheduler) schedule(now time.Time) {
	for sched.freeSlots() > 0 && !sched.isRecovering(now) {
		it, turn := sched.queue.Next(now, func(it *queue.Item, byTurn bool) bool {
			return sched.canGrant(sched.waiters[it.Number], byTurn, now)
		})
		if it == nil {
			break
		}
		sched.grantSlot(sched.waiters[it.Number], turn, now)
	}
	sched.preemptForWaiting(now)
	sched.planSweep(now)
}

// freeSlots returns the number of free slots of serving and draining servers, or 0 if no request waits.
func (sched *Scheduler) freeSlots() int {
	if sched.queue.Len() == 0 {
		return 0
	}
	n := 0
	for _, s := range sched.servers {
		if s.serving() || s.draining() {
			n += s.Free()
		}
	}
	return n
}

// canGrant reports whether the request can be granted a free slot now.
func (sched *Scheduler) canGrant(w *waiter, byTurn bool, now time.Time) bool {
	return len(sched.eligibleServers(w, byTurn, now)) > 0
}

// eligibleServers returns the servers with a free slot that may run the request. Unless the grant is by turn, it leaves
// the slots reserved for higher tiers free and avoids stragglers. The slice is valid until the next call.
func (sched *Scheduler) eligibleServers(w *waiter, byTurn bool, now time.Time) []*pick.Server {
	sched.candidateBuf = sched.candidateBuf[:0]
	var reserved reservedSlots
	if !byTurn && !sched.resumesOnDrainingServer(w) {
		reserved = sched.reservedSlots(w.item.Tier, now)
	}
	regular, cheap := sched.slotSupplies(nil)
	if reserved.all > 0 && regular.free+cheap.free <= reserved.all {
		return nil
	}
	required := sched.requirements(w, now)
	for _, s := range sched.servers {
		if s.Free() == 0 || !sched.mayServe(s, w) {
			continue
		}
		if !s.Cheap && reserved.regular > 0 && regular.free <= reserved.regular {
			continue
		}
		if s.IsStraggler {
			s.ProbeDue = sched.stragglers.ProbeDue(s.Name, now, w.class.CheapAllowed)
		}
		if byTurn || pick.Fits(&s.Server, required) {
			sched.candidateBuf = append(sched.candidateBuf, &s.Server)
		}
	}
	return sched.candidateBuf
}

// resumesOnDrainingServer reports whether the request is a paused stream that resumes on a draining server. Only such
// requests may use the slots of a draining server.
func (sched *Scheduler) resumesOnDrainingServer(w *waiter) bool {
	s := sched.serversByName[w.ask.Resume]
	return s != nil && s.draining()
}

// requirements returns what the request needs of its server: its targets, and the servers that cache its prefix.
func (sched *Scheduler) requirements(w *waiter, now time.Time) pick.Requirements {
	ask := pick.Requirements{
		BetweenTokens: time.Duration(w.class.TbtMs) * time.Millisecond,
		CheapAllowed:  w.class.CheapAllowed,
	}
	if !w.firstTokenDeadline.IsZero() {
		ask.FirstTokenBudget = max(1, w.firstTokenDeadline.Sub(now))
	}
	if w.ask.Prefix != "" {
		ask.Cached = func(server string) int { return sched.prefixes.Cached(w.ask.Prefix, server) }
	}
	return ask
}

// grantSlot grants a slot to the request.
func (sched *Scheduler) grantSlot(w *waiter, turn queue.Turn, now time.Time) {
	s := sched.chooseServer(w, !turn.IsZero(), now)
	skipped := sched.skippedRequests(w, s)
	sched.queue.Grant(&w.item, now)
	delete(sched.waiters, w.item.Number)
	g := sched.newGrant(w, s, turn, now)
	e := w.newEvent(EventGranted)
	e.Server, e.TurnDue, e.SkippedRequests = s.Name, turn.Due, skipped
	e.Preemptible = w.class.Resumable && turn.IsZero()
	sched.trace(e)
	w.result <- outcome{grant: g}
}

// chooseServer returns the server that the policy chooses among the eligible ones.
func (sched *Scheduler) chooseServer(w *waiter, byTurn bool, now time.Time) *server {
	eligibleServers := sched.eligibleServers(w, byTurn, now)
	return sched.serversByName[sched.Policy.Choose(eligibleServers, sched.requirements(w, now)).Name]
}

// skippedRequests returns the waiting requests of higher tiers that may run on the server, but for which it is too
// slow. It returns nil if OnEvent isn't set.
func (sched *Scheduler) skippedRequests(w *waiter, s *server) []int {
	if sched.OnEvent == nil {
		return nil
	}
	var skipped []int
	sched.queue.Each(func(it *queue.Item) bool {
		other := sched.waiters[it.Number]
		if it.Tier < w.item.Tier && sched.mayServe(s, other) && pick.TooSlow(&s.Server, sched.requirements(other, time.Now())) {
			skipped = append(skipped, it.Number)
		}
		return true
	})
	return skipped
}

// preemptForWaiting preempts grants of lower tiers for the waiting requests that would otherwise miss their targets.
func (sched *Scheduler) preemptForWaiting(now time.Time) {
	if sched.queue.Len() == 0 || !sched.anyPreemptibleBelow(0) {
		return
	}
	ahead := 0
	sched.queue.Each(func(it *queue.Item) bool {
		if !sched.anyPreemptibleBelow(it.Tier) {
			return false
		}
		ahead++
		if it.LatestStart.IsZero() {
			return true
		}
		w := sched.waiters[it.Number]
		l := sched.load(w, now, false)
		l.RequestsAhead = min(l.RequestsAhead, ahead-1)
		if l.Wait()+preemptDelay > it.LatestStart.Sub(now) {
			sched.preemptOne(w)
		}
		return true
	})
}

// anyPreemptibleBelow reports whether any grant of a tier below the given one may be preempted.
func (sched *Scheduler) anyPreemptibleBelow(tier int) bool {
	return sched.preemptibleBelow(tier, false)+sched.preemptibleBelow(tier, true) > 0
}

// planSweep plans the next sweep while requests wait, and one for the end of a recovery (see StartRecovery).
func (sched *Scheduler) planSweep(now time.Time) {
	if sched.queue.Len() == 0 {
		return
	}
	sched.planSweepAt(now.Add(sweepInterval), now)
	if sched.isRecovering(now) {
		sched.planSweepAt(sched.recoveringUntil, now)
	}
}

// planSweepFor plans a sweep for the latest start of the request.
func (sched *Scheduler) planSweepFor(it *queue.Item, now time.Time) {
	if sched.queue.Len() > 0 && !it.LatestStart.IsZero() {
		sched.planSweepAt(it.LatestStart, now)
	}
}

// planSweepAt plans a sweep at the given time unless an earlier one is planned.
func (sched *Scheduler) planSweepAt(at, now time.Time) {
	if !sched.nextSweep.IsZero() && !at.Before(sched.nextSweep) {
		return
	}
	sched.nextSweep = at
	sched.sweepTimer.Reset(max(0, at.Sub(now)) + time.Microsecond)
}

// sweep refuses the waiting requests that can no longer meet their targets or have no server, and schedules the others.
func (sched *Scheduler) sweep() {
	sched.lock()
	defer sched.unlock()
	now := time.Now()
	sched.nextSweep = time.Time{}
	for _, it := range sched.queue.Items() {
		w := sched.waiters[it.Number]
		switch {
		case !sched.hasEligibleServer(w):
			sched.refuse(w, ReasonNoServer, noServerRetryAfter)
		case !it.LatestStart.IsZero() && now.After(it.LatestStart):
			sched.refuseOverload(w, now)
		default:
			sched.planSweepFor(it, now)
		}
	}
	sched.setTurnAfter()
	sched.queue.MaxLag = creditAnswers * sched.serviceStats.AnswerTokens("")
	sched.schedule(now)
}

// setTurnAfter sets the time without a grant after which a class gets a turn, such that the turns of all classes
// together use at most turnShare of the slot time.
func (sched *Scheduler) setTurnAfter() {
	slots, slotTime := 0, time.Duration(0)
	for _, s := range sched.servers {
		if s.serving() {
			slots += s.Slots
		}
	}
	for name := range sched.classes {
		slotTime += sched.serviceStats.SlotTime(name)
	}
	after := time.Duration(float64(slotTime) / (turnShare * float64(max(slots, 1))))
	sched.queue.TurnAfter = min(max(after, turnAfterMin), turnAfterMax)
}
