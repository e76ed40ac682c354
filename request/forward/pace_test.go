package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// pacedTable has routes whose streams may pause for 250 ms (chat), 400 ms (draft) and 1 s (digest), on engines of which
// an event takes six steps.
func pacedTable(t *testing.T) *hostroute.Table {
	t.Helper()
	route := func(name string, gap time.Duration) hostroute.Route {
		return testRoute(name, func(r *hostroute.Route) {
			r.Kind, r.FirstEventTarget, r.MaxEventGap = hostroute.Stream, time.Second, gap
			r.Shares = []hostroute.Share{{Pool: "engines", Weight: 1}}
		})
	}
	table, err := hostroute.NewTable(hostroute.Config{
		Version: 1,
		Routes:  []hostroute.Route{route("chat", 250*time.Millisecond), route("draft", 400*time.Millisecond), route("digest", time.Second)},
		Pools:   []hostroute.Pool{{Name: "engines", Engine: &hostroute.Engine{Slots: 64, TokensPerEvent: 6}}},
	})
	assert.NilError(t, err)
	return table
}

// Once a pool's servers are split because of its streams' pauses, only the streams with the shortest pauses stay in the
// group for latency-sensitive requests.
func TestPromptsAreClassifiedByPace(t *testing.T) {
	f, mix := newFixture(t), &placement.WorkloadMix{}
	f.forwarder.WorkloadMix = func(string) *placement.WorkloadMix { return mix }
	mix.Contexts.Observe(9000)
	mix.Contexts.Observe(9000)
	mix.Contexts.Observe(9000)
	table := pacedTable(t)
	classify := func(i int) *call {
		c := &call{f: f.forwarder, config: table, route: &table.Routes()[i], pool: &table.Pools()[0], meta: RequestMeta{Prompt: &placement.Prompt{Tokens: 9000}}}
		c.classifyPrompt()
		return c
	}
	for i := range 3 {
		c := classify(i)
		assert.Assert(t, !c.splitsServers && !c.meta.Prompt.DelayTolerant)
		assert.Equal(t, c.followsPace, i == 0)
	}
	for _, peer := range []string{"a", "b", "c"} {
		mix.Pace.SetPeer(peer, placement.PaceReport{Groups: placement.PaceSplit})
	}
	time.Sleep(110 * time.Millisecond)
	for i, tolerant := range []bool{false, true, true} {
		c := classify(i)
		assert.Assert(t, c.splitsServers)
		assert.Equal(t, c.meta.Prompt.DelayTolerant, tolerant)
		prompt, share := c.cachePrompt()
		assert.Assert(t, !prompt.DelayTolerant)
		if tolerant {
			assert.Equal(t, share, 0.0, "the caches are from before the split")
		}
	}
	for i, delayTolerant := range []bool{false, true} {
		candidates := []placement.Candidate{{Name: "a", Running: 40, DelayTolerant: delayTolerant}}
		classify(i).settleGroups(candidates)
		assert.Assert(t, !candidates[0].DelayTolerant, "the server drains before it serves drafts")
	}
}

// slowWriter takes some time for each write, like a caller that reads slowly.
type slowWriter struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

func (w slowWriter) Write(data []byte) (int, error) {
	time.Sleep(w.delay)
	return w.ResponseRecorder.Write(data)
}

// A stream that is late only by a pause is seen as late, and one whose caller reads slowly isn't.
func TestLatePauses(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for _, event := range []string{"a", "b", "c"} {
			_, _ = w.Write([]byte("data: " + event + "\n\n"))
			_ = http.NewResponseController(w).Flush()
			if r.URL.Path == "/chat/slow" {
				time.Sleep(300 * time.Millisecond)
			}
		}
	})
	mix, table := &placement.WorkloadMix{}, pacedTable(t)
	f.forwarder.WorkloadMix = func(string) *placement.WorkloadMix { return mix }
	f.forwarder.Table = func() *hostroute.Table { return table }
	var summary Summary
	f.forwarder.Observe = func(s Summary) { summary = s }
	for path, late := range map[string]Late{"/chat/slow": LatePause, "/chat/fast": ""} {
		delay := 300 * time.Millisecond
		if late == LatePause {
			delay = 0
		}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, http.NoBody)
		r.Host = "h"
		r.Header.Set("X-Id", "r1")
		f.forwarder.ServeHTTP(slowWriter{httptest.NewRecorder(), delay}, r)
		assert.Equal(t, summary.Outcome, OutcomeServed, summary.ErrorCode)
		assert.Equal(t, summary.Late, late, path)
	}
}
