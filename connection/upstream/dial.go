package upstream

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/toucanroute/toucanroute/process/platform"
)

const (
	// maxSequentialBytes is the size of the longest request that is written completely before its response is read. A
	// longer one is written while the response is read, since a server may respond before it has read the whole
	// request.
	maxSequentialBytes = 16 << 10
	// keepAliveShare is the fraction of the server's Keep-Alive timeout for which an idle connection is reused.
	keepAliveShare = 0.8
)

// dial opens a new connection.
func (t *Transport) dial(ctx context.Context, address string) (net.Conn, error) {
	timeout := t.DialTimeout
	if timeout == 0 {
		timeout = dialTimeout
	}
	if t.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return t.Dial(ctx, address)
	}
	d := &net.Dialer{Timeout: timeout}
	if t.AckTimeout != 0 {
		d = platform.KeepaliveDialer(timeout, t.AckTimeout)
	}
	return d.DialContext(ctx, "tcp", address)
}

// writeRequest writes a request and returns the number of bytes that may have been sent. A request whose body is longer
// than maxSequentialBytes is written in the background while its response is read, without a copy of the body; a write
// error then shows as a read error.
func (c *conn) writeRequest(req *http.Request) (int, error) {
	c.writeDone, c.writeErr = nil, nil
	if req.ContentLength > maxSequentialBytes {
		done := make(chan error, 1)
		c.writeDone = done
		go func() { done <- req.Write(c.Conn) }()
		return int(req.ContentLength), nil
	}
	buf := bufferPool.Get().(*bytes.Buffer)
	buf.Reset()
	defer bufferPool.Put(buf)
	if err := req.Write(buf); err != nil {
		return 0, err
	}
	return c.Write(buf.Bytes())
}

// writeFinished reports whether the whole request was written.
func (c *conn) writeFinished() bool {
	if c.writeDone == nil {
		return c.writeErr == nil
	}
	select {
	case c.writeErr = <-c.writeDone:
		c.writeDone = nil
		return c.writeErr == nil
	default:
		return false
	}
}

// awaitEnd waits, once the server has ended its side of the connection, until the server has received the whole request. It
// returns an error if the connection is lost before.
func (c *conn) awaitEnd(ctx context.Context) error {
	if c.writeDone != nil {
		c.writeErr = <-c.writeDone
		c.writeDone = nil
	}
	if c.writeErr != nil {
		return c.writeErr
	}
	return platform.AwaitEnd(ctx, c.Conn)
}

// keepAliveExpired reports whether the idle connection has passed reuseFor, so that the server may be about to close
// it.
func (c *conn) keepAliveExpired() bool {
	return c.reuseFor > 0 && time.Since(c.idleSince) > c.reuseFor
}

// keepAliveReuseTime returns the time for which an idle connection may be reused according to the Keep-Alive header; 0
// if the header has no timeout.
func keepAliveReuseTime(h http.Header) time.Duration {
	for _, value := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(value, ",") {
			name, seconds, _ := strings.Cut(strings.TrimSpace(field), "=")
			n, err := strconv.Atoi(seconds)
			if strings.EqualFold(name, "timeout") && err == nil && n > 0 {
				return time.Duration(keepAliveShare * float64(n) * float64(time.Second))
			}
		}
	}
	return 0
}
