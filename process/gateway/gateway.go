// Package gateway assembles a daemon that forwards HTTP requests by host and path. The configuration, the list of
// backend servers and all persistent data are in the platform's store. Only some instances read the store (see package
// mesh); the others fetch objects from these and learn of changes from the status datagrams that instances exchange.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/toucanroute/toucanroute/connection/entry"
	"github.com/toucanroute/toucanroute/connection/gossip"
	"github.com/toucanroute/toucanroute/connection/upstream"
	"github.com/toucanroute/toucanroute/process/evacuation"
	"github.com/toucanroute/toucanroute/process/feed"
	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/memory"
	"github.com/toucanroute/toucanroute/process/mesh"
	"github.com/toucanroute/toucanroute/process/metrics"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/process/requestcount"
	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/request/attempt"
	"github.com/toucanroute/toucanroute/request/forward"
	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

// Platform holds the functions and object names with which the gateway uses the platform of a deployment. All fields
// must be set.
type Platform struct {
	Store platform.Store
	// ConfigKind and ConfigName name the object with the newest configuration.
	ConfigKind string
	ConfigName string
	// ServerKind is the kind of the objects that describe backend servers.
	ServerKind string
	// EvacuationKind is the kind of the objects that name evacuated data centres.
	EvacuationKind string
	// Config decodes an object of ConfigKind, and ParseServerEntry one of ServerKind.
	Config           func(wire.Object) (hostroute.Config, error)
	ParseServerEntry func(wire.Object) (registry.Entry, error)
	Headers          forward.Headers
	// ReportUsage and OrderServers call guard immediately before each write to the socket and write nothing if it
	// returns an error. The parameter fence is the fencing token of the lease under which the call is made.
	ReportUsage  func(ctx context.Context, fence int, start time.Time, window time.Duration, counts map[string]int, guard func() error) error
	OrderServers func(ctx context.Context, fence int, pool, dataCentre string, cheap bool, n int, guard func() error) error
}

// Gateway is one forwarding daemon. Set the exported fields before Run.
type Gateway struct {
	Settings *settings.Settings
	Log      *zap.Logger
	Platform Platform
	// Build is the build identifier that the status shows.
	Build string
	// Dial opens connections to backend servers; nil means the system's dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// currentSettings are the settings that may change while the process runs; Reload replaces them.
	currentSettings atomic.Pointer[wire.SettingsForwarding]

	// run identifies this process; the next process of the same instance has another one.
	run string
	// table holds the configuration in force; nil until the first one.
	table atomic.Pointer[hostroute.Table]
	// configObject is the object of the configuration in force.
	configObject  atomic.Pointer[wire.Object]
	registry      *registry.Registry
	streamOrigins streamorigin.Table
	// streamHistory tells what may have begun streams, and streamKeeper keeps it in the store.
	streamHistory    *streamorigin.History
	streamKeeper     *streamorigin.Keeper
	quarantine       quarantine.Table
	quarantineKeeper *quarantine.Keeper
	transport        *upstream.Transport
	// relayTransport sends requests to other instances, and relayListener gets theirs, which relayServer serves.
	relayTransport   *upstream.Transport
	relayListener    *gossip.Listener
	relayServer      atomic.Pointer[entry.Server]
	requestMemory    *memory.Budget
	heldMemory       *memory.Budget
	forwarder        *forward.Forwarder
	callerServer     atomic.Pointer[entry.Server]
	metrics          *metrics.Metrics
	usageCounter     *requestcount.Counter
	usageReporter    *requestcount.Reporter
	sentWindows      requestcount.SentWindows
	configFeed       *feed.Feed
	serverFeed       *feed.Feed
	mesh             *mesh.Mesh
	gossipSocket     *gossip.Socket
	peerObjectServer *gossip.Server
	// newerConfig and newerServers receive a token when another instance reports a newer configuration or server list.
	newerConfig  chan struct{}
	newerServers chan struct{}
	// newerEvacuations is the same for evacuations. evacuationFeed is nil if data centres can't be evacuated.
	newerEvacuations chan struct{}
	evacuationFeed   *feed.Feed
	evacuations      evacuation.Table
	firstEvacuations atomic.Pointer[firstEvacuations]
	// evacuationsAwaitedUntil is the time until which this instance serves nothing for lack of a first list of evacuations.
	evacuationsAwaitedUntil time.Time
	// evacuationsReadAt is the time at which a report of another instance last caused a read of the evacuations; only the
	// goroutine that receives status datagrams uses it.
	evacuationsReadAt time.Time
	// limitsChanged receives a token when the answer of a backend server changed its limit of requests.
	limitsChanged chan struct{}
	// serverListStaleness tells for how long other instances have known a newer server list; only the goroutine that
	// receives status datagrams uses it.
	serverListStaleness staleness
	// awaitedServers is the newest version of the server list that another instance was known to have and this one wasn't
	// when it was reported, and newestConfig the newest version of the configuration that another instance reported.
	awaitedServers, newestConfig atomic.Int64
	// serverListLate is set while this instance has lacked a version of the server list for longer than staleListTolerance.
	serverListLate atomic.Bool
	lease          *lease.Lease
	shuttingDown   atomic.Bool
	// configured is closed once a configuration is in force.
	configured chan struct{}
	// inStepChecks holds the run of compareWithStore that later calls of checkInStep may join.
	inStepChecks singleflight.Group
	// startedAt is the time at which the gateway was built, soon after the start of the process.
	startedAt time.Time

	mu sync.Mutex
	// retryBudgets holds the retry budget of each pool, and workloadMixes the shares of delay-tolerant and
	// latency-sensitive requests in each pool's work.
	retryBudgets  map[string]*attempt.WindowBudget
	workloadMixes map[string]*placement.WorkloadMix
	// prefillRates holds the rate at which each pool's engines process prompts.
	prefillRates map[string]*placement.PrefillRate
	// shares holds what workspaces ask for of each pool.
	shares map[string]*placement.WorkspaceShares
}

