package pool

import (
	"time"

	"github.com/toucanroute/toucanroute/request/admission"
	"github.com/toucanroute/toucanroute/request/pick"
)

// slotSupply describes the slots of the serving servers of the regular kind, of the cheap kind, or of both kinds.
type slotSupply struct {
	slots, free int
	// releaseRate is the expected number of slots that become free per second.
	releaseRate float64
}

func (s slotSupply) plus(other slotSupply) slotSupply {
	return slotSupply{slots: s.slots + other.slots, free: s.free + other.free, releaseRate: s.releaseRate + other.releaseRate}
}

// slotSupplies returns the slots of the serving servers by kind. If w isn't nil, it counts only servers that may run
// the request and aren't too slow for it.
func (sched *Scheduler) slotSupplies(w *waiter) (regular, cheap slotSupply) {
	var required pick.Requirements
	if w != nil {
		required = sched.requirements(w, time.Now())
	}
	for _, s := range sched.servers {
		if !s.serving() {
			continue
		}
		if w != nil && (!sched.mayServe(s, w) || pick.TooSlow(&s.Server, required)) {
			continue
		}
		supply := slotSupply{slots: s.Slots, free: s.Free(), releaseRate: s.releaseRate}
		if s.Cheap {
			cheap = cheap.plus(supply)
			continue
		}
		regular = regular.plus(supply)
	}
	return regular, cheap
}

// load returns the load that determines how long the request waits. With preempt, grants of lower tiers that may be
// preempted count as slots about to become free. A request that cheap servers may run gets the first free slot of
// either kind of server. Any other request needs a regular server, for which all requests ahead of it may compete.
func (sched *Scheduler) load(w *waiter, now time.Time, preempt bool) admission.Load {
	position := sched.queue.Position(&w.item, now)
	regular, cheap := sched.slotSupplies(w)
	pendingReleases := sched.pendingReleases
	if preempt {
		pendingReleases.regular += sched.preemptibleBelow(w.item.Tier, false)
		pendingReleases.cheap += sched.preemptibleBelow(w.item.Tier, true)
	}
	var reserved reservedSlots
	var higherDemand arrivalDemand
	if !position.ByTurn {
		reserved, higherDemand = sched.reservedSlots(w.item.Tier, now), sched.demandAbove(w.item.Tier, now)
	}
	both := regular.plus(cheap)
	all := admission.Load{
		RequestsAhead: position.Ahead.All, FreeSlots: both.free, Headroom: reserved.all,
		Reclaimable: pendingReleases.regular + pendingReleases.cheap, ReleaseRate: both.releaseRate, HigherTierRate: higherDemand.all,
	}
	if !w.class.CheapAllowed {
		return longerWait(all, admission.Load{
			RequestsAhead: position.Ahead.All - position.Ahead.Cheap, FreeSlots: regular.free, Headroom: reserved.regular,
			Reclaimable: pendingReleases.regular, ReleaseRate: regular.releaseRate, HigherTierRate: higherDemand.all - higherDemand.cheap,
		})
	}
	return shorterWait(all, admission.Load{
		RequestsAhead: position.Ahead.Cheap, FreeSlots: cheap.free, Headroom: max(0, reserved.all-max(0, regular.free-reserved.regular)),
		Reclaimable: pendingReleases.cheap, ReleaseRate: cheap.releaseRate, HigherTierRate: higherDemand.cheap,
	})
}

// longerWait returns the load with the longer predicted wait.
func longerWait(a, b admission.Load) admission.Load {
	if b.Wait() > a.Wait() {
		return b
	}
	return a
}

// shorterWait returns the load with the shorter predicted wait.
func shorterWait(a, b admission.Load) admission.Load {
	if b.Wait() < a.Wait() {
		return b
	}
	return a
}

// arrivalDemand is the arrival rate in requests per second: of all requests, and of those that cheap servers may run.
type arrivalDemand struct{ all, cheap float64 }

// demandAbove returns the arrival rate of the tiers above the given one.
func (sched *Scheduler) demandAbove(tier int, now time.Time) arrivalDemand {
	var demand arrivalDemand
	for key, rate := range sched.arrivalRates {
		if key.tier >= tier {
			continue
		}
		perSecond := rate.PerSecond(now)
		demand.all += perSecond
		if key.cheap {
			demand.cheap += perSecond
		}
	}
	return demand
}

// reservedSlots is the number of free slots that a tier leaves to the tiers above it: of both kinds of server together,
// and of the regular kind.
type reservedSlots struct{ all, regular int }

// reservedSlots returns the slots that the tier must leave free. Grants that the tiers above may preempt count as free.
func (sched *Scheduler) reservedSlots(tier int, now time.Time) reservedSlots {
	higher := sched.demandAbove(tier, now)
	if higher.all <= 0 {
		return reservedSlots{}
	}
	regular, cheap := sched.slotSupplies(nil)
	both := regular.plus(cheap)
	slack := sched.minSlackAbove(tier)
	preemptible := sched.preemptibleBelow(tier-1, false)
	regularReserve := admission.Headroom(higher.all-higher.cheap, regular.releaseRate, slack, regular.slots)
	all := admission.Headroom(higher.all, both.releaseRate, slack, both.slots)
	return reservedSlots{
		all:     max(0, all-preemptible-sched.preemptibleBelow(tier-1, true)),
		regular: max(0, regularReserve-preemptible),
	}
}

// preemptibleBelow returns the number of grants of lower tiers on one kind of server that may be preempted.
func (sched *Scheduler) preemptibleBelow(tier int, cheap bool) int {
	n := 0
	for key, count := range sched.preemptibleCounts {
		if key.tier > tier && key.cheap == cheap {
			n += count
		}
	}
	return n
}

// minSlackAbove returns the shortest time that a request of a tier above the given one can wait for a slot and still
// meet its target; 0 if no such tier has a target.
func (sched *Scheduler) minSlackAbove(tier int) time.Duration {
	slack := time.Duration(-1)
	for _, c := range sched.classes {
		if c.Tier >= tier || c.TtftMs <= 0 {
			continue
		}
		target := time.Duration(c.TtftMs) * time.Millisecond
		classSlack := max(0, target-sched.serviceStats.FirstToken(c.Name))
		if slack < 0 || classSlack < slack {
			slack = classSlack
		}
	}
	return max(0, slack)
}
