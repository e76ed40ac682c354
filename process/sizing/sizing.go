// Package sizing decides how many backend servers of each kind a pool has in each data centre. The decisions depend
// only on the arguments, except that OverloadDetector keeps a moving average.
package sizing

import (
	"math"
	"slices"
	"time"
)

// PoolSite is a pool in one data centre. Servers of the cheap kind cost less, and the platform may reclaim them at
// short notice; regular servers are never reclaimed.
type PoolSite struct {
	DataCentre string
	// BaseServers, called the base below, is the number of servers that the operator configured.
	BaseServers int
	// Regular and Cheap are the numbers of serving servers of each kind.
	Regular int
	Cheap   int
	// RegularPrice is the price of a regular server per second.
	RegularPrice float64
	// CheapUnavailable is set if servers of the cheap kind were reclaimed, or orders for them refused, in this data centre
	// a short time ago.
	CheapUnavailable bool
	// Evacuated is set while no requests are sent to the servers of this data centre.
	Evacuated bool
	// Returning is set after an evacuation while servers of this data centre are still cold.
	Returning bool
}

// Bounds limits the number of servers in each data centre.
type Bounds struct {
	// Min and Max are the limits for both kinds of server together.
	Min int
	Max int
}

// Count is the number of servers of each kind that a data centre should have.
type Count struct {
	Regular int
	Cheap   int
}

const (
	// regularShare is the number of regular servers as a fraction of the base.
	regularShare = 0.2
	// totalFactor is the number of servers of both kinds as a multiple of the base. It exceeds 1 since all cheap servers
	// of a data centre can be reclaimed at once, and the servers of the other data centres must do the work of the base
	// until replacements have started.
	totalFactor = 1.4
	// minCapacityFactor is the number of servers, as a multiple of the base, below which regular servers are ordered in
	// place of unavailable cheap ones.
	minCapacityFactor = 0.75
	// overloadedTotalFactor and overloadedMinCapacityFactor replace totalFactor and minCapacityFactor while the pool is
	// overloaded: a burst of one kind of request needs about twice the usual number of servers.
	overloadedTotalFactor       = 1.8
	overloadedMinCapacityFactor = 1.8
	// cheapServingShare is the fraction of the ordered cheap servers that must be serving before surplus regular servers
	// are released.
	cheapServingShare = 0.75
)

// TargetCounts returns the number of servers of each kind for each site, in the order of sites. It covers steady load,
// the loss of all cheap servers of a data centre at once, and cheap servers that are unavailable.
//
// If the pool is overloaded, servers of both kinds are ordered for a burst. needed is the number of servers that the
// present work needs, or 0 if unknown. If cheap servers are unavailable, regular servers are kept or ordered until all
// sites together have at least that number.
func TargetCounts(sites []PoolSite, bounds Bounds, overloaded bool, needed int) []Count {
	counts := make([]Count, len(sites))
	factor, minFactor := totalFactor, minCapacityFactor
	if overloaded {
		factor, minFactor = overloadedTotalFactor, overloadedMinCapacityFactor
	}
	minServers, plannedServers := 0, 0
	for i, s := range sites {
		counts[i] = plannedCount(s, bounds, factor)
		minServers += int(math.Ceil(minFactor * float64(s.BaseServers)))
		plannedServers += counts[i].Regular + s.Cheap
	}
	for i, s := range sites {
		if !s.CheapUnavailable && s.Cheap < int(math.Ceil(cheapServingShare*float64(counts[i].Cheap))) && s.Regular > counts[i].Regular {
			// The cheap servers are still starting, so the regular ones are kept.
			counts[i].Regular = min(max(s.Regular, counts[i].Regular), bounds.Max-counts[i].Cheap)
		}
	}
	addRegular(sites, counts, bounds, max(minServers, needed)-plannedServers)
	return counts
}

// plannedCount returns the number of servers of each kind of a site whose cheap servers are available: the base times
// factor, within the bounds.
func plannedCount(s PoolSite, bounds Bounds, factor float64) Count {
	total := clamp(int(math.Ceil(factor*float64(s.BaseServers))), bounds.Min, bounds.Max)
	regular := clamp(int(math.Round(regularShare*float64(s.BaseServers))), 1, total)
	return Count{Regular: regular, Cheap: total - regular}
}

const (
	// overloadWait is the mean time to prefill the pending prompts of a server above which a pool counts as overloaded. It
	// equals the shortest usual target for the first event of a stream.
	overloadWait = 250 * time.Millisecond
	// overloadDuration is how long a pool stays overloaded, so that the ordered servers have time to start and be used.
	overloadDuration = 8 * time.Second
	// averagingTime is the time constant of the moving average: in this time an observation loses two thirds of its
	// weight.
	averagingTime = time.Second
)

// OverloadDetector detects that the servers of a pool have more work than they can do in time. It isn't safe for
// concurrent use.
type OverloadDetector struct {
	// meanWait is the moving average of the observed waits, in nanoseconds, as of observedAt.
	meanWait   float64
	observedAt time.Time
	// overloadedUntil is the time up to which the pool counts as overloaded.
	overloadedUntil time.Time
}

// Observe records the mean time that a server needs to prefill its pending prompts and reports whether the pool is
// overloaded.
func (d *OverloadDetector) Observe(wait time.Duration, now time.Time) bool {
	if d.observedAt.IsZero() {
		d.observedAt = now
	}
	weight := 1 - math.Exp(-float64(now.Sub(d.observedAt))/float64(averagingTime))
	d.meanWait += weight * (float64(wait) - d.meanWait)
	d.observedAt = now
	if d.meanWait > float64(overloadWait) {
		d.overloadedUntil = now.Add(overloadDuration)
	}
	return now.Before(d.overloadedUntil)
}

// addRegular adds the missing number of servers as regular ones if cheap servers are unavailable in some data centre.
// It adds them in the data centres with the lowest price first.
func addRegular(sites []PoolSite, counts []Count, bounds Bounds, missing int) {
	if missing <= 0 || !slices.ContainsFunc(sites, func(s PoolSite) bool { return s.CheapUnavailable }) {
		return
	}
	indexesByPrice := make([]int, len(sites))
	for i := range indexesByPrice {
		indexesByPrice[i] = i
	}
	slices.SortStableFunc(indexesByPrice, func(x, y int) int {
		switch {
		case sites[x].RegularPrice < sites[y].RegularPrice:
			return -1
		case sites[x].RegularPrice > sites[y].RegularPrice:
			return 1
		}
		return 0
	})
	for _, i := range indexesByPrice {
		s := sites[i]
		cheap := counts[i].Cheap
		if s.CheapUnavailable {
			cheap = s.Cheap
		}
		added := min(bounds.Max-cheap-counts[i].Regular, missing)
		if added <= 0 {
			continue
		}
		counts[i].Regular += added
		missing -= added
	}
}

func clamp(n, low, high int) int { return max(min(n, high), low) }

// CheapRetryInterval is the interval at which unavailable cheap servers are ordered again. It is short because such an
// order costs far less than the regular servers that run in their place.
const CheapRetryInterval = 2 * time.Second

// ResendDelay returns the time after which an order for servers that hasn't been fulfilled is sent again. An order is
// fulfilled once all its servers are serving. The delay exceeds boot, the time that a server takes to start.
func ResendDelay(boot time.Duration) time.Duration { return 3 * boot / 2 }
