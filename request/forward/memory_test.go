package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/toucanroute/toucanroute/connection/entry"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

const (
	// edgeMemory is the memory setting of the smallest machine on which many slow callers are expected, in bytes, and
	// edgeHeap the part of it that the heap may reach.
	edgeMemory = 112 << 20
	edgeHeap   = edgeMemory * 7 / 10
	// edgeBudget is the part of it that requests may take, and edgeBuffers that of large responses; see package gateway.
	edgeBudget  = edgeMemory * 40 / 100
	edgeBuffers = edgeMemory / 8
	// largestBody is the size of the largest body that a configuration permits, in bytes.
	largestBody = 4 << 20
	// edgeTimeout is the timeout of all routes.
	edgeTimeout = 20 * time.Second
)

// edge is a forwarder behind a listener for callers, with the memory of the smallest machine.
type edge struct {
	*fixture
	address string
}

func newEdge(t *testing.T, handler http.HandlerFunc) *edge {
	t.Helper()
	e := &edge{fixture: newFixture(t, handler)}
	e.setMemory(edgeBudget, edgeBuffers)
	cfg := testConfig()
	cfg.Limits.BodyBytes = largestBody
	for i := range cfg.Routes {
		cfg.Routes[i].Timeout = edgeTimeout
	}
	table, err := hostroute.NewTable(cfg)
	assert.NilError(t, err)
	e.forwarder.Table = func() *hostroute.Table { return table }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e.address = ln.Addr().String()
	server := &entry.Server{Handler: e.forwarder, Log: zap.NewNop(), HeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, Budget: e.forwarder.Memory.HeldPart()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, ln) }()
	t.Cleanup(func() { cancel(); assert.NilError(t, <-done) })
	limit := debug.SetMemoryLimit(edgeHeap)
	t.Cleanup(func() { debug.SetMemoryLimit(limit) })
	return e
}

// waitReturned waits until all memory is back.
func (e *edge) waitReturned(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if stats := e.forwarder.Memory.Stats(); stats.Taken != 0 {
			return poll.Continue("%d bytes are still taken", stats.Taken)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, e.forwarder.Memory.Stats().OverReturned, int64(0))
}

// slowRequest is a request of a caller that is slow but sound.
type slowRequest struct {
	path string
	// bodyBytes is the length of the request's body; it is sent in pieces with a pause after each.
	bodyBytes, pieces int
	pause             time.Duration
	// readAfter is the time until the caller reads the response, of wantBytes.
	readAfter time.Duration
	wantBytes int64
	// headBytes is the length of a further header.
	headBytes int
}

// Ends of a request for its caller.
const (
	endWhole = iota
	endRefused
	endBroken
	endCount
)

// send sends a request with the id as a slow caller and returns how it ended.
func (e *edge) send(id string, s slowRequest) int {
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		return endBroken
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Key: k\r\nX-Id: %s\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n", s.path, id, strings.Repeat("x", s.headBytes), s.bodyBytes)
	piece := make([]byte, s.bodyBytes/max(s.pieces, 1))
	for range s.pieces {
		// An error means that the request was refused.
		if _, err = conn.Write(piece); err != nil {
			break
		}
		time.Sleep(s.pause)
	}
	time.Sleep(s.readAfter)
	res, err := http.ReadResponse(bufio.NewReaderSize(conn, 1<<10), nil)
	if err != nil {
		return endBroken
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		body, err := io.ReadAll(res.Body)
		if err != nil || !strings.Contains(string(body), `"not_run":true`) || res.Header.Get("Retry-After") == "" {
			return endBroken
		}
		return endRefused
	}
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || res.StatusCode != http.StatusOK || n != s.wantBytes {
		return endBroken
	}
	return endWhole
}

// sendAll sends the requests at once and returns how many ended in each way.
func (e *edge) sendAll(requests []slowRequest) [endCount]int {
	var counts [endCount]atomic.Int32
	var wg sync.WaitGroup
	for i, s := range requests {
		wg.Go(func() { counts[e.send(fmt.Sprint("r", i), s)].Add(1) })
	}
	wg.Wait()
	var ends [endCount]int
	for i := range ends {
		ends[i] = int(counts[i].Load())
	}
	return ends
}

const (
	plainBytes  = 200 << 10
	eventBytes  = 2 << 10
	eventCount  = 30
	eventsPause = 20 * time.Millisecond
)

