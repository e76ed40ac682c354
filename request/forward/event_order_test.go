package forward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// end says how a test server's stream ends.
type end int

const (
	regular end = iota
	// betweenEvents breaks the stream off after its last event, insideEvent after a part of a further one.
	betweenEvents
	insideEvent
)

// idStream returns a handler that sends events with some ids, whatever the request's Last-Event-Id; an empty id stands for
// an event that has none.
func idStream(how end, ids ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		for _, id := range ids {
			if id != "" {
				_, _ = io.WriteString(w, "id: "+id+"\n")
			}
			_, _ = io.WriteString(w, "data: t"+id+"\n\n")
			_ = http.NewResponseController(w).Flush()
		}
		if how == insideEvent {
			_, _ = io.WriteString(w, "id: 99\nda")
		}
		_ = http.NewResponseController(w).Flush()
		if how != regular {
			panic(http.ErrAbortHandler)
		}
	}
}

// idRange returns the ids from first to last.
func idRange(first, last int) []string {
	var ids []string
	for i := first; i <= last; i++ {
		ids = append(ids, strconv.Itoa(i))
	}
	return ids
}

// goOn returns a handler that sends the events after Last-Event-Id up to the last.
func goOn(last int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		lastID, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		idStream(regular, idRange(lastID+1, last)...)(w, r)
	}
}

// setMaxAttempts permits each request of the fixture that number of attempts.
func (f *fixture) setMaxAttempts(t *testing.T, n int) {
	t.Helper()
	cfg := testConfig()
	for i := range cfg.Routes {
		cfg.Routes[i].MaxAttempts = n
	}
	table, err := hostroute.NewTable(cfg)
	assert.NilError(t, err)
	f.forwarder.Table = func() *hostroute.Table { return table }
}

// newOrderFixture returns a fixture with the handlers that permits five attempts.
func newOrderFixture(t *testing.T, handlers ...http.HandlerFunc) *fixture {
	t.Helper()
	f := newFixture(t, handlers...)
	f.setMaxAttempts(t, 5)
	f.origins.Add("r1", streamorigin.Origin{Pool: "p"})
	return f
}

// rawPeer returns the address of an instance that passes on what the handler sends, without a look at its events.
func rawPeer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// received is what a caller gets of a stream.
type received struct {
	ids      string
	complete bool
}

// stream requests a stream, or takes one up after the event lastID if that isn't empty.
func (f *fixture) stream(t *testing.T, lastID string) (int, received) {
	t.Helper()
	return f.streamAt(t, "/stream/", lastID)
}

// streamAt does the same on the route of the path.
func (f *fixture) streamAt(t *testing.T, path, lastID string) (int, received) {
	t.Helper()
	req := f.request(t, http.MethodPost, path, "b")
	if lastID != "" {
		req.Header.Set("X-Id", "later")
		req.Header.Set("X-Resumes", "r1")
		req.Header.Set("Last-Event-Id", lastID)
	}
	status, body, _ := f.do(t, req)
	var ids []string
	for line := range strings.Lines(body) {
		if data, ok := strings.CutPrefix(line, "data: t"); ok {
			ids = append(ids, strings.TrimSpace(data))
		}
	}
	return status, received{ids: strings.Join(ids, " "), complete: !strings.Contains(body, "|")}
}

