package fleet

import (
	"math"
	"sort"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

const (
	// targetUse is the share of the slots that should be busy at the demand.
	targetUse = 0.7
	// floorUse is the share of the regular slots that the protected demand may take after the loss of all cheap servers.
	floorUse = 0.9
	// surplusDelay is how long a server must be superfluous before it is drained.
	surplusDelay = 5 * time.Minute
	// cheapRetry passes after the cheap kind was unavailable.
	cheapRetry = time.Minute
	// maxBurnBoost bounds how much a burning service level raises the demand.
	maxBurnBoost = 0.5
)

// Demand is the load of one pool in the data centre.
type Demand struct {
	// ExpectedRPS is what the questionnaire expects, ObservedRPS what arrives.
	ExpectedRPS float64
	ObservedRPS float64
	// SlotSeconds is how long a request holds a slot.
	SlotSeconds float64
	// Protected is the share of the demand, 0 to 1, that must stay in target when all cheap servers are lost.
	Protected float64
	// Waiting requests need slots beside those that arrive.
	Waiting int
	// Burn is the rate at which the service level's allowance is used; above 1 is too fast.
	Burn float64
}

// slots returns the busy slots that the demand needs.
func (d Demand) slots() float64 {
	busy := max(d.ExpectedRPS, d.ObservedRPS) * d.SlotSeconds
	if d.Burn > 1 {
		busy *= 1 + min(d.Burn-1, maxBurnBoost)
	}
	return busy + float64(d.Waiting)
}

// Candidate is a backend server of a pool as the plan sees it.
type Candidate struct {
	Server wire.Server
	// Up tells that it runs or starts and isn't about to leave.
	Up bool
	// Barred servers are neither started nor counted, for a planned stop or an eviction.
	Barred bool
}

// Plan decides which backend servers of a data centre should run. It keeps how long servers have been superfluous.
type Plan struct {
	// surplus is since when a server has been superfluous.
	surplus map[string]time.Time
	// cheapOut is until when the cheap kind counts as unavailable.
	cheapOut time.Time
}

// CheapUnavailable notes that the cheap kind couldn't be had.
func (p *Plan) CheapUnavailable(now time.Time) { p.cheapOut = now.Add(cheapRetry) }

// Decision is what to start and what to drain, by server name.
type Decision struct {
	Start []string
	Drain []string
}

// Decide returns what to start and drain for one pool. Enough regular servers are kept for the protected demand alone;
// the rest is filled with the cheapest slots. Starts are at once, drains after surplusDelay.
func (p *Plan) Decide(now time.Time, pool wire.PoolSpec, demand Demand, candidates []Candidate) Decision {
	if p.surplus == nil {
		p.surplus = map[string]time.Time{}
	}
	wanted := p.choose(now, pool, demand, candidates)
	var decision Decision
	for _, c := range candidates {
		name := c.Server.Name
		switch {
		case c.Barred:
			delete(p.surplus, name)
		case wanted[name]:
			delete(p.surplus, name)
			if !c.Up {
				decision.Start = append(decision.Start, name)
			}
		case c.Up:
			if _, known := p.surplus[name]; !known {
				p.surplus[name] = now
			}
			if now.Sub(p.surplus[name]) >= surplusDelay {
				decision.Drain = append(decision.Drain, name)
			}
		}
	}
	return decision
}

// choose returns the servers that should run.
func (p *Plan) choose(now time.Time, pool wire.PoolSpec, demand Demand, candidates []Candidate) map[string]bool {
	need := int(math.Ceil(demand.slots() / targetUse))
	floor := max(1, int(math.Ceil(demand.slots()*min(max(demand.Protected, 0), 1)/floorUse)))
	cheapAllowed := pool.CheapAllowed && now.After(p.cheapOut)
	var regular, all []Candidate
	for _, c := range candidates {
		if c.Barred {
			continue
		}
		if c.Server.Kind != wire.ServerKindCheap {
			regular = append(regular, c)
			all = append(all, c)
		} else if pool.CheapAllowed && (c.Up || cheapAllowed) {
			all = append(all, c)
		}
	}
	wanted := map[string]bool{}
	slots := fill(wanted, regular, 0, floor)
	fill(wanted, all, slots, need)
	return wanted
}

// fill adds servers, cheapest slots first and running ones before others, until the slots suffice, and returns them.
func fill(wanted map[string]bool, candidates []Candidate, slots, need int) int {
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		costA, costB := slotCost(a.Server), slotCost(b.Server)
		if costA != costB {
			return costA < costB
		}
		if a.Up != b.Up {
			return a.Up
		}
		return a.Server.Name < b.Server.Name
	})
	for _, c := range candidates {
		if slots >= need {
			break
		}
		if !wanted[c.Server.Name] {
			wanted[c.Server.Name] = true
			slots += c.Server.Slots
		}
	}
	return slots
}

func slotCost(s wire.Server) float64 { return s.CostPerHour / float64(max(s.Slots, 1)) }
