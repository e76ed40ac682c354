package platform

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
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
func GuardedTransport(timeout time.Duration, guard func() error) *http.Transport {
	dialer := &net.Dialer{Timeout: timeout, Control: func(_, _ string, c syscall.RawConn) error {
		return SetTCPUserTimeout(c, timeout)
	}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, guard: guard}, nil
	}
	return &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes}
}

// SetTCPUserTimeout has the kernel close a connection whose peer acknowledges nothing for the duration of the timeout.
func SetTCPUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// guardedConn is a connection that calls the guard before each write and doesn't write if the guard fails.
type guardedConn struct {
	net.Conn
	guard func() error
	// sent is true once a write has been passed on to the socket.
	sent bool
}

// Write calls the guard, if there is one, and writes only if the guard succeeds. If the guard fails before the first
// write, the error is an ErrNotSent.
func (c *guardedConn) Write(b []byte) (int, error) {
	if c.guard == nil {
		return c.Conn.Write(b)
	}
	err := c.guard()
	if err == nil {
		c.sent = true
		return c.Conn.Write(b)
	}
	if c.sent {
		return 0, err
	}
	return 0, ErrNotSent{Cause: err}
}
