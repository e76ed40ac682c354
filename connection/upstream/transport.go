// Package upstream manages the HTTP connections to backend servers and ensures that a response never reaches another
// request.
//
// A connection whose response was not read to its end is closed. Connections are reused only for a server that echoes
// X-Request-Id, and on a reused connection only a response with the id of its request is accepted: otherwise bytes that
// a server sends late, or twice, can't be told from the response.
//
// net/http writes the requests and parses the responses, in the goroutine that waits for the response.
// net/http.Transport isn't used, since it needs two more goroutines for each connection and repeats some requests on
// its own.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/process/memory"
	"github.com/toucanroute/toucanroute/request"
)

const (
	// dialTimeout is the default of Transport.DialTimeout.
	dialTimeout = time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 60 * time.Second
	// maxIdlePerServer bounds the idle connections to one backend server.
	maxIdlePerServer = 512
	// headerRequestID is the default of Transport.IDHeader.
	headerRequestID = "X-Request-Id"
	// maxSkippedResponses bounds the responses to other requests that are discarded before a request's own response.
	maxSkippedResponses = 2
	// maxSkippedBytes bounds the body of a discarded response.
	maxSkippedBytes = 1 << 20
)

// ErrWrongResponse reports that a response lacks the id of its request, so that it may belong to another request.
type ErrWrongResponse struct {
	// WantID is the id of the request.
	WantID string
	// GotID is the id in the response; empty if there is none.
	GotID string
}

func (e ErrWrongResponse) Error() string {
	return fmt.Sprintf("response with request id %q received for request %q", e.GotID, e.WantID)
}

// IsErrWrongResponse reports whether err says that a response may belong to another request: an ErrWrongResponse.
func IsErrWrongResponse(err error) bool {
	var wrongResponse ErrWrongResponse
	return errors.As(err, &wrongResponse)
}

// Transport sends requests to backend servers. The zero value is ready to use. Set its exported fields before the first
// Send.
type Transport struct {
	// IDHeader is the name of the header with the request id; empty means X-Request-Id.
	IDHeader string
	// SkipForeignResponses discards responses without the id of the request on a reused connection, instead of failing.
	SkipForeignResponses bool
	// DialTimeout bounds the time to open a connection; 0 means one second.
	DialTimeout time.Duration
	// AckTimeout is the time after which a connection fails if the server acknowledges neither data nor TCP keep-alive
	// probes; 0 means the system's default.
	AckTimeout time.Duration
	// Dial opens connections instead of the system's dialer; it may be nil. DialTimeout holds for it too, AckTimeout doesn't.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial, if not nil, is called after each dial, with its error.
	OnDial func(address string, err error)
	// HeadMemory is the memory for long heads of responses, until the responses are closed; nil means a budget of 16 MB.
	HeadMemory *memory.Budget

	// defaultMemory is the budget in place of HeadMemory.
	defaultMemory     *memory.Budget
	defaultMemoryOnce sync.Once

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle map[string][]*conn
	// inUse holds the connections whose response hasn't been closed yet.
	inUse map[*conn]struct{}
	// closed is set by Close; nothing is sent afterwards.
	closed bool
	// echoesID holds the addresses of the servers whose last response echoed the request id.
	echoesID map[string]bool
	// sweepTimer runs sweep; nil while there are no idle connections.
	sweepTimer *time.Timer
}

var errClosed = errors.New("transport is closed")

// Close closes the idle connections and resets those in use. No request can be sent afterwards.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for c := range t.inUse {
		_ = c.abort()
	}
	if t.sweepTimer != nil {
		t.sweepTimer.Stop()
		t.sweepTimer = nil
	}
	t.closeIdle(time.Time{})
}

// Send sends req with the id and returns the response once its headers have arrived. Every error that it returns is a
// request.ErrAttempt. The caller must close the response body. For a request that may not be repeated, set
// newConnection: on an idle connection that the server is just closing, it could stay unknown whether the request ran.
func (t *Transport) Send(req *http.Request, id string, newConnection bool) (*http.Response, error) {
	ctx := req.Context()
	req.Header.Set(t.idHeader(), id)
	c, err := t.connect(ctx, req.URL.Host, newConnection)
	if err != nil {
		return nil, request.ErrAttempt{Err: contextCause(ctx, err)}
	}
	if !t.acquire(c) {
		_ = c.Close()
		return nil, request.ErrAttempt{Err: errClosed}
	}
	stop := c.interruptWhenDone(ctx)
	res, err := t.exchange(c, req, id)
	if err != nil {
		stop()
		t.release(c)
		c.releaseHead()
		_ = c.abort()
		return nil, err
	}
	res.Body = &body{
		ctx: ctx, parsedBody: res.Body, transport: t, conn: c, stop: stop,
		endsWithConnection: request.FramingOf(res) == request.FramingConnection,
		reusable:           !res.Close && res.Header.Get(t.idHeader()) == id,
	}
	c.reuseFor = keepAliveReuseTime(res.Header)
	return res, nil
}