// Servers that ignore Last-Event-Id begin anew: their events aren't forwarded, and another server goes on with the
// stream.
func TestResumedStreamRepeatsNoEvent(t *testing.T) {
	whole, part := received{"1 2 3 4 5 6", true}, received{"1 2 3", false}
	broken, good := idStream(betweenEvents, idRange(1, 3)...), goOn(6)
	for first := 1; first <= 3; first++ {
		repeating := idStream(regular, idRange(first, 6)...)
		for name, tc := range map[string]struct {
			f    *fixture
			want received
		}{
			"another server goes on": {newOrderFixture(t, broken, repeating, good), whole},
			"several repeat":         {newOrderFixture(t, broken, repeating, repeating, good), whole},
			"no server is left":      {newOrderFixture(t, broken, repeating), part},
			"no attempt is left":     {newFixture(t, broken, repeating, good), part},
			"resumed twice":          {newOrderFixture(t, broken, idStream(regular, "4", "5", "4"), repeating, good), whole},
			"a peer's server":        {newPartitioned(t, newOrderFixture(t, broken, repeating, good).relayServer(t)), whole},
			"a second peer's server": {newPartitioned(t, rawPeer(t, broken), newOrderFixture(t, repeating, good).relayServer(t)), whole},
			"a second peer":          {newPartitioned(t, rawPeer(t, broken), rawPeer(t, repeating)), part},
		} {
			status, got := tc.f.stream(t, "")
			assert.Check(t, status == http.StatusOK && got == tc.want, "%s, from %d: %d %v", name, first, status, got)
		}
	}
}

// The caller of a stream that it takes up gets no event before or at the one that it names: another server goes on, or the
// caller learns that the answer was lost.
func TestTakenUpStreamRepeatsNoEvent(t *testing.T) {
	good := goOn(6)
	commentOnly := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, ": here\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for first := 1; first <= 3; first++ {
		repeating := idStream(regular, idRange(first, 6)...)
		for name, f := range map[string]*fixture{
			"another server goes on": newOrderFixture(t, repeating, good),
			"a peer's server":        newPartitioned(t, newOrderFixture(t, repeating, good).relayServer(t)),
			"a peer":                 newPartitioned(t, rawPeer(t, repeating), newOrderFixture(t, good).relayServer(t)),
			"after a comment only":   newOrderFixture(t, commentOnly, repeating, good),
		} {
			f.origins.Add("r1", streamorigin.Origin{Pool: "p"})
			status, got := f.stream(t, "3")
			assert.Check(t, status == http.StatusOK && got == received{"4 5 6", true}, "%s, from %d: %d %v", name, first, status, got)
		}
		for name, f := range map[string]*fixture{
			"no server is left":         newOrderFixture(t, repeating),
			"no attempt is left":        newFixture(t, repeating, repeating, good),
			"no server of a peer's":     newPartitioned(t, newOrderFixture(t, repeating).relayServer(t)),
			"no attempt at a peer left": newPartitioned(t, rawPeer(t, repeating), rawPeer(t, repeating)),
		} {
			f.origins.Add("r1", streamorigin.Origin{Pool: "p"})
			status, got := f.stream(t, "3")
			assert.Check(t, status == http.StatusBadGateway && got == received{"", true}, "%s, from %d: %d %v", name, first, status, got)
		}
		f := newOrderFixture(t, repeating, good)
		f.setVersions("v1", "v1")
		req := f.request(t, http.MethodPost, "/fixed/", "b")
		req.Header.Set("Last-Event-Id", "3")
		status, body, _ := f.do(t, req)
		assert.Check(t, status == http.StatusBadGateway && strings.Contains(body, `"not_run":false`), "from %d: %d %s", first, status, body)
		assert.Check(t, f.received.Load() == 1, "a route without resumption")
	}
}

// A server that goes on after a later event than the caller's last one leaves a gap. It shows if the ids rose evenly so far.
func TestResumedStreamHasNoGap(t *testing.T) {
	whole, part := received{"1 2 3 4 5 6", true}, received{"1 2 3", false}
	broken, good := idStream(betweenEvents, "1", "2", "3"), goOn(6)
	for name, tc := range map[string]struct {
		f    *fixture
		want received
	}{
		"one event":            {newOrderFixture(t, broken, idStream(regular, "5", "6"), good), whole},
		"three events":         {newOrderFixture(t, broken, idStream(regular, "7"), good), whole},
		"after a second break": {newOrderFixture(t, broken, idStream(regular, "4", "4"), idStream(regular, "6"), good), whole},
		"ids in tens": {
			newOrderFixture(t, idStream(betweenEvents, "10", "20", "30"), idStream(regular, "50"), idStream(regular, "40", "50")),
			received{"10 20 30 40 50", true},
		},
		"no other server": {newOrderFixture(t, broken, idStream(regular, "5", "6")), part},
		"a peer's server": {newPartitioned(t, rawPeer(t, broken), newOrderFixture(t, idStream(regular, "5", "6")).relayServer(t)), part},
	} {
		_, got := tc.f.stream(t, "")
		assert.Check(t, got == tc.want, "%s: %v", name, got)
	}
}

