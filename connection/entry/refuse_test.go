package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"
)

// exchange sends a request on a connection and returns the status of the response.
func exchange(conn net.Conn) (int, error) {
	if _, err := fmt.Fprint(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

// serveUntilEnd serves a listener until the test ends.
func serveUntilEnd(t *testing.T, s *Server, ln net.Listener) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

// While a server drains, a request on an open connection is refused with an answer, on kept and new connections too if
// these stay open, and Drain waits for the request that runs.
func TestRequestsAreRefusedWhileDraining(t *testing.T) {
	for _, keepOpen := range []bool{false, true} {
		t.Run(fmt.Sprint(keepOpen), func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			s := &Server{Log: zap.NewNop(), HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second, KeepOpen: keepOpen}
			slow := false
			s.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				if slow {
					close(started)
					<-release
				}
			})
			s.Refuse = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			serveUntilEnd(t, s, ln)
			dial := func() net.Conn {
				conn, err := net.Dial("tcp", ln.Addr().String())
				assert.NilError(t, err)
				assert.NilError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
				t.Cleanup(func() { _ = conn.Close() })
				return conn
			}
			kept, running, unused := dial(), dial(), dial()
			status, err := exchange(kept)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			slow = true
			result := make(chan int, 1)
			go func() {
				status, err := exchange(running)
				assert.Check(t, err)
				result <- status
			}()
			<-started
			drained := make(chan error, 1)
			go func() { drained <- s.Drain(t.Context()) }()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if s.closed.Load() {
					return poll.Success()
				}
				return poll.Continue("not draining")
			}, poll.WithDelay(time.Millisecond))
			time.Sleep(20 * time.Millisecond)
			status, err = exchange(unused)
			assert.Check(t, err)
			assert.Check(t, is.Equal(status, http.StatusServiceUnavailable))
			if keepOpen {
				for _, conn := range []net.Conn{kept, dial()} {
					status, err = exchange(conn)
					assert.Check(t, err)
					assert.Check(t, is.Equal(status, http.StatusServiceUnavailable))
				}
			} else {
				_, err = exchange(kept)
				assert.Check(t, err != nil, "the idle connection is open")
				_, err = net.Dial("tcp", ln.Addr().String())
				assert.Check(t, err != nil, "the listener is open")
			}
			select {
			case err := <-drained:
				t.Errorf("drained with a running request: %v", err)
			default:
			}
			close(release)
			assert.NilError(t, <-drained)
			assert.Equal(t, <-result, http.StatusOK)
		})
	}
}

// A server that is drained before it serves takes no request.
func TestServerDrainedBeforeServeTakesNothing(t *testing.T) {
	s := &Server{Log: zap.NewNop(), HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	s.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a request was taken") })
	assert.NilError(t, s.Drain(t.Context()))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serveUntilEnd(t, s, ln)
	if conn, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		_, err = exchange(conn)
		assert.Check(t, err != nil)
		_ = conn.Close()
	}
}
