package gateway

import (
	"context"
	"time"

	"github.com/toucanroute/toucanroute/connection/gossip"
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
// must not lack changes of the servers or of the configuration either, also if others have had them for a moment only.
func (g *Gateway) onlyOrigin(host, prefix string) (streamorigin.Origin, streamorigin.Answer) {
	lacksServers := int(g.awaitedServers.Load()) > g.serverFeed.KnownVersion()
	lacksConfig := int(g.newestConfig.Load()) > g.configVersion()
	if lacksServers || lacksConfig || g.mesh.MayLackChanges(g.serverFeed.IsFresh()) {
		return streamorigin.Origin{}, streamorigin.NotKnown
	}
	return g.streamHistory.Only(host, prefix)
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
