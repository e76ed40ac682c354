package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/feed"
	"github.com/toucanroute/toucanroute/wire"
)

// evacuationWatchShare is the share of the time within which an evacuation must be in force for which one watch waits. If a
// watch misses a change, the next one returns it in time.
const evacuationWatchShare = 0.5

// evacuationRereadInterval is the shortest time between two reads of the evacuations that reports of other instances cause.
// It is a fraction of the time within which an evacuation must be in force.
const evacuationRereadInterval = 250 * time.Millisecond

// buildEvacuations creates the parts that learn of evacuated data centres, if this deployment has such.
func (g *Gateway) buildEvacuations() {
	g.evacuations.Log = g.Log
	g.evacuations.DataCentres = func() []string { return g.currentSettings.Load().DataCentres }
	g.evacuations.OnChange = g.registry.SetEvacuated
	limit := milliseconds(g.Settings.Forwarding.EvacuationMs)
	if limit <= 0 {
		return
	}
	g.evacuationsAwaitedUntil = time.Now().Add(limit)
	watchTimeout := min(max(time.Duration(evacuationWatchShare*float64(limit)), minWatchTimeout), maxWatchTimeout)
	g.evacuationFeed = &feed.Feed{
		Kind: g.Platform.EvacuationKind, Store: g.Platform.Store, WatchTimeout: func() time.Duration { return watchTimeout }, Log: g.Log,
		NewerElsewhere: g.newerEvacuations, ReadsStore: g.mesh.IsReader,
		ListFromPeer: func(ctx context.Context) (wire.ObjectList, error) {
			return g.fetchFromPeer(ctx, g.Platform.EvacuationKind)
		},
		OnList: func(items []wire.Object, gap feed.Gap) {
			list, newest := make(map[string]int, len(items)), 0
			for _, o := range items {
				list[o.Name] = o.Version
				newest = max(newest, o.Version)
			}
			g.firstEvacuations.CompareAndSwap(nil, &firstEvacuations{listed: g.evacuationFeed.ChangedVersion(), newest: newest})
			g.evacuations.Replace(list, gap == feed.Rewind)
		},
		OnEvent: func(e wire.ObjectEvent) {
			if e.Type == wire.ObjectEventTypeDelete {
				g.evacuations.Remove(e.Object.Name)
				return
			}
			g.evacuations.Put(e.Object.Name, e.Object.Version)
		},
	}
}

// firstEvacuations is the first list of evacuations that an instance read.
type firstEvacuations struct {
	// listed is the store's version of the list, and newest that of the newest change of its objects.
	listed, newest int
}

// evacuationVersion returns the store's version at the newest change of an evacuation that this instance knows; 0 if it
// knows none. That it has read a first list is no change.
func (g *Gateway) evacuationVersion() int {
	first := g.firstEvacuations.Load()
	if g.evacuationFeed == nil || first == nil {
		return 0
	}
	if changed := g.evacuationFeed.ChangedVersion(); changed != first.listed {
		return changed
	}
	return first.newest
}

// watchEvacuations learns of evacuated data centres until ctx ends.
func (g *Gateway) watchEvacuations(ctx context.Context) {
	if g.evacuationFeed == nil {
		return
	}
	timer := time.AfterFunc(time.Until(g.evacuationsAwaitedUntil), func() {
		if g.firstEvacuations.Load() == nil {
			g.Log.Warn("evacuations_unknown", zap.Float64("waited_ms", g.Settings.Forwarding.EvacuationMs))
		}
	})
	defer timer.Stop()
	g.evacuationFeed.Run(ctx)
}

// knowsEvacuations reports whether this instance has a first list of evacuations, needs none, or has waited for it for as
// long as an evacuation may take to be in force.
//
// It answers a restart during an evacuation: the server list may come before the list of evacuations. As long as neither
// the store nor an instance that has the list answers, no wait helps, and callers are better served than not.
func (g *Gateway) knowsEvacuations() bool {
	return g.evacuationFeed == nil || g.firstEvacuations.Load() != nil || !time.Now().Before(g.evacuationsAwaitedUntil)
}

// receiveEvacuationVersion has this instance read the evacuations again if another one reports a newer change of them.
func (g *Gateway) receiveEvacuationVersion(version int) {
	if g.evacuationFeed == nil || version <= g.evacuationFeed.KnownVersion() {
		return
	}
	if now := time.Now(); now.Sub(g.evacuationsReadAt) >= evacuationRereadInterval && notify(g.newerEvacuations) {
		g.evacuationsReadAt = now
	}
}
