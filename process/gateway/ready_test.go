package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/toucanroute/toucanroute/process/platform/platformtest"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/version/settings"
	"github.com/toucanroute/toucanroute/wire"
)

// An instance isn't ready while callers can't connect to it.
func TestReadyInstanceAcceptsConnections(t *testing.T) {
	var store platformtest.Objects
	g := &Gateway{
		Log: zap.NewNop(), Platform: Platform{Store: store.Store("i")},
		Settings: &settings.Settings{Instance: "i", DataCentre: "dc", Forwarding: &wire.SettingsForwarding{
			DataCentres: []string{"dc"}, MemoryMb: 8192, LeaseMs: 3000, UsageWindowS: 5, UsageDelayS: 10, RetryWindowS: 10,
		}},
	}
	g.Settings.Listen.Callers, g.Settings.Listen.Peers = "127.0.0.1:0", "127.0.0.1:7000"
	g.build()
	table, err := hostroute.NewTable(hostroute.Config{Version: 1, Pools: []hostroute.Pool{{Name: "p"}}})
	assert.NilError(t, err)
	g.table.Store(table)
	g.registry.Reset(nil, false)
	go g.quarantineKeeper.Run(t.Context())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.quarantineKeeper.Ready() {
			return poll.Success()
		}
		return poll.Continue("the quarantines aren't read yet")
	}, poll.WithDelay(time.Millisecond))
	assert.Assert(t, !g.ready(), "ready before the listener for callers is open")
	close(g.configured)
	go func() { _ = g.serveCallers(t.Context()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.ready() {
			return poll.Success()
		}
		return poll.Continue("the listener isn't open yet")
	}, poll.WithDelay(time.Millisecond))
}
