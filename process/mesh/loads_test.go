package mesh

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// Work times reach the instances of the own data centre; what goes to others has not a byte more than without them.
func TestWorkTimesStayInTheDataCentre(t *testing.T) {
	loads := []wire.NewsLoad{{S: 1, R: 2, U: 3, W: 250}, {S: 4, R: 5, U: 6}}
	sent := map[netip.AddrPort][]byte{}
	m := &Mesh{
		Instance: "a", DataCentre: "near", Log: zap.NewNop(), FillStatus: func(*wire.News) {},
		Send: func(to netip.AddrPort, data []byte) { sent[to] = data },
	}
	near, far := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	m.peers = map[string]*peer{
		"b": {dataCentre: "near", address: near, received: time.Now()},
		"c": {dataCentre: "far", address: far, received: time.Now()},
	}
	m.sendStatus(time.Now(), loads, false)
	var datagram wire.News
	assert.NilError(t, json.Unmarshal(sent[near], &datagram))
	assert.DeepEqual(t, datagram.Loads, loads)
	withWorkTimes := sent[far]
	loads[0].W = 0
	m.sendStatus(time.Now(), loads, false)
	assert.Equal(t, string(withWorkTimes), string(sent[far]))
}

// Datagrams stay within 1,400 bytes, the usual size limit, with the largest loads and token rates; nothing is lost.
func TestDatagramsFitIntoPackets(t *testing.T) {
	var loads []wire.NewsLoad
	for i := range 65 {
		loads = append(loads, wire.NewsLoad{S: math.MaxUint32 - i, R: 9999, U: 9999, W: 9999})
	}
	var mix []wire.NewsMix
	for i := range 9 {
		n := wire.NewsMix{S: fmt.Sprintf("a-pool-with-a-long-name-%d", i), A: 1e9, B: 1e9, G: 2, H: 1e9, L: 1e9, M: 1e9, P: 1e9, R: 1e9}
		for range 4 {
			n.W = append(n.W, wire.NewsShare{K: math.MaxUint32, F: 1e9, U: 1e9})
		}
		mix = append(mix, n)
	}
	sentLoads, sentMix := 0, 0
	m := &Mesh{
		Instance: "an-instance-with-a-name", Run: "0123456789abcdef", DataCentre: "near", Log: zap.NewNop(),
		FillStatus: func(n *wire.News) {
			n.Unreachable = []string{"a-pool-with-a-long-name-1", "a-pool-with-a-long-name-2"}
			n.Version, n.Servers, n.ReportedMs = 1e9, 1e9, 1e13
		},
		LocalMix: func() []wire.NewsMix { return mix },
		Send: func(_ netip.AddrPort, data []byte) {
			assert.Assert(t, len(data) <= 1400, "%d bytes", len(data))
			var datagram wire.News
			assert.NilError(t, json.Unmarshal(data, &datagram))
			sentLoads, sentMix = sentLoads+len(datagram.Loads), sentMix+len(datagram.Mix)
		},
		peers: map[string]*peer{"b": {dataCentre: "near", address: netip.MustParseAddrPort("127.0.0.1:1"), received: time.Now()}},
	}
	m.sendStatus(time.Now(), loads, true)
	assert.Equal(t, sentLoads, len(loads))
	assert.Equal(t, sentMix, len(mix))
}