const (
	// dialTimeout bounds the time to open a connection to a backend server. It is hundreds of typical round trips, and
	// a fraction of the time after which callers give up, which is a multiple of the shortest latency target.
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout is the time without any TCP acknowledgement after which a connection to a backend server counts as
	// broken. It is three retransmissions at the system's shortest interval.
	silenceTimeout = 1200 * time.Millisecond
)

// Run serves requests until ctx ends, then waits for the running requests to finish.
func (g *Gateway) Run(ctx context.Context) error {
	baseCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, run := errgroup.WithContext(baseCtx)
	g.build()
	g.metrics.Register()
	defer g.metrics.Unregister()
	g.Log.Info("instance_started", zap.String("instance", g.Settings.Instance), zap.String("run", g.run), zap.String("data_centre", g.Settings.DataCentre))
	for _, part := range []func(context.Context) error{g.newReadinessServer().Run, g.serveCallers, g.serveRelayed, g.gossipSocket.Run, g.peerObjectServer.Run, g.newOperatorServer().Run} {
		group.Go(func() error { return part(run) })
	}
	for _, part := range []func(context.Context){
		g.configFeed.Run, g.serverFeed.Run, g.mesh.Execute, g.usageCounter.Execute, g.lease.Run, g.usageReporter.Execute, (&fleetSizer{g: g}).run,
		g.quarantineKeeper.Run, g.streamKeeper.Run, g.announceLimits, g.watchEvacuations,
	} {
		group.Go(func() error { part(run); return nil })
	}
	group.Go(func() error {
		select {
		case <-run.Done():
			return nil
		case <-ctx.Done():
		}
		g.shutDown(run)
		stop()
		return nil
	})
	err := group.Wait()
	g.transport.Close()
	g.relayTransport.Close()
	g.Log.Info("instance_stopped", zap.String("instance", g.Settings.Instance), zap.Error(err))
	return err
}

// milliseconds returns the duration of n milliseconds.
func milliseconds(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// seconds returns the duration of n seconds.
func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }

// memoryLimitShare is the share of the configured memory that is set as the soft memory limit of the Go runtime. Near
// this limit, the runtime collects garbage more often.
const memoryLimitShare = 0.7

// requestMemoryShare is the share of the configured memory that requests may take together. With what a process needs
// without any and the garbage of a collection it stays below memoryLimitShare.
const requestMemoryShare = 0.4

// bufferShare is the share of the configured memory that large responses and events together may take, and headShare that of
// long heads of responses.
const (
	bufferShare = 0.125
	headShare   = 0.125
)

// Reload applies the settings that may change while the process runs; addresses and names keep the values of the start.
func (g *Gateway) Reload(newSettings *settings.Settings) {
	if newSettings.Forwarding == nil {
		g.Log.Warn("settings_not_applied", zap.String("reason", "the section forwarding is missing"))
		return
	}
	g.currentSettings.Store(newSettings.Forwarding)
	g.evacuations.Refresh()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(newSettings.Forwarding.MemoryMb) * (1 << 20)))
}