// headBudget returns the budget for long heads.
func (t *Transport) headBudget() *memory.Budget {
	if t.HeadMemory != nil {
		return t.HeadMemory
	}
	t.defaultMemoryOnce.Do(func() { t.defaultMemory = memory.NewBudget(defaultHeadMemory) })
	return t.defaultMemory
}

func (t *Transport) idHeader() string {
	if t.IDHeader == "" {
		return headerRequestID
	}
	return t.IDHeader
}

var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// exchange writes the request and reads the headers of its response.
func (t *Transport) exchange(c *conn, req *http.Request, id string) (*http.Response, error) {
	if n, err := c.writeRequest(req); err != nil {
		return nil, request.ErrAttempt{Sent: n > 0, Err: contextCause(req.Context(), err)}
	}
	for skipped := 0; ; skipped++ {
		res, err := c.readResponse(req)
		if err != nil {
			return nil, request.ErrAttempt{Sent: true, Err: contextCause(req.Context(), err)}
		}
		err = t.checkID(c, id, res.Header.Get(t.idHeader()))
		if err == nil {
			return res, nil
		}
		if !t.SkipForeignResponses || skipped >= maxSkippedResponses || !c.reused || !skipResponse(res) {
			return nil, request.ErrAttempt{Sent: true, Err: err}
		}
	}
}

// skipResponse discards the body of a response that belongs to another request. It reports whether another response can
// follow on the connection.
func skipResponse(res *http.Response) bool {
	if res.Close || res.Header.Get("Content-Length") == "" && len(res.TransferEncoding) == 0 {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes))
	return err == nil && n < maxSkippedBytes
}

// checkID returns an error unless a response with the id got belongs to the request with the id want. It records
// whether the server echoes request ids.
func (t *Transport) checkID(c *conn, want, got string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if got == want {
		if t.echoesID == nil {
			t.echoesID = make(map[string]bool)
		}
		t.echoesID[c.address] = true
		return nil
	}
	delete(t.echoesID, c.address)
	if got != "" || c.reused {
		return ErrWrongResponse{WantID: want, GotID: got}
	}
	return nil
}

// connect returns an idle connection that can be reused, or a new one.
func (t *Transport) connect(ctx context.Context, address string, newConnection bool) (*conn, error) {
	for !newConnection {
		c := t.takeIdle(address)
		if c == nil {
			break
		}
		if !c.keepAliveExpired() && c.checkIdle() == nil {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	c, err := t.dial(ctx, address)
	if t.OnDial != nil {
		t.OnDial(address, err)
	}
	if err != nil {
		return nil, err
	}
	return newConn(c, address, t.headBudget()), nil
}

// acquire adds a connection to those in use, unless the transport is closed; release removes it.
func (t *Transport) acquire(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	if t.inUse == nil {
		t.inUse = make(map[*conn]struct{})
	}
	t.inUse[c] = struct{}{}
	return true
}

func (t *Transport) release(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inUse, c)
}

// takeIdle removes the most recently used idle connection to the address and returns it. It returns nil if there is
// none, or if the server doesn't echo request ids.
func (t *Transport) takeIdle(address string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	if len(list) == 0 || !t.echoesID[address] {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	t.idle[address] = list[:len(list)-1]
	return c
}

// putIdle stores a connection for reuse, or closes it if there are too many.
func (t *Transport) putIdle(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.address]) >= maxIdlePerServer || c.hasUnread() {
		_ = c.Close()
		return
	}
	if t.idle == nil {
		t.idle = make(map[string][]*conn)
	}
	c.idleSince = time.Now()
	c.reused = false
	t.idle[c.address] = append(t.idle[c.address], c)
	if t.sweepTimer == nil {
		t.sweepTimer = time.AfterFunc(idleTimeout, t.sweep)
	}
}

// sweep closes the connections that have been idle for longer than idleTimeout.
func (t *Transport) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sweepTimer == nil {
		return
	}
	t.closeIdle(time.Now().Add(-idleTimeout))
	if len(t.idle) == 0 {
		t.sweepTimer = nil
		return
	}
	t.sweepTimer.Reset(idleTimeout)
}

// closeIdle closes the connections that became idle before the cutoff; the zero time means all idle connections.
func (t *Transport) closeIdle(cutoff time.Time) {
	for address, list := range t.idle {
		n := 0
		for n < len(list) && (cutoff.IsZero() || list[n].idleSince.Before(cutoff)) {
			_ = list[n].Close()
			n++
		}
		if n == len(list) {
			delete(t.idle, address)
			continue
		}
		t.idle[address] = append([]*conn(nil), list[n:]...)
	}
}
