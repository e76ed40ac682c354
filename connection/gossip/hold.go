package gossip

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"
)

const (
	// maxBytesInFlight bounds the replies with objects that are being sent at a time; a larger one is sent alone. They
	// take 52 ms on a link of 10 Mbit/s, for which requests to backend servers may wait.
	maxBytesInFlight = 64 << 10
	// maxSendTime is the time after which the caller has given up, so that the rest of a reply is dropped.
	maxSendTime = fetchTimeout
)

// inFlight counts the bytes of the replies on their way. A reply is on its way until its caller closes the connection:
// a write ends long before, in the buffers of the kernel.
type inFlight struct {
	bytes *semaphore.Weighted
	// maxTime is the time after which a connection that is still open is reset.
	maxTime time.Duration
}

func newInFlight(maxTime time.Duration) *inFlight {
	return &inFlight{bytes: semaphore.NewWeighted(maxBytesInFlight), maxTime: maxTime}
}

// hold is the part of inFlight that the replies on one connection take.
type hold struct {
	inFlight *inFlight
	conn     *net.TCPConn

	mu    sync.Mutex
	bytes int64
	reset *time.Timer
}

// add adds a reply of n bytes and returns false if there is no room for it. It resets the connection if the caller
// hasn't closed it within maxTime.
func (h *hold) add(n int) bool {
	bytes := min(int64(n), maxBytesInFlight)
	if !h.inFlight.bytes.TryAcquire(bytes) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += bytes
	if h.reset == nil {
		h.reset = time.AfterFunc(h.inFlight.maxTime, func() {
			// Drops what the kernel hasn't sent yet.
			_ = h.conn.SetLinger(0)
			_ = h.conn.Close()
		})
	}
	return true
}

// release ends the hold once the connection is closed.
func (h *hold) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reset != nil {
		h.reset.Stop()
	}
	h.inFlight.bytes.Release(h.bytes)
	h.bytes = 0
}

// callerIsGone reports whether the caller has closed the connection, as far as the kernel knows.
func callerIsGone(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	var isGone bool
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isGone = n <= 0 && err != unix.EAGAIN && err != unix.EINTR
	})
	return isGone || err != nil
}
