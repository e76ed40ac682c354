// Package instance assembles the daemon that serves the requests of callers: it connects the parts of one instance.
//
// The slots of a pool's backend servers are allocated by one scheduler in each data centre. The home of a pool is the
// instance that runs this scheduler. A grant is the right of one request to use one slot.
//
// Lock order: poolHomes.mu, then the lock of a scheduler. No other lock is taken while peerLinks.mu, healthChecker.mu
// or Instance.mu is held.
package instance

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/toucanroute/toucanroute/connection/caller"
	"github.com/toucanroute/toucanroute/connection/mutualtls"
	"github.com/toucanroute/toucanroute/connection/operator"
	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/burn"
	"github.com/toucanroute/toucanroute/process/home"
	"github.com/toucanroute/toucanroute/process/members"
	"github.com/toucanroute/toucanroute/process/metrics"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/process/versions"
	"github.com/toucanroute/toucanroute/request/claim"
	"github.com/toucanroute/toucanroute/request/dispatch"
	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/version/keyring"
	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

// Delays and timeouts at start and shutdown.
const (
	// drainTimeout bounds the time that running requests have to finish on a graceful shutdown.
	drainTimeout = 60 * time.Second
	// leaveNoticeDelay is the time in which peers and the load balancer learn that the instance is shutting down.
	leaveNoticeDelay = 2 * peer.HeartbeatInterval
	// joinDelay is the time that the links to peers have to connect before the instance reports that it is ready.
	joinDelay = 2 * peer.HeartbeatInterval
)

// Instance is one daemon. Set the exported fields before Run.
type Instance struct {
	// Settings are the validated settings of the daemon.
	Settings *settings.Settings
	// Log receives the events of the instance.
	Log *zap.Logger
	// Baseline replaces the scheduler in experiments if its Choose is set.
	Baseline pick.Policy
	// Build is the build identifier that the status shows.
	Build string

	objects  *platform.Objects
	ordering *platform.Ordering
	// instances reads the platform's instance list.
	instances  *platform.Instances
	versions   *versions.Store
	members    *members.Table
	peerLinks  *peerLinks
	peerServer *peer.Server
	// poolHomes holds the schedulers of the pools whose home is this instance.
	poolHomes     *poolHomes
	router        *home.Router
	healthChecker *healthChecker
	claims        claims
	dispatch      *dispatch.Dispatcher
	callerServer  *caller.Server
	burnRecorder  burn.Recorder
	metrics       *metrics.Metrics
	retryBudgets  retryBudgets
	demandTracker demandTracker
	quarantine    quarantine.Table
	// quarantineKeeper stores the quarantines and repeats them to the other instances.
	quarantineKeeper *quarantine.Keeper
	costTracker      costTracker
	// baseline is nil except in experiments.
	baseline *home.Baseline

	// table is the configuration in force, nil until the first one. keys are the API keys in force.
	table atomic.Pointer[route.Table]
	keys  atomic.Pointer[keyring.Ring]
	// dataCentreJobs is nil until the first configuration is in force.
	dataCentreJobs atomic.Pointer[dataCentreJobs]
	// joined is true once joinDelay has passed since the start.
	joined atomic.Bool

	mu sync.Mutex
	// withdrawn holds the IDs of the withdrawn keys of each workspace. A new keyring ends only the requests of keys
	// that weren't withdrawn before.
	withdrawn map[string]map[string]bool
}

// Run serves requests until ctx ends, then shuts down gracefully.
func (i *Instance) Run(ctx context.Context) error {
	baseCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, runCtx := errgroup.WithContext(baseCtx)
	i.build(runCtx)
	i.metrics.Register()
	defer i.metrics.Unregister()
	jobsCtx, stopJobs := context.WithCancel(runCtx)
	defer stopJobs()
	jobsDone := make(chan struct{})
	i.start(runCtx, group)
	group.Go(func() error { i.runJobs(jobsCtx); close(jobsDone); return nil })
	group.Go(func() error {
		select {
		case <-runCtx.Done():
			return nil
		case <-ctx.Done():
		}
		i.shutDown(runCtx)
		stopJobs()
		<-jobsDone
		stop()
		return nil
	})
	err := group.Wait()
	i.Log.Info("instance_stopped", zap.String("instance", i.Settings.Instance))
	return err
}

// start starts the parts that run until the instance stops. If one of them fails, all of them end.
func (i *Instance) start(run context.Context, group *errgroup.Group) {
	for _, part := range []func(context.Context) error{i.peerServer.Run, i.newOperatorServer().Run, i.serveCallers} {
		group.Go(func() error { return part(run) })
	}
	for _, part := range []func(context.Context){i.versions.Run, i.healthChecker.run, i.claims.claims.Run, i.discover, i.quarantineKeeper.Run} {
		group.Go(func() error { part(run); return nil })
	}
}

// build creates all parts. The links to peers are closed when runCtx ends.
func (i *Instance) build(runCtx context.Context) {
	i.keys.Store(keyring.NewRing())
	i.withdrawn = map[string]map[string]bool{}
	i.metrics = metrics.New(i.gauges)
	i.objects = &platform.Objects{Client: i.platformClient(i.Settings.Platform.Objects)}
	i.ordering = &platform.Ordering{Client: i.platformClient(i.Settings.Platform.Ordering)}
	i.instances = &platform.Instances{Client: i.platformClient(i.Settings.Platform.Instances)}
	i.members = &members.Table{Instance: i.Settings.Instance, DataCentre: i.Settings.DataCentre}
	i.buildLinks(runCtx)
	i.buildVersions()
	i.buildQuarantine()
	i.buildHomes()
	i.claims.claims = &claim.Claims{Objects: i.objects.Store(), Log: i.Log}
	i.buildDispatch()
	i.callerServer = &caller.Server{
		Listen:     i.Settings.Listen.Callers,
		Dispatcher: i.dispatch,
		Log:        i.Log,
	}
	if t := i.Settings.Tls; t != nil && t.Callers != nil {
		i.callerServer.Certificate = &caller.Certificate{CertFile: t.Callers.Cert, KeyFile: t.Callers.Key}
	}
}

