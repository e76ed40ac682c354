package forward

import (
	"net/http"
	"strconv"
	"strings"
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

// The most urgent requests have the shortest target. While a burst of less urgent ones with a longer target fills the
// servers, none of them is refused before those are.
func TestUrgentRequestsAreNotRefusedBeforeLessUrgentOnes(t *testing.T) {
	f := newFixture(t, signedResponse(200, "ok"))
	cfg, engines := testConfig(), []hostroute.Share{{Pool: "engines", Weight: 1}}
	cfg.Routes = append(cfg.Routes,
		testRoute("urgent", func(r *hostroute.Route) {
			r.Kind, r.FirstEventTarget, r.Shares = hostroute.Stream, 250*time.Millisecond, engines
		}),
		testRoute("later", func(r *hostroute.Route) {
			r.Kind, r.FirstEventTarget, r.Shares, r.Tier = hostroute.Stream, 2*time.Second, engines, 2
		}),
	)
	table, err := hostroute.NewTable(cfg)
	assert.NilError(t, err)
	f.forwarder.Table = func() *hostroute.Table { return table }
	send := func(path string) int {
		req := f.request(t, http.MethodPost, path, "prompt")
		req.Header.Set("X-Prompt", "500")
		status, _, _ := f.do(t, req)
		return status
	}
	refusedLater := false
	for pending := 0; pending < 200_000; pending += 8000 {
		burst := f.forwarder.Registry.Serving("engines")[0].Begin(pending)
		later, urgent := send("/later/x"), send("/urgent/x")
		burst.End(registry.OutcomeCallerGone)
		assert.Assert(t, later != http.StatusOK || urgent == http.StatusOK, "at %d tokens", pending)
		refusedLater = refusedLater || later != http.StatusOK
	}
	assert.Assert(t, refusedLater, "the burst must exceed what is admitted")
}

// A request whose caller will have left before the prompt can be prefilled is refused at once as not run.
func TestWaitBeyondCallersTimeIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, signedResponse(200, "ok"))
	pendingAttempt := f.forwarder.Registry.Serving("engines")[0].Begin(40_000)
	defer pendingAttempt.End(registry.OutcomeCallerGone)
	for patience, want := range map[string]int{"400": http.StatusServiceUnavailable, "5000": http.StatusOK} {
		req := f.request(t, http.MethodPost, "/chat/x", "prompt")
		req.Header.Set("X-Prompt", "500")
		req.Header.Set("X-Patience", patience)
		status, body, _ := f.do(t, req)
		assert.Equal(t, status, want, patience)
		assert.Equal(t, strings.Contains(body, `"not_run":true`), want != http.StatusOK, patience)
	}
	assert.Equal(t, f.received.Load(), int32(1))
}

// A request whose expected wait exceeds its latency target is refused at once with a Retry-After header and is not
// sent. After the servers have finished their pending work such a request is accepted.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, signedResponse(200, "ok"), signedResponse(200, "ok"))
	var attempts []*registry.Attempt
	for _, m := range f.forwarder.Registry.Serving("engines") {
		attempts = append(attempts, m.Begin(200_000))
	}
	send := func() (int, http.Header) {
		req := f.request(t, http.MethodPost, "/chat/x", "prompt")
		req.Header.Set("X-Prompt", "500")
		status, _, h := f.do(t, req)
		return status, h
	}
	status, h := send()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, f.received.Load(), int32(0))
	retryAfter, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, retryAfter > 2 && retryAfter < 10, "%f", retryAfter)
	for _, pendingAttempt := range attempts {
		pendingAttempt.End(registry.OutcomeCallerGone)
	}
	status, _ = send()
	assert.Equal(t, status, http.StatusOK)
}
