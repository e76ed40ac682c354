package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/process/sizing"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/wire"
)

// kindSize is the kind of the objects that store each pool's base size. The base size is the number of servers that the
// operator set up in each data centre before the gateway ordered any.
const kindSize = "toucanroute-size"

const (
	// sizeInterval is how often the required number of servers of each pool is computed.
	sizeInterval = 500 * time.Millisecond
	// heartbeatsWithoutNewServer is the number of heartbeat intervals for which the number of a pool's servers must
	// stay the same until all servers that the operator set up are considered known.
	heartbeatsWithoutNewServer = 1.25
	// cheapUnavailableFactor is how long servers of the cheap kind count as unavailable after a reclaim or a refusal,
	// as a multiple of the interval between repeated orders. It is above 1, so that the refusal of the next order
	// extends the time.
	cheapUnavailableFactor = 1.3
)

// ErrNoServerAvailable reports that the platform has no server of the kind available in a data centre at the moment.
type ErrNoServerAvailable struct {
	Pool       string
	DataCentre string
	Cheap      bool
}

func (e ErrNoServerAvailable) Error() string {
	return "no server of pool " + e.Pool + " is available in data centre " + e.DataCentre
}

// order is the last order that was sent for the servers of one kind in one data centre. An order states how many
// servers the platform should run there.
type order struct {
	// count is the number of servers that was ordered.
	count  int
	sentAt time.Time
	// refused is true if the platform had no server available.
	refused bool
}

// serverGroup identifies the servers of one kind, cheap or regular, of a pool in a data centre. The platform may
// reclaim cheap servers at any time.
type serverGroup struct {
	pool, dataCentre string
	cheap            bool
}

// fleetSizer determines how many backend servers each pool needs and orders them while this instance holds the lease.
// It is used by one goroutine only.
type fleetSizer struct {
	g *Gateway
	// era is the era of the store in which the base sizes were last stored or read.
	era int
	// fence is the fencing token of the lease under which baseSizes, lastOrders and baseSizeMissing were filled.
	fence int
	// baseSizes holds the base size (see kindSize) by pool and data centre.
	baseSizes map[string]map[string]int
	// lastOrders holds the last order that this instance sent for each group under the fencing token fence.
	lastOrders map[serverGroup]order
	// cheapUnavailableSince holds the time of the last reclaim or refusal of cheap servers.
	cheapUnavailableSince map[serverGroup]time.Time
	// serverCounts holds the number of servers of each pool, and serverCountChangedAt the time of its last change.
	serverCounts         map[string]int
	serverCountChangedAt map[string]time.Time
	// overloadDetectors detects overload of each pool, and wasOverloaded holds the last result of each detector.
	overloadDetectors map[string]*sizing.OverloadDetector
	wasOverloaded     map[string]bool
	// baseSizeMissing is true for a pool whose base size isn't stored yet, since the operator is still adding servers.
	baseSizeMissing map[string]bool
	// evacuated holds the pools' data centres that are evacuated, or whose servers are still cold after that.
	evacuated map[serverGroup]bool
}

// run sizes all pools at each sizeInterval until ctx ends, and orders servers while this instance holds the lease.
func (f *fleetSizer) run(ctx context.Context) {
	f.resetForFence(0)
	for ctx.Err() == nil {
		fence, ok := f.g.held()
		if ok && fence != f.fence {
			f.resetForFence(fence)
		}
		if ok {
			f.restoreBaseSizes(ctx)
		}
		f.observeServers()
		if table := f.g.table.Load(); ok && table != nil {
			for i := range table.Pools() {
				f.sizePool(ctx, &table.Pools()[i])
			}
		}
		sleep.For(ctx, sizeInterval)
	}
}