// build creates all parts of the gateway from its settings.
func (g *Gateway) build() {
	forwarding := g.Settings.Forwarding
	g.currentSettings.CompareAndSwap(nil, forwarding)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(forwarding.MemoryMb) * (1 << 20)))
	g.startedAt = time.Now()
	g.run = g.Settings.Instance + "." + strconv.FormatInt(g.startedAt.UnixMilli(), 36)
	g.metrics = metrics.New(g.gauges)
	g.configured = make(chan struct{})
	g.retryBudgets = map[string]*attempt.WindowBudget{}
	g.workloadMixes = map[string]*placement.WorkloadMix{}
	g.prefillRates = map[string]*placement.PrefillRate{}
	g.newerConfig, g.newerServers, g.newerEvacuations = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	g.limitsChanged = make(chan struct{}, 1)
	g.shares = map[string]*placement.WorkspaceShares{}
	g.registry = &registry.Registry{
		Log: g.Log, Probe: g.checkReachable, Ask: g.askServer,
		Rank:          func() (position, count int) { return g.mesh.Rank() },
		KnowsOthers:   func() bool { return g.mesh.KnowsOthers() },
		Cold:          g.coldLimit,
		OnLimitChange: func() { notify(g.limitsChanged) },
	}
	g.requestMemory = memory.NewBudget(int64(requestMemoryShare * float64(forwarding.MemoryMb) * (1 << 20)))
	g.requestMemory.OnOverReturned = func(n int64) { g.Log.Error("memory_over_returned", zap.Int64("bytes", n)) }
	headMemory := g.requestMemory.NewPart(int64(headShare * float64(forwarding.MemoryMb) * (1 << 20)))
	g.transport = &upstream.Transport{
		IDHeader: g.Platform.Headers.ID, SkipForeignResponses: true, DialTimeout: dialTimeout, AckTimeout: silenceTimeout, Dial: g.Dial, HeadMemory: headMemory,
	}
	g.relayTransport = &upstream.Transport{
		IDHeader: g.Platform.Headers.ID, SkipForeignResponses: true, DialTimeout: dialTimeout, AckTimeout: silenceTimeout, HeadMemory: headMemory,
	}
	g.usageCounter = &requestcount.Counter{
		Run: g.run, DataCentre: g.Settings.DataCentre, Window: seconds(forwarding.UsageWindowS), Delay: seconds(forwarding.UsageDelayS), Store: g.Platform.Store, Log: g.Log,
		IsWriter: func() bool { return g.mesh.IsReader() },
	}
	g.buildMesh()
	g.buildQuarantine()
	g.buildStreams()
	g.configFeed, g.serverFeed = g.newConfigFeed(), g.newServerFeed()
	g.buildEvacuations()
	g.lease = g.newLease()
	g.usageReporter = &requestcount.Reporter{
		Window: seconds(forwarding.UsageWindowS), Delay: seconds(forwarding.UsageDelayS), Store: g.Platform.Store, Log: g.Log,
		Held:   g.held,
		Report: g.reportUsage,
		Sent:   &g.sentWindows, StartedAt: g.startedAt,
	}
	g.heldMemory = g.requestMemory.HeldPart()
	g.forwarder = &forward.Forwarder{
		Headers:       g.Platform.Headers,
		Send:          g.transport.Send,
		Registry:      g.registry,
		Log:           g.Log,
		Table:         g.table.Load,
		RetryBudget:   g.retryBudget,
		WorkloadMix:   g.workloadMix,
		PrefillRate:   g.prefillRate,
		OnStarted:     g.usageCounter.CountRequest,
		DataCentre:    g.Settings.DataCentre,
		OnLoadChange:  g.mesh.NotifyLoadChanged,
		ResetOnClose:  entry.ResetOnClose,
		BeginStream:   g.beginStream,
		FindStream:    g.findStream,
		OnlyOrigin:    g.onlyOrigin,
		FindRelay:     func(pool string, skip map[string]bool) (string, bool) { return g.mesh.Relay(pool, skip) },
		FindRelayAt:   func(positions []int, skip map[string]bool) (string, bool) { return g.mesh.RelayAt(positions, skip) },
		SendRelayed:   g.relayTransport.Send,
		Quarantine:    &g.quarantine,
		Observe:       g.observeRequest,
		ObserveTakeUp: g.metrics.TakeUp,
		Regions:       g.regions, InstancesOutside: g.mesh.AddressesOutside, Evacuated: g.evacuations.InForce,
		KnowsEvacuations: g.knowsEvacuations,
		Shares:           g.workspaceShares,
		Memory:           g.requestMemory,
		Heads:            headMemory,
		Buffers:          g.requestMemory.NewPart(int64(bufferShare * float64(forwarding.MemoryMb) * (1 << 20))),
	}
}

// askTimeout bounds the time in which a backend server answers a health check: many times its usual time, and a fraction of
// that after which callers give up.
const askTimeout = 500 * time.Millisecond

