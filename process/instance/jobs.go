package instance

import (
	"context"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/fleet"
	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/members"
	"github.com/toucanroute/toucanroute/process/orders"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/usage"
	"github.com/toucanroute/toucanroute/wire"
)

// Names of the jobs that only one instance of a data centre does at a time; each job has a lease of the same name. The
// job fleet orders backend servers, the job usage seals and reports the usage counts.
const (
	jobFleet = "fleet"
	jobUsage = "usage"
)

// collectorKey is the key with which the instance that collects the usage counts of the data centre is chosen.
const collectorKey = "usage-collector"

// leaseCandidates is the number of instances of a data centre that try to acquire the lease of a job.
const leaseCandidates = 3

// forgetAfter is the time without a heartbeat after which an instance and all its streams count as gone.
const forgetAfter = 2 * time.Minute

// sweepInterval is the time between two removals of expired claims of idempotency keys.
const sweepInterval = time.Hour

// defaultUsageWindow is the length of a usage window if the configuration sets none.
const defaultUsageWindow = time.Minute

// dataCentreJobs holds the parts of an instance that do the jobs of its data centre: ordering backend servers, and
// counting and reporting usage.
type dataCentreJobs struct {
	// runID identifies this process; each process of an instance has another one.
	runID      string
	fleetLease *lease.Lease
	usageLease *lease.Lease
	orders     *orders.Sender
	fleet      *fleet.Manager
	counter    *usage.Counter
	collector  *usage.Collector
	sealer     *usage.Sealer
}

// buildJobs creates the parts that do the jobs of the data centre. The length of the usage window is that of the first
// configuration in force.
func (i *Instance) buildJobs(window time.Duration) *dataCentreJobs {
	jobs := &dataCentreJobs{runID: i.Settings.Instance + "-" + ulid.Make().String()}
	jobs.fleetLease = i.lease(jobFleet, jobs.runID)
	jobs.usageLease = i.lease(jobUsage, jobs.runID)
	intake := &platform.Usage{Client: i.platformClient(i.Settings.Platform.Usage)}
	jobs.orders = &orders.Sender{
		DataCentre:      i.Settings.DataCentre,
		Instance:        i.Settings.Instance,
		RunID:           jobs.runID,
		Lease:           jobs.fleetLease,
		Objects:         i.objects.Store(),
		Log:             i.Log,
		SendServerOrder: i.ordering.Send,
	}
	jobs.fleet = &fleet.Manager{
		DataCentre: i.Settings.DataCentre,
		Instance:   i.Settings.Instance,
		Lease:      jobs.fleetLease,
		Objects:    i.objects.Store(),
		Log:        i.Log,
		Servers:    i.fetchServerStates,
		Start:      jobs.orders.StartServer,
		Stop:       jobs.orders.StopServer,
		Config:     i.versions.Config,
		Demand:     i.dataCentreDemand,
		Running:    i.countStreams,
		PullView:   i.fetchFleetView,
		OnChange:   i.poolHomes.reconfigure,
	}
	jobs.orders.IsWanted = jobs.fleet.IsWanted
	i.buildUsage(jobs, intake, window)
	return jobs
}

// buildUsage creates the counter, the collector and the sealer of usage.
func (i *Instance) buildUsage(jobs *dataCentreJobs, intake *platform.Usage, window time.Duration) {
	jobs.collector = &usage.Collector{
		DataCentre: i.Settings.DataCentre,
		RunID:      jobs.runID,
		Window:     window,
		Objects:    i.objects.Store(),
		Log:        i.Log,
	}
	jobs.counter = &usage.Counter{
		DataCentre: i.Settings.DataCentre,
		RunID:      jobs.runID,
		Window:     window,
		Objects:    i.objects.Store(),
		Log:        i.Log,
		HandOver:   i.handOverUsage,
	}
	jobs.sealer = &usage.Sealer{
		DataCentre: i.Settings.DataCentre,
		Instance:   i.Settings.Instance,
		Window:     window,
		Lease:      jobs.usageLease,
		Objects:    i.objects.Store(),
		Log:        i.Log,
		Report: func(ctx context.Context, report wire.UsageReport, guard func() error) error {
			err := intake.Report(ctx, report, guard)
			i.costTracker.recordReport(report, err)
			return err
		},
	}
}

// lease returns the lease of a job of this data centre.
func (i *Instance) lease(job, runID string) *lease.Lease {
	return &lease.Lease{
		DataCentre:  i.Settings.DataCentre,
		Job:         job,
		Holder:      i.Settings.Instance,
		RunID:       runID,
		Duration:    lease.DefaultDuration,
		Margin:      lease.DefaultMargin,
		MaxInFlight: lease.DefaultMaxInFlight,
		Objects:     i.objects.Store(),
		Log:         i.Log,
		IsCandidate: func() bool { return i.isCandidate(job) },
	}
}

// isCandidate reports whether this instance is among those that try to acquire the lease of a job. Only a few instances
// try, so that the number of lease reads does not grow with the number of instances.
func (i *Instance) isCandidate(job string) bool {
	names := i.members.HomeCandidates("lease-"+job, i.Settings.DataCentre)
	return slices.Contains(names[:min(len(names), leaseCandidates)], i.Settings.Instance)
}

