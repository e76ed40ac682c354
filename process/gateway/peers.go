package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/connection/gossip"
	"github.com/toucanroute/toucanroute/process/mesh"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/request/forward"
	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/wire"
)

// buildMesh creates the parts that exchange status datagrams and objects with other instances.
func (g *Gateway) buildMesh() {
	g.gossipSocket = &gossip.Socket{Listen: g.Settings.Listen.Peers, Log: g.Log, OnDatagram: func(data []byte) { g.mesh.Receive(data) }}
	g.relayListener = gossip.NewListener(g.Settings.Listen.Peers)
	g.peerObjectServer = &gossip.Server{
		Listen: g.Settings.Listen.Peers, Log: g.Log, ListObjects: g.freshObjects, IsNewer: g.hasNewer, FindStream: g.localStream, Requests: g.relayListener,
		OnReply: g.observePeerReply,
	}
	g.mesh = &mesh.Mesh{
		Instance: g.Settings.Instance, Run: g.run, DataCentre: g.Settings.DataCentre, Address: g.Settings.Listen.Peers,
		Store: g.Platform.Store, Log: g.Log,
		Send:       g.gossipSocket.Send,
		FillStatus: g.fillStatus,
		LocalLoads: g.registry.LocalLoads,
		LocalMix:   g.ownWorkloads, OnPeerMix: g.receiveWorkloads,
		LocalCounts:             g.usageCounter.RecentCounts,
		OnPeerLoads:             g.registry.UpdateRemoteLoads,
		OnPeerStatus:            g.receiveStatus,
		OnPeerCounts:            g.usageCounter.MergeCopy,
		OnPeerStreams:           g.receiveStreams,
		OnDataCentreUnreachable: g.registry.SuspectDataCentre,
		OnDataCentreReachable:   g.registry.TrustDataCentre,
	}
}

// configVersion returns the version of the configuration in force, or 0 if there is none.
func (g *Gateway) configVersion() int {
	if t := g.table.Load(); t != nil {
		return t.Version()
	}
	return 0
}

// fillStatus sets the fields of an outgoing status datagram that describe this instance.
func (g *Gateway) fillStatus(message *wire.News) {
	message.Version = g.configVersion()
	message.Servers = g.serverFeed.ChangedVersion()
	message.Evacuations = g.evacuationVersion()
	message.Leaving = g.shuttingDown.Load()
	message.Unreachable = g.unreachablePools()
	message.Reads = g.mesh.IsReader()
	message.StoreOut = g.configFeed.StoreDown() || g.serverFeed.StoreDown()
	message.Lease = g.lease.HeldVersion()
	message.ReportedMs = int(g.sentWindows.NewestMs())
}

// maxToldPools bounds the pools that a status datagram lists as unreachable.
const maxToldPools = 8

// unreachablePools returns the pools of which this instance reaches no backend server.
func (g *Gateway) unreachablePools() []string {
	pools := g.registry.UnreachablePools()
	return pools[:min(len(pools), maxToldPools)]
}

// paceUnit converts streams per second to those per 1,000 s, the unit of datagrams.
const paceUnit = 1000

// ownWorkloads returns the work that this instance's own requests cause in each pool to which it has sent requests. The
// fields P, H, R and M are rates in tokens to prefill per second: P of delay-tolerant, H of latency-sensitive and R of
// refused requests; M is the part of H that may become delay-tolerant. B, L and G tell of the pool's streams, of which
// instances without requests decide here.
func (g *Gateway) ownWorkloads() []wire.NewsMix {
	g.mu.Lock()
	mixes, allShares := maps.Clone(g.workloadMixes), maps.Clone(g.shares)
	g.mu.Unlock()
	list := make([]wire.NewsMix, 0, len(mixes))
	for pool, m := range mixes {
		if m.Pace.HasDecided() {
			if change, ok := m.DecidePace(); ok {
				forward.LogPaceChange(g.Log, pool, change)
			}
		}
		r, pace := m.LocalRates(), m.Pace.Report()
		news := wire.NewsMix{
			S: pool, P: int(r.DelayTolerant), H: int(r.LatencySensitive), R: int(r.Refused), M: int(r.Movable),
			B: int(pace.Began * paceUnit), L: int(pace.Late * paceUnit), G: int(pace.Groups),
		}
		if shares := allShares[pool]; shares != nil {
			all, told := shares.Told()
			news.A = int(all)
			for _, w := range told {
				news.W = append(news.W, wire.NewsShare{K: w.Hash, F: int(w.Recent), U: int(w.Usual)})
			}
		}
		list = append(list, news)
	}
	return list
}