// resetForFence clears the state that belongs to an earlier fencing token. At the first call, it also creates the maps
// that are kept from one token to the next.
func (f *fleetSizer) resetForFence(fence int) {
	f.fence = fence
	f.baseSizes = map[string]map[string]int{}
	f.lastOrders = map[serverGroup]order{}
	f.baseSizeMissing = map[string]bool{}
	if f.serverCounts == nil {
		f.cheapUnavailableSince = map[serverGroup]time.Time{}
		f.overloadDetectors = map[string]*sizing.OverloadDetector{}
		f.wasOverloaded = map[string]bool{}
		f.serverCounts = map[string]int{}
		f.serverCountChangedAt = map[string]time.Time{}
	}
}

// observeServers records the number of servers of each pool, and the data centres in which cheap servers are being
// reclaimed.
func (f *fleetSizer) observeServers() {
	now := time.Now()
	counts := map[string]int{}
	reclaimed := map[serverGroup]bool{}
	for _, server := range f.g.registry.Servers() {
		entry := server.Entry()
		counts[entry.Pool]++
		if entry.Cheap && entry.Draining {
			reclaimed[serverGroup{entry.Pool, entry.DataCentre, true}] = true
		}
	}
	for group := range reclaimed {
		f.cheapUnavailableSince[group] = now
	}
	for pool, n := range counts {
		if n != f.serverCounts[pool] {
			f.serverCounts[pool], f.serverCountChangedAt[pool] = n, now
		}
	}
}

// sizePool computes the required number of servers of one pool and sends the orders that have changed.
func (f *fleetSizer) sizePool(ctx context.Context, poolConfig *hostroute.Pool) {
	if poolConfig.Scaling == nil || poolConfig.Scaling.CheapPriceRatio <= 0 || poolConfig.Scaling.CheapPriceRatio >= 1 {
		return
	}
	baseKnown := f.baseSizes[poolConfig.Name] != nil || f.determineBaseSize(ctx, poolConfig)
	if !baseKnown && !f.baseSizeMissing[poolConfig.Name] {
		return
	}
	sites := f.sites(poolConfig)
	counts := sizing.TargetCounts(sites, sizing.Bounds{Min: poolConfig.Scaling.Min, Max: poolConfig.Scaling.Max}, f.overloaded(poolConfig), f.g.workloadMix(poolConfig.Name).ServersNeeded())
	for i, site := range sites {
		f.order(ctx, poolConfig, serverGroup{poolConfig.Name, site.DataCentre, true}, counts[i].Cheap, site.Cheap)
		if baseKnown {
			f.order(ctx, poolConfig, serverGroup{poolConfig.Name, site.DataCentre, false}, counts[i].Regular, site.Regular)
		}
	}
}

// overloaded reports whether the pool's servers have more prompt tokens to prefill than they can finish in time.
func (f *fleetSizer) overloaded(poolConfig *hostroute.Pool) bool {
	servers := f.g.registry.Serving(poolConfig.Name)
	if poolConfig.Engine == nil || len(servers) == 0 {
		return false
	}
	// Requests that were refused in the last second count as work that the servers couldn't take.
	now, pendingPrefill := time.Now(), int(f.g.workloadMix(poolConfig.Name).TotalRates().Refused)
	for _, server := range servers {
		pendingPrefill += server.State(now).PendingPrefill
	}
	detector := f.overloadDetectors[poolConfig.Name]
	if detector == nil {
		detector = &sizing.OverloadDetector{}
		f.overloadDetectors[poolConfig.Name] = detector
	}
	meanPrefillWait := time.Duration(float64(pendingPrefill) / float64(len(servers)) / placement.NominalPrefillRate * float64(time.Millisecond))
	previouslyOverloaded, isOverloaded := f.wasOverloaded[poolConfig.Name], detector.Observe(meanPrefillWait, now)
	if previouslyOverloaded != isOverloaded {
		f.wasOverloaded[poolConfig.Name] = isOverloaded
		f.g.Log.Info("pool_strained", zap.String("pool", poolConfig.Name), zap.Bool("strained", isOverloaded), zap.Duration("unread", meanPrefillWait), zap.Int("servers", len(servers)))
	}
	return isOverloaded
}

