package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/request/attempt"
)

// Streams at a server that becomes unreachable share the retry budget. Those beyond it keep their server.
func TestUnreachableServerKeepsStreamsBeyondBudget(t *testing.T) {
	const streams, budgeted = 8, 1
	var f *fixture
	var begun sync.WaitGroup
	begun.Add(streams)
	suspected := make(chan struct{})
	var atFirst atomic.Int32
	serve := func(count *atomic.Int32) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") != "" {
				goOn(6)(w, r)
				return
			}
			count.Add(1)
			pausingStream(func() {
				begun.Done()
				<-suspected
				time.Sleep(100 * time.Millisecond)
			})(w, r)
		}
	}
	f = newFixture(t, serve(&atFirst), serve(new(atomic.Int32)))
	f.setMaxAttempts(t, 5)
	budget := &attempt.WindowBudget{Length: 10 * time.Second, FixedAllowance: func() float64 { return budgeted }}
	f.forwarder.RetryBudget = func(string) *attempt.WindowBudget { return budget }
	var wg sync.WaitGroup
	results := make([]string, streams)
	for i := range streams {
		wg.Go(func() {
			req := f.request(t, http.MethodPost, "/stream/", "b")
			req.Header.Set("X-Id", fmt.Sprint("r", i))
			_, results[i], _ = f.do(t, req)
		})
	}
	begun.Wait()
	time.Sleep(50 * time.Millisecond)
	assert.Check(t, atFirst.Load() > budgeted+1, "%d streams at the first server", atFirst.Load())
	f.suspect("s0")
	close(suspected)
	wg.Wait()
	for i, body := range results {
		assert.Check(t, strings.Count(body, "data: t") == 6 && !strings.Contains(body, "|"), "stream %d: %q", i, body)
	}
	assert.Check(t, budget.Usage().Taken == budgeted)
}

// A stream isn't moved from a server that has just become unreachable to one that already is.
func TestStreamIsNotMovedToUnreachableServer(t *testing.T) {
	var f *fixture
	f = newFixture(t, pausingStream(func() {
		time.Sleep(20 * time.Millisecond)
		f.suspect("s1")
		f.suspect("s0")
		time.Sleep(50 * time.Millisecond)
	}), idStream(betweenEvents))
	f.setMaxAttempts(t, 5)
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
}

// A sound server may be silent for a while. The last attempt that is permitted isn't given up for it.
func TestSilentServerKeepsLastAttempt(t *testing.T) {
	silent := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(minSilenceTimeout + 200*time.Millisecond)
			next(w, r)
		}
	}
	f := newFixture(t, idStream(betweenEvents, "1", "2", "3"), silent(goOn(6)), goOn(6))
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)

	f = newFixture(t, silent(signedResponse(http.StatusOK, "ok")), signedResponse(http.StatusOK, "other"))
	f.setMaxAttempts(t, 1)
	status, body, _ := f.do(t, f.request(t, http.MethodPost, "/repeat/", "b"))
	assert.Check(t, status == http.StatusOK && body == "ok", "%d %q", status, body)
}

// A stream of a small pool goes on at a server whose connection didn't open at first.
func TestFailedConnectsCutNoStreamOfSmallPool(t *testing.T) {
	f := newFixture(t, idStream(betweenEvents, "1", "2", "3"), goOn(6), goOn(6))
	f.failConnects(2)
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
}
