package request

import (
	"net/http"
	"strings"
)

// hopHeaders are those of one connection, which are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// StripHopHeaders removes the headers of one connection, also those that Connection names.
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
