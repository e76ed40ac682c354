package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/wire"
)

// coldLimit returns what the cold servers of a pool stand by the configuration in force.
func (g *Gateway) coldLimit(pool string) registry.ColdLimit {
	t := g.table.Load()
	if t == nil {
		return registry.ColdLimit{}
	}
	p, ok := t.Pool(pool)
	if !ok {
		return registry.ColdLimit{}
	}
	return registry.ColdLimit{Rate: p.ColdRate, StartTime: p.ColdStartTime}
}

const (
	// limitsPerDatagram is the largest number of limits of backend servers that are told in one datagram.
	limitsPerDatagram = 20
	// limitsInterval is the interval at which some other instances are told of all limits again, and limitsPause the pause
	// after changed limits were told to all.
	limitsInterval, limitsPause = time.Second, 100 * time.Millisecond
)

// announceLimits tells the other instances the limits of requests that backend servers name, until ctx ends.
func (g *Gateway) announceLimits(ctx context.Context) {
	ticker := time.NewTicker(limitsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.limitsChanged:
			g.sendLimits(0)
			sleep.For(ctx, limitsPause)
		case <-ticker.C:
			g.sendLimits(announcedPeers)
		}
	}
}

// sendLimits tells all known limits to a number of other instances; 0 means all.
func (g *Gateway) sendLimits(peers int) {
	var messages []wire.News
	for limits := range slices.Chunk(g.registry.Limits(), limitsPerDatagram) {
		messages = append(messages, wire.News{Limits: limits})
	}
	g.mesh.Broadcast(messages, peers)
}