// Ids may rise by more than one, and unevenly.
func TestIncreasingIDsAreResumed(t *testing.T) {
	for name, tc := range map[string]struct{ before, after []string }{
		"in tens":       {[]string{"10", "20", "30"}, []string{"40", "50"}},
		"smaller steps": {[]string{"10", "20", "30"}, []string{"31"}},
		"unevenly":      {[]string{"1", "4", "5"}, []string{"9", "30"}},
		"one event":     {[]string{"3"}, []string{"9", "10"}},
		"two events":    {[]string{"3", "4"}, []string{"6"}},
		"64 bits":       {[]string{"18446744073709551613", "18446744073709551614"}, []string{"18446744073709551615"}},
		"leading zeros": {[]string{"08", "09"}, []string{"10"}},
		"from 0":        {[]string{"0"}, []string{"1"}},
		"longer":        {[]string{"9"}, []string{"10", "11", "100"}},
		"none between":  {[]string{"1", "", "2"}, []string{"3", "", "4"}},
	} {
		for _, comment := range []string{"", ": here\n\n\n"} {
			f := newOrderFixture(t, idStream(insideEvent, tc.before...), func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("X-Signed", "1")
				_, _ = io.WriteString(w, comment)
				idStream(regular, tc.after...)(w, r)
			})
			_, got := f.stream(t, "")
			want := received{strings.Join(slices.Concat(tc.before, tc.after), " "), true}
			assert.Check(t, got == want, "%s: %v", name, got)
			assert.Check(t, f.received.Load() == 2, name)
		}
	}
}

