package gateway

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

// newFuzzGateway returns a gateway with a configuration and some servers that runs nothing.
func newFuzzGateway(tb testing.TB) *Gateway {
	tb.Helper()
	g := &Gateway{Log: zap.NewNop(), Settings: &settings.Settings{
		Instance: "a", DataCentre: "d", Listen: wire.SettingsListen{Peers: "127.0.0.1:1"},
		Forwarding: &wire.SettingsForwarding{DataCentres: []string{"d"}, UsageWindowS: 1, UsageDelayS: 1, RetryRatio: 0.2, RetryWindowS: 10, MemoryMb: 128},
	}}
	g.build()
	table, err := hostroute.NewTable(hostroute.Config{
		Version: 1, Pools: []hostroute.Pool{{Name: "p"}},
		Routes: []hostroute.Route{{Name: "r", Host: "h", Prefix: "/", Kind: hostroute.Stream, Resumable: true, Shares: []hostroute.Share{{Pool: "p", Weight: 1}}, MaxAttempts: 1}},
	})
	if err != nil {
		tb.Fatal(err)
	}
	g.table.Store(table)
	g.streamHistory.SetRoutes(table.Routes())
	g.registry.Reset([]registry.Entry{
		{ID: "s1", Address: "127.0.0.1:2", Pool: "p", DataCentre: "d", Version: "v1", Slots: 4},
		{ID: "s2", Address: "127.0.0.1:3", Pool: "p", DataCentre: "e", Version: "v2", Slots: 4},
	}, false)
	return g
}

// FuzzDatagram has a gateway receive any datagram and then do what rests on what datagrams say.
func FuzzDatagram(f *testing.F) {
	g := newFuzzGateway(f)
	server := g.registry.Servers()[0]
	defer server.Begin(10).End(registry.OutcomeCallerGone)
	hash := g.registry.LocalLoads(true)[0].S
	for _, seed := range []string{``, `{`, `[]`, `null`, `{"from":"b","run":"b.1","data_centre":"e","address":"x"}`} {
		f.Add([]byte(seed))
	}
	for _, fields := range []string{
		`"version":9,"servers":99,"reads":true,"leaving":true,"store_out":true,"lease":7,"reported_ms":-1,"unreachable":["p",""]`,
		fmt.Sprintf(`"loads":[{"s":%d,"r":-9223372036854775808,"u":9223372036854775807,"f":true},{"s":0,"r":0,"u":0}]`, hash),
		`"mix":[{"s":"p","p":-1,"h":9223372036854775807,"r":-5},{"s":"q","p":0,"h":0,"r":0}]`,
		`"counts":[{"start_ms":-1,"counts":{"":-1,"alba":9223372036854775807}},{"start_ms":9223372036854775807,"counts":{}}]`,
		`"streams":[{"i":"x","p":"p","v":"v1"},{"i":"","p":"","v":""}]`,
		`"quarantine":[{"o":"p","p":[""],"r":-1,"m":-9223372036854775808,"d":9223372036854775807},{"o":"","p":["x","x"],"r":9223372036854775807,"m":1,"d":1}]`,
		`"crashes":[{"s":"s1","o":"p","p":[],"a":-1},{"s":"","o":"","p":["x","y"],"a":9223372036854775807}],"sound":["",""],"proven":["x"]`,
		fmt.Sprintf(`"limits":[{"s":%d,"r":1e308,"a":-1},{"s":%d,"r":-1,"a":9223372036854775807}]`, hash, hash),
	} {
		f.Add([]byte(`{"from":"b","run":"b.1","data_centre":"e","address":"127.0.0.1:9",` + fields + `}`))
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		g.mesh.Receive(data)
		now := time.Now()
		for _, server := range g.registry.Usable("p", registry.Selection{}) {
			server.State(now)
		}
		g.registry.SlotOwners("p")
		g.registry.NextOpening("p", registry.Selection{})
		g.mesh.Relay("p", nil)
		g.mesh.ReaderAddresses()
		g.mesh.StreamSources("x")
		g.recentOutage()
		g.ownWorkloads()
		g.workloadMix("p").DelayTolerantShare(2)
		g.usageCounter.RecentCounts()
		g.quarantine.Status()
		g.Status()
	})
}

// FuzzStreamOrigins has a gateway take over any record of what may have begun streams.
func FuzzStreamOrigins(f *testing.F) {
	for _, seed := range []string{``, `{}`, `{"era":-1,"pools":{"p":["v1",""]},"routes":{"r":["p","q"],"":[]}}`, `{"pools":null,"routes":{"r":null}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := newFuzzGateway(t)
		var record wire.StreamOriginsRecord
		if json.Unmarshal(data, &record) != nil {
			return
		}
		g.streamHistory.Merge(record)
		g.streamHistory.MarkComplete()
		g.onlyOrigin(t.Context(), "h", "/")
		g.streamHistory.Record(0)
	})
}
