package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/version/hostroute"
)

// stallInterval is the interval at which the servers of these tests send something.
const stallInterval = 100 * time.Millisecond

// stalledStream returns a handler that sends two events and then some bytes at each interval, until the request is
// cancelled, which it reports to ended.
func stalledStream(bytes string, ended chan<- struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, firstTwoEvents)
		for {
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
				ended <- struct{}{}
				return
			case <-time.After(stallInterval):
				_, _ = fmt.Fprint(w, bytes)
			}
		}
	}
}

// A stream that sends a byte or a comment now and then, and no event any more, is given up: another server goes on with it
// where that is possible.
func TestStalledStreamIsGivenUp(t *testing.T) {
	for name, bytes := range map[string]string{"part of an event": "x", "comments": ": still here\n\n", "empty lines": "\n"} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{}, 1)
			f := newFixture(t, stalledStream(bytes, ended), eventStream(3, 4, true))
			f.forwarder.StallTimeout = 500 * time.Millisecond
			startedAt := time.Now()
			status, body, _ := f.do(t, f.request(t, "POST", "/stream/", "b"))
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, strings.HasPrefix(body, firstTwoEvents) && strings.HasSuffix(body, "id: 3\ndata: t3\n\nid: 4\ndata: t4\n\n"), body)
			assert.Assert(t, time.Since(startedAt) < 10*time.Second)
			<-ended
		})
	}
}

// A stream whose events come slowly, with longer pauses than any other sign of life, is not cut.
func TestSlowStreamIsNotCut(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "sig")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 4; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(2 * stallInterval)
		}
	})
	f.forwarder.StallTimeout = 5 * stallInterval
	status, body, _ := f.do(t, f.request(t, "POST", "/stream/", "b"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data:"), 4)
	assert.Equal(t, f.received.Load(), int32(1))
}

// The pauses that a route allows, and its timeout, go before the general bound.
func TestStallTimeoutFollowsRoute(t *testing.T) {
	for _, tc := range []struct {
		configured time.Duration
		route      hostroute.Route
		want       time.Duration
	}{
		{0, hostroute.Route{MaxEventGap: time.Second, Timeout: 5 * time.Second}, minStallTimeout},
		{0, hostroute.Route{MaxEventGap: 10 * time.Second}, 80 * time.Second},
		{0, hostroute.Route{Timeout: time.Minute}, time.Minute},
		{time.Second, hostroute.Route{Timeout: 2 * time.Second}, 2 * time.Second},
	} {
		c := &call{f: &Forwarder{StallTimeout: tc.configured}, route: &tc.route, cancelAttempt: func(error) {}}
		w := c.watchForStall()
		w.timer.Stop()
		assert.Equal(t, w.timeout, tc.want)
	}
}