// A server whose ids go back sends parts of another run, whether it goes on with a stream or began it.
func TestIDsThatGoBackEndRun(t *testing.T) {
	whole, part := received{"1 2 3 4 5 6", true}, received{"1 2 3", false}
	broken, good := idStream(betweenEvents, "1", "2", "3"), goOn(6)
	for name, tc := range map[string]struct {
		f    *fixture
		want received
	}{
		"resumed, to its first":      {newOrderFixture(t, broken, idStream(regular, "4", "5", "4", "5", "6"), good), whole},
		"resumed, before its own":    {newOrderFixture(t, broken, idStream(regular, "4", "5", "2", "3", "4", "5", "6"), good), whole},
		"resumed, to the first":      {newOrderFixture(t, broken, idStream(regular, "4", "5", "1", "2", "3", "4", "5", "6"), good), whole},
		"begun, to an earlier one":   {newOrderFixture(t, idStream(regular, "1", "2", "3", "2", "3", "4", "5", "6"), good), whole},
		"begun, the same twice":      {newOrderFixture(t, idStream(regular, "1", "2", "2", "3", "4", "5", "6"), good), whole},
		"begun, to the first":        {newOrderFixture(t, idStream(regular, "1", "2", "3", "1", "2", "3", "4", "5", "6"), good), whole},
		"begun, at a peer":           {newPartitioned(t, rawPeer(t, idStream(regular, "1", "2", "1", "2")), newOrderFixture(t, good).relayServer(t)), whole},
		"no other server":            {newOrderFixture(t, idStream(regular, "1", "2", "3", "2", "3", "4")), part},
		"after an id without number": {newOrderFixture(t, idStream(regular, "1", "2", "x", "2", "3"), good), received{"1 2 x", false}},
		"the same without number":    {newOrderFixture(t, idStream(regular, "a", "b", "b", "c"), good), received{"a b", false}},
	} {
		_, got := tc.f.stream(t, "")
		assert.Check(t, got == tc.want, "%s: %v", name, got)
	}
	f := newOrderFixture(t, idStream(regular, "1", "2", "3", "2", "3", "4"), good)
	_, body, _ := f.do(t, f.request(t, http.MethodPost, "/fixed/", "b"))
	assert.Check(t, strings.HasPrefix(body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n|"), body)
	assert.Check(t, f.received.Load() == 1, "a route without resumption")
}

// Whether a server goes on after an event shows only if both have numbers for ids.
func TestStreamWithoutNumbersIsNotJoined(t *testing.T) {
	for name, tc := range map[string]struct {
		before, after []string
		want          string
	}{
		"letters":                 {[]string{"a", "b", "c"}, []string{"a", "b", "c", "d"}, "a b c"},
		"then letters":            {[]string{"1", "2", "3"}, []string{"a", "b"}, "1 2 3"},
		"then none":               {[]string{"1", "2", "3"}, []string{"", "", "4"}, "1 2 3"},
		"letters last":            {[]string{"1", "2", "c"}, []string{"4", "5"}, "1 2 c"},
		"last event without id":   {[]string{"1", "2", ""}, []string{"", "3"}, "1 2 "},
		"negative":                {[]string{"-3", "-2"}, []string{"-3", "-2", "-1"}, "-3 -2"},
		"more than 64 bits":       {[]string{"18446744073709551617"}, []string{"2"}, "18446744073709551617"},
		"more than 64 bits, then": {[]string{"1", "2"}, []string{"18446744073709551617"}, "1 2"},
	} {
		_, got := newOrderFixture(t, idStream(betweenEvents, tc.before...), idStream(regular, tc.after...)).stream(t, "")
		assert.Check(t, got == received{tc.want, false}, "%s: %v", name, got)
	}
	f := newOrderFixture(t, idStream(regular, "a", "b", "c", "d"))
	status, got := f.stream(t, "c")
	assert.Check(t, status == http.StatusServiceUnavailable && got == received{"", true}, "taken up: %d %v", status, got)
	assert.Check(t, f.received.Load() == 0, "taken up")
}

// What one server sends in one run needs no numbers.
func TestRunWithoutNumbersPasses(t *testing.T) {
	for _, ids := range [][]string{{"a", "b", "c"}, {"", "", ""}, {"1", "", "2", "", "", "3"}, {"b", "a"}, {"", "1"}, {"1", "2", ""}, {"1", "9", "10"}} {
		_, got := newOrderFixture(t, idStream(regular, ids...)).stream(t, "")
		assert.Check(t, got == received{strings.Join(ids, " "), true}, "%q: %v", ids, got)
	}
}

// A server that has nothing to add may say that the stream has ended with the caller's last event, unless a part of a
// further event was seen.
func TestResumedStreamThatEndsAtOnce(t *testing.T) {
	empty := idStream(regular)
	for how, want := range map[end]received{betweenEvents: {"1 2 3", true}, insideEvent: {"1 2 3", false}} {
		broken := idStream(how, "1", "2", "3")
		for name, f := range map[string]*fixture{
			"directly":        newOrderFixture(t, broken, empty),
			"a peer's server": newPartitioned(t, newOrderFixture(t, broken, empty).relayServer(t)),
			"two peers":       newPartitioned(t, rawPeer(t, broken), newOrderFixture(t, empty).relayServer(t)),
		} {
			_, got := f.stream(t, "")
			assert.Check(t, got == want, "%s, break %d: %v", name, how, got)
		}
	}
	_, got := newOrderFixture(t, idStream(insideEvent, "1", "2", "3"), empty, goOn(6)).stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "another server goes on: %v", got)
	_, got = newOrderFixture(t, idStream(insideEvent, "1", "2", "3"), idStream(regular, "4", "4"), empty).stream(t, "")
	assert.Check(t, got == received{"1 2 3 4", true}, "the event came: %v", got)
}

// Text that is no event isn't a part of an event that the next server would have to bring.
func TestRejectedTextIsNoPartOfEvent(t *testing.T) {
	text := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "out of memory\n\n")
	}
	for how, want := range map[end]received{betweenEvents: {"1 2 3", true}, insideEvent: {"1 2 3", false}} {
		broken, empty := idStream(how, "1", "2", "3"), idStream(regular)
		for name, f := range map[string]*fixture{
			"directly":        newOrderFixture(t, broken, text, empty),
			"a peer's server": newPartitioned(t, newOrderFixture(t, broken, text, empty).relayServer(t)),
		} {
			_, got := f.stream(t, "")
			assert.Check(t, got == want, "%s, break %d: %v", name, how, got)
		}
	}
}

