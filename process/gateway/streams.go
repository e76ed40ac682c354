package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/toucanroute/toucanroute/connection/gossip"
	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/wire"
)

// findStreamTimeout bounds the time for which other instances are asked what began a stream: some round trips, and far
// less than the usual time to a first event.
const findStreamTimeout = 150 * time.Millisecond

// kindStreamOrigins is the kind of the object that stores what may have begun streams.
const kindStreamOrigins = "toucanroute-stream-origins"

// buildStreams creates the parts that tell what may have begun the streams of which no instance remembers it.
func (g *Gateway) buildStreams() {
	g.streamHistory = &streamorigin.History{Versions: g.registry.Versions, AddVersion: g.registry.AddVersion, VersionChanges: g.registry.VersionChanges}
	g.streamKeeper = &streamorigin.Keeper{
		History: g.streamHistory, Store: g.Platform.Store, Kind: kindStreamOrigins, Log: g.Log,
		IsReader:   func() bool { return g.mesh.IsReader() },
		Position:   func() int { return g.mesh.ReaderPosition(kindStreamOrigins) },
		IsCurrent:  func() bool { return !g.mesh.MayLackChanges(g.serverFeed.IsFresh()) && !g.serverListLate.Load() },
		IsFirstRun: func() (isFirst, decided bool) { return g.mesh.IsFirstRun() },
	}
}

// onlyOrigin returns what began all streams of a route that callers may still take up, if that is certain: this instance
// must not lack changes of the servers or of the configuration either, also if others have had them for a moment only. It
// reads both from the store, since an instance that was frozen or is just being cut off doesn't notice it by itself.
func (g *Gateway) onlyOrigin(ctx context.Context, host, prefix string) (streamorigin.Origin, streamorigin.Answer) {
	if g.lacksChanges() {
		return streamorigin.Origin{}, streamorigin.NotKnown
	}
	if _, answer := g.streamHistory.Only(host, prefix); answer != streamorigin.Single {
		return streamorigin.Origin{}, answer
	}
	if err := g.checkInStep(ctx); err != nil {
		g.Log.Info("stream_origin_not_inferred", zap.Error(err))
		return streamorigin.Origin{}, streamorigin.NotKnown
	}
	if g.lacksChanges() {
		return streamorigin.Origin{}, streamorigin.NotKnown
	}
	return g.streamHistory.Only(host, prefix)
}

// lacksChanges reports whether this instance may lack changes of the servers or of the configuration, as far as it has
// learned of them.
func (g *Gateway) lacksChanges() bool {
	lacksServers := int(g.awaitedServers.Load()) > g.serverFeed.KnownVersion()
	lacksConfig := int(g.newestConfig.Load()) > g.configVersion()
	return lacksServers || lacksConfig || g.mesh.MayLackChanges(g.serverFeed.IsFresh())
}

const (
	// inStepTimeout bounds the reads of compareWithStore. Callers give a stream up after a pause of two seconds.
	inStepTimeout = 600 * time.Millisecond
	// inStepDelay is the time before the reads in which other take-ups may join.
	inStepDelay = 10 * time.Millisecond
)

// checkInStep runs compareWithStore, which begins after checkInStep was called. Calls that come together share one run.
func (g *Gateway) checkInStep(ctx context.Context) error {
	result := g.inStepChecks.DoChan("", func() (any, error) {
		sleep.For(context.Background(), inStepDelay)
		// The reads of this run begin now, so that later calls need another one.
		g.inStepChecks.Forget("")
		return nil, g.compareWithStore()
	})
	select {
	case r := <-result:
		return r.Err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// errNewerConfig reports that the store's configuration is newer than the one in force here.
var errNewerConfig = errors.New("the store has a newer configuration")

// compareWithStore returns an error if the store can't be read or has a newer configuration than this instance. It adds the
// versions of servers that this instance lacks to the history.
func (g *Gateway) compareWithStore() error {
	ctx, cancel := context.WithTimeout(context.Background(), inStepTimeout)
	defer cancel()
	reads, ctx := errgroup.WithContext(ctx)
	reads.Go(func() error {
		config, err := g.Platform.Store.Get(ctx, g.Platform.ConfigKind, g.Platform.ConfigName)
		if err != nil {
			return err
		}
		return g.compareConfig(config)
	})
	reads.Go(func() error {
		servers, err := g.Platform.Store.List(ctx, g.Platform.ServerKind, "")
		if err == nil {
			g.addVersions(servers.Items)
		}
		return err
	})
	return reads.Wait()
}

// compareConfig returns an error unless the configuration of an object of the store is in force, or an older one than that.
func (g *Gateway) compareConfig(o wire.Object) error {
	if inForce := g.configObject.Load(); inForce != nil && o.Version == inForce.Version {
		return nil
	}
	cfg, err := g.Platform.Config(o)
	if err == nil && cfg.Version > g.configVersion() {
		err = errNewerConfig
	}
	return err
}

// addVersions adds those software versions of listed servers to the history that this instance doesn't know.
func (g *Gateway) addVersions(items []wire.Object) {
	for _, o := range items {
		e, ok := g.serverEntry(o)
		if ok && !slices.Contains(g.registry.Versions(e.Pool, registry.MaxVersionMemory), e.Version) {
			g.registry.AddVersion(e.Pool, e.Version)
		}
	}
}

// beginStream remembers what began a stream, here and at other instances, for the case that the caller takes it up
// there.
func (g *Gateway) beginStream(id string, origin streamorigin.Origin) {
	g.streamOrigins.Add(id, origin)
	g.mesh.SendStream(wire.NewsStream{I: id, P: origin.Pool, V: origin.Version})
}

// receiveStreams remembers what began streams at another instance.
func (g *Gateway) receiveStreams(streams []wire.NewsStream) {
	for _, s := range streams {
		g.streamOrigins.Add(s.I, streamorigin.Origin{Pool: s.P, Version: s.V})
	}
}

// localStream returns what this instance knows of the beginning of a stream.
func (g *Gateway) localStream(id string) (wire.NewsStream, bool) {
	origin, ok := g.streamOrigins.Find(id)
	return wire.NewsStream{I: id, P: origin.Pool, V: origin.Version}, ok
}

// findStream returns what began the stream whose first event the request with the id brought. It asks other instances
// if this one doesn't know it.
func (g *Gateway) findStream(ctx context.Context, id string) (streamorigin.Origin, bool) {
	if origin, ok := g.streamOrigins.Find(id); ok {
		return origin, true
	}
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	sources := g.mesh.StreamSources(id)
	found := make(chan streamorigin.Origin, len(sources))
	for _, address := range sources {
		go func() {
			// An error means that this source doesn't know the stream or doesn't answer, like a zero origin.
			stream, _ := gossip.FetchStream(ctx, address, id)
			found <- streamorigin.Origin{Pool: stream.P, Version: stream.V}
		}()
	}
	for range sources {
		select {
		case origin := <-found:
			if !origin.IsZero() {
				g.streamOrigins.Add(id, origin)
				return origin, true
			}
		case <-ctx.Done():
			return streamorigin.Origin{}, false
		}
	}
	return streamorigin.Origin{}, false
}
