package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/feed"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/wire"
)

// serverWatchPause is the pause between two watches of the backend servers. Servers that are added or removed at about
// the same time then cost one call. It is a tenth of the time within which a leaving server must stop receiving
// requests.
const serverWatchPause = 200 * time.Millisecond

// storeRecoveryTime is how long entries of backend servers may still be missing from the list after an outage of the
// store. In this time, the instances that read the store reach it again, and the servers write their entries again.
const storeRecoveryTime = 5 * time.Second

// newConfigFeed returns the feed that watches the configuration object.
func (g *Gateway) newConfigFeed() *feed.Feed {
	return &feed.Feed{
		Kind: g.Platform.ConfigKind, Store: g.Platform.Store, WatchTimeout: g.watchTimeout, Log: g.Log, NewerElsewhere: g.newerConfig, ReadsStore: g.mesh.IsReader,
		LacksChanges: g.lacksConfig,
		ListFromPeer: func(ctx context.Context) (wire.ObjectList, error) { return g.fetchFromPeer(ctx, g.Platform.ConfigKind) },
		OnList:       func(items []wire.Object, _ feed.Gap) { g.applyConfigs(items) },
		OnPeerList:   g.applyConfigs,
		OnEvent: func(e wire.ObjectEvent) {
			if e.Type == wire.ObjectEventTypePut {
				g.applyConfig(e.Object)
			}
		},
	}
}

// applyConfigs applies each object of a list of configurations.
func (g *Gateway) applyConfigs(items []wire.Object) {
	for _, o := range items {
		g.applyConfig(o)
	}
}

// applyConfig puts the configuration of an object in force unless the same or a newer version is already in force. The
// versions are the operator's and order the configurations, whichever copy of the store an object is from.
func (g *Gateway) applyConfig(o wire.Object) {
	if o.Name != g.Platform.ConfigName {
		return
	}
	cfg, err := g.Platform.Config(o)
	if err != nil {
		g.Log.Warn("config_rejected", platform.VersionField("revision", o.Version), zap.Error(err))
		return
	}
	current := g.table.Load()
	if current != nil && cfg.Version <= current.Version() {
		return
	}
	table, err := hostroute.NewTable(cfg)
	if err != nil {
		g.Log.Warn("config_rejected", zap.Int("version", cfg.Version), zap.Error(err))
		return
	}
	g.checkHomes(&cfg)
	g.configObject.Store(&o)
	g.table.Store(table)
	withdraw(g.newerConfig)
	g.streamHistory.SetRoutes(cfg.Routes)
	g.Log.Info("config_accepted", zap.Int("version", cfg.Version), platform.VersionField("revision", o.Version), zap.Int("routes", len(cfg.Routes)))
	if current == nil {
		close(g.configured)
	}
}

// newServerFeed returns the feed that watches the entries of the backend servers.
func (g *Gateway) newServerFeed() *feed.Feed {
	return &feed.Feed{
		Kind: g.Platform.ServerKind, Store: g.Platform.Store, WatchTimeout: g.watchTimeout, Log: g.Log, BatchDelay: serverWatchPause, NewerElsewhere: g.newerServers,
		ReadsStore: g.mesh.IsReader, RecentOutage: g.recentOutage,
		LacksChanges: func() bool { return g.awaitedServers.Load() > int64(g.serverFeed.KnownVersion()) },
		ListFromPeer: func(ctx context.Context) (wire.ObjectList, error) { return g.fetchFromPeer(ctx, g.Platform.ServerKind) },
		OnList: func(items []wire.Object, gap feed.Gap) {
			entries := make([]registry.Entry, 0, len(items))
			for _, o := range items {
				if e, ok := g.serverEntry(o); ok {
					entries = append(entries, e)
				}
			}
			defer g.streamHistory.BeginWatch()
			switch gap {
			case feed.Rewind:
				g.registry.Rewind(entries)
			case feed.Outage:
				g.registry.ResetAfterOutage(entries, g.storeBackAt())
			default:
				g.registry.Reset(entries, false)
			}
		},
		OnEvent: func(e wire.ObjectEvent) {
			if e.Type == wire.ObjectEventTypeDelete {
				g.registry.Remove(e.Object.Name)
				return
			}
			if serverEntry, ok := g.serverEntry(e.Object); ok {
				g.registry.Put(serverEntry)
			}
		},
	}
}

// recentOutage reports whether entries of live servers may have expired during an outage of the store. A store that
// rejected only this instance had no outage; an instance without live peers can't tell and assumes one.
func (g *Gateway) recentOutage() bool {
	return g.mesh.LivePeerCount() == 0 || g.mesh.StoreOutageWithin(storeRecoveryTime)
}

// storeCallTimeout is the longest time that a call to the store takes in addition to the timeout of a watch.
const storeCallTimeout = time.Second

// storeBackAt returns the time from which entries that have expired in an outage of the store are stored again: that at
// which another instance reached the store, and the time until this one knows such an entry. It is now if no instance is
// known to have reached the store before, so that this one may be the first.
func (g *Gateway) storeBackAt() time.Time {
	back, known := g.mesh.StoreBackAt(storeRecoveryTime, maxWatchTimeout+storeCallTimeout)
	if !known {
		return time.Now()
	}
	return back.Add(staleListTolerance)
}

// serverEntry decodes the entry of a backend server. An invalid entry is logged and ignored, so that the registry
// keeps the last valid entry of that server.
func (g *Gateway) serverEntry(o wire.Object) (registry.Entry, bool) {
	e, err := g.Platform.ParseServerEntry(o)
	if err != nil {
		g.Log.Info("server_entry_rejected", zap.String("server", o.Name), platform.VersionField("version", o.Version), zap.Error(err))
		return e, false
	}
	return e, true
}
