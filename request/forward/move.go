package forward

import (
	"context"
	"maps"
	"slices"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// cancelWhenUnreachable cancels an attempt when its server becomes unreachable, if the request may move to another one.
func cancelWhenUnreachable(ctx context.Context, cancel context.CancelCauseFunc, unreachable <-chan struct{}, mayMove func() bool) {
	select {
	case <-unreachable:
		if mayMove() {
			cancel(errUnreachable)
		}
	case <-ctx.Done():
	}
}

// moveCheck returns a function that reports whether the request may go on at another server if its attempt at the given one
// is cancelled. The function may be called from another goroutine. A request that can't move waits for its own connection,
// since the server may only be silent for a while.
func (c *call) moveCheck(entry registry.Entry) func() bool {
	if !c.route.MayRepeat() || c.possibleRuns+1 >= c.route.MaxAttempts {
		return func() bool { return false }
	}
	selection, pool := c.selection(), c.pool.Name
	selection.Skip = maps.Clone(selection.Skip)
	if c.route.Kind == hostroute.Stream {
		// Once the stream has begun, only this version may go on with it.
		selection.Version = entry.Version
	}
	mayRelay, relays := c.f.FindRelay != nil && !c.isRelayed && len(c.relays) < maxRelays, maps.Clone(c.relays)
	return func() bool {
		if !c.isJoinable.Load() {
			return false
		}
		if mayRelay && c.f.Registry.IsUnreachable(pool) {
			_, ok := c.f.FindRelay(pool, c.skippedInstances(relays))
			return ok && c.reserveRetry(pool)
		}
		// If no other server is reachable, Usable returns the unreachable ones.
		isReachable := func(srv *registry.Server) bool { return !srv.IsSuspect() }
		return slices.ContainsFunc(c.f.Registry.Usable(pool, selection), isReachable) && c.reserveRetry(pool)
	}
}

// reserveRetry takes one attempt from the pool's retry budget before the current attempt is cancelled: all requests at an
// unreachable server are checked at the same time. It returns false if none is left.
func (c *call) reserveRetry(pool string) bool {
	if !c.f.RetryBudget(pool).TryTake() {
		return false
	}
	c.isRetryReserved.Store(true)
	return true
}