// askServer asks a backend server for its health, and returns for how long it stays cold, or an error if no answer came,
// whatever it says. For a pool without health checks it returns an error if no connection can be opened.
func (g *Gateway) askServer(pool, address string) (cold time.Duration, err error) {
	t := g.table.Load()
	if t == nil {
		return 0, errNoHealthCheck
	}
	p, ok := t.Pool(pool)
	if !ok {
		return 0, errNoHealthCheck
	}
	if p.HealthPath == "" {
		return 0, g.checkReachable(address)
	}
	conn, err := g.dialServer(address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(askTimeout)); err != nil {
		return 0, err
	}
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address, Path: p.HealthPath}, Header: http.Header{"Connection": {"close"}}}
	err = g.transport.Ask(conn, req, func(res *http.Response) {
		cold = g.Platform.Headers.ReadResponse(res.StatusCode, res.Header).ColdTime
	})
	return cold, err
}

// errNoHealthCheck reports that a pool isn't in the configuration.
var errNoHealthCheck = errors.New("the pool is not configured")

// checkReachable opens a TCP connection to a backend server and closes it again.
func (g *Gateway) checkReachable(address string) error {
	conn, err := g.dialServer(address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// dialServer opens a connection to a backend server.
func (g *Gateway) dialServer(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	dial := g.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return dial(ctx, address)
}

// newReadinessServer returns the server that answers the readiness probes of the load balancer.
func (g *Gateway) newReadinessServer() *entry.Readiness {
	return &entry.Readiness{Listen: g.Settings.Listen.Readiness, Ready: g.ready}
}

// ready reports whether the instance can serve requests: it accepts connections, has a configuration and a server list,
// knows the evacuations, has tried to read the quarantines, and isn't shutting down.
func (g *Gateway) ready() bool {
	callerServer := g.callerServer.Load()
	return callerServer != nil && callerServer.Accepts() && g.table.Load() != nil && g.registry.HasList() && g.knowsEvacuations() &&
		g.quarantineKeeper.Ready() && !g.shuttingDown.Load()
}

// idleTimeoutSlack is the share by which an idle connection is kept open beyond the configured idle timeout, so that a
// caller that reuses the connection at the last moment finds it open.
const idleTimeoutSlack = 0.1

// serveCallers opens the listener for callers once a configuration is in force, since the configuration sets its
// limits.
func (g *Gateway) serveCallers(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.configured:
	}
	limits := g.table.Load().Limits()
	callerServer := &entry.Server{
		Listen: g.Settings.Listen.Callers, Handler: http.HandlerFunc(g.forwarder.ServeHTTP), Refuse: http.HandlerFunc(g.forwarder.Refuse), Log: g.Log,
		HeaderBytes: limits.HeaderBytes, HeaderTimeout: limits.HeaderTimeout,
		IdleTimeout: limits.IdleTimeout + time.Duration(idleTimeoutSlack*float64(limits.IdleTimeout)), Budget: g.heldMemory,
	}
	g.callerServer.Store(callerServer)
	return callerServer.Run(ctx)
}

// relayHeaderBytes is the size of the headers that are added to a relayed request.
const relayHeaderBytes = 1 << 10

// serveRelayed serves the requests that other instances relay, since they reach no backend server, once a configuration is
// in force.
func (g *Gateway) serveRelayed(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-g.configured:
	}
	limits := g.table.Load().Limits()
	server := &entry.Server{
		Handler: http.HandlerFunc(g.forwarder.ServeRelayed), Refuse: http.HandlerFunc(g.forwarder.RefuseRelayed), KeepOpen: true, Log: g.Log,
		HeaderBytes: limits.HeaderBytes + relayHeaderBytes, HeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		Budget: g.heldMemory,
	}
	g.relayServer.Store(server)
	return server.Serve(ctx, g.relayListener)
}

// workloadMix returns the shares of delay-tolerant and latency-sensitive requests in a pool's work.
func (g *Gateway) workloadMix(pool string) *placement.WorkloadMix {
	return getOrCreateForPool(g, g.workloadMixes, pool, func() *placement.WorkloadMix { return &placement.WorkloadMix{} })
}

// workspaceShares returns what workspaces ask for of a pool.
func (g *Gateway) workspaceShares(pool string) *placement.WorkspaceShares {
	return getOrCreateForPool(g, g.shares, pool, func() *placement.WorkspaceShares { return &placement.WorkspaceShares{} })
}

// prefillRate returns the rate at which a pool's engines process prompts.
func (g *Gateway) prefillRate(pool string) *placement.PrefillRate {
	return getOrCreateForPool(g, g.prefillRates, pool, func() *placement.PrefillRate { return &placement.PrefillRate{} })
}

// getOrCreateForPool returns the entry of a pool in the map values; newValue creates a missing entry.
func getOrCreateForPool[T any](g *Gateway, values map[string]*T, pool string, newValue func() *T) *T {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := values[pool]
	if v == nil {
		v = newValue()
		values[pool] = v
	}
	return v
}
