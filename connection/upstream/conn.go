package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/toucanroute/toucanroute/process/memory"
)

// maxDrainBytes bounds the bytes that DrainBody reads.
const maxDrainBytes = 4 << 10

// conn is one connection to a backend server. It is used for one request at a time.
type conn struct {
	net.Conn
	// address is the IP address and port of the backend server.
	address string
	// r reads from source: the connection, and before it what is read again.
	r         *bufio.Reader
	source    io.Reader
	readAgain *bytes.Reader
	// reused is true if the connection has served another request before the current one.
	reused    bool
	idleSince time.Time
	// reuseFor is the time for which the idle connection may be reused; 0 if the server sent no Keep-Alive timeout.
	reuseFor time.Duration
	// writeDone receives the result of a write that runs while the response is read; nil if no write is running. writeErr is
	// the result of the last one that has ended.
	writeDone chan error
	writeErr  error
	// budget is that of heads, and headMemory what is taken from it for the current response.
	budget     *memory.Budget
	headMemory int64
}

func newConn(c net.Conn, address string, budget *memory.Budget) *conn {
	return &conn{Conn: c, address: address, r: bufio.NewReaderSize(c, readBufferBytes), source: c, budget: budget}
}

// Ask sends a request without a body on a new connection and passes the response to read, which must not keep it. The body
// isn't read.
func (t *Transport) Ask(nc net.Conn, req *http.Request, read func(*http.Response)) error {
	if err := req.Write(nc); err != nil {
		return err
	}
	c := newConn(nc, req.URL.Host, t.headBudget())
	defer c.releaseHead()
	res, err := c.readResponse(req) //nolint:bodyclose // The caller closes the connection.
	if err != nil {
		return err
	}
	read(res)
	return nil
}

// abort resets the connection. Unlike Close, it discards the bytes that the server hasn't acknowledged: after a request
// was given up, a network that recovers must not deliver it.
func (c *conn) abort() error {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		// An error means that the connection is already closed.
		_ = l.SetLinger(0)
	}
	return c.Close()
}

var errNotReusable = errors.New("idle connection is closed or has unexpected data")

// checkIdle returns an error unless the idle connection is open and has no unread data.
func (c *conn) checkIdle() error {
	if c.hasUnread() {
		return errNotReusable
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var buf [1]byte
	reuseErr := errNotReusable
	err = raw.Read(func(fd uintptr) bool {
		_, readErr := syscall.Read(int(fd), buf[:])
		if errors.Is(readErr, syscall.EAGAIN) {
			reuseErr = nil
		}
		return true
	})
	return errors.Join(err, reuseErr)
}

// body is the body of a response. After it was read to its end, Close makes its connection available for reuse.
type body struct {
	ctx context.Context
	// parsedBody is the body as net/http has parsed it.
	parsedBody io.Reader
	transport  *Transport
	conn       *conn
	// stop is the result of conn.interruptWhenDone. It returns false if the end of ctx has already interrupted the
	// connection.
	stop func() bool
	// endsWithConnection is true if the body has neither a length nor chunks, so that it ends with its connection.
	endsWithConnection bool
	// reusable is true if the server keeps the connection open and echoes request ids.
	reusable   bool
	reachedEnd bool
	closed     bool
}

// Read reads from the body. A body that ends with its connection is whole only if the connection ended properly and the
// server has received the whole request before.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.parsedBody.Read(p)
	if errors.Is(err, io.EOF) && b.endsWithConnection && !b.reachedEnd {
		if endErr := b.conn.awaitEnd(b.ctx); endErr != nil {
			err = endErr
		}
	}
	if errors.Is(err, io.EOF) {
		b.reachedEnd = true
	} else if err != nil {
		err = contextCause(b.ctx, err)
	}
	return n, err
}

// Close makes the connection available for reuse, closes it if the server doesn't keep it open, or resets it if the
// request or response is incomplete.
func (b *body) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.transport.release(b.conn)
	b.conn.releaseHead()
	if !b.stop() || !b.reachedEnd || !b.conn.writeFinished() {
		return b.conn.abort()
	}
	if !b.reusable {
		return b.conn.Close()
	}
	b.transport.putIdle(b.conn)
	return nil
}

// DrainBody reads a response to its end, so that its connection can be reused. rc is the body of a response that Send
// returned, and r a reader that may have buffered bytes of rc. If the server doesn't end its response within the
// timeout, DrainBody returns and the connection is not reused.
func DrainBody(rc io.ReadCloser, r io.Reader, timeout time.Duration) {
	b, ok := rc.(*body)
	if !ok {
		return
	}
	timer := time.AfterFunc(timeout, func() { _ = b.conn.SetDeadline(time.Unix(1, 0)) })
	_, _ = io.CopyN(io.Discard, r, maxDrainBytes)
	if !timer.Stop() {
		b.reusable = false
	}
}

// contextCause returns the cause for which ctx was cancelled if ctx has ended, since err is then only a consequence of
// that; otherwise it returns err.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// interruptWhenDone makes pending reads and writes of the connection fail when ctx ends. Calling stop undoes this.
func (c *conn) interruptWhenDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
}