// A server that repeats events is cancelled at its first one.
func TestRepeatingServerIsCancelled(t *testing.T) {
	cancelled := make(chan struct{})
	f := newOrderFixture(t, idStream(betweenEvents, "1", "2", "3"), func(w http.ResponseWriter, r *http.Request) {
		defer close(cancelled)
		idStream(regular, "1")(w, r)
		<-r.Context().Done()
	}, goOn(6))
	f.forwarder.StallTimeout = 3 * time.Second
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the server still runs the request")
	}
}

// A rejected run is logged with the ids, and its server counts as failing.
func TestRejectedRunIsLogged(t *testing.T) {
	f := newOrderFixture(t, idStream(betweenEvents, "1", "2", "3"), idStream(regular, "2", "3", "4"))
	core, logs := observer.New(zap.InfoLevel)
	f.forwarder.Log = zap.New(core)
	_, got := f.stream(t, "")
	assert.Equal(t, got, received{"1 2 3", false})
	lines := logs.FilterMessage("stream_run_rejected").All()
	assert.Equal(t, len(lines), 1)
	fields := lines[0].ContextMap()
	for name, want := range map[string]any{"request_id": "r1", "server": "s1", "begun": true, "last_event": "3", "next_event": "2", "reason": "not_higher"} {
		assert.Check(t, fields[name] == want, "%s: %v", name, fields[name])
	}
	assert.Equal(t, logs.FilterMessage("stream_resumed").Len(), 0)
	for _, server := range f.forwarder.Registry.Serving("p") {
		if server.Entry().ID == "s1" {
			assert.Assert(t, server.State(time.Now()).FailureRate > 0)
		}
	}
}

// A response that only the end of its connection ends is reset after a rejected run.
func TestRejectedRunResetsUnframedResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		version string
		servers []http.HandlerFunc
	}{
		"HTTP/1.0":          {"HTTP/1.0", []http.HandlerFunc{eventStream(1, 2, false), eventStream(1, 3, true)}},
		"unframed":          {"HTTP/1.1", []http.HandlerFunc{streamsCutInsideEvent["end of the connection"], eventStream(1, 3, true)}},
		"unframed, go back": {"HTTP/1.1", []http.HandlerFunc{rawResponse(unframedStreamHead+firstTwoEvents+firstTwoEvents, false)}},
	} {
		f := newFixture(t, tc.servers...)
		resp, body, err := f.rawExchange(t, "/stream/", tc.version)
		assert.Check(t, isUnframed(resp), name)
		assert.Check(t, body == firstTwoEvents, "%s: %q", name, body)
		var opErr *net.OpError
		assert.Check(t, errors.As(err, &opErr), "%s: %v", name, err)
	}
}

// A caller that takes a stream up after an event that it can't have doesn't make the servers count as failing.
func TestWrongLastEventIDBlamesNoServer(t *testing.T) {
	f := newOrderFixture(t, idStream(regular, idRange(1, 3)...), idStream(regular, idRange(1, 3)...))
	status, got := f.stream(t, "99")
	assert.Assert(t, status == http.StatusBadGateway && got.ids == "", "%d %v", status, got)
	for _, srv := range f.forwarder.Registry.Servers() {
		assert.Check(t, srv.State(time.Now()).FailureRate == 0, "%s: %v", srv.Entry().ID, srv.State(time.Now()).FailureRate)
	}
}

