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
// is cancelled; nil if it never may. The function may be called from another goroutine. A request that can't move waits for its own
// connection, since the server may only be silent for a while.
func (c *call) moveCheck(entry registry.Entry) func() bool {
	if !c.route.MayRepeat() || c.possibleRuns+1 >= c.route.MaxAttempts {
		return nil
	}
	selection, pool := c.selection(), c.pool.Name
	selection.Skip = maps.Clone(selection.Skip)
	if c.route.Kind == hostroute.Stream {
		// Once the stream has begun, only this version may go on with it.
		selection.Version = entry.Version
	}
	mayRelay := c.f.FindRelay != nil && !c.isRelayed && len(c.relays) < maxRelays
	return func() bool {
		if !c.isJoinable.Load() || c.f.RetryBudget(pool).Remaining() < 1 {
			return false
		}
		if mayRelay && c.f.Registry.IsUnreachable(pool) {
			return true
		}
		// If no other server is reachable, Usable returns the unreachable ones.
		return slices.ContainsFunc(c.f.Registry.Usable(pool, selection), func(srv *registry.Server) bool { return !srv.IsSuspect() })
	}
}
