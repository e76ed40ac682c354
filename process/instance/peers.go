package instance

import (
	"context"
	"math/rand/v2"
	"sort"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/members"
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/process/versions"
	"github.com/toucanroute/toucanroute/wire"
)

// Parameters of the discovery of other instances.
const (
	// discoverInterval is the time between two reads of the instance list.
	discoverInterval = 5 * time.Second
	// homeUpdateInterval is the time between two checks of which instance is the home of each pool. A noticed change of
	// an instance causes a check at once.
	homeUpdateInterval = time.Second
	// declareInterval is the time between two declarations of the grants that this instance holds to the pools' homes.
	declareInterval = 10 * time.Second
	// announcePeers is the number of peers to which a new version digest is announced at once.
	announcePeers = 3
	// randomExchangeShare is the share of the comparisons of version digests that an instance makes with a random other
	// instance instead of its parent, the instance from which it usually gets new versions (see versions.Parent).
	randomExchangeShare = 0.1
)

// hello returns the heartbeat message of this instance.
func (i *Instance) hello() wire.Hello {
	h := wire.Hello{
		Instance:   i.Settings.Instance,
		DataCentre: i.Settings.DataCentre,
		Format:     peer.Format,
		Leaving:    i.members.Leaving(),
	}
	if t := i.table.Load(); t != nil {
		h.Config = t.Version()
	}
	return h
}

// handleHeartbeat processes the heartbeat of a peer.
func (i *Instance) handleHeartbeat(h wire.Hello) {
	if i.members.RecordHeartbeat(h) {
		i.Log.Info("member_changed", zap.String("peer", h.Instance), zap.Bool("leaving", h.Leaving))
		i.updateHomes()
	}
}

// handleLinkDown marks the instance of a lost link as suspect.
func (i *Instance) handleLinkDown(instance string) {
	i.members.MarkSuspect(instance)
	i.updateHomes()
}

// updateHomes determines the home of each pool again and opens or closes the schedulers of this instance accordingly.
func (i *Instance) updateHomes() {
	table := i.table.Load()
	if table == nil {
		return
	}
	var names []string
	for _, p := range table.Pools() {
		names = append(names, p.Name)
	}
	i.router.UpdateSchedulers(names, i.poolHomes.becomeHome, i.poolHomes.ceaseHome)
}

// discover keeps links to the instances that the settings and the instance list name, until ctx ends.
func (i *Instance) discover(ctx context.Context) {
	for _, p := range i.Settings.Peers {
		i.members.Add(p.Instance, p.DataCentre)
		i.peerLinks.ensure(p.Instance, p.Address)
	}
	sleep(ctx, joinDelay)
	i.joined.Store(true)
	listTick := time.NewTicker(discoverInterval)
	defer listTick.Stop()
	homesTick := time.NewTicker(homeUpdateInterval)
	defer homesTick.Stop()
	declareTick := time.NewTicker(declareInterval)
	defer declareTick.Stop()
	i.readInstanceList(ctx)
	for {
		select {
		case <-declareTick.C:
			i.router.DeclareGrants()
		case <-ctx.Done():
			return
		case <-listTick.C:
			i.readInstanceList(ctx)
		case <-homesTick.C:
			i.updateHomes()
		}
	}
}

// readInstanceList opens links to the instances in the platform's instance list. The list lags behind, so an instance
// is dropped only after a long time without a heartbeat.
func (i *Instance) readInstanceList(ctx context.Context) {
	if i.Settings.Platform.Instances == "" {
		return
	}
	list, err := i.instances.List(ctx)
	if err != nil {
		i.Log.Warn("instance_list_failed", zap.Error(err))
		return
	}
	for _, info := range list.Instances {
		if info.Name == i.Settings.Instance || info.State != wire.InstanceInfoStateLive {
			continue
		}
		i.members.Add(info.Name, info.DataCentre)
		i.peerLinks.ensure(info.Name, info.PeerAddress)
	}
	i.forgetGone(list)
}

// forgetGone drops the instances that neither the list nor the settings name and that have sent no heartbeat for
// forgetAfter.
func (i *Instance) forgetGone(list wire.InstanceList) {
	expected := map[string]bool{}
	for _, info := range list.Instances {
		expected[info.Name] = true
	}
	for _, p := range i.Settings.Peers {
		expected[p.Instance] = true
	}
	for _, m := range i.members.All() {
		if expected[m.Instance()] || m.State() != members.StateSuspect || m.SinceHeartbeat() < forgetAfter {
			continue
		}
		i.peerLinks.drop(m.Instance())
		i.members.Remove(m.Instance())
		i.Log.Info("member_forgotten", zap.String("peer", m.Instance()))
	}
}

// otherInstances returns the other live instances of this data centre, sorted by name.
func (i *Instance) otherInstances() []string {
	var names []string
	for _, m := range i.members.All() {
		if m.DataCentre() == i.Settings.DataCentre && m.State() == members.StateLive {
			names = append(names, m.Instance())
		}
	}
	return names
}

// possibleHolders returns the other live instances of this data centre that may hold grants. An instance without a
// configuration holds no grants and declares none.
func (i *Instance) possibleHolders() []string {
	var names []string
	for _, m := range i.members.All() {
		if m.DataCentre() == i.Settings.DataCentre && m.State() == members.StateLive && m.ConfigVersion() > 0 {
			names = append(names, m.Instance())
		}
	}
	return names
}

