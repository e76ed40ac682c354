package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/toucanroute/toucanroute/wire"
)

// ErrNotSent reports that the guard of a call stopped it before its first byte was sent.
type ErrNotSent struct {
	Cause error
}

func (e ErrNotSent) Error() string { return fmt.Sprintf("call not sent: %v", e.Cause) }

// Unwrap returns the guard's error.
func (e ErrNotSent) Unwrap() error { return e.Cause }

// IsErrNotSent reports whether err is or wraps an ErrNotSent: no byte of the call was sent.
func IsErrNotSent(err error) bool {
	var e ErrNotSent
	return errors.As(err, &e)
}

// Ordering is the client of the interface with which backend servers are started and stopped.
type Ordering struct {
	Client
}

// Send sends an order on a connection of its own. It calls the guard, usually a check of the lease, immediately before
// each write to the socket and writes nothing if the guard fails. The kernel discards bytes that the receiver hasn't
// acknowledged within the client's timeout.
func (o *Ordering) Send(ctx context.Context, order wire.ServerOrder, guard func() error) (wire.ServerOrderResult, error) {
	transport := GuardedTransport(o.timeout(), guard)
	defer transport.CloseIdleConnections()
	spec := call{name: "order_send", method: http.MethodPost, path: "/v1/orders", body: order, transport: transport}
	response, err := o.do(ctx, spec)
	if err != nil {
		return wire.ServerOrderResult{}, err
	}
	var result wire.ServerOrderResult
	if response.status == http.StatusConflict || response.status == http.StatusBadRequest || response.status == http.StatusNotFound {
		err = decode(spec, response, &result)
		return result, err
	}
	if err := statusError(spec, response); err != nil {
		return result, err
	}
	err = decode(spec, response, &result)
	return result, err
}

// Servers reads the states of the backend servers of a data centre.
func (o *Ordering) Servers(ctx context.Context, dataCentre string) (wire.ServerStates, error) {
	spec := call{name: "order_servers", method: http.MethodGet, path: "/v1/servers?data_centre=" + url.QueryEscape(dataCentre)}
	var states wire.ServerStates
	response, err := o.do(ctx, spec)
	if err != nil {
		return states, err
	}
	if err := statusError(spec, response); err != nil {
		return states, err
	}
	err = decode(spec, response, &states)
	return states, err
}

// GuardedTransport returns a transport for one call. It keeps no idle connections, calls the guard before each write to
// the socket and has the kernel discard unacknowledged bytes after the timeout.
func GuardedTransport(timeout time.Duration, guard func() error) *CallTransport {
	dialer := &net.Dialer{Timeout: timeout, Control: func(_, _ string, c syscall.RawConn) error {
		return SetTCPUserTimeout(c, timeout)
	}}
	t := &CallTransport{writes: &guardedWrites{guard: guard}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{checkedConn: &checkedConn{Conn: conn}, writes: t.writes}, nil
	}
	t.Transport = &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
	return t
}

// CallTransport is the transport of one guarded call.
type CallTransport struct {
	*http.Transport
	writes *guardedWrites
}

// RoundTrip sends the request. Its error is an ErrNotSent if the guard stopped the call before its first write.
func (t *CallTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := t.Transport.RoundTrip(r)
	if err == nil {
		return res, nil
	}
	// The transport closes the connection after a failed write and may report the failed read instead.
	if stopped := t.writes.stopped(); stopped != nil {
		return nil, stopped
	}
	return nil, err
}

// SetTCPUserTimeout has the kernel close a connection whose peer acknowledges nothing for the duration of the timeout.
func SetTCPUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// guardedWrites decides on the writes of one call.
type guardedWrites struct {
	guard func() error
	mu    sync.Mutex
	// sent is true once a write has been passed on to the socket.
	sent bool
	// notSent is the guard's error if it failed before the first write.
	notSent error
}

// allow calls the guard, if there is one, and returns its error. If the guard fails before the first write, the error is
// an ErrNotSent.
func (w *guardedWrites) allow() error {
	var err error
	if w.guard != nil {
		err = w.guard()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.sent = true
		return nil
	}
	if w.sent {
		return err
	}
	w.notSent = ErrNotSent{Cause: err}
	return w.notSent
}

// stopped returns an ErrNotSent if the guard stopped the call before its first write, or nil.
func (w *guardedWrites) stopped() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sent {
		return nil
	}
	return w.notSent
}

// guardedConn is a connection that writes only what the guard of its call allows.
type guardedConn struct {
	*checkedConn
	writes *guardedWrites
}

// Write writes b if the guard succeeds.
func (c *guardedConn) Write(b []byte) (int, error) {
	if err := c.writes.allow(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
