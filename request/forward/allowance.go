package forward

import (
	"context"
	"time"

	"github.com/toucanroute/toucanroute/process/sleep"
)

const (
	// maxBegunWait is the time for which a request that may have run, or whose response has begun, waits for a share of what
	// cold or limited servers take. It can't be refused any more, and callers give a stream up after a pause of two seconds.
	maxBegunWait = time.Second
	// newWaitShare is the share of the target time to the first event for which another request waits: it is still answered
	// in time then, and a refusal that comes later helps its caller less.
	newWaitShare = 0.125
)

// awaitAllowance waits until this instance may send the request to a cold or limited server, and reports whether it may be
// placed again. It returns at once if that time is too far off.
func (c *call) awaitAllowance() bool {
	most := time.Duration(newWaitShare * float64(c.route.FirstEventTarget))
	if !c.firstByteAt.IsZero() || c.possibleRuns > 0 {
		most = maxBegunWait
	}
	if most -= c.allowanceWait; most <= 0 {
		return false
	}
	now := time.Now()
	at, ok := c.f.Registry.NextAllowance(c.pool.Name, c.selection(), most)
	if !ok || at.Sub(now) >= most {
		return false
	}
	sleep.For(c.ctx, at.Sub(now))
	c.allowanceWait += time.Since(now)
	return context.Cause(c.ctx) == nil
}