// receiveWorkloads records the work that the requests of another instance cause in each pool.
func (g *Gateway) receiveWorkloads(instance string, workloadMix []wire.NewsMix) {
	for _, n := range workloadMix {
		t := g.table.Load()
		if t == nil {
			return
		}
		if _, ok := t.Pool(n.S); ok {
			m := g.workloadMix(n.S)
			m.SetPeerRates(instance, placement.WorkRates{
				DelayTolerant: float64(max(n.P, 0)), LatencySensitive: float64(max(n.H, 0)),
				Refused: float64(max(n.R, 0)), Movable: float64(max(n.M, 0)),
			})
			m.Pace.SetPeer(instance, placement.PaceReport{Began: float64(n.B) / paceUnit, Late: float64(n.L) / paceUnit, Groups: placement.PaceGroups(n.G)})
			told := make([]placement.WorkspaceRate, len(n.W))
			for i, w := range n.W {
				told[i] = placement.WorkspaceRate{Hash: w.K, Recent: float64(max(w.F, 0)), Usual: float64(max(w.U, 0))}
			}
			g.workspaceShares(n.S).SetPeer(instance, float64(max(n.A, 0)), told)
		}
	}
}

// minRereadInterval is the minimum time between two reads of the server list that are caused by reports of other
// instances. It is a third of staleListTolerance.
const minRereadInterval = staleListTolerance / 3

// staleListTolerance is how long another instance may report a newer server list before this instance reads the list
// again. The instance's own watch usually returns the change earlier.
const staleListTolerance = 300 * time.Millisecond

// receiveStatus handles a status datagram of another instance. If that instance has a newer version of the
// configuration or the server list, it has this instance read it again.
func (g *Gateway) receiveStatus(message wire.News) {
	g.lease.ObserveVersion(message.Lease)
	g.sentWindows.Observe(int64(message.ReportedMs))
	g.quarantine.Merge(quarantine.ReadUpdate(message))
	g.registry.MergeLimits(message.From, message.Limits)
	g.receiveEvacuationVersion(message.Evacuations)
	if int64(message.Version) > g.newestConfig.Load() {
		g.newestConfig.Store(int64(message.Version))
	}
	if ownVersion := g.configVersion(); message.Version > ownVersion && ownVersion > 0 && notify(g.newerConfig) {
		g.Log.Info("config_newer_elsewhere", zap.String("peer", message.From), zap.Int("version", message.Version), zap.Int("own", ownVersion))
	}
	ownVersion, now := g.serverFeed.KnownVersion(), time.Now()
	lacking, sinceRead := g.serverListStaleness.observe(ownVersion, message.Servers, now)
	g.serverListLate.Store(lacking >= staleListTolerance)
	g.awaitedServers.Store(int64(g.serverListStaleness.awaited))
	if message.Servers <= ownVersion || ownVersion == 0 || now.Sub(g.serverListStaleness.readAt) < minRereadInterval {
		return
	}
	tolerance := staleListTolerance
	if !message.Reads {
		// The list is fetched from an instance that reads the store. An instance that doesn't read the store only
		// repeats the version that such an instance reported.
		tolerance = 2 * staleListTolerance
	}
	if !g.mesh.IsReader() && message.Reads {
		tolerance = 0
	}
	if sinceRead >= tolerance && notify(g.newerServers) {
		g.serverListStaleness.readAt = now
		g.Log.Info("servers_newer_elsewhere", zap.String("peer", message.From), platform.VersionField("version", message.Servers), platform.VersionField("own", ownVersion))
	}
}

// notify puts a token into the channel unless one is already there, and reports whether it did.
func notify(ch chan struct{}) bool {
	select {
	case ch <- struct{}{}:
		return true
	default:
		return false
	}
}

