package metrics

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestPageIsCurrent fails if the metric families have changed and the reference page hasn't; go test -update writes the
// page.
func TestPageIsCurrent(t *testing.T) {
	golden.Assert(t, MarkdownPage(), "../../../docs/METRICS.md")
}

// TestEveryMetricNameHasAFamily searches the source for metric names: each name must have a family, and each family
// must be used.
func TestEveryMetricNameHasAFamily(t *testing.T) {
	pattern := regexp.MustCompile(`"toucanroute_\w+|` + "`" + `toucanroute_\w+`)
	used := map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, name := range pattern.FindAllString(string(data), -1) {
			used[name[1:]] = true
		}
		return err
	})
	assert.NilError(t, err)
	listed := map[string]bool{}
	for _, f := range Families() {
		assert.Assert(t, !listed[f.Name], f.Name)
		listed[f.Name] = true
	}
	assert.DeepEqual(t, used, listed)
}

func TestWrittenMetricValues(t *testing.T) {
	m := New(func() Gauges {
		return Gauges{
			Running: 7, Slots: 12, Busy: 5, Waiting: 3, Live: 2, ConfigVersion: 4, KeyringVersion: 9,
			VersionsAge: -1, Fleet: Lease{Held: true, Fence: 6}, PeerDatagramBytes: 1400,
		}
	})
	m.Register()
	defer m.Unregister()
	m.ObserveRequest(Request{Class: "question", Result: "ok", FirstToken: 30 * time.Millisecond, Tokens: 5, LatePause: true})
	m.ObserveRequest(Request{Result: "refused", Reason: "key_invalid"})
	m.ObserveRequest(Request{Class: "question", Result: "failed", Reason: "server_failed", Wasted: 2})
	m.Grant("east-a", "granted")
	m.PeerReply("config", "sent", 300)
	m.PeerReply("config", "sent", 12)
	m.PeerReply("servers", "busy", 0)
	text := renderMetrics(m)
	for _, line := range []string{
		`toucanroute_requests_total{class="question",result="ok"} 1`,
		`toucanroute_requests_total{class="none",result="refused"} 1`,
		`toucanroute_request_errors_total{reason="key_invalid"} 1`,
		`toucanroute_first_token_seconds_bucket{class="question",le="0.025"} 0`,
		`toucanroute_first_token_seconds_bucket{class="question",le="0.05"} 1`,
		`toucanroute_late_pauses_total{class="question"} 1`,
		`toucanroute_tokens_delivered_total{class="question"} 5`,
		`toucanroute_tokens_wasted_total{class="question"} 2`,
		`toucanroute_grants_total{data_centre="east-a",result="granted"} 1`,
		`toucanroute_peer_replies_total{kind="config",result="sent"} 2`,
		`toucanroute_peer_replies_total{kind="servers",result="busy"} 1`,
		`toucanroute_peer_reply_bytes_total{kind="config"} 312`,
		`toucanroute_peer_datagram_bytes_total 1400`,
		`toucanroute_requests_running 7`,
		`toucanroute_members{state="live"} 2`,
		`toucanroute_versions_age_seconds -1`,
		`toucanroute_lease_held{job="fleet"} 1`,
		`toucanroute_lease_fence{job="fleet"} 6`,
		`toucanroute_lease_held{job="usage"} 0`,
	} {
		assert.Assert(t, strings.Contains(text, line+"\n"), "%s is not in\n%s", line, text)
	}
}

// TestSeriesAreBounded observes requests of more than MaxClasses classes and checks the number of time series.
func TestSeriesAreBounded(t *testing.T) {
	m := New(func() Gauges { return Gauges{} })
	for i := range 1200 {
		m.ObserveRequest(Request{Class: fmt.Sprint("class-", i), Result: "ok", FirstToken: time.Second, Tokens: 1, Wasted: 1})
	}
	perClass := 3 + len(firstTokenBounds) + len([]string{"+Inf", "sum", "count"})
	assert.Equal(t, strings.Count(renderMetrics(m), "\n"), (MaxClasses+1)*perClass)
}

// renderMetrics returns the metrics in the Prometheus text format.
func renderMetrics(m *Metrics) string {
	var b bytes.Buffer
	m.set.WritePrometheus(&b)
	return b.String()
}

func BenchmarkObserve(b *testing.B) {
	m := New(func() Gauges { return Gauges{} })
	r := Request{Class: "question", Result: "ok", FirstToken: time.Second, Tokens: 20}
	for b.Loop() {
		m.ObserveRequest(r)
		m.Grant("east-a", "granted")
	}
}