// rank returns the index of this instance among the sorted names of the live instances of its data centre, and these
// names.
func (i *Instance) rank() (int, []string) {
	names := append(i.otherInstances(), i.Settings.Instance)
	sort.Strings(names)
	return sort.SearchStrings(names, i.Settings.Instance), names
}

// buildVersions creates the store of the newest configuration and keyrings.
func (i *Instance) buildVersions() {
	i.versions = &versions.Store{
		Instance:  i.Settings.Instance,
		Objects:   i.objects.Store(),
		Log:       i.Log,
		IsWatcher: i.isVersionWatcher,
		OnConfig:  i.applyConfig,
		OnKeyring: i.applyKeyring,
		Exchange:  i.exchangeVersions,
		Announce:  i.announceVersions,
	}
}

// isVersionWatcher reports whether this instance watches the object API for the others of its data centre.
func (i *Instance) isVersionWatcher() bool {
	rank, _ := i.rank()
	return rank < versions.WatchersPerDataCentre
}

// exchangeVersions compares version digests with a peer and returns the newer versions that the peer offers. A version
// digest lists the versions of the configuration and keyrings that an instance has. If name is empty, exchangeVersions
// chooses the peer.
func (i *Instance) exchangeVersions(ctx context.Context, name string, digest wire.VersionDigest) (wire.VersionOffer, error) {
	if name == "" {
		name = i.exchangePartner()
	}
	link, ok := i.peerLinks.get(name)
	if !ok {
		return wire.VersionOffer{}, peer.ErrPeerDown{Peer: name}
	}
	return link.ExchangeVersions(ctx, digest)
}

// exchangePartner chooses the instance with which digests are compared; an empty name means that there is none.
func (i *Instance) exchangePartner() string {
	rank, names := i.rank()
	if rank >= versions.WatchersPerDataCentre && rand.Float64() >= randomExchangeShare {
		return names[versions.Parent(rank)]
	}
	live := i.allInstances()
	if len(live) == 0 {
		return ""
	}
	return live[rand.IntN(len(live))]
}

// allInstances returns the other live instances of all data centres, including those that are shutting down.
func (i *Instance) allInstances() []string {
	var names []string
	for _, m := range i.members.All() {
		if m.State() == members.StateLive || m.State() == members.StateLeaving {
			names = append(names, m.Instance())
		}
	}
	return names
}

// announceVersions sends a new version digest to a few random peers.
func (i *Instance) announceVersions(digest wire.VersionDigest) {
	live := i.allInstances()
	rand.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
	for _, name := range live[:min(announcePeers, len(live))] {
		link, ok := i.peerLinks.get(name)
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), peer.HeartbeatTimeout)
			defer cancel()
			_ = link.AnnounceVersions(ctx, digest)
		}()
	}
}

// handleExchange returns the newer versions of the configuration and keyrings that a peer with this digest lacks.
func (i *Instance) handleExchange(_ string, digest wire.VersionDigest) wire.VersionOffer {
	return i.versions.OfferFor(digest)
}

// handleSlotRequest handles the request of a peer for a slot of a pool. A peer sends such a request to the instance
// that it believes to be the home of the pool.
func (i *Instance) handleSlotRequest(ctx context.Context, from string, request wire.GrantAsk) wire.GrantReply {
	table := i.table.Load()
	if table == nil {
		return wire.GrantReply{Reason: pool.ReasonSchedulerMoved}
	}
	if _, ok := table.Pool(request.Pool); !ok {
		return wire.GrantReply{Reason: pool.ReasonSchedulerMoved}
	}
	grant, err := i.poolHomes.getOrOpen(request.Pool).Acquire(ctx, from, request)
	return grantReply(grant, err)
}

// handleRelease releases the slot of a peer.
func (i *Instance) handleRelease(from string, release wire.GrantRelease) {
	if scheduler := i.poolHomes.lookup(release.Pool); scheduler != nil {
		scheduler.Release(from, release)
	}
}

// preempt asks the instance that holds a grant to pause the stream of that grant. The holder may be this instance
// itself, with a grant of an earlier home of the pool.
func (i *Instance) preempt(holder string, preemption wire.GrantPreempt) {
	if holder == i.Settings.Instance {
		i.router.Preempt(preemption)
		return
	}
	go i.peerServer.Preempt(holder, preemption)
}

// handleFirstToken records that the first token of a peer's stream was late.
func (i *Instance) handleFirstToken(from string, firstToken wire.GrantFirst) {
	if scheduler := i.poolHomes.lookup(firstToken.Pool); scheduler != nil {
		scheduler.RecordFirstToken(from, firstToken)
	}
}

// handleDeclaration records the grants that a peer declares. It ignores pools that the configuration of this instance
// doesn't have yet, since a peer may have a newer one.
func (i *Instance) handleDeclaration(from string, declaration wire.GrantsHeld) {
	table := i.table.Load()
	if table == nil {
		return
	}
	if _, ok := table.Pool(declaration.Pool); ok {
		i.poolHomes.declareGrants(from, declaration)
	}
}