// withdraw removes the token that notify has put into the channel, if there is one. Datagrams that were received while the
// objects were fetched have put one there again. Datagrams that tell of still newer objects follow.
func withdraw(ch chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

const (
	// minWatchTimeout and maxWatchTimeout bound the time for which one watch waits for a change. An instance that
	// receives no status from others relies on its own watches alone. The minimum is therefore half of the usual time
	// within which a configuration must be in force, and the maximum 1.5 times that time.
	minWatchTimeout = time.Second
	maxWatchTimeout = 3 * time.Second
	// watchRenewalsPerSecond is the number of new watches per second that all instances that read the store start
	// together. One of them soon sees a change that the pending watches don't return.
	watchRenewalsPerSecond = 4
)

// watchTimeout returns how long the next watch waits for a change.
func (g *Gateway) watchTimeout() time.Duration {
	return min(max(time.Duration(len(g.mesh.ReaderAddresses())+1)*time.Second/watchRenewalsPerSecond, minWatchTimeout), maxWatchTimeout)
}

// freshObjects returns the objects of a kind, and whether this instance's copy of them is up to date.
func (g *Gateway) freshObjects(kind string) (wire.ObjectList, bool) {
	switch kind {
	case g.Platform.ConfigKind:
		return g.configObjects()
	case g.Platform.ServerKind:
		return g.serverFeed.Objects()
	case g.Platform.EvacuationKind:
		if g.evacuationFeed != nil {
			return g.evacuationFeed.Objects()
		}
	}
	return wire.ObjectList{}, false
}

// configObjects returns the configuration as an object of the store, and whether other instances may use it: one that is in
// force here, since its version orders it, or an up to date copy of the store. A store that came back from an older copy may
// have lost the configuration in force, which this instance keeps and passes on to others.
func (g *Gateway) configObjects() (wire.ObjectList, bool) {
	list, fresh := g.configFeed.Objects()
	inForce := g.configObject.Load()
	if inForce == nil {
		return list, fresh
	}
	list.Items = slices.DeleteFunc(list.Items, func(o wire.Object) bool { return o.Name == inForce.Name })
	list.Items = append(list.Items, *inForce)
	return list, true
}

// maxPeersAsked is the maximum number of instances that fetchFromPeer asks.
const maxPeersAsked = 3

// errNoPeer reports that no other instance can be asked for objects.
var errNoPeer = errors.New("no other instance that reads the store is known")

// fetchFromPeer returns the objects of a kind from the first other instance that responds; see fetchStaggered,
// fetchUnlessRefused and fetchAgainIfLate. An instance that reads the store itself doesn't wait for others that refuse. A
// list of servers isn't asked for twice, since a leaving server must be known sooner.
func (g *Gateway) fetchFromPeer(ctx context.Context, kind string) (wire.ObjectList, error) {
	fetch := func(ctx context.Context) (wire.ObjectList, error) {
		return fetchStaggered(ctx, g.peersToAsk(kind), func(ctx context.Context, address string) (wire.ObjectList, error) {
			return gossip.FetchObjects(ctx, address, kind, g.inForce(kind))
		})
	}
	if g.mesh.IsReader() {
		return fetch(ctx)
	}
	if kind != g.Platform.ConfigKind {
		return fetchUnlessRefused(ctx, kind, func() bool { return true }, fetch)
	}
	return fetchAgainIfLate(ctx, func(ctx context.Context) (wire.ObjectList, error) {
		return fetchUnlessRefused(ctx, kind, g.lacksConfig, fetch)
	})
}

// lacksConfig reports whether another instance has told of a newer configuration than the one in force.
func (g *Gateway) lacksConfig() bool { return g.newestConfig.Load() > int64(g.configVersion()) }

// inForce returns the version of the configuration in force if that is the kind, else 0: lists of other kinds are also of use
// if they aren't newer, since they show that nothing changed.
func (g *Gateway) inForce(kind string) int {
	if kind == g.Platform.ConfigKind {
		return g.configVersion()
	}
	return 0
}

// hasNewer reports whether this instance has newer objects of a kind than another instance with a version as inForce returns
// it.
func (g *Gateway) hasNewer(kind string, version int) bool {
	return kind != g.Platform.ConfigKind || g.configVersion() > version
}

// peersToAsk returns the instances to ask for the objects of a kind: those of the own data centre first, to save traffic
// between them, unless the list of servers has been late for a while, since their watches have then missed a change. A
// configuration comes from any instance that has a newer one. Lists of servers come only from instances that read the store,
// since no version shows that another instance's list isn't out of date.
func (g *Gateway) peersToAsk(kind string) []string {
	var peers []string
	switch {
	case kind == g.Platform.ConfigKind:
		peers = g.mesh.ConfigSources(g.configVersion())
	case kind == g.Platform.ServerKind && g.serverListLate.Load():
		peers = g.mesh.ServerReaders(g.serverFeed.KnownVersion())
	default:
		peers = g.mesh.ReaderAddresses()
	}
	return peers[:min(len(peers), maxPeersAsked)]
}
