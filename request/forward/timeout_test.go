package forward

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/request"
)

// pausingStream returns a handler that goes on with a stream of six events and calls pause after the first one of them.
func pausingStream(pause func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		from := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
		for id := from + 1; id <= 6; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", id, id)
			_ = http.NewResponseController(w).Flush()
			if id == from+1 {
				pause()
			}
		}
	}
}

// failSends has all attempts of the request with the id fail with the error before a byte is sent.
func (f *fixture) failSends(id string, err error) {
	send := f.forwarder.Send
	f.forwarder.Send = func(req *http.Request, sendID string, fresh bool) (*http.Response, error) {
		if sendID == id {
			return nil, request.ErrAttempt{Err: err}
		}
		return send(req, sendID, fresh)
	}
}

// A connection that can't be opened in time, because the instance's own link is busy, cuts no stream of a server that goes on
// sending.
func TestDialTimeoutCutsNoRunningStream(t *testing.T) {
	for name, err := range map[string]error{
		"dial":         &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded},
		"acknowledged": &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)},
	} {
		var f *fixture
		runs := 0
		f = newFixture(t, pausingStream(func() {
			// What has arrived is forwarded before the other request fails.
			time.Sleep(20 * time.Millisecond)
			req := f.request(t, http.MethodPost, "/once/", "b")
			req.Header.Set("X-Id", "other")
			status, _, _ := f.do(t, req)
			assert.Check(t, status == http.StatusServiceUnavailable, "%s: %d", name, status)
			runs++
		}))
		f.failSends("other", err)
		_, got := f.stream(t, "")
		assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%s: %v", name, got)
		assert.Check(t, runs == 1 && f.received.Load() == 1, name)
	}
}
