package instance

import (
	"context"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/fleet"
	"github.com/toucanroute/toucanroute/process/members"
	"github.com/toucanroute/toucanroute/request/dispatch"
	"github.com/toucanroute/toucanroute/request/estimate"
	"github.com/toucanroute/toucanroute/wire"
)

// Parameters of the demand estimates.
const (
	// demandWindow is the time over which the arrival rate is averaged.
	demandWindow = 30 * time.Second
	// demandSamples is the number of requests over which the time in a slot and the share of protected requests, which
	// can't be paused, are averaged.
	demandSamples = 200
	// defaultSlotTime is the assumed time for which a request occupies a slot while no request has been observed.
	defaultSlotTime = 2 * time.Second
)

// demandTracker measures the load that this instance's own requests put on each pool.
type demandTracker struct {
	mu    sync.Mutex
	pools map[string]*poolDemand
}

// poolDemand is the load that this instance's requests put on one pool.
type poolDemand struct {
	// arrivals estimates the number of requests per second; each request is counted when it ends.
	arrivals estimate.Rate
	// slotSeconds is the mean time in seconds for which a request occupies a slot.
	slotSeconds estimate.Mean
	// protectedShare is the share of the requests whose class can't be paused.
	protectedShare estimate.Mean
}

// requestFinished adds a finished request to the load of its pool.
func (d *demandTracker) requestFinished(outcome dispatch.Summary, class wire.Class) {
	if outcome.Pool == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		d.pools = map[string]*poolDemand{}
	}
	demand := d.pools[outcome.Pool]
	if demand == nil {
		demand = &poolDemand{
			arrivals:       estimate.Rate{Window: demandWindow},
			slotSeconds:    estimate.Mean{Window: demandSamples},
			protectedShare: estimate.Mean{Window: demandSamples},
		}
		d.pools[outcome.Pool] = demand
	}
	demand.arrivals.Add(1, time.Now())
	if outcome.Result != dispatch.ResultOK {
		return
	}
	demand.slotSeconds.Observe(outcome.Duration.Seconds())
	share := 1.0
	if class.Resumable {
		share = 0
	}
	demand.protectedShare.Observe(share)
}

// get returns the load that this instance's requests put on a pool.
func (d *demandTracker) get(name string) wire.PoolDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := d.pools[name]
	if demand == nil {
		return wire.PoolDemand{Pool: name}
	}
	return wire.PoolDemand{
		Pool:        name,
		Rps:         demand.arrivals.PerSecond(time.Now()),
		SlotSeconds: demand.slotSeconds.Value(),
		Protected:   demand.protectedShare.Value(),
	}
}

// ownDemand returns the load that this instance's requests put on a pool, and the length of the pool's queue if this
// instance is the pool's home.
func (i *Instance) ownDemand(name string) wire.PoolDemand {
	demand := i.demandTracker.get(name)
	if scheduler := i.poolHomes.lookup(name); scheduler != nil {
		demand.Waiting, _, _ = scheduler.Status()
	}
	return demand
}

// dataCentreDemand returns the load of a pool from all instances of this data centre, or false if one of them can't be
// asked.
func (i *Instance) dataCentreDemand(name string) (fleet.Demand, bool) {
	demands := []wire.PoolDemand{i.ownDemand(name)}
	for _, member := range i.members.All() {
		if member.State() == members.StateSelf || member.DataCentre() != i.Settings.DataCentre {
			continue
		}
		if member.State() == members.StateSuspect && member.SinceHeartbeat() > forgetAfter {
			continue
		}
		demand, ok := i.fetchDemand(member.Instance(), name)
		if !ok {
			return fleet.Demand{}, false
		}
		demands = append(demands, demand)
	}
	return i.sumDemand(name, demands), true
}

// fetchDemand asks another instance for its load of a pool.
func (i *Instance) fetchDemand(instance, name string) (wire.PoolDemand, bool) {
	link, ok := i.peerLinks.get(instance)
	if !ok {
		return wire.PoolDemand{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), peer.HeartbeatTimeout)
	defer cancel()
	demand, err := link.Demand(ctx, name)
	return demand, err == nil
}

// sumDemand adds up the loads of the instances. The request rate that the configuration expects is divided evenly among
// the data centres that have backend servers of the pool.
func (i *Instance) sumDemand(name string, demands []wire.PoolDemand) fleet.Demand {
	table := i.table.Load()
	spec, _ := table.Pool(name)
	servingDataCentres := 0
	for _, dc := range table.DataCentres() {
		if len(table.Servers(name, dc)) > 0 {
			servingDataCentres++
		}
	}
	sum := fleet.Demand{ExpectedRPS: spec.ExpectedRps / float64(max(servingDataCentres, 1))}
	busySlots, protectedSlots := 0.0, 0.0
	for _, demand := range demands {
		sum.ObservedRPS += demand.Rps
		sum.Waiting += demand.Waiting
		busySlots += demand.Rps * demand.SlotSeconds
		protectedSlots += demand.Rps * demand.SlotSeconds * demand.Protected
	}
	sum.SlotSeconds = defaultSlotTime.Seconds()
	sum.Protected = 1
	if busySlots > 0 && sum.ObservedRPS > 0 {
		sum.SlotSeconds = busySlots / sum.ObservedRPS
		sum.Protected = protectedSlots / busySlots
	}
	return sum
}
