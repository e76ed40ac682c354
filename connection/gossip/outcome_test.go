package gossip

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// replyLog records what a server reports of its replies.
type replyLog struct {
	mu       sync.Mutex
	outcomes []ReplyOutcome
	bytes    int
}

func (l *replyLog) add(_ string, outcome ReplyOutcome, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes, l.bytes = append(l.outcomes, outcome), l.bytes+bytes
}

func (l *replyLog) take() (outcomes []ReplyOutcome, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	outcomes, bytes = l.outcomes, l.bytes
	l.outcomes, l.bytes = nil, 0
	return outcomes, bytes
}

// randomText returns n letters that can't be compressed to a small part.
func randomText(n int) string {
	text := make([]byte, n)
	for i := range text {
		text[i] = byte('A' + rand.N(26))
	}
	return string(text)
}

// Each call for objects is reported once, with why none were sent, and the bytes of those that were sent are about those on the
// network.
func TestRepliesAreReported(t *testing.T) {
	var log replyLog
	value, err := json.Marshal(randomText(20_000))
	assert.NilError(t, err)
	list := wire.ObjectList{Version: 7, Items: []wire.Object{{Name: "routes", Version: 7, Value: value}}}
	address := startServer(t, &Server{
		ListObjects: func(kind string) (wire.ObjectList, bool) { return list, kind == "config" },
		IsNewer:     func(_ string, version int) bool { return version < 7 },
		OnReply:     log.add, inFlight: newInFlight(time.Hour),
	})
	var m meter
	_, err = FetchObjects(t.Context(), m.start(t, address), "config", 6)
	assert.NilError(t, err)
	outcomes, bytes := log.take()
	assert.DeepEqual(t, outcomes, []ReplyOutcome{ReplySent})
	for start := time.Now(); m.replied.Load() == 0 && time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
		// The meter counts a connection once it has ended.
	}
	onNetwork := int(m.replied.Load())
	assert.Assert(t, bytes > 1000 && bytes <= onNetwork && bytes > onNetwork*9/10, "%d bytes reported, %d on the network", bytes, onNetwork)

	_, err = FetchObjects(t.Context(), address, "config", 7)
	assert.Assert(t, IsErrRefused(err), "%v", err)
	_, err = FetchObjects(t.Context(), address, "servers", 0)
	assert.Assert(t, err != nil)
	outcomes, bytes = log.take()
	assert.DeepEqual(t, outcomes, []ReplyOutcome{ReplyNotNewer, ReplyOutdated})
	assert.Equal(t, bytes, 0)

	for err = nil; err == nil; {
		_, err = openCall(t, address)
	}
	outcomes, _ = log.take()
	assert.Equal(t, outcomes[len(outcomes)-1], ReplyBusy)
}

// Datagrams that couldn't be sent don't count.
func TestSentDatagramsAreCounted(t *testing.T) {
	s := &Socket{Listen: freeAddress(t), Log: zap.NewNop(), OnDatagram: func([]byte) {}}
	peer, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	assert.NilError(t, err)
	defer func() { _ = peer.Close() }()
	to := peer.LocalAddr().(*net.UDPAddr).AddrPort()
	s.Send(to, make([]byte, 10))
	assert.Equal(t, s.SentBytes(), int64(0), "there is no socket yet")
	go func() { assert.Check(t, s.Run(t.Context())) }()
	for start := time.Now(); s.SentBytes() == 0 && time.Since(start) < 10*time.Second; time.Sleep(time.Millisecond) {
		s.Send(to, make([]byte, 300))
	}
	assert.Equal(t, s.SentBytes(), int64(300))
	s.Send(to, make([]byte, 1<<17))
	assert.Equal(t, s.SentBytes(), int64(300))
}
