// Package upstream holds the connections to backend servers and sees to it that no answer reaches another request.
//
// A connection whose answer is unfinished is closed. A connection is reused only towards a server that echoes
// X-Request-Id, and there only an answer that echoes its own request's id is taken: bytes that a server sends
// late, or twice, can't be told apart otherwise.
package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/request"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 60 * time.Second
	idlePerServer   = 512
	bufferBytes     = 4 << 10
	headerRequestID = "X-Request-Id"
)

// ErrCrossed tells that an answer can't be shown to belong to its request.
type ErrCrossed struct {
	// Want is the request's own id.
	Want string
	// Got is the id in the answer; empty is none.
	Got string
}

func (e ErrCrossed) Error() string {
	return fmt.Sprintf("answer of request %q came to request %q", e.Got, e.Want)
}

// IsErrCrossed tells whether err is an ErrCrossed.
func IsErrCrossed(err error) bool {
	var crossed ErrCrossed
	return errors.As(err, &crossed)
}

// Transport sends requests to backend servers. Its zero value is ready.
type Transport struct {
	once   sync.Once
	reused *http.Transport
	fresh  *http.Transport
	// echoing holds the addresses of the servers whose last answer echoed its request's id.
	echoing sync.Map
}

func (t *Transport) setUp() {
	t.reused = newTransport(false)
	t.fresh = newTransport(true)
}

func newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      bufferBytes,
		WriteBufferSize:     bufferBytes,
	}
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.once.Do(t.setUp)
	t.reused.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}

// Send sends req with the id and returns the answer once its headers are there; an error is a request.ErrAttempt.
// A request that may not be repeated asks for a fresh connection: net/http repeats requests by itself, but only
// where a reused connection broke.
func (t *Transport) Send(req *http.Request, id string, fresh bool) (*http.Response, error) {
	t.once.Do(t.setUp)
	var conn connTrace
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: conn.got}))
	req.Header.Set(headerRequestID, id)
	transport := t.fresh
	if _, echoes := t.echoing.Load(req.URL.Host); echoes && !fresh {
		transport = t.reused
	}
	res, err := transport.RoundTrip(req)
	sent, reused := conn.state()
	if err != nil {
		return nil, request.ErrAttempt{Sent: sent, Err: err}
	}
	if err := t.check(req.URL.Host, id, res.Header.Get(headerRequestID), reused); err != nil {
		_ = res.Body.Close()
		return nil, request.ErrAttempt{Sent: true, Err: err}
	}
	return res, nil
}

// check tells whether an answer belongs to the request and notes whether the server echoes ids.
func (t *Transport) check(address, want, got string, reused bool) error {
	if got == want {
		if _, known := t.echoing.Load(address); !known {
			t.echoing.Store(address, struct{}{})
		}
		return nil
	}
	t.echoing.Delete(address)
	if got != "" || reused {
		return ErrCrossed{Want: want, Got: got}
	}
	return nil
}

// connTrace notes whether a request got a connection; from then on a byte of it may have left.
type connTrace struct {
	mu     sync.Mutex
	sent   bool
	reused bool
}

func (c *connTrace) got(info httptrace.GotConnInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent, c.reused = true, info.Reused
}

func (c *connTrace) state() (sent, reused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.reused
}
