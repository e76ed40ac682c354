package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// unframedService answers each request with the body on a connection that it then closes, without a length or chunks.
func unframedService(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Order: 7\r\nX-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n\r\n"+body)
		_ = conn.Close()
	}
}

// getRaw sends a request to a plain service on a new connection and returns the response with its whole body. pause is
// the time after which it begins to read.
func (s *testStack) getRaw(t *testing.T, pause time.Duration) (*http.Response, string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", s.server.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET /v1/services/booking/a HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(pause)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

// A service's response that ends with its connection ends with the caller's connection too: a length or a last chunk
// would vouch for its completeness.
func TestUnframedServiceResponseStaysUnframed(t *testing.T) {
	for name, tc := range map[string]struct {
		body  string
		pause time.Duration
	}{
		"short":              {"answer", 0},
		"empty":              {"", 0},
		"long":               {strings.Repeat("0123456789abcdef", 256<<10), 0},
		"long, slow to read": {strings.Repeat("0123456789abcdef", 256<<10), 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStack(t, unframedService(tc.body), nil)
			start := time.Now()
			res, body, err := s.getRaw(t, tc.pause)
			assert.NilError(t, err)
			assert.Equal(t, res.StatusCode, http.StatusOK)
			assert.Equal(t, res.Header.Get("X-Order"), "7")
			assert.Equal(t, len(body), len(tc.body))
			assert.Assert(t, body == tc.body)
			assert.Assert(t, res.ContentLength < 0 && len(res.TransferEncoding) == 0, "length %d, encoding %v", res.ContentLength, res.TransferEncoding)
			assert.Assert(t, time.Since(start) < tc.pause+2*time.Second, "the connection was closed after %s", time.Since(start))
		})
	}
}

// A caller that stops reading a response without framing sees a reset, not the end of the response.
func TestUnreadUnframedResponseIsReset(t *testing.T) {
	s := newStack(t, unframedService(strings.Repeat("0123456789abcdef", 512<<10-1)), func(s *testStack) {
		s.server.StallTimeout, s.server.StreamBufferBytes = 300*time.Millisecond, 64<<10
	})
	_, body, err := s.getRaw(t, 1500*time.Millisecond)
	assert.Assert(t, err != nil, "a part of %d bytes looks complete", len(body))
}
