package platform

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpStateClose is the state TCP_CLOSE of a connection that was reset or has timed out.
	tcpStateClose = 7
	// minAckPoll is the interval at which AwaitEnd begins to look for acknowledgements, and maxAckPoll the one up to which it
	// doubles.
	minAckPoll, maxAckPoll = time.Millisecond, 32 * time.Millisecond
)

// AwaitEnd checks the end of a connection whose peer has ended its side, so that a read has returned io.EOF. It waits until
// the peer has acknowledged all that was written. It returns an error if ctx ends, and syscall.ECONNRESET if the connection is
// lost before.
//
// The kernel reports the loss of a connection once: if a write gets that error, reads return io.EOF. A connection that isn't
// a TCP connection, or whose state can't be read, counts as properly ended.
func AwaitEnd(ctx context.Context, conn net.Conn) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	for interval := minAckPoll; ; interval = min(2*interval, maxAckPoll) {
		var info *unix.TCPInfo
		var infoErr error
		if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
			return err
		}
		switch {
		case infoErr != nil:
			return nil //nolint:nilerr // The connection has no state that could be read.
		case info.State == tcpStateClose:
			return syscall.ECONNRESET
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(interval):
		}
	}
}

// checkedConn is a connection whose reads return io.EOF only if it ended properly (see AwaitEnd), and return an error at a line of
// a head for which IsAmbiguousLine is true.
type checkedConn struct {
	net.Conn
	head headCheck
}

// Read reads from the connection. AwaitEnd returns at the latest when the connection is closed, at the end of the call.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.head.add(p[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		if endErr := AwaitEnd(context.Background(), c.Conn); endErr != nil {
			return n, endErr
		}
	}
	return n, err
}

// expectHead is called before a request is written.
func (c *checkedConn) expectHead() { c.head.expect() }

// checkedDial returns a DialContext of a transport that opens connections with the dialer and checks their ends.
func checkedDial(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
}

// exchangeTrace follows whether the request of a call was written whole, and checks the informational responses to it.
type exchangeTrace struct {
	mu sync.Mutex
	// result receives the result of writing the request on the connection that is used last; nil before there is one.
	result chan error
}

// context returns a context for the request that is to be followed.
func (t *exchangeTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(interface{ expectHead() }); ok {
				c.expectHead()
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.result = make(chan error, 1)
		},
		Got1xxResponse: func(status int, h textproto.MIMEHeader) error { return CheckHead(status, http.Header(h)) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			select {
			case t.result <- info.Err:
			default:
			}
		},
	})
}

// checkWritten returns an error if a response that ended with its connection came before the request was written whole.
// The length or the last chunk of other responses proves their end.
func (t *exchangeTrace) checkWritten(ctx context.Context, res *http.Response) error {
	if res.ContentLength >= 0 || len(res.TransferEncoding) > 0 {
		return nil
	}
	t.mu.Lock()
	result := t.result
	t.mu.Unlock()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
