package entry

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/memory"
)

const (
	// stallTimeout is the default of Server.StallTimeout, the time in which a caller must accept something of a response
	// that waits for it. It is twice the longest usual timeout of callers, so that a caller which still wants its response
	// is never cut.
	stallTimeout = 30 * time.Second
	// minChunkBytes and maxChunkBytes are the smallest and the largest piece in which responses are held.
	minChunkBytes, maxChunkBytes = 4 << 10, 64 << 10
	// heldShare is the part of the budget for held responses that is held for one connection at most, so that a few callers
	// can't take all.
	heldShare = 1.0 / 8
	// closeDelay is the time from the end of a response until its connection closes: the caller may not have read the end
	// yet, and a reset, caused by a request that it still sends, would discard it.
	closeDelay = 500 * time.Millisecond
)

// errStalled reports that a caller accepted nothing for the stall timeout.
var errStalled = errors.New("the caller accepts nothing of its response")

// tcpConn is what heldConn needs of a connection.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(sec int) error
}

// heldConn is the connection of a caller that may read slowly. What the socket doesn't take at once is held and written
// later, so that a write waits only if there is no memory: the backend server isn't kept from its next request, nor does
// it cut the response off for being unread. The end of the connection comes after what is held.
type heldConn struct {
	tcpConn
	raw    syscall.RawConn
	server *Server

	mu sync.Mutex
	// changed is signalled when something was written or the connection failed.
	changed *sync.Cond
	// chunks is what is held, in order, and granted the capacity of these and of the chunk that is being written.
	chunks  [][]byte
	granted int64
	// writing is set while a goroutine writes the chunks. Nothing is held otherwise.
	writing bool
	// err is the error of the connection; nil until it failed.
	err error
	// closed, ended and unreset are set by Close, CloseWrite and SetLinger(-1), which take effect after the chunks.
	closed, ended, unreset bool
}

func newHeldConn(c tcpConn, s *Server) (*heldConn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	held := &heldConn{tcpConn: c, raw: raw, server: s}
	held.changed = sync.NewCond(&held.mu)
	return held, nil
}

// Write writes p, or holds what the caller doesn't accept yet.
func (c *heldConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for c.err == nil && n < len(p) {
		if !c.writing {
			n += c.writeNow(p[n:])
			if n == len(p) || c.err != nil {
				break
			}
		}
		if k := c.hold(p[n:]); k > 0 {
			n += k
			continue
		}
		if c.writing {
			c.changed.Wait()
			continue
		}
		k, err := c.writeAll(p[n:])
		n += k
		c.fail(err)
	}
	return n, c.err
}

// writeNow writes what the socket takes without waiting; the caller holds the lock.
func (c *heldConn) writeNow(p []byte) int {
	n := 0
	var writeErr error
	err := c.raw.Write(func(fd uintptr) bool {
		for {
			if n, writeErr = syscall.Write(int(fd), p); !errors.Is(writeErr, syscall.EINTR) {
				return true
			}
		}
	})
	if err == nil && !errors.Is(writeErr, syscall.EAGAIN) {
		err = writeErr
	}
	c.fail(err)
	return max(n, 0)
}

// hold holds a first part of p as far as there is memory, and returns its length; the caller holds the lock.
func (c *heldConn) hold(p []byte) int {
	if last := len(c.chunks) - 1; last >= 0 && len(c.chunks[last]) < cap(c.chunks[last]) {
		n := min(len(p), cap(c.chunks[last])-len(c.chunks[last]))
		c.chunks[last] = append(c.chunks[last], p[:n]...)
		return n
	}
	budget := c.server.Budget
	size := int64(min(max(len(p), minChunkBytes), maxChunkBytes))
	if float64(c.granted+size) > heldShare*float64(budget.Size()) || !budget.TryTake(size, memory.Held) {
		return 0
	}
	c.granted += size
	n := min(len(p), int(size))
	c.chunks = append(c.chunks, append(make([]byte, 0, size), p[:n]...))
	if !c.writing {
		c.writing = true
		c.server.addHeld(c)
		go c.writeChunks()
	}
	return n
}