// A further run may frame its events otherwise, and begin with lines that are no piece of the stream. The weight version stands
// on an event's first line where it changes.
func TestFurtherRunInOtherFormIsJoined(t *testing.T) {
	for name, text := range map[string]string{
		"CRLF":               "id: 4\r\ndata: t4\r\n\r\nid: 5\r\ndata: t5\r\n\r\n",
		"weight version":     "x-toucanroute-weight-versions: 7\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n",
		"id last":            "data: t4\nid: 4\n\ndata: t5\nid: 5\n\n",
		"no space":           "id:4\ndata: t4\n\nid:5\ndata: t5\n\n",
		"spaces":             "id:  4 \ndata: t4\n\nid: 5\t\ndata: t5\n\n",
		"leading zeros":      "id: 004\ndata: t4\n\nid: 005\ndata: t5\n\n",
		"retry first":        "retry: 3000\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n",
		"event first":        "event: hello\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n",
		"comments":           ":\n\n: a\n: b\n\nid: 4\n: c\ndata: t4\n\n:\n\nid: 5\ndata: t5\n\n:\n\n",
		"empty lines":        "\n\r\n\nid: 4\ndata: t4\n\n\n\nid: 5\ndata: t5\n\n",
		"several data lines": "id: 4\nevent: token\ndata: t4\ndata:\n\nid: 5\ndata: t5\n\n",
		"last without id":    "id: 4\ndata: t4\n\nid: 5\ndata: t5\n\ndata: [DONE]\n\n",
		"end with an id":     "id: 4\ndata: t4\n\nid: 5\ndata: t5\n\nevent: end\nid: 6\n\n",
	} {
		further := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "1")
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, text)
		}
		for _, how := range []end{betweenEvents, insideEvent} {
			broken := idStream(how, "1", "2", "3")
			for path, f := range map[string]*fixture{
				"directly":        newOrderFixture(t, broken, further),
				"a peer's server": newPartitioned(t, newOrderFixture(t, broken, further).relayServer(t)),
				"two peers":       newPartitioned(t, rawPeer(t, broken), newOrderFixture(t, further).relayServer(t)),
			} {
				_, got := f.stream(t, "")
				assert.Check(t, got == received{"1 2 3 4 5", true}, "%s, %s, break %d: %v", name, path, how, got)
			}
		}
		f := newOrderFixture(t, further)
		_, got := f.stream(t, "3")
		assert.Check(t, got == received{"4 5", true}, "%s, taken up: %v", name, got)
	}
}

// Where the network divides what a further server sends makes no difference.
func TestFurtherRunInPartsIsJoined(t *testing.T) {
	for name, parts := range map[string][]string{
		"all at once":          {"id: 4\ndata: t4\n\nid: 5\ndata: t5\n\n"},
		"two events and a bit": {"id: 4\ndata: t4\n\nid: 5\ndata: t5\n\n: he", "re\n\n"},
		"inside a line end":    {"id: 4\r", "\ndata: t4\r\n\r", "\nid: 5\r\ndata: t5\r\n\r", "\n"},
		"inside the version":   {"x-toucanroute-weight-", "versions: 7\nid: 4\ndata: t4\n", "\nid: 5\ndata: t5\n\n"},
		"inside an id":         {"id: ", "4\ndata: t4\n\nid: 5", "\ndata: t5\n\n"},
		"after a comment":      {": a\n", "\nretry: 3000\n", "\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n"},
	} {
		further := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Signed", "1")
			w.Header().Set("Content-Type", "text/event-stream")
			for _, part := range parts {
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Millisecond)
			}
		}
		for _, how := range []end{betweenEvents, insideEvent} {
			_, got := newOrderFixture(t, idStream(how, "1", "2", "3"), further).stream(t, "")
			assert.Check(t, got == received{"1 2 3 4 5", true}, "%s, break %d: %v", name, how, got)
		}
	}
}
