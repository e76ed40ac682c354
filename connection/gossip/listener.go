package gossip

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// maxPending is the number of accepted connections that may wait for Accept.
	maxPending = 64
	// firstByteTimeout bounds the time until the first byte of a connection arrives.
	firstByteTimeout = time.Second
	// peekBytes is the size of the buffer in which the first bytes of a connection are read.
	peekBytes = 512
)

// Listener is a net.Listener for the connections on which other instances send HTTP requests. Create it with
// NewListener.
type Listener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// NewListener returns a listener with an IP address and port for its users.
func NewListener(address string) *Listener {
	return &Listener{address: address, conns: make(chan net.Conn, maxPending), closed: make(chan struct{})}
}

// offer passes a connection to Accept, and reports whether there was room.
func (l *Listener) offer(conn net.Conn) bool {
	select {
	case <-l.closed:
		return false
	default:
	}
	select {
	case l.conns <- conn:
		return true
	default:
		return false
	}
}

// Accept returns the next connection, or net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address.
func (l *Listener) Addr() net.Addr {
	address, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return address
}

// peekedConn is a connection of which some bytes were read into r. It keeps the options of a TCP connection.
type peekedConn struct {
	*net.TCPConn
	r *bufio.Reader
}

// Read reads from the connection.
func (c *peekedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// errNoTCP reports that a connection isn't a TCP connection.
type errNoTCP struct{ network string }

func (e errNoTCP) Error() string { return "a connection over " + e.network + " instead of TCP" }

// peek returns a connection together with its first byte, which is read from it again.
func peek(conn net.Conn) (*peekedConn, byte, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil, 0, errNoTCP{conn.RemoteAddr().Network()}
	}
	c := &peekedConn{TCPConn: tcp, r: bufio.NewReaderSize(tcp, peekBytes)}
	if err := tcp.SetReadDeadline(time.Now().Add(firstByteTimeout)); err != nil {
		return nil, 0, err
	}
	first, err := c.r.Peek(1)
	if err != nil {
		return nil, 0, err
	}
	return c, first[0], tcp.SetReadDeadline(time.Time{})
}