// determineBaseSize determines the base size of a pool and reports whether it is known. It reads the stored base size;
// if none is stored, it counts the present servers once no new ones have been added for a while.
func (f *fleetSizer) determineBaseSize(ctx context.Context, poolConfig *hostroute.Pool) bool {
	o, err := f.g.Platform.Store.Get(ctx, kindSize, poolConfig.Name)
	if err == nil {
		record, err := platform.Decode[wire.SizeRecord](o)
		if err != nil {
			f.g.Log.Warn("size_unreadable", zap.String("pool", poolConfig.Name), zap.Error(err))
			return false
		}
		f.baseSizes[poolConfig.Name] = map[string]int{}
		for _, s := range record.Sites {
			f.baseSizes[poolConfig.Name][s.DataCentre] = s.Base
		}
		return true
	}
	f.baseSizeMissing[poolConfig.Name] = platform.IsErrNotFound(err)
	heartbeat := milliseconds(f.g.currentSettings.Load().HeartbeatMs)
	countIsStable := f.serverCounts[poolConfig.Name] > 0 && time.Since(f.serverCountChangedAt[poolConfig.Name]) > time.Duration(heartbeatsWithoutNewServer*float64(heartbeat))
	if !platform.IsErrNotFound(err) || !countIsStable {
		return false
	}
	return f.record(ctx, poolConfig)
}

// record stores the present number of regular servers as the base size, for later holders of the lease, and reports
// whether it was stored.
func (f *fleetSizer) record(ctx context.Context, poolConfig *hostroute.Pool) bool {
	baseSizes := f.countRegularServers(poolConfig)
	if err := f.storeBaseSizes(ctx, poolConfig.Name, baseSizes); err != nil {
		f.g.Log.Info("size_not_recorded", zap.String("pool", poolConfig.Name), zap.Error(err))
		return false
	}
	f.baseSizes[poolConfig.Name] = baseSizes
	f.g.Log.Info("size_recorded", zap.String("pool", poolConfig.Name), zap.Int("servers", len(f.g.registry.Serving(poolConfig.Name))))
	return true
}

// storeBaseSizes creates the object with the base sizes of a pool.
func (f *fleetSizer) storeBaseSizes(ctx context.Context, pool string, baseSizes map[string]int) error {
	record := wire.SizeRecord{Pool: pool}
	for _, dc := range f.g.Settings.Forwarding.DataCentres {
		record.Sites = append(record.Sites, wire.SizeSite{DataCentre: dc, Base: baseSizes[dc]})
	}
	_, err := f.g.Platform.Store.Create(ctx, kindSize, pool, record)
	return err
}

// restoreBaseSizes stores the known base sizes again after the store came back from an older copy, which may lack them.
// Without them, a later holder of the lease would take the servers that were ordered for those that the operator set up.
func (f *fleetSizer) restoreBaseSizes(ctx context.Context) {
	era := f.g.Platform.Store.CurrentEra()
	if era == f.era {
		return
	}
	for pool, baseSizes := range f.baseSizes {
		err := f.storeBaseSizes(ctx, pool, baseSizes)
		if err != nil && !platform.IsErrConflict(err) {
			f.g.Log.Info("size_not_recorded", zap.String("pool", pool), zap.Error(err))
			return
		}
	}
	f.era = era
}

// countRegularServers returns the number of regular servers by data centre. Before the first order, these are the
// servers that the operator set up.
func (f *fleetSizer) countRegularServers(poolConfig *hostroute.Pool) map[string]int {
	counts := map[string]int{}
	for _, server := range f.g.registry.Available(poolConfig.Name) {
		if entry := server.Entry(); !entry.Cheap {
			counts[entry.DataCentre]++
		}
	}
	return counts
}

