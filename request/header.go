package request

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop headers, which apply to one connection and are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripHopHeaders removes the hop-by-hop headers, including those that the Connection header lists.
func StripHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}