// platformClient returns the client of one of the platform's interfaces.
func (i *Instance) platformClient(addr string) platform.Client {
	return platform.Client{BaseURL: "http://" + addr, Instance: i.Settings.Instance}
}

// runJobs waits for the first configuration and then runs the jobs of the data centre until ctx ends. It hands over the
// remaining usage counts before it returns.
func (i *Instance) runJobs(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-i.versions.Ready():
	}
	jobs := i.dataCentreJobs.Load()
	var group errgroup.Group
	run := func(f func(context.Context)) { group.Go(func() error { f(ctx); return nil }) }
	run(jobs.counter.Run)
	run(jobs.collector.Run)
	if i.Settings.Platform.Usage != "" {
		run(jobs.usageLease.Run)
		run(jobs.sealer.Run)
		run(i.sweepClaims)
	}
	if i.Settings.Platform.Ordering != "" {
		run(jobs.fleetLease.Run)
		run(jobs.orders.Run)
	}
	run(jobs.fleet.Run)
	_ = group.Wait()
}

// usageWindow returns the length of a usage window.
func usageWindow(cfg *wire.Config) time.Duration {
	if cfg.UsageWindowSeconds == 0 {
		return defaultUsageWindow
	}
	return time.Duration(cfg.UsageWindowSeconds) * time.Second
}

// countUsage adds an answered request to the usage of its workspace.
func (i *Instance) countUsage(workspace, class string, prompt, completion int) {
	if jobs := i.dataCentreJobs.Load(); jobs != nil {
		jobs.counter.Add(workspace, class, prompt, completion)
	}
}

// handOverUsage sends usage counts to the collector of the data centre, which may be this instance.
func (i *Instance) handOverUsage(ctx context.Context, counts wire.UsageHandOver) (wire.UsageHandOverReply, error) {
	candidates := i.members.HomeCandidates(collectorKey, i.Settings.DataCentre)
	if len(candidates) == 0 || candidates[0] == i.Settings.Instance {
		return i.dataCentreJobs.Load().collector.Take(counts), nil
	}
	link, ok := i.peerLinks.get(candidates[0])
	if !ok {
		return wire.UsageHandOverReply{}, peer.ErrPeerDown{Peer: candidates[0]}
	}
	return link.HandOverUsage(ctx, counts)
}

// handleUsage receives the usage counts of a peer.
func (i *Instance) handleUsage(_ string, counts wire.UsageHandOver) (wire.UsageHandOverReply, error) {
	jobs := i.dataCentreJobs.Load()
	if jobs == nil {
		return wire.UsageHandOverReply{}, peer.ErrPeerDown{Peer: i.Settings.Instance}
	}
	return jobs.collector.Take(counts), nil
}

// fleetView returns this instance's view of the backend servers of its data centre.
func (i *Instance) fleetView() wire.FleetView {
	if jobs := i.dataCentreJobs.Load(); jobs != nil {
		return jobs.fleet.View()
	}
	return wire.FleetView{DataCentre: i.Settings.DataCentre, AgeMs: -1}
}

// fetchFleetView reads the fleet view of the instance that holds the fleet lease.
func (i *Instance) fetchFleetView(ctx context.Context) (wire.FleetView, error) {
	holder := i.dataCentreJobs.Load().fleetLease.Status().Holder
	link, ok := i.peerLinks.get(holder)
	if !ok {
		return wire.FleetView{}, peer.ErrPeerDown{Peer: holder}
	}
	return link.Fleet(ctx)
}

// countStreams returns the number of streams of all instances at a backend server, or false if an instance can't be
// asked.
func (i *Instance) countStreams(server string) (int, bool) {
	total := i.dispatch.Running(server)
	for _, member := range i.members.All() {
		if member.State() == members.StateSelf {
			continue
		}
		if member.State() == members.StateSuspect && member.SinceHeartbeat() > forgetAfter {
			continue
		}
		link, ok := i.peerLinks.get(member.Instance())
		if !ok {
			return 0, false
		}
		ctx, cancel := context.WithTimeout(context.Background(), peer.HeartbeatTimeout)
		streams, err := link.StreamCount(ctx, server)
		cancel()
		if err != nil {
			return 0, false
		}
		total += streams
	}
	return total, true
}

// sweepClaims removes expired claims of idempotency keys while this instance holds the usage lease.
func (i *Instance) sweepClaims(ctx context.Context) {
	jobs := i.dataCentreJobs.Load()
	for ctx.Err() == nil {
		sleep(ctx, sweepInterval)
		if jobs.usageLease.Check() != nil {
			continue
		}
		for _, workspace := range i.table.Load().Config().Workspaces {
			removedClaims, err := i.claims.claims.RemoveExpired(ctx, workspace.Name, jobs.usageLease.Check)
			if err != nil {
				i.Log.Warn("claims_unswept", zap.String("workspace", workspace.Name), zap.Error(err))
				break
			}
			if removedClaims > 0 {
				i.Log.Info("claims_swept", zap.String("workspace", workspace.Name), zap.Int("removed", removedClaims))
			}
		}
	}
}
