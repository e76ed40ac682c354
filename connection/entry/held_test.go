package entry

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/toucanroute/toucanroute/process/memory"
)

// largeResponse is longer than what the sockets of a connection take from a caller that reads nothing.
var largeResponse = strings.Repeat("0123456789abcdef", 6<<20/16)

// heldServer is a server that holds responses for slow callers.
type heldServer struct {
	*Server
	budget *memory.Budget
	// handled is signalled when a handler has returned.
	handled chan struct{}
	stop    context.CancelFunc
}

func startHeldServer(t *testing.T, budgetBytes int64, stall time.Duration, handler http.HandlerFunc) *heldServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &heldServer{budget: memory.NewBudget(budgetBytes), handled: make(chan struct{}, 1000)}
	h.Server = &Server{
		Listen: ln.Addr().String(), Log: zap.NewNop(), HeaderTimeout: time.Second, IdleTimeout: time.Minute, Budget: h.budget, StallTimeout: stall,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() { h.handled <- struct{}{} }()
			handler(w, r)
		}),
	}
	var ctx context.Context
	ctx, h.stop = context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx, ln) }()
	t.Cleanup(func() {
		h.stop()
		assert.NilError(t, <-done)
		h.waitReturned(t)
	})
	return h
}

// waitReturned waits until all memory is back.
func (h *heldServer) waitReturned(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if stats := h.budget.Stats(); stats.Taken != 0 {
			return poll.Continue("%d bytes are still taken", stats.Taken)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	assert.Equal(t, h.budget.Stats().OverReturned, int64(0))
}

// request sends a request on a new connection.
func (h *heldServer) request(t *testing.T, head string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", h.Listen)
	assert.NilError(t, err)
	tcp := conn.(*net.TCPConn)
	t.Cleanup(func() { _ = tcp.Close() })
	_, err = io.WriteString(tcp, "GET / HTTP/1.1\r\nHost: x\r\n"+head+"\r\n")
	assert.NilError(t, err)
	return tcp
}

func (h *heldServer) waitHandled(t *testing.T, limit time.Duration) {
	t.Helper()
	select {
	case <-h.handled:
	case <-time.After(limit):
		t.Fatalf("the handler still waits for its caller after %s", limit)
	}
}

// readResponse reads a response slowly, and returns its body and the error at its end.
func readResponse(conn net.Conn) (string, error) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// A caller that doesn't read yet keeps neither the handler nor, with it, the backend server; it gets the whole response
// once it reads, however the response ends.
func TestSlowCallerKeepsNoHandler(t *testing.T) {
	for name, tc := range map[string]struct{ requestHead, length string }{
		"kept connection":   {length: strconv.Itoa(len(largeResponse))},
		"chunks":            {},
		"closed connection": {requestHead: "Connection: close\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHeldServer(t, 256<<20, 0, func(w http.ResponseWriter, _ *http.Request) {
				if tc.length != "" {
					w.Header().Set("Content-Length", tc.length)
				}
				_, _ = io.WriteString(w, largeResponse)
			})
			conn := h.request(t, tc.requestHead)
			h.waitHandled(t, 2*time.Second)
			assert.Assert(t, h.budget.Stats().Taken > 0, "the response must be longer than the sockets' buffers")
			body, err := readResponse(conn)
			assert.NilError(t, err)
			assert.Assert(t, body == largeResponse)
			h.waitReturned(t)
		})
	}
}

// Without memory a write waits as long as the caller, and the response is whole all the same.
func TestSlowCallerWithoutMemory(t *testing.T) {
	h := startHeldServer(t, 2*minChunkBytes/heldShare, 0, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, largeResponse) })
	conn := h.request(t, "")
	select {
	case <-h.handled:
		t.Fatal("the handler didn't wait")
	case <-time.After(200 * time.Millisecond):
	}
	assert.Assert(t, h.budget.Stats().Peak <= 2*minChunkBytes)
	body, err := readResponse(conn)
	assert.NilError(t, err)
	assert.Assert(t, body == largeResponse)
	h.waitHandled(t, 2*time.Second)
}

// A response that was broken off ends as broken off after what was held of it, also if only the end of the connection
// ends it.
func TestHeldResponseThatBrokeOffDoesNotLookComplete(t *testing.T) {
	for _, endsWithConnection := range []bool{false, true} {
		h := startHeldServer(t, 256<<20, 0, func(w http.ResponseWriter, r *http.Request) {
			if endsWithConnection {
				w.Header().Set("Transfer-Encoding", "identity")
				_ = ResetOnClose(r.Context(), true)
			}
			_, _ = io.WriteString(w, largeResponse)
			panic(http.ErrAbortHandler)
		})
		conn := h.request(t, "")
		h.waitHandled(t, 2*time.Second)
		_, err := readResponse(conn)
		assert.Assert(t, err != nil, "the response looks complete")
	}
}

