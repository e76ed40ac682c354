// Package gossip is the network layer of the gossip between forwarding instances: a UDP socket for small datagrams, and a
// JSON-RPC service that serves the objects of the platform's store to instances that can't reach the store.
package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"go.uber.org/zap"
)

// datagramBytes is the size of the largest datagram that can be received.
const datagramBytes = 16 << 10

// Socket sends and receives UDP datagrams. Set its exported fields before Run.
type Socket struct {
	// Listen is the IP address and port to listen on.
	Listen string
	Log    *zap.Logger
	// OnDatagram is called for each datagram. It must not retain data.
	OnDatagram func(data []byte)

	conn atomic.Pointer[net.UDPConn]
	sent atomic.Int64
}

// SentBytes returns the bytes of all datagrams that were sent.
func (s *Socket) SentBytes() int64 { return s.sent.Load() }

// Run receives datagrams until ctx ends.
func (s *Socket) Run(ctx context.Context) error {
	address, err := netip.ParseAddrPort(s.Listen)
	if err != nil {
		return err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return err
	}
	s.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buf := make([]byte, datagramBytes)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// After a send to a closed port of a peer, the next read returns an error.
			s.Log.Debug("datagram_not_read", zap.Error(err))
			continue
		}
		s.handle(buf[:n])
	}
}

// handle handles a datagram. A panic, which a datagram of another build may cause, drops that datagram only.
func (s *Socket) handle(data []byte) {
	defer func() {
		if r := recover(); r != nil {
			s.Log.Error("datagram_dropped", zap.Any("panic", r), zap.Int("bytes", len(data)), zap.Stack("stack"))
		}
	}()
	s.OnDatagram(data)
}

// Send sends a datagram, which may get lost. It does nothing before Run has opened the socket.
func (s *Socket) Send(to netip.AddrPort, data []byte) {
	conn := s.conn.Load()
	if conn == nil {
		return
	}
	if _, err := conn.WriteToUDPAddrPort(data, to); err != nil {
		s.Log.Debug("datagram_not_sent", zap.String("to", to.String()), zap.Error(err))
		return
	}
	s.sent.Add(int64(len(data)))
}
