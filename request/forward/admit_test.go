package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// admission returns a call to a route with a target of its first event (0 for none), of a caller that waits for so long.
func admission(t *testing.T, target, callerTimeout time.Duration) (*fixture, *call) {
	t.Helper()
	f := newFixture(t)
	table, err := hostroute.NewTable(hostroute.Config{
		Version: 1,
		Routes: []hostroute.Route{testRoute("a", func(r *hostroute.Route) {
			r.Kind, r.FirstEventTarget, r.Shares = hostroute.Stream, target, []hostroute.Share{{Pool: "engines", Weight: 1}}
		})},
		Pools: []hostroute.Pool{{Name: "engines", Engine: &hostroute.Engine{Slots: 64, TokensPerEvent: 6}}},
	})
	assert.NilError(t, err)
	return f, &call{
		f: f.forwarder, config: table, route: &table.Routes()[0], pool: &table.Pools()[0], workspace: "w", arrivedAt: time.Now(),
		meta: RequestMeta{ID: "r", CallerTimeout: callerTimeout, Prompt: &placement.Prompt{Tokens: 1000}},
	}
}

// A caller with little time left doesn't make the pool count as strained.
func TestShortTimeoutDoesNotStrainPool(t *testing.T) {
	f, c := admission(t, 10*time.Second, 200*time.Millisecond)
	f.shares.Add("w", 1000)
	_, err := c.admit(placement.Choice{}, []placement.Candidate{{PendingPrefill: 20_000}})
	assert.Assert(t, err != nil, "the caller would be gone")
	_, told := f.shares.Told()
	assert.Equal(t, len(told), 0)
}

// Without a target, only a wait longer than the caller's own is refused.
func TestRouteWithoutTargetWaitsAsLongAsItsCaller(t *testing.T) {
	rate := (&placement.PrefillRate{}).TokensPerMs()
	for part, admitted := range map[float64]bool{0.9: true, 1.1: false} {
		_, c := admission(t, 0, 2*time.Second)
		_, err := c.admit(placement.Choice{}, []placement.Candidate{{PendingPrefill: int(part * 2000 * rate)}})
		assert.Equal(t, err == nil, admitted, "%v", part)
	}
}

// The work of a request counts once, however often a server is chosen for it.
func TestWorkCountsOnce(t *testing.T) {
	f, c := admission(t, time.Second, 0)
	for range 3 {
		c.countWork(1500)
	}
	status := f.shares.Status()
	assert.Assert(t, len(status) == 1 && status[0].Recent < 2*1500, "%+v", status)
}

// A stream that has begun at another instance isn't refused for load when it goes on here.
func TestBegunStreamIsNotRefusedForLoad(t *testing.T) {
	f, c := admission(t, time.Second, 0)
	f.forwarder.Registry.Reset([]registry.Entry{{ID: "e0", Address: "127.0.0.1:1", Pool: "engines", Slots: 64}}, false)
	f.forwarder.Registry.Serving("engines")[0].Begin(1_000_000)
	_, err := c.tryPlace()
	assert.Assert(t, err != nil, "a new request waits for too long")
	c.firstByteAt = time.Now()
	target, err := c.tryPlace()
	assert.Assert(t, err == nil && target.attempt != nil, err)
}
