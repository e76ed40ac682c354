package fleet

import (
	"math"
	"sort"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

const (
	// targetUtilization is the share of the slots that the demand should keep busy.
	targetUtilization = 0.7
	// protectedUtilization is the share of the regular servers' slots that the protected demand may use after the loss of
	// all cheap servers; see Demand.Protected.
	protectedUtilization = 0.9
	// surplusDelay is how long a server must be superfluous before it is drained.
	surplusDelay = 5 * time.Minute
	// cheapRetryDelay is the time after a refused start of a cheap server in which no other is started.
	cheapRetryDelay = time.Minute
	// maxBurnIncrease is the largest fraction by which a high burn rate raises the demand.
	maxBurnIncrease = 0.5
)

// Demand is the load of one pool in the data centre.
type Demand struct {
	// ExpectedRPS is the expected request rate of the questionnaire, ObservedRPS the rate of arrivals, per second.
	ExpectedRPS float64
	ObservedRPS float64
	// SlotSeconds is the time for which a request holds a slot, in seconds.
	SlotSeconds float64
	// Protected is the share of the demand, 0 to 1, that must still meet its targets after the loss of all cheap servers.
	Protected float64
	// Waiting is the number of waiting requests, which need slots in addition to those for the arrivals.
	Waiting int
	// BurnRate is the burn rate of the error budget; above 1 the budget is used up too fast.
	BurnRate float64
}

// slots returns the number of slots that the demand keeps busy.
func (d Demand) slots() float64 {
	busy := max(d.ExpectedRPS, d.ObservedRPS) * d.SlotSeconds
	if d.BurnRate > 1 {
		busy *= 1 + min(d.BurnRate-1, maxBurnIncrease)
	}
	return busy + float64(d.Waiting)
}

// Candidate is a backend server that Planner may start, keep or drain.
type Candidate struct {
	Server wire.Server
	// Running is set if the server is running or starting and isn't being evicted.
	Running bool
	// Excluded is set if the server is draining, is being evicted or has a planned stop. It is neither started nor
	// counted.
	Excluded bool
}

// Planner decides which backend servers of a data centre should run. It records since when servers have been
// superfluous.
type Planner struct {
	// surplusSince holds the time since which a server has been superfluous, by server name.
	surplusSince map[string]time.Time
	// noCheapUntil is the time until which no stopped server of the cheap kind is started.
	noCheapUntil time.Time
}

// MarkCheapUnavailable records that a server of the cheap kind was unavailable.
func (p *Planner) MarkCheapUnavailable(now time.Time) { p.noCheapUntil = now.Add(cheapRetryDelay) }

// Decision lists the names of the servers to start and to drain.
type Decision struct {
	Start []string
	Drain []string
}

// Decide returns the servers of one pool to start and to drain. It keeps enough regular servers for the protected
// demand alone and adds the servers with the lowest cost per slot for the rest. Servers are started immediately, and
// drained after they have been superfluous for surplusDelay.
func (p *Planner) Decide(now time.Time, pool wire.PoolSpec, demand Demand, candidates []Candidate) Decision {
	if p.surplusSince == nil {
		p.surplusSince = map[string]time.Time{}
	}
	wanted := p.wantedServers(now, pool, demand, candidates)
	var decision Decision
	for _, c := range candidates {
		name := c.Server.Name
		switch {
		case c.Excluded:
			delete(p.surplusSince, name)
		case wanted[name]:
			delete(p.surplusSince, name)
			if !c.Running {
				decision.Start = append(decision.Start, name)
			}
		case c.Running:
			if _, known := p.surplusSince[name]; !known {
				p.surplusSince[name] = now
			}
			if now.Sub(p.surplusSince[name]) >= surplusDelay {
				decision.Drain = append(decision.Drain, name)
			}
		}
	}
	return decision
}

// wantedServers returns the names of the servers that should run.
func (p *Planner) wantedServers(now time.Time, pool wire.PoolSpec, demand Demand, candidates []Candidate) map[string]bool {
	neededSlots := int(math.Ceil(demand.slots() / targetUtilization))
	protectedSlots := max(1, int(math.Ceil(demand.slots()*min(max(demand.Protected, 0), 1)/protectedUtilization)))
	cheapAllowed := pool.CheapAllowed && now.After(p.noCheapUntil)
	var regular, all []Candidate
	for _, c := range candidates {
		if c.Excluded {
			continue
		}
		if c.Server.Kind != wire.ServerKindCheap {
			regular = append(regular, c)
			all = append(all, c)
		} else if pool.CheapAllowed && (c.Running || cheapAllowed) {
			all = append(all, c)
		}
	}
	wanted := map[string]bool{}
	slots := addServers(wanted, regular, 0, protectedSlots)
	addServers(wanted, all, slots, neededSlots)
	return wanted
}

// addServers adds candidates to wanted until the number of slots, which is slots at first, reaches neededSlots. It
// returns the new number. Servers with the lowest cost per slot come first, and at equal cost those that are running.
func addServers(wanted map[string]bool, candidates []Candidate, slots, neededSlots int) int {
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		costA, costB := slotCost(a.Server), slotCost(b.Server)
		if costA != costB {
			return costA < costB
		}
		if a.Running != b.Running {
			return a.Running
		}
		return a.Server.Name < b.Server.Name
	})
	for _, c := range candidates {
		if slots >= neededSlots {
			break
		}
		if !wanted[c.Server.Name] {
			wanted[c.Server.Name] = true
			slots += c.Server.Slots
		}
	}
	return slots
}

// slotCost returns the cost of one slot of the server per hour.
func slotCost(s wire.Server) float64 { return s.CostPerHour / float64(max(s.Slots, 1)) }
