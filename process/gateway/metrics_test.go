package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/metrics"
	"github.com/toucanroute/toucanroute/process/registry"
)

// A server that is twice as fast has the same load with twice the requests.
func TestPoolLoad(t *testing.T) {
	states := []registry.State{
		{Running: 8, Slots: 8, Speed: 2, LoadAge: time.Second},
		{Running: 4, Slots: 8, Speed: 1, LoadAge: 3 * time.Second},
		{Running: 4, Slots: 8, LoadAge: -1},
	}
	assert.Equal(t, poolLoad("p", states), metrics.PoolLoad{Pool: "p", Spread: 1, ReportAge: 2 * time.Second})
	states[1].Running = 16
	assert.Equal(t, poolLoad("p", states).Spread, 2.0)
	assert.Equal(t, poolLoad("p", states[2:]).ReportAge, time.Duration(-1))
	assert.Equal(t, poolLoad("p", []registry.State{{}, {}}).Spread, 1.0)
}

// Servers that are draining or whose data centre is evacuated don't count as idle ones of their pool.
func TestPoolLoadWithoutEvacuatedServers(t *testing.T) {
	r := &registry.Registry{Log: zap.NewNop()}
	for _, e := range []registry.Entry{
		{ID: "a", Pool: "p", DataCentre: "one"},
		{ID: "b", Pool: "p", DataCentre: "two"},
		{ID: "c", Pool: "p", DataCentre: "one", Draining: true},
		{ID: "d", Pool: "q", DataCentre: "two"},
	} {
		r.Put(e)
	}
	for _, server := range r.Serving("p") {
		if server.Entry().ID == "a" {
			server.Begin(0)
		}
	}
	r.SetEvacuated(map[string]bool{"two": true})
	states := servingStates(r, time.Now())
	assert.Equal(t, poolLoad("p", states["p"]).Spread, 1.0)
	assert.Equal(t, len(states["p"]), 1)
	_, listed := states["q"]
	assert.Assert(t, listed)
}
