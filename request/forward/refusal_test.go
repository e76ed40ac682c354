package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/registry"
)

// repeatingServer refuses the first request, as a server does that has taken over another one's address. It runs the others,
// but writes that refusal once more instead of the response to a request on the same connection.
type repeatingServer struct {
	requests, runs atomic.Int32
}

// start returns the server's address.
func (s *repeatingServer) start(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return l.Addr().String()
}

func (s *repeatingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	refusal := ""
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Id")
		if s.requests.Add(1) == 1 {
			refusal = fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Id: %s\r\nX-Not-Run: elsewhere\r\nContent-Length: 0\r\n\r\n", id)
			_, _ = fmt.Fprint(conn, refusal)
			continue
		}
		s.runs.Add(1)
		response := refusal
		if response == "" {
			response = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 3\r\n\r\nran", id)
		}
		_, _ = fmt.Fprint(conn, response)
	}
}

// A refusal that a server writes once more isn't taken for the response to a later attempt of the same request, which runs.
func TestRepeatedRefusalIsNoResponse(t *testing.T) {
	for _, route := range []string{"once", "repeat"} {
		t.Run(route, func(t *testing.T) {
			var server repeatingServer
			f := newFixture(t)
			address := server.start(t)
			f.forwarder.Registry.Reset([]registry.Entry{
				{ID: "gone", Address: address, Pool: "p", Slots: 16}, {ID: "successor", Address: address, Pool: "p", Slots: 8},
			}, false)
			status, body, h := f.do(t, f.request(t, http.MethodPost, "/"+route+"/x", "b"))
			assert.Equal(t, status, http.StatusOK, "%s, Retry-After %q, while %d have run", body, h.Get("Retry-After"), server.runs.Load())
			assert.Equal(t, body, "ran")
			assert.Equal(t, server.runs.Load(), int32(1))
		})
	}
}
