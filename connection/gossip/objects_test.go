package gossip

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// newListener returns a listener on a free loopback address.
func newListener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// sendWithoutEnd writes start and then bytes until the peer closes the connection, at most 512 MB.
func sendWithoutEnd(conn net.Conn, start string, sent *atomic.Int64) {
	_, err := io.WriteString(conn, start)
	for err == nil && sent.Load() < 512<<20 {
		var n int
		n, err = conn.Write(bytes.Repeat([]byte("x"), 8<<10))
		sent.Add(int64(n))
	}
}

func TestPeerReplyWithoutEndIsGivenUp(t *testing.T) {
	ln := newListener(t)
	var sent atomic.Int64
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		sendWithoutEnd(conn, `{"jsonrpc":"2.0","id":0,"result":{"i":"`, &sent)
	}()
	_, err := FetchStream(t.Context(), ln.Addr().String(), "98bc5edc25d169ff")
	assert.Assert(t, err != nil)
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes were read", sent.Load())
}

func TestPeerCallWithoutEndIsRefused(t *testing.T) {
	ln := newListener(t)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	ctx, cancel := context.WithCancel(t.Context())
	server := &Server{
		Listen: address, Log: zap.NewNop(),
		FindStream: func(id string) (wire.NewsStream, bool) { return wire.NewsStream{I: id, P: "p", V: "v1"}, id == "known" },
	}
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	var conn net.Conn
	for start := time.Now(); conn == nil && time.Since(start) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
		conn, _ = net.Dial("tcp", address)
	}
	defer func() { _ = conn.Close() }()
	var sent atomic.Int64
	sendWithoutEnd(conn, `{"jsonrpc":"2.0","id":0,"method":"stream","params":{"i":"`, &sent)
	assert.Assert(t, sent.Load() < 64<<20, "%d bytes were read", sent.Load())

	stream, err := FetchStream(t.Context(), address, "known")
	assert.NilError(t, err)
	assert.Equal(t, stream, wire.NewsStream{I: "known", P: "p", V: "v1"})
	_, err = FetchStream(t.Context(), address, "other")
	assert.ErrorContains(t, err, "isn't known here")
}
