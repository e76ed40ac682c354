package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/wire"
)

// While another instance has a newer configuration or list of servers, this one can't tell what began a stream.
func TestNothingBeganCertainlyWhileOthersKnowMore(t *testing.T) {
	for name, tc := range map[string]struct {
		reported wire.News
		want     streamorigin.Answer
	}{
		"the same":            {wire.News{From: "other", Version: 1}, streamorigin.Several},
		"newer configuration": {wire.News{From: "other", Version: 2}, streamorigin.NotKnown},
		"newer servers":       {wire.News{From: "other", Version: 1, Servers: 5}, streamorigin.NotKnown},
	} {
		t.Run(name, func(t *testing.T) {
			g := newFuzzGateway(t)
			g.streamHistory.MarkComplete()
			g.receiveStatus(tc.reported)
			_, answer := g.onlyOrigin("h", "/")
			assert.Equal(t, answer, tc.want)
		})
	}
}