// writeChunks writes all that is held.
func (c *heldConn) writeChunks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.err == nil && len(c.chunks) > 0 {
		chunk := c.chunks[0]
		c.chunks[0] = nil
		c.chunks = c.chunks[1:]
		_, err := c.writeAll(chunk)
		c.release(int64(cap(chunk)))
		c.fail(err)
		c.changed.Broadcast()
	}
	for _, chunk := range c.chunks {
		c.release(int64(cap(chunk)))
	}
	c.chunks, c.writing = nil, false
	c.server.removeHeld(c)
	c.changed.Broadcast()
	if c.err != nil {
		return
	}
	if c.unreset {
		c.fail(c.tcpConn.SetLinger(-1))
	}
	if c.ended {
		c.fail(c.tcpConn.CloseWrite())
	}
	if c.closed && c.err == nil {
		time.AfterFunc(closeDelay, func() { _ = c.tcpConn.Close() })
	}
}

// release returns granted memory; the caller holds the lock.
func (c *heldConn) release(n int64) {
	c.granted -= n
	c.server.Budget.Return(n)
}

// writeAll writes p as the caller accepts it. The lock is free meanwhile. The error is errStalled if the caller accepts
// nothing for the stall timeout.
func (c *heldConn) writeAll(p []byte) (int, error) {
	c.mu.Unlock()
	defer c.mu.Lock()
	defer func() { _ = c.tcpConn.SetWriteDeadline(time.Time{}) }()
	timeout := cmp.Or(c.server.StallTimeout, stallTimeout)
	for written := 0; ; {
		if err := c.tcpConn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.tcpConn.Write(p[written:])
		written += n
		switch {
		case err == nil:
			return written, nil
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case n == 0:
			c.server.Log.Info("caller_stalled", zap.String("peer", c.RemoteAddr().String()), zap.Duration("silent", timeout))
			return written, errStalled
		}
	}
}

// fail resets the connection if err isn't nil, so that its request ends and a part of a response doesn't look complete;
// the caller holds the lock.
func (c *heldConn) fail(err error) {
	if err == nil || c.err != nil {
		return
	}
	c.err = err
	// An error means that the connection is already closed.
	_ = c.tcpConn.SetLinger(0)
	_ = c.tcpConn.Close()
	c.changed.Broadcast()
}

// SetWriteDeadline does nothing: net/http's server resets the deadline after each response, while it may still be held.
func (c *heldConn) SetWriteDeadline(time.Time) error { return nil }

// abort ends the connection without what is held.
func (c *heldConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(net.ErrClosed)
}

// Close closes the connection after what is held was written.
func (c *heldConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.writing && c.err == nil {
		return nil
	}
	return c.tcpConn.Close()
}

// CloseWrite ends the response after what is held was written.
func (c *heldConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing && c.err == nil {
		c.ended = true
		return nil
	}
	return c.tcpConn.CloseWrite()
}

// SetLinger sets the linger option. A reset on close stays in force until what is held was written: a part of a response
// must not look complete if the process ends.
func (c *heldConn) SetLinger(sec int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreset = false
	if sec != 0 && c.writing && c.err == nil {
		c.unreset = true
		return nil
	}
	return c.tcpConn.SetLinger(sec)
}

// heldListener is a listener whose connections hold responses for slow callers.
type heldListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection.
func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(tcpConn)
	if !ok {
		return conn, nil
	}
	return newHeldConn(tcp, l.server)
}

// addHeld and removeHeld keep the connections for which a response is held.
func (s *Server) addHeld(c *heldConn) {
	s.heldMu.Lock()
	defer s.heldMu.Unlock()
	if s.held == nil {
		s.held = map[*heldConn]struct{}{}
	}
	s.held[c] = struct{}{}
}

func (s *Server) removeHeld(c *heldConn) {
	s.heldMu.Lock()
	defer s.heldMu.Unlock()
	delete(s.held, c)
}

// SlowCallers returns the number of connections for which a response is held.
func (s *Server) SlowCallers() int {
	s.heldMu.Lock()
	defer s.heldMu.Unlock()
	return len(s.held)
}

// heldConns returns the connections for which a response is held.
func (s *Server) heldConns() []*heldConn {
	s.heldMu.Lock()
	defer s.heldMu.Unlock()
	list := make([]*heldConn, 0, len(s.held))
	for c := range s.held {
		list = append(list, c)
	}
	return list
}
