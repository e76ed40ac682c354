package gateway

import (
	"testing"
	"time"

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
