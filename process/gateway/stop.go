package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/connection/entry"
	"github.com/toucanroute/toucanroute/process/sleep"
)

const (
	// balancerDetectionTime is the time in which the load balancer detects that the instance is shutting down: it
	// checks the readiness once per second and needs two failed checks.
	balancerDetectionTime = 2500 * time.Millisecond
	// shutdownMargin is the time that is left between the end of the shutdown and the time at which the process is
	// killed.
	shutdownMargin = 500 * time.Millisecond
	// endingTime is the time before the end of the shutdown at which the requests that still run are ended, and
	// storingTime the last part of it, which is left for the usage counts.
	endingTime, storingTime = 500 * time.Millisecond, 200 * time.Millisecond
	// shortGraceShare is the largest part of a short grace that shutdownMargin, endingTime and storingTime may each take.
	// The first two together leave a sixth of it, before which no request is ended.
	shortGraceShare = 1.0 / 12
)

// stopTimes are the times of a planned stop, in order.
type stopTimes struct {
	// close is the time from which no request is taken, since the load balancer knows of the stop.
	close time.Time
	// endRequests is the time at which the requests that still run are cancelled, and answered the time until which the
	// responses to their callers are written.
	endRequests, answered time.Time
	// exit is the time at which the process must end by itself.
	exit time.Time
}

// newStopTimes returns the times of a stop that begins now, with a grace after which the process is killed.
func newStopTimes(now time.Time, grace time.Duration) stopTimes {
	part := func(d time.Duration) time.Duration {
		return min(d, time.Duration(shortGraceShare*float64(max(grace, 0))))
	}
	t := stopTimes{exit: now.Add(max(grace, 0) - part(shutdownMargin))}
	t.answered = t.exit.Add(-part(storingTime))
	t.endRequests = t.exit.Add(-part(endingTime))
	t.close = now.Add(balancerDetectionTime)
	if t.endRequests.Before(t.close) {
		t.close = t.endRequests
	}
	return t
}

// shutDown reports the instance as not ready, waits for the running requests, ends those that take too long and stores the
// last usage counts.
func (g *Gateway) shutDown(ctx context.Context) {
	g.shuttingDown.Store(true)
	started := time.Now()
	times := newStopTimes(started, seconds(g.currentSettings.Load().ShutdownS))
	g.Log.Info("instance_leaving", zap.String("instance", g.Settings.Instance))
	ctx, cancel := context.WithDeadline(ctx, times.exit)
	defer cancel()
	servers := g.requestServers()
	if len(servers) == 0 {
		return
	}
	for _, s := range servers {
		s.BeginDrain()
	}
	sleep.For(ctx, time.Until(times.close))
	err := drainUntil(ctx, g.requestServers(), times.endRequests)
	if err != nil {
		g.forwarder.EndRequests()
		err = drainUntil(ctx, g.requestServers(), times.answered)
	}
	running := int64(0)
	for _, s := range servers {
		running += s.Running()
	}
	g.Log.Info("instance_drained", zap.Duration("took", time.Since(started)), zap.Int64("running", running), zap.Error(err))
	// Counter.Write logs its errors.
	_ = g.usageCounter.Write(ctx)
}

// requestServers returns the servers that get requests; those of callers and of other instances begin with the first
// configuration.
func (g *Gateway) requestServers() []*entry.Server {
	var list []*entry.Server
	for _, s := range []*entry.Server{g.callerServer.Load(), g.relayServer.Load()} {
		if s != nil {
			list = append(list, s)
		}
	}
	return list
}

// drainUntil drains servers at the same time. An error means that a server still had requests or slow callers at the
// deadline.
func drainUntil(ctx context.Context, servers []*entry.Server, deadline time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	errs := make([]error, len(servers))
	var group sync.WaitGroup
	for i, s := range servers {
		group.Go(func() { errs[i] = s.Drain(ctx) })
	}
	group.Wait()
	return errors.Join(errs...)
}
