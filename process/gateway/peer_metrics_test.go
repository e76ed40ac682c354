package gateway

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/connection/gossip"
)

// metricsOf returns the metrics of an instance in the Prometheus text format.
func metricsOf(g *Gateway) string {
	g.metrics.Register()
	defer g.metrics.Unregister()
	var b bytes.Buffer
	vm.WritePrometheus(&b, false)
	return b.String()
}

// The metrics of an instance tell which bytes it sent to others: about those that its link carried.
func TestMetricsTellOfBytesToOtherInstances(t *testing.T) {
	f := startLinkedFleet(t, 1, configFeedOf)
	_, err := f.store.Store("operator").Create(t.Context(), "config", "routes", routesOf(1))
	assert.NilError(t, err)
	f.waitForConfig(t, 1, time.Minute)
	g, link := f.instances[0], f.links[0]
	for range 3 {
		_, err := gossip.FetchObjects(t.Context(), g.mesh.Address, "config", 0)
		assert.NilError(t, err)
		// The next reply has room once the instance has seen the end of this connection.
		time.Sleep(100 * time.Millisecond)
	}
	m := regexp.MustCompile(`toucanroute_peer_reply_bytes_total\{kind="config"\} (\d+)`).FindStringSubmatch(metricsOf(g))
	assert.Assert(t, m != nil)
	told, err := strconv.ParseInt(m[1], 10, 64)
	assert.NilError(t, err)
	carried := link.replied.Load()
	t.Logf("the metrics tell of %d bytes, the link carried %d", told, carried)
	assert.Assert(t, told > 10_000 && told <= carried && told > carried*9/10, "the metrics tell of %d bytes, the link carried %d", told, carried)
}

// A caller that names kinds of objects at random adds no time series.
func TestUnknownKindsGetNoSeries(t *testing.T) {
	f := startLinkedFleet(t, 1, configFeedOf)
	g := f.instances[0]
	for i := range 100 {
		g.observePeerReply(fmt.Sprint("kind-", i), gossip.ReplyOutdated, 0)
	}
	g.observePeerReply("servers", gossip.ReplySent, 10)
	text := metricsOf(g)
	assert.Equal(t, strings.Count(text, "toucanroute_peer_replies_total{"), 2, "%s", text)
	assert.Assert(t, strings.Contains(text, `toucanroute_peer_replies_total{kind="other",result="outdated"} 100`+"\n"))
	assert.Assert(t, strings.Contains(text, `toucanroute_peer_reply_bytes_total{kind="servers"} 10`+"\n"))
}
