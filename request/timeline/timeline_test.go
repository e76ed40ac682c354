package timeline

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Explains three failed requests from logs that were recorded in the users' test runs of doceluz-pedidos: two
// requests of the test day trouble-1, and one of a test day with five times its load.
func TestExplainRecordedRequests(t *testing.T) {
	for _, tc := range []struct {
		name, id, cause string
	}{
		{"broken_stream", "8193a8dffeb8d994", "Server i-429dfb69b6 broke off the stream."},
		{"lost_answer", "3ccb411c6c7ad8c7", "The request was sent and its answer was lost: it may have run."},
		{"refused", "fa3bbccb3300013d", "No backend server took the request."},
	} {
		t.Run(tc.name, func(t *testing.T) {
			timeline := findTimeline(t, tc.id, tc.name)
			var out bytes.Buffer
			assert.NilError(t, timeline.Write(&out))
			golden.Assert(t, out.String(), tc.name+".golden")
			assert.Assert(t, strings.Contains(out.String(), tc.cause))
		})
	}
}

func findTimeline(t *testing.T, id string, names ...string) *Timeline {
	t.Helper()
	var logs []Log
	for _, name := range names {
		f, err := os.Open("testdata/" + name + ".log")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = f.Close() })
		logs = append(logs, Log{Source: name, Reader: f})
	}
	timeline, err := Find(id, logs)
	assert.NilError(t, err)
	return timeline
}

// The lines of one request may be in the logs of several instances. Lines in another format, such as the text of a
// panic, are skipped.
func TestFindInSeveralLogs(t *testing.T) {
	logA := "time=2026-12-04T03:00:00.100Z level=info event=attempt_failed request_id=r1 server=s1 sent=false error=refused\n"
	logB := "panic: something else\ntime=2026-12-04T03:00:00.050Z level=info event=server_suspected server=s1\n" +
		"time=2026-12-04T03:00:00.050Z level=info event=server_suspected server=s2\n" +
		"time=2026-12-04T03:00:00.200Z level=info event=request request_id=r1 outcome=served status=200 total=0.1 sends=1 server=s1 first=0.05\n"
	timeline, err := Find("r1", []Log{{"a", strings.NewReader(logA)}, {"b", strings.NewReader(logB)}})
	assert.NilError(t, err)
	var events []string
	for _, l := range timeline.Lines {
		events = append(events, l.Source+" "+l.Event)
	}
	assert.DeepEqual(t, events, []string{"b server_suspected", "a attempt_failed", "b request"})
	assert.Equal(t, timeline.Skipped, 1)
	assert.DeepEqual(t, timeline.Explain(), []string{
		"Served by s1 after 1 attempt, first byte after 0.05 s.",
		"Server s1 couldn't be reached.",
		"Nothing was sent to server s1: refused.",
	})
}

// A request that was ended by the stop of its instance, and one that came too late.
func TestExplainStop(t *testing.T) {
	log := "time=2026-12-04T03:00:07.000Z level=info event=attempt_failed request_id=r1 server=s1 sent=true error=\"the instance is stopping\"\n" +
		"time=2026-12-04T03:00:07.001Z level=info event=request_refused request_id=r1 status=502 code=outcome_unknown not_run=false\n" +
		"time=2026-12-04T03:00:07.002Z level=info event=request_ended request_id=r1 cause=\"instance stopping\" status=502\n" +
		"time=2026-12-04T03:00:07.003Z level=info event=request request_id=r1 outcome=own_answer status=502 total=6.1 sends=1 server=s1\n" +
		"time=2026-12-04T03:00:03.000Z level=info event=request_refused request_id=r2 status=503 code=leaving not_run=true\n" +
		"time=2026-12-04T03:00:03.001Z level=info event=request request_id=r2 outcome=own_answer status=503 total=0.001\n"
	for id, want := range map[string][]string{
		"r1": {
			"Answered 502 by the instance itself after 6.1 s and 1 attempt.", "The answer of server s1 was lost: the instance is stopping.",
			"The request was sent and its answer was lost: it may have run.", "The instance stopped and ended the request.",
		},
		"r2": {"Answered 503 by the instance itself after 0.001 s and 0 attempts.", "The instance was stopping and took no more requests."},
	} {
		timeline, err := Find(id, []Log{{"a", strings.NewReader(log)}})
		assert.NilError(t, err)
		assert.DeepEqual(t, timeline.Explain(), want)
	}
}

// A stream whose attempts are used up, and one whose caller has left.
func TestExplainBrokenOffResponse(t *testing.T) {
	log := "time=2026-12-04T03:00:07.000Z level=info event=stream_interrupted request_id=r1 server=s2 last_event=7 error=\"unexpected EOF\"\n" +
		"time=2026-12-04T03:00:07.001Z level=info event=response_broken_off request_id=r1 reason=attempts server=s2\n" +
		"time=2026-12-04T03:00:07.002Z level=info event=request request_id=r1 outcome=broken_off status=200 total=2.1 sends=2 server=s2\n" +
		"time=2026-12-04T03:00:08.000Z level=info event=response_broken_off request_id=r2 reason= server=s2\n" +
		"time=2026-12-04T03:00:08.001Z level=info event=request request_id=r2 outcome=broken_off status=200 total=2.1 sends=1 server=s2\n"
	for id, want := range map[string][]string{
		"r1": {"The answer of s2 was broken off.", "Server s2 broke off the stream.", "No further attempt was made: attempts."},
		"r2": {"The answer of s2 was broken off."},
	} {
		timeline, err := Find(id, []Log{{"a", strings.NewReader(log)}})
		assert.NilError(t, err)
		assert.DeepEqual(t, timeline.Explain(), want)
	}
}

func TestFindUnknownRequest(t *testing.T) {
	_, err := Find("r9", []Log{{"a", strings.NewReader("")}})
	var unknown ErrNotFound
	assert.Assert(t, errors.As(err, &unknown))
	assert.Equal(t, unknown.ID, "r9")
}
