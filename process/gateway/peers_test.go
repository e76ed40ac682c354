package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/version/hostroute"
	"github.com/toucanroute/toucanroute/wire"
)

// The work and the streams of one instance reach another one, and a datagram of an older build, which has none of the
// newer fields, counts as before.
func TestWorkloadsReachPeers(t *testing.T) {
	table, err := hostroute.NewTable(hostroute.Config{Version: 1, Pools: []hostroute.Pool{{Name: "p"}}})
	assert.NilError(t, err)
	sender := &Gateway{workloadMixes: map[string]*placement.WorkloadMix{}, shares: map[string]*placement.WorkspaceShares{}}
	receiver := &Gateway{workloadMixes: map[string]*placement.WorkloadMix{}, shares: map[string]*placement.WorkspaceShares{}}
	receiver.table.Store(table)
	mix := sender.workloadMix("p")
	for range 30 {
		mix.AddRequest(&placement.Prompt{Movable: true}, 6000)
		mix.Pace.ObserveBegin()
		mix.Pace.ObserveLate()
	}
	mix.DecidePace()
	data, err := json.Marshal(sender.ownWorkloads())
	assert.NilError(t, err)
	var received []wire.NewsMix
	assert.NilError(t, json.Unmarshal(data, &received))
	receiver.receiveWorkloads("sender", received)
	rates := receiver.workloadMix("p").TotalRates()
	assert.Assert(t, rates.Movable > 59_000 && rates.Movable == rates.LatencySensitive, "%+v", rates)

	own := receiver.workloadMix("p")
	own.DecidePace()
	time.Sleep(600 * time.Millisecond)
	change, ok := own.DecidePace()
	assert.Assert(t, ok && change.Split && change.Late == change.Began && change.Began > 9, "%+v", change)

	var old []wire.NewsMix
	assert.NilError(t, json.Unmarshal([]byte(`[{"s":"p","p":500,"h":700}]`), &old))
	receiver.receiveWorkloads("old", old)
	withOld := receiver.workloadMix("p").TotalRates()
	assert.Equal(t, withOld.DelayTolerant, 500.0)
	assert.Equal(t, withOld.Movable, rates.Movable)
	assert.Equal(t, old[0].G, int(placement.PaceUnknown))
}

// An instance to which requests have stopped coming follows the others when it tells its workloads, instead of telling an
// old decision. Negative rates of another instance count as none.
func TestIdleInstanceFollowsPace(t *testing.T) {
	table, err := hostroute.NewTable(hostroute.Config{Version: 1, Pools: []hostroute.Pool{{Name: "p"}}})
	assert.NilError(t, err)
	g := &Gateway{Log: zap.NewNop(), workloadMixes: map[string]*placement.WorkloadMix{}, shares: map[string]*placement.WorkspaceShares{}}
	g.table.Store(table)
	g.workloadMix("p").DecidePace()
	time.Sleep(200 * time.Millisecond)
	for _, name := range []string{"a", "b", "c"} {
		g.receiveWorkloads(name, []wire.NewsMix{{S: "p", P: -1e9, H: -1e9, R: -1e9, M: -1e9, G: int(placement.PaceSplit)}})
	}
	assert.Equal(t, g.ownWorkloads()[0].G, int(placement.PaceSplit))
	assert.Equal(t, g.workloadMix("p").TotalRates(), placement.WorkRates{})
}
