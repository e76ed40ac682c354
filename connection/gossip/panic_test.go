package gossip

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// A datagram whose handling panics is dropped; the next ones are handled.
func TestPanicDropsOneDatagram(t *testing.T) {
	received := make(chan string, 64)
	s := &Socket{Listen: freeAddress(t), Log: zap.NewNop(), OnDatagram: func(data []byte) {
		if string(data) == "bad" {
			panic("bad datagram")
		}
		received <- string(data)
	}}
	go func() { assert.Check(t, s.Run(t.Context())) }()
	address := netip.MustParseAddrPort(s.Listen)
	for {
		s.Send(address, []byte("bad"))
		s.Send(address, []byte("good"))
		select {
		case data := <-received:
			assert.Equal(t, data, "good")
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// A call whose handling panics fails; the next one is answered.
func TestPanicFailsOneCall(t *testing.T) {
	s := &Server{
		Listen: freeAddress(t), Log: zap.NewNop(),
		ListObjects: func(string) (wire.ObjectList, bool) { panic("bad call") },
		FindStream:  func(id string) (wire.NewsStream, bool) { return wire.NewsStream{I: id, P: "p", V: "v"}, true },
	}
	go func() { assert.Check(t, s.Run(t.Context())) }()
	for _, err := FetchStream(t.Context(), s.Listen, "a"); err != nil; _, err = FetchStream(t.Context(), s.Listen, "a") {
		time.Sleep(10 * time.Millisecond)
	}
	_, err := FetchObjects(t.Context(), s.Listen, "servers", 0)
	assert.ErrorContains(t, err, "internal error")
	stream, err := FetchStream(t.Context(), s.Listen, "b")
	assert.NilError(t, err)
	assert.Equal(t, stream.I, "b")
}
