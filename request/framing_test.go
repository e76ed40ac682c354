package request

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFramingOf(t *testing.T) {
	for name, tc := range map[string]struct {
		method, head string
		want         Framing
	}{
		"length":                 {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", FramingLength},
		"length 0":               {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", FramingLength},
		"chunks":                 {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", FramingChunked},
		"neither":                {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nab", FramingConnection},
		"neither, closing":       {http.MethodGet, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab", FramingConnection},
		"HTTP/1.0":               {http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nab", FramingConnection},
		"no body by status":      {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", FramingLength},
		"no body by method":      {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", FramingLength},
		"no body, not modified":  {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", FramingLength},
		"length of a HEAD reply": {http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", FramingLength},
	} {
		t.Run(name, func(t *testing.T) {
			res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tc.head)), &http.Request{Method: tc.method})
			assert.NilError(t, err)
			assert.Equal(t, FramingOf(res), tc.want)
			assert.NilError(t, res.Body.Close())
		})
	}
}
