package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// goneLimit is the time after which a caller that left may hold nothing any more, at the instance or at a server.
const goneLimit = 500 * time.Millisecond

// A caller that leaves frees its memory and its server within half a second, wherever its request is.
func TestCallersThatLeaveFreeTheirRoom(t *testing.T) {
	atServer := make(chan struct{}, 1)
	left := make(chan struct{}, 1)
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Signed", "1")
		defer func() { left <- struct{}{} }()
		switch way := r.Header.Get("X-Way"); way {
		case "stream":
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: x\n\n")
			_ = http.NewResponseController(w).Flush()
		case "large":
			block := make([]byte, 64<<10)
			for range 512 {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		}
		atServer <- struct{}{}
		<-r.Context().Done()
	}
	e := newEdge(t, handler)
	relaying := newPartitioned(t, e.relayServer(t))
	for name, tc := range map[string]struct {
		path, way  string
		bodyBytes  int
		viaRelay   bool
		neverAsked bool
	}{
		"sends its body":                 {path: "/once/", bodyBytes: 100_000, neverAsked: true},
		"waits for a server":             {path: "/once/", way: "wait"},
		"reads a stream":                 {path: "/fixed/", way: "stream"},
		"reads a large response":         {path: "/once/", way: "large"},
		"waits at another instance":      {path: "/once/", way: "wait", viaRelay: true},
		"reads a stream through another": {path: "/fixed/", way: "stream", viaRelay: true},
	} {
		t.Run(name, func(t *testing.T) {
			address, instances := e.address, []*fixture{e.fixture}
			if tc.viaRelay {
				address, instances = strings.TrimPrefix(relaying.proxy.URL, "http://"), append(instances, relaying)
			}
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Key: k\r\nX-Id: r\r\nX-Way: %s\r\nContent-Length: %d\r\n\r\n%s", tc.path, tc.way, tc.bodyBytes, strings.Repeat("x", tc.bodyBytes/2))
			assert.NilError(t, err)
			switch {
			case tc.neverAsked:
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if e.forwarder.Memory.Stats().Taken <= requestBytes {
						return poll.Continue("the body hasn't begun")
					}
					return poll.Success()
				}, poll.WithDelay(5*time.Millisecond))
			case tc.way == "large":
				time.Sleep(goneLimit)
			default:
				<-atServer
			}
			assert.NilError(t, conn.Close())
			closedAt := time.Now()
			if !tc.neverAsked {
				select {
				case <-left:
				case <-time.After(4 * goneLimit):
					t.Fatal("the server is still at work")
				}
			}
			for _, f := range instances {
				for f.forwarder.Memory.Stats().Taken != 0 && time.Since(closedAt) < 4*goneLimit {
					time.Sleep(5 * time.Millisecond)
				}
				assert.Equal(t, f.forwarder.Memory.Stats().Taken, int64(0))
			}
			assert.Assert(t, time.Since(closedAt) < goneLimit, "%s", time.Since(closedAt))
		})
	}
}