// sites returns the present state of a pool in each data centre, as input for sizing.
func (f *fleetSizer) sites(poolConfig *hostroute.Pool) []sizing.PoolSite {
	now := time.Now()
	unavailableFor := time.Duration(cheapUnavailableFactor * float64(sizing.ResendDelay(poolConfig.Scaling.BootTime)))
	baseSizes := f.baseSizes[poolConfig.Name]
	if baseSizes == nil {
		baseSizes = f.countRegularServers(poolConfig)
	}
	var sites []sizing.PoolSite
	evacuated := f.g.evacuations.InForce()
	for _, dc := range f.g.Settings.Forwarding.DataCentres {
		base, ok := baseSizes[dc]
		if !ok || base == 0 {
			continue
		}
		site := sizing.PoolSite{DataCentre: dc, BaseServers: base, RegularPrice: poolConfig.Scaling.PricePerSecond[dc]}
		if unavailableSince, ok := f.cheapUnavailableSince[serverGroup{poolConfig.Name, dc, true}]; ok && now.Sub(unavailableSince) < unavailableFor {
			site.CheapUnavailable = true
		}
		for _, server := range f.g.registry.Serving(poolConfig.Name) {
			entry := server.Entry()
			switch {
			case entry.DataCentre != dc:
			case entry.Cheap:
				site.Cheap++
			default:
				site.Regular++
			}
		}
		site.Evacuated = slices.Contains(evacuated, dc)
		site.Returning = !site.Evacuated && f.isReturning(poolConfig.Name, dc)
		f.noteEvacuated(serverGroup{pool: poolConfig.Name, dataCentre: dc}, site.Evacuated || site.Returning)
		sites = append(sites, site)
	}
	return sizing.WithoutEvacuated(sites)
}

// isReturning reports whether a pool's data centre was evacuated, as this instance knows, and has servers that have been cold
// since.
func (f *fleetSizer) isReturning(pool, dataCentre string) bool {
	return f.evacuated[serverGroup{pool: pool, dataCentre: dataCentre}] && slices.ContainsFunc(f.g.registry.Serving(pool), func(srv *registry.Server) bool {
		return srv.Entry().DataCentre == dataCentre && srv.IsCold()
	})
}

// noteEvacuated records whether a pool's data centre is evacuated, or its servers are still cold after that.
func (f *fleetSizer) noteEvacuated(group serverGroup, is bool) {
	if !is {
		delete(f.evacuated, group)
		return
	}
	if f.evacuated == nil {
		f.evacuated = map[serverGroup]bool{}
	}
	f.evacuated[group] = true
}

// order orders count servers of a group; serving is the number of the group's present servers. It sends nothing if the
// last order was for the same count and either enough servers are present or the order was sent recently. Before
// the first order, it also sends nothing for regular servers if count equals serving.
func (f *fleetSizer) order(ctx context.Context, poolConfig *hostroute.Pool, group serverGroup, count, serving int) {
	lastOrder, ordered := f.lastOrders[group]
	if !ordered && count == serving && !group.cheap {
		return
	}
	resendAfter := sizing.ResendDelay(poolConfig.Scaling.BootTime)
	if lastOrder.refused {
		resendAfter = sizing.CheapRetryInterval
	}
	if ordered && lastOrder.count == count && (serving >= count || time.Since(lastOrder.sentAt) < resendAfter) {
		return
	}
	err := f.g.lease.Do(f.fence, func() error {
		ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		defer cancel()
		guard := func() error { return f.g.lease.CheckFence(f.fence) }
		return f.g.Platform.OrderServers(ctx, f.fence, group.pool, group.dataCentre, group.cheap, count, guard)
	})
	f.g.Log.Info("servers_ordered",
		zap.String("pool", group.pool), zap.String("data_centre", group.dataCentre), zap.Bool("cheap", group.cheap),
		zap.Int("n", count), zap.Int("serving", serving), zap.Int("fence", f.fence), zap.Error(err))
	var unavailable ErrNoServerAvailable
	if errors.As(err, &unavailable) && group.cheap {
		f.cheapUnavailableSince[group] = time.Now()
	}
	if err == nil || errors.As(err, &unavailable) {
		f.lastOrders[group] = order{count: count, sentAt: time.Now(), refused: err != nil}
	}
}