// slowServer sends plain responses and streams. It reads the bodies late, in pieces.
func slowServer(w http.ResponseWriter, r *http.Request) {
	piece := make([]byte, 16<<10)
	for {
		if r.ContentLength > 1<<20 {
			time.Sleep(2 * time.Millisecond)
		} else if r.ContentLength > 16<<10 {
			time.Sleep(50 * time.Millisecond)
		}
		if _, err := r.Body.Read(piece); err != nil {
			break
		}
	}
	w.Header().Set("X-Signed", "1")
	if !strings.HasPrefix(r.URL.Path, "/fixed/") {
		w.Header().Set("Content-Length", strconv.Itoa(plainBytes))
		block := make([]byte, 8<<10)
		for range plainBytes / len(block) {
			_, _ = w.Write(block)
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	event := []byte("data: " + strings.Repeat("x", eventBytes-8) + "\n\n")
	for range eventCount {
		_, _ = w.Write(event)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(eventsPause)
	}
}

// 1,000 callers that send and read slowly, and the servers they ask, are borne at once with the memory of the smallest
// machine: what isn't refused as not run is served whole.
func TestThousandSlowCallersFitInMemory(t *testing.T) {
	e := newEdge(t, slowServer)
	requests := make([]slowRequest, 1000)
	for i := range requests {
		switch i % 3 {
		case 0:
			requests[i] = slowRequest{path: "/fixed/", readAfter: 2 * time.Second, wantBytes: eventBytes * eventCount}
		case 1:
			requests[i] = slowRequest{path: "/once/", readAfter: 2 * time.Second, wantBytes: plainBytes}
		case 2:
			requests[i] = slowRequest{path: "/once/", bodyBytes: 96 << 10, pieces: 16, pause: 100 * time.Millisecond, wantBytes: plainBytes}
		}
	}
	peak := watchHeap(t)
	debug.SetMemoryLimit(edgeHeap)
	ends := e.sendAll(requests)
	stats := e.forwarder.Memory.Stats()
	t.Logf("peak of the heap: %.1f MB; whole %d, refused %d, broken %d; peak of the budget: %.1f of %.1f MB", float64(peak())/(1<<20),
		ends[endWhole], ends[endRefused], ends[endBroken], float64(stats.Peak)/(1<<20), float64(stats.Size)/(1<<20))
	assert.Equal(t, ends[endBroken], 0)
	assert.Assert(t, ends[endWhole] > ends[endRefused])
	assert.Assert(t, peak() < edgeHeap, "%d MB of heap", peak()>>20)
	e.waitReturned(t)
}

// Requests with heads of 15 kB take no more memory than there is: what finds none is refused at once as not run.
func TestLongHeadsFitInMemory(t *testing.T) {
	const running = 2 * time.Second
	e := newEdge(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(running)
		w.Header().Set("X-Signed", "1")
		_, _ = w.Write(make([]byte, 8))
	})
	requests := make([]slowRequest, 1150)
	for i := range requests {
		requests[i] = slowRequest{path: "/once/", headBytes: 15_000, wantBytes: 8}
	}
	peak := watchHeap(t)
	debug.SetMemoryLimit(edgeHeap)
	ends := e.sendAll(requests)
	t.Logf("peak of the heap: %.1f MB; whole %d, refused %d, broken %d", float64(peak())/(1<<20), ends[endWhole], ends[endRefused], ends[endBroken])
	assert.Equal(t, ends[endBroken], 0)
	assert.Assert(t, 2*ends[endWhole] > ends[endRefused])
	assert.Assert(t, peak() < edgeHeap, "%d MB of heap", peak()>>20)
	e.waitReturned(t)
}

// A burst of the largest bodies takes no more memory than there is: what finds none is refused at once as not run.
func TestBurstOfLargestBodiesFitsInMemory(t *testing.T) {
	e := newEdge(t, slowServer)
	requests := make([]slowRequest, 60)
	for i := range requests {
		requests[i] = slowRequest{path: "/once/", bodyBytes: largestBody, pieces: 64, wantBytes: plainBytes}
	}
	peak := watchHeap(t)
	debug.SetMemoryLimit(edgeHeap)
	ends := e.sendAll(requests)
	t.Logf("peak of the heap: %.1f MB; whole %d, refused %d, broken %d", float64(peak())/(1<<20), ends[endWhole], ends[endRefused], ends[endBroken])
	assert.Assert(t, ends[endWhole] > 0)
	assert.Assert(t, peak() < edgeHeap, "%d MB of heap", peak()>>20)
	e.waitReturned(t)
}

// A body that arrives byte by byte is served.
func TestBodyByteByByteIsServed(t *testing.T) {
	e := newEdge(t, slowServer)
	s := slowRequest{path: "/once/", bodyBytes: 100, pieces: 100, pause: 5 * time.Millisecond, wantBytes: plainBytes}
	assert.Equal(t, e.send("r1", s), endWhole)
	e.waitReturned(t)
}

// In whatever way requests end, all memory comes back: callers that leave while they send, while they wait or while they
// read, servers that break off, refuse, crash or answer endlessly, handlers that panic.
func TestMemoryComesBack(t *testing.T) {
	const seed = 4711
	random := rand.New(rand.NewPCG(seed, seed))
	e := newEdge(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("X-Way") {
		case "break":
			w.Header().Set("X-Signed", "1")
			w.Header().Set("Content-Length", "100000")
			_, _ = w.Write(make([]byte, 50_000))
			panic(http.ErrAbortHandler)
		case "refuse":
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "crash":
			panic(http.ErrAbortHandler)
		case "wait":
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case "endless":
			endlessResponse("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\n\r\n", "x")(w, r)
		default:
			slowServer(w, r)
		}
	})
	e.forwarder.OnStarted = func(workspace string, _ time.Time) {}
	ways := []string{"", "break", "refuse", "crash", "wait", "endless"}
	paths := []string{"/once/", "/repeat/", "/fixed/", "/stream/"}
	var wg sync.WaitGroup
	for i := range 200 {
		path, way, sent, read := paths[random.IntN(len(paths))], ways[random.IntN(len(ways))], min(random.IntN(80_000), 40_000), random.IntN(100_000)
		if way == "wait" {
			read = 0
		}
		wg.Go(func() {
			conn, err := net.Dial("tcp", e.address)
			if !assert.Check(t, err) {
				return
			}
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Key: k\r\nX-Id: %d\r\nX-Way: %s\r\nContent-Length: 40000\r\n\r\n", path, i, way)
			_, _ = conn.Write(make([]byte, sent))
			_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
			if sent == 40_000 {
				_, _ = io.CopyN(io.Discard, conn, int64(read))
			}
			_ = conn.(*net.TCPConn).SetLinger(i % 2)
			_ = conn.Close()
		})
	}
	wg.Wait()
	e.waitReturned(t)
	e.forwarder.OnStarted = func(string, time.Time) { panic("handler") }
	assert.Equal(t, e.send("p", slowRequest{path: "/once/", bodyBytes: 20_000, pieces: 1}), endBroken)
	e.waitReturned(t)
}
