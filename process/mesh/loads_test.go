package mesh

import (
	"encoding/json"
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