// The proper end of a response that ends with its connection waits for what is held: if the process ends before, the
// caller sees a reset. The response is whole if it doesn't.
func TestHeldResponseEndsProperlyOnlyWhenWritten(t *testing.T) {
	for _, processEnds := range []bool{false, true} {
		h := startHeldServer(t, 256<<20, 0, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Transfer-Encoding", "identity")
			_ = ResetOnClose(r.Context(), true)
			_, _ = io.WriteString(w, largeResponse)
			_ = http.NewResponseController(w).Flush()
			_ = ResetOnClose(r.Context(), false)
		})
		conn := h.request(t, "")
		h.waitHandled(t, 2*time.Second)
		if processEnds {
			h.stop()
		}
		body, err := readResponse(conn)
		assert.Equal(t, err != nil, processEnds)
		assert.Equal(t, body == largeResponse, !processEnds)
	}
}

// A caller that accepts nothing for the stall timeout is reset; one that reads a little before it ends is served.
func TestStalledCallerEnds(t *testing.T) {
	const stall = 1500 * time.Millisecond
	h := startHeldServer(t, 256<<20, stall, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, largeResponse) })
	stalled, slow := h.request(t, ""), h.request(t, "")
	r := bufio.NewReaderSize(slow, 128<<10)
	for range 8 {
		// On a loopback connection, the window opens by whole segments of 64 kB.
		_, err := r.Discard(256 << 10)
		assert.NilError(t, err)
		time.Sleep(stall / 5)
	}
	rest, err := io.ReadAll(io.LimitReader(r, int64(len(largeResponse)-8*256<<10)))
	assert.NilError(t, err)
	assert.Assert(t, len(rest) > 0)
	h.waitReturned(t)
	_, err = readResponse(stalled)
	assert.Assert(t, err != nil, "the stalled caller's response looks complete")
}

// What is held for a caller that leaves is free within half a second.
func TestCallerThatLeavesFreesWhatIsHeld(t *testing.T) {
	h := startHeldServer(t, 256<<20, 0, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, largeResponse) })
	conn := h.request(t, "")
	h.waitHandled(t, 2*time.Second)
	assert.Assert(t, h.budget.Stats().Taken > 0)
	assert.NilError(t, conn.Close())
	closedAt := time.Now()
	h.waitReturned(t)
	assert.Assert(t, time.Since(closedAt) < 500*time.Millisecond, "%s", time.Since(closedAt))
}

// A planned stop waits until slow callers have their responses.
func TestDrainWaitsForSlowCallers(t *testing.T) {
	h := startHeldServer(t, 256<<20, 0, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, largeResponse) })
	conn := h.request(t, "")
	h.waitHandled(t, 2*time.Second)
	drained := make(chan error, 1)
	go func() { drained <- h.Drain(t.Context()) }()
	select {
	case err := <-drained:
		t.Fatalf("the stop didn't wait: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	body, err := readResponse(conn)
	assert.NilError(t, err)
	assert.Assert(t, body == largeResponse)
	assert.NilError(t, <-drained)
}

// In whatever way callers and responses end, all memory comes back, and no response that looks complete lacks a byte.
func TestHeldMemoryComesBack(t *testing.T) {
	const seed = 4711
	random := rand.New(rand.NewPCG(seed, seed))
	ways := make([]int, 120)
	for i := range ways {
		ways[i] = random.IntN(5)
	}
	h := startHeldServer(t, 24<<20, 200*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, largeResponse)
		if r.Header.Get("Break") != "" {
			panic(http.ErrAbortHandler)
		}
	})
	var wg sync.WaitGroup
	for _, way := range ways {
		wg.Go(func() {
			head := ""
			if way == 4 {
				head = "Break: 1\r\n"
			}
			conn := h.request(t, head)
			switch way {
			case 0:
				_ = conn.SetLinger(0)
				_ = conn.Close()
				return
			case 1:
				_, _ = io.CopyN(io.Discard, conn, 1<<20)
				_ = conn.Close()
				return
			case 2:
				time.Sleep(time.Second)
			}
			body, err := readResponse(conn)
			assert.Check(t, err != nil || body == largeResponse)
			assert.Check(t, way != 4 || err != nil)
		})
	}
	wg.Wait()
	h.waitReturned(t)
}
