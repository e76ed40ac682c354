package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/lease"
)

const (
	// dutiesLeaseJob and allDataCentres name the one lease under which an instance orders backend servers and reports
	// usage for all instances.
	dutiesLeaseJob = "duties"
	allDataCentres = "all"
	// leaseMarginShare is how long before the expiry of the lease its holder stops using it, as a share of the duration
	// of the lease.
	leaseMarginShare = 0.15
	// leaseCallTimeout bounds a call that is made under the lease. At the end of this timeout, bytes that were sent
	// before the lease expired have either arrived or been dropped.
	leaseCallTimeout = time.Second
)

// newLease returns the lease that allows one instance at a time to order backend servers and to report usage.
func (g *Gateway) newLease() *lease.Lease {
	duration := milliseconds(g.Settings.Forwarding.LeaseMs)
	return &lease.Lease{
		DataCentre: allDataCentres, Job: dutiesLeaseJob, Holder: g.Settings.Instance, RunID: g.run,
		Duration: duration, Margin: time.Duration(leaseMarginShare * float64(duration)), MaxInFlight: leaseCallTimeout,
		Objects: g.Platform.Store, Log: g.Log, Now: lease.BootTime,
		IsCandidate: g.isCandidate,
		OnChange: func(fence int, held bool) {
			g.Log.Info("duties", zap.Int("fence", fence), zap.Bool("held", held))
		},
	}
}

// isCandidate reports whether this instance should try to acquire the lease: only instances that read the store do, and
// only while no other instance announces that it holds the lease. A holder that can't renew its lease stops announcing
// it as soon as the lease expires, also when only its connection to the store is broken.
func (g *Gateway) isCandidate() bool {
	return g.table.Load() != nil && !g.shuttingDown.Load() && g.mesh.IsReader() && !g.mesh.DutyHolderIsLive()
}

// held returns the fencing token of the lease and true if this instance holds the lease.
func (g *Gateway) held() (fence int, ok bool) {
	fence, _, ok = g.lease.Held()
	return fence, ok
}

// reportUsage sends the request counts of one window to the platform while the lease is held.
func (g *Gateway) reportUsage(ctx context.Context, fence int, start time.Time, counts map[string]int) error {
	return g.lease.Do(fence, func() error {
		ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
		defer cancel()
		window := seconds(g.Settings.Forwarding.UsageWindowS)
		return g.Platform.ReportUsage(ctx, fence, start, window, counts, func() error { return g.lease.CheckFence(fence) })
	})
}
