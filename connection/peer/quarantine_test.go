package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/wire"
)

// What one end reports of crashes reaches the other whole.
func TestQuarantineIsReported(t *testing.T) {
	p := newPair(t, nil)
	received := make(chan wire.News, 1)
	p.server.OnQuarantine = func(news wire.News) { received <- news }
	p.run(t)
	p.waitUp(t)
	sent := wire.News{
		Crashes:    []wire.NewsCrash{{Server: "e1.7", Pool: "chat", Parts: []string{"a", "b"}, AgeMs: 12}},
		Sound:      []string{"c"},
		Proven:     []string{"d"},
		Quarantine: []wire.NewsQuarantine{{Parts: []string{"a"}, Pool: "chat", Revision: 2, Crashes: 3, LeftMs: 5, PeriodMs: 6, Stored: true}},
	}
	assert.NilError(t, p.link.ReportQuarantine(t.Context(), sent))
	select {
	case got := <-received:
		assert.DeepEqual(t, got, sent)
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was received")
	}
}