// buildLinks creates the server for links from peers and the set of links that this instance dials.
func (i *Instance) buildLinks(runCtx context.Context) {
	i.peerLinks = &peerLinks{
		ctx:             runCtx,
		log:             i.Log,
		tls:             func(string) *tls.Config { return nil },
		self:            i.hello,
		handleHeartbeat: i.handleHeartbeat,
		handleLinkDown:  i.handleLinkDown,
		preempt:         func(p wire.GrantPreempt) { i.router.Preempt(p) },
	}
	i.peerServer = &peer.Server{
		Listen:             i.Settings.Listen.Peers,
		Log:                i.Log,
		Self:               i.hello,
		OnHello:            func(h wire.Hello) { i.members.Add(h.Instance, h.DataCentre) },
		Acquire:            i.handleSlotRequest,
		Release:            i.handleRelease,
		OnFirstToken:       i.handleFirstToken,
		OnDeclareGrants:    i.handleDeclaration,
		OfferVersions:      i.handleExchange,
		OnAnnounceVersions: func(from string, d wire.VersionDigest) { i.versions.HandleDigest(from, d) },
		TakeOverUsage:      i.handleUsage,
		Fleet:              i.fleetView,
		StreamCount:        func(server string) int { return i.dispatch.Running(server) },
		Demand:             i.ownDemand,
		OnQuarantine:       i.mergeQuarantine,
		OnPeerLost:         func(instance string) { i.poolHomes.dropHolder(instance) },
	}
	t := i.Settings.Tls
	if t == nil || t.Peers == nil {
		return
	}
	files := &mutualtls.CertificateFiles{Cert: t.Peers.Cert, Key: t.Peers.Key, CA: t.Peers.Ca}
	i.peerServer.TLS = files.Server()
	i.peerLinks.tls = files.Client
}

// buildHomes creates the schedulers of this instance and the router, which sends slot requests to them or to the home
// instances of other pools.
func (i *Instance) buildHomes() {
	i.healthChecker = &healthChecker{
		log:          i.Log,
		servers:      i.checkedServers,
		home:         func(name string) *pool.Scheduler { return i.poolHomes.lookup(name) },
		report:       i.report,
		notifyChange: func() { i.poolHomes.reconfigure() },
		isModelPool:  i.isModelPool,
	}
	i.poolHomes = &poolHomes{
		instance:        i.Settings.Instance,
		dataCentre:      i.Settings.DataCentre,
		table:           i.table.Load,
		state:           i.serverState,
		liveInstances:   func() int { return i.members.LiveCount(i.Settings.DataCentre) },
		possibleHolders: i.possibleHolders,
		preempt:         i.preempt,
		recordAttempt:   i.healthChecker.recordAttempt,
	}
	if i.Baseline.Choose != nil {
		i.baseline = &home.Baseline{Instance: i.Settings.Instance, Policy: i.Baseline, Servers: i.localServers}
	}
	i.router = &home.Router{
		Instance:          i.Settings.Instance,
		DataCentre:        i.Settings.DataCentre,
		Log:               i.Log,
		HomeCandidates:    i.members.HomeCandidates,
		DataCentres:       func() []string { return i.table.Load().DataCentres() },
		Peer:              i.peerLinks.homePeer,
		LocalScheduler:    i.poolHomes.getOrOpen,
		FallbackScheduler: i.poolHomes.getOrOpenShare,
		FirstTokenTarget:  i.firstTokenTarget,
		DataCentreOf:      i.dataCentreOf,
		HasServers:        func(name, dc string) bool { return len(i.table.Load().Servers(name, dc)) > 0 },
	}
}

// newOperatorServer returns the server for operators.
func (i *Instance) newOperatorServer() *operator.Server {
	s := &operator.Server{
		Listen:         i.Settings.Listen.Operators,
		Log:            i.Log,
		Ready:          i.ready,
		Status:         i.status,
		Burn:           i.burn,
		LiftQuarantine: i.quarantine.Lift,
	}
	if t := i.Settings.Tls; t != nil && t.Operators != nil {
		s.TLS = operatorTLS(t.Operators)
	}
	return s
}

// serveCallers opens the listener for callers once a configuration is in force.
func (i *Instance) serveCallers(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.versions.Ready():
	}
	return i.callerServer.Run(ctx)
}

// ready reports whether the load balancer may send requests to this instance.
func (i *Instance) ready() bool {
	return i.table.Load() != nil && i.joined.Load() && !i.members.Leaving() && !i.callerServer.Draining()
}

// shutDown announces the shutdown to the peers, leaves the schedulers of its pools to other instances and waits for the
// running requests.
func (i *Instance) shutDown(ctx context.Context) {
	i.Log.Info("instance_leaving", zap.String("instance", i.Settings.Instance))
	i.members.MarkLeaving()
	i.updateHomes()
	sleep(ctx, leaveNoticeDelay)
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := i.callerServer.Drain(drainCtx); err != nil {
		i.Log.Warn("drain_cut", zap.Error(err), zap.Int64("running", i.callerServer.Running()))
	}
}

// sleep sleeps for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
