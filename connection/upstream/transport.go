// Package upstream holds the connections to backend servers and sees to it that no answer reaches another request.
//
// A connection whose answer is unfinished is closed. A connection is reused only towards a server that echoes
// X-Request-Id, and there only an answer that echoes its own request's id is taken: bytes that a server sends
// late, or twice, can't be told apart otherwise.
//
// Requests are written and answers read by net/http, in the goroutine that waits for them: its Transport takes two
// more goroutines for each connection and repeats some requests by itself.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/request"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 60 * time.Second
	idlePerServer   = 512
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
	mu sync.Mutex
	// idle holds the free connections by address, the one used last at the end.
	idle map[string][]*conn
	// echoing holds the addresses of the servers whose last answer echoed its request's id.
	echoing map[string]bool
	// sweeper closes idle connections in time; nil while there are none.
	sweeper *time.Timer
}

// Close closes the idle connections.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sweeper != nil {
		t.sweeper.Stop()
		t.sweeper = nil
	}
	t.closeIdle(time.Time{})
}

// Send sends req with the id and returns the answer once its headers are there; an error is a request.ErrAttempt.
// The answer's body must be closed. A request that may not be repeated asks for a fresh connection, so that one
// that has just gone stale can't leave its outcome in doubt.
func (t *Transport) Send(req *http.Request, id string, fresh bool) (*http.Response, error) {
	ctx := req.Context()
	req.Header.Set(headerRequestID, id)
	c, err := t.connect(ctx, req.URL.Host, fresh)
	if err != nil {
		return nil, request.ErrAttempt{Err: causeOf(ctx, err)}
	}
	stop := c.cutAtEnd(ctx)
	res, err := t.exchange(c, req, id)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	res.Body = &body{
		ctx: ctx, inner: res.Body, transport: t, conn: c, stop: stop,
		reusable: !res.Close && res.Header.Get(headerRequestID) == id,
	}
	return res, nil
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// exchange writes the request and reads the answer's headers.
func (t *Transport) exchange(c *conn, req *http.Request, id string) (*http.Response, error) {
	buf := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(buf)
	buf.Reset()
	if err := req.Write(buf); err != nil {
		return nil, request.ErrAttempt{Err: err}
	}
	if n, err := c.Write(buf.Bytes()); err != nil {
		return nil, request.ErrAttempt{Sent: n > 0, Err: causeOf(req.Context(), err)}
	}
	res, err := c.readAnswer(req)
	if err != nil {
		return nil, request.ErrAttempt{Sent: true, Err: causeOf(req.Context(), err)}
	}
	if err := t.check(c, id, res.Header.Get(headerRequestID)); err != nil {
		return nil, request.ErrAttempt{Sent: true, Err: err}
	}
	return res, nil
}

// check tells whether an answer belongs to the request and notes whether the server echoes ids.
func (t *Transport) check(c *conn, want, got string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if got == want {
		if t.echoing == nil {
			t.echoing = make(map[string]bool)
		}
		t.echoing[c.address] = true
		return nil
	}
	delete(t.echoing, c.address)
	if got != "" || c.reused {
		return ErrCrossed{Want: want, Got: got}
	}
	return nil
}

// connect returns an idle connection that is open and silent, or a new one.
func (t *Transport) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := t.takeIdle(address)
		if c == nil {
			break
		}
		if c.checkIdle() == nil {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c, address), nil
}

func (t *Transport) takeIdle(address string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.idle[address]
	if len(list) == 0 || !t.echoing[address] {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	t.idle[address] = list[:len(list)-1]
	return c
}

func (t *Transport) putIdle(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.idle[c.address]) >= idlePerServer {
		_ = c.Close()
		return
	}
	if t.idle == nil {
		t.idle = make(map[string][]*conn)
	}
	c.idleAt = time.Now()
	t.idle[c.address] = append(t.idle[c.address], c)
	if t.sweeper == nil {
		t.sweeper = time.AfterFunc(idleTimeout, t.sweep)
	}
}

// sweep closes the connections that have been idle for too long.
func (t *Transport) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sweeper == nil {
		return
	}
	t.closeIdle(time.Now().Add(-idleTimeout))
	if len(t.idle) == 0 {
		t.sweeper = nil
		return
	}
	t.sweeper.Reset(idleTimeout)
}

// closeIdle closes the connections that are idle since before then; the zero time means all.
func (t *Transport) closeIdle(then time.Time) {
	for address, list := range t.idle {
		n := 0
		for n < len(list) && (then.IsZero() || list[n].idleAt.Before(then)) {
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
