package caller

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	headerTransferEncoding = "Transfer-Encoding"
	encodingIdentity       = "identity"
)

// unframedWriter writes a response without a length or chunks, which nbhttp can't write, to the caller's connection. The
// connection is set to be reset when it closes, until the whole response is written.
type unframedWriter struct {
	conn      net.Conn
	connGuard *connGuard
	// sentBytes is the number of bytes passed to the connection.
	sentBytes int64
	// writtenBefore is the value of connGuard.writtenBytes at the start of the response.
	writtenBefore int64
	err           error
}

// beginUnframed takes over the connection and sends the head of the response.
func beginUnframed(w *writer, status int) *unframedWriter {
	conn, _, err := w.res.Hijack()
	u := &unframedWriter{conn: conn, connGuard: w.connGuard, writtenBefore: w.connGuard.writtenBytes.Load(), err: err}
	if err != nil {
		return u
	}
	u.connGuard.inputClosed.Store(true)
	if u.err = u.connGuard.conn.SetLinger(1, 0); u.err != nil {
		return u
	}
	h := w.Header().Clone()
	h.Del(headerTransferEncoding)
	head := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: h, ContentLength: -1, Body: io.NopCloser(strings.NewReader("")), Close: true}
	var b bytes.Buffer
	if u.err = head.Write(&b); u.err == nil {
		w.connGuard.pendingBytes.Add(int64(b.Len()))
		u.err = u.write(b.Bytes())
	}
	return u
}

// write sends data, which the caller of write has added to connGuard.pendingBytes.
func (u *unframedWriter) write(data []byte) error {
	if u.err != nil {
		return u.err
	}
	u.sentBytes += int64(len(data))
	_, u.err = u.conn.Write(data)
	return u.err
}

// finish waits until the response is written and closes the connection. It resets the connection if the response failed
// or the caller reads nothing for the timeout.
func (u *unframedWriter) finish(timeout time.Duration) {
	defer func() { _ = u.conn.Close() }()
	if u.err != nil || !u.waitWritten(timeout) {
		return
	}
	// An error means that the connection is already closed.
	_ = u.connGuard.conn.SetLinger(0, 0)
}

// waitWritten waits until the whole response is written to the socket. It returns false if nothing is written for the
// timeout or the connection is closed.
func (u *unframedWriter) waitWritten(timeout time.Duration) bool {
	ticker := time.NewTicker(stallPollInterval)
	defer ticker.Stop()
	last, deadline := int64(-1), time.Now().Add(timeout)
	for {
		written := u.connGuard.writtenBytes.Load() - u.writtenBefore
		if written >= u.sentBytes {
			return true
		}
		if written != last {
			last, deadline = written, time.Now().Add(timeout)
		}
		if u.connGuard.isClosed() || time.Now().After(deadline) {
			return false
		}
		<-ticker.C
	}
}
