package forward

import (
	"time"

	"github.com/toucanroute/toucanroute/process/sleep"
)

// maxUnsentAttempts is the number of attempts that may fail before a byte was sent, such as failed connects, and
// maxRelayedUnsentAttempts that of a relayed request, which may be relayed elsewhere.
const maxUnsentAttempts, maxRelayedUnsentAttempts = 4, 2

// unsentLimit returns the number of attempts that may fail before a byte was sent.
func (c *call) unsentLimit() int {
	if c.isRelayed {
		return maxRelayedUnsentAttempts
	}
	return maxUnsentAttempts
}

const (
	// maxResumeTime is the time for which a stream that broke off is sent to further servers although connects fail: callers
	// give a stream up after a gap that long.
	maxResumeTime = 2 * time.Second
	// connectPause is the pause before each of these attempts.
	connectPause = 50 * time.Millisecond
)

// awaitNextConnect pauses before a further server is connected to for a stream that has begun. It returns false if that is no
// longer of use.
func (c *call) awaitNextConnect() bool {
	if c.firstByteAt.IsZero() || time.Since(c.brokenOffAt) >= maxResumeTime {
		return false
	}
	sleep.For(c.ctx, connectPause)
	return true
}

// retryUnconnected lets the servers be tried again to which no byte of the request was sent.
func (c *call) retryUnconnected() {
	for _, id := range c.unconnected {
		delete(c.triedServers, id)
	}
	c.unconnected = nil
}
