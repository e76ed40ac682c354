package forward

import (
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/request/attempt"
)

// suspect makes the server with the id unreachable through another request.
func (f *fixture) suspect(id string) {
	for _, srv := range f.forwarder.Registry.Servers() {
		if srv.Entry().ID == id {
			srv.Begin(0).End(registry.OutcomeUnreachable)
		}
	}
}

// A server that counts as unreachable because of another request may still serve a running one. That one isn't given up where
// no further attempt can follow.
func TestUnreachableServerKeepsStreamWithoutFurtherAttempt(t *testing.T) {
	broken := idStream(betweenEvents, "1", "2", "3")
	for name, tc := range map[string]struct {
		path     string
		attempts int
		budget   float64
		// broken is set if a first server breaks off before the one that becomes unreachable.
		broken, others bool
	}{
		"the last attempt":   {"/stream/", 2, 10, true, true},
		"the only attempt":   {"/stream/", 1, 10, false, true},
		"no budget":          {"/stream/", 5, -10, false, true},
		"no other server":    {"/stream/", 5, 10, false, false},
		"none left to try":   {"/stream/", 5, 10, true, false},
		"not to be repeated": {"/fixed/", 5, 10, false, true},
	} {
		var f *fixture
		id := "s0"
		var servers []http.HandlerFunc
		if tc.broken {
			id, servers = "s1", append(servers, broken)
		}
		servers = append(servers, pausingStream(func() {
			f.suspect(id)
			time.Sleep(50 * time.Millisecond)
		}))
		if tc.others {
			servers = append(servers, goOn(6))
		}
		f = newFixture(t, servers...)
		f.setMaxAttempts(t, tc.attempts)
		if tc.budget < 0 {
			budget := &attempt.WindowBudget{Length: 10 * time.Second, Ratio: 1, FixedAllowance: func() float64 { return tc.budget }}
			f.forwarder.RetryBudget = func(string) *attempt.WindowBudget { return budget }
		}
		_, got := f.streamAt(t, tc.path, "")
		assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%s: %v", name, got)
	}
}

// A stream whose events have no number can't go on elsewhere.
func TestUnreachableServerKeepsStreamThatCannotBeJoined(t *testing.T) {
	var f *fixture
	f = newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		idStream(regular, "a")(w, r)
		time.Sleep(20 * time.Millisecond)
		f.suspect("s0")
		time.Sleep(50 * time.Millisecond)
		idStream(regular, "b")(w, r)
	}, goOn(6))
	f.setMaxAttempts(t, 5)
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"a b", true}, "%v", got)
}

// A request that can go on at another server doesn't wait for one that has become unreachable.
func TestUnreachableServerIsLeft(t *testing.T) {
	var f *fixture
	const silence = 2 * time.Second
	f = newFixture(t, pausingStream(func() {
		time.Sleep(20 * time.Millisecond)
		f.suspect("s0")
		time.Sleep(silence)
	}), goOn(6))
	began := time.Now()
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
	assert.Check(t, time.Since(began) < silence/2)
}

// failConnects has the connects for all further attempts fail, the first n after the one that arrives.
func (f *fixture) failConnects(n int) *atomic.Int32 {
	send, failed := f.forwarder.Send, &atomic.Int32{}
	refused := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	f.forwarder.Send = func(req *http.Request, id string, fresh bool) (*http.Response, error) {
		if f.received.Load() > 0 && int(failed.Load()) < n {
			failed.Add(1)
			return nil, request.ErrAttempt{Err: refused}
		}
		return send(req, id, fresh)
	}
	return failed
}

// A stream that broke off isn't cut because some connects fail, while its caller still waits and servers are left.
func TestFailedConnectsCutNoStream(t *testing.T) {
	servers := []http.HandlerFunc{idStream(betweenEvents, "1", "2", "3")}
	for range 2 * maxUnsentAttempts {
		servers = append(servers, goOn(6))
	}
	f := newFixture(t, servers...)
	failed := f.failConnects(2*maxUnsentAttempts - 1)
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
	assert.Check(t, int(failed.Load()) == 2*maxUnsentAttempts-1)
}

// A stream whose servers can't be connected to ends once its caller waits no more, without a connect to each server.
func TestFailedConnectsOfStreamAreBounded(t *testing.T) {
	servers := []http.HandlerFunc{idStream(betweenEvents, "1", "2", "3")}
	const most = maxUnsentAttempts + int(maxResumeTime/connectPause)
	for range most + 10 {
		servers = append(servers, goOn(6))
	}
	f := newFixture(t, servers...)
	failed := f.failConnects(len(servers))
	began := time.Now()
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3", false}, "%v", got)
	assert.Check(t, int(failed.Load()) > maxUnsentAttempts && int(failed.Load()) <= most, "%d connects", failed.Load())
	assert.Check(t, time.Since(began) < 2*maxResumeTime)
}

// A server that is silent for a while keeps a request where no further attempt can follow.
func TestSilentServerKeepsRequestWithoutFurtherAttempt(t *testing.T) {
	silent := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * minSilenceTimeout)
		goOn(6)(w, r)
	}
	broken := idStream(betweenEvents, "1", "2", "3")
	for name, tc := range map[string]struct {
		attempts int
		servers  []http.HandlerFunc
	}{
		"the last attempt":   {2, []http.HandlerFunc{broken, silent, goOn(6)}},
		"the only attempt":   {1, []http.HandlerFunc{silent, goOn(6)}},
		"no other server":    {5, []http.HandlerFunc{silent}},
		"an attempt is left": {3, []http.HandlerFunc{broken, silent, goOn(6)}},
	} {
		f := newFixture(t, tc.servers...)
		f.setMaxAttempts(t, tc.attempts)
		status, got := f.stream(t, "")
		assert.Check(t, status == http.StatusOK && got == received{"1 2 3 4 5 6", true}, "%s: %d %v", name, status, got)
	}
}
