package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The times of a stop are in order, whatever the grace, and the process ends before it is killed. In a usual grace
// the load balancer has its time, callers have 300 ms to get their answers and the usage counts 200 ms to be stored.
func TestStopTimesAreInOrder(t *testing.T) {
	now := time.Now()
	for _, grace := range []time.Duration{-time.Second, 0, time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, 8 * time.Second, time.Minute} {
		t.Run(fmt.Sprint(grace), func(t *testing.T) {
			times := newStopTimes(now, grace)
			assert.Assert(t, !times.close.Before(now))
			assert.Assert(t, !times.endRequests.Before(times.close))
			assert.Assert(t, !times.answered.Before(times.endRequests))
			assert.Assert(t, !times.exit.Before(times.answered))
			assert.Assert(t, times.exit.Sub(now) < max(grace, 1))
			lastSixth := now.Add(max(grace, 0) * 5 / 6)
			assert.Assert(t, !times.endRequests.Before(lastSixth), "requests end %s before the last sixth", lastSixth.Sub(times.endRequests))
			if grace >= 4*time.Second {
				assert.Equal(t, times.close.Sub(now), balancerDetectionTime)
			}
			if grace >= 6*time.Second {
				assert.Equal(t, times.exit.Sub(times.endRequests), 500*time.Millisecond)
				assert.Equal(t, times.exit.Sub(times.answered), 200*time.Millisecond)
			}
		})
	}
}
