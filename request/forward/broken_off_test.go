package forward

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/request/attempt"
)

// Each response that is broken off leaves a line that says why no further attempt was made.
func TestBrokenOffResponseIsExplained(t *testing.T) {
	broken := idStream(betweenEvents, "1", "2", "3")
	for name, tc := range map[string]struct {
		servers []http.HandlerFunc
		path    string
		budget  float64
		reason  giveUpReason
		fields  map[string]any
	}{
		"attempts":     {[]http.HandlerFunc{broken, idStream(insideEvent, "4"), goOn(6)}, "/stream/", 10, attemptsUsed, map[string]any{"possible_runs": int64(2), "last_event": "4", "inside_event": true, "run_events": int64(1)}},
		"budget":       {[]http.HandlerFunc{broken, goOn(6)}, "/stream/", -10, retryBudgetUsed, map[string]any{"possible_runs": int64(1), "last_event": "3", "inside_event": false, "run_events": int64(3)}},
		"no server":    {[]http.HandlerFunc{broken}, "/stream/", 10, noServer, map[string]any{"possible_runs": int64(1), "last_event": "3"}},
		"not resumed":  {[]http.HandlerFunc{broken, goOn(6)}, "/fixed/", 10, notResumable, map[string]any{"last_event": "3"}},
		"not a number": {[]http.HandlerFunc{idStream(betweenEvents, "a"), goOn(6)}, "/stream/", 10, notResumable, map[string]any{"last_event": "a"}},
	} {
		f := newFixture(t, tc.servers...)
		core, logs := observer.New(zap.InfoLevel)
		f.forwarder.Log = zap.New(core)
		budget := &attempt.WindowBudget{Length: 10 * time.Second, Ratio: 1, FixedAllowance: func() float64 { return tc.budget }}
		f.forwarder.RetryBudget = func(string) *attempt.WindowBudget { return budget }
		_, _, _ = f.do(t, f.request(t, http.MethodPost, tc.path, "b"))
		lines := logs.FilterMessage("response_broken_off").All()
		assert.Assert(t, len(lines) == 1, "%s: %d lines", name, len(lines))
		got := lines[0].ContextMap()
		assert.Check(t, got["reason"] == string(tc.reason), "%s: %v", name, got)
		for key, want := range tc.fields {
			assert.Check(t, got[key] == want, "%s: %s is %v", name, key, got[key])
		}
	}
	f := newFixture(t, broken, goOn(6))
	core, logs := observer.New(zap.InfoLevel)
	f.forwarder.Log = zap.New(core)
	_, _ = f.stream(t, "")
	assert.Check(t, logs.FilterMessage("response_broken_off").Len() == 0)
	assert.Check(t, logs.FilterMessage("stream_interrupted").Len() == 1)
}
