package forward

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// cutStream returns a handler that sends events with some ids and a part of what follows, and breaks off.
func cutStream(part string, ids ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		idStream(regular, ids...)(w, r)
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

// A part that can't become an event kept a stream from ending where the next server has nothing to add.
func TestPartWithoutEventIsNotMissed(t *testing.T) {
	empty := idStream(regular)
	for part, isEvent := range map[string]bool{
		"\r": false, ":": false, ": he": false, ": here\n": false, "retry: 3000": false, "retry: 3000\n: a\n": false, "ret": false, "retry": false, "retry\r\n": false,
		"i": true, "id": true, "id: 4\n": true, "d": true, "event: e\n": true, "x-toucanroute-weight-versions: 7\n": true, "retry: 3000\nda": true, "retr:": true,
	} {
		broken := cutStream(part, "1", "2", "3")
		for name, f := range map[string]*fixture{
			"directly":        newOrderFixture(t, broken, empty),
			"a peer's server": newPartitioned(t, newOrderFixture(t, broken, empty).relayServer(t)),
			"two peers":       newPartitioned(t, rawPeer(t, broken), newOrderFixture(t, empty).relayServer(t)),
		} {
			_, got := f.stream(t, "")
			assert.Check(t, got == received{"1 2 3", !isEvent}, "%q, %s: %v", part, name, got)
		}
	}
}

// While attempts are left, each further server is asked for an event of which a part, or all but its empty line, was seen.
func TestCutEventIsBroughtByAnotherServer(t *testing.T) {
	whole, part := received{"1 2 3 4", true}, received{"1 2 3", false}
	empty, unproven, good := idStream(regular), unframedStream(1, 0), goOn(4)
	for _, text := range []string{"id: 4\nda", "id: 4\ndata: t4", "id: 4\ndata: t4\n", "data: t4\nid: 4\n"} {
		broken := cutStream(text, "1", "2", "3")
		for name, tc := range map[string]struct {
			f    *fixture
			want received
		}{
			"the next":           {newOrderFixture(t, broken, good), whole},
			"after one":          {newOrderFixture(t, broken, empty, good), whole},
			"after three":        {newOrderFixture(t, broken, empty, unproven, empty, good), whole},
			"a peer's server":    {newPartitioned(t, newOrderFixture(t, broken, empty, good).relayServer(t)), whole},
			"no server":          {newOrderFixture(t, broken, empty), part},
			"no attempt is left": {newFixture(t, broken, empty, good), part},
		} {
			_, got := tc.f.stream(t, "")
			assert.Check(t, got == tc.want, "%q, %s: %v", text, name, got)
		}
	}
}

// A server that goes on with the event inside which the run before it broke off was refused if ids had risen evenly by less.
func TestCutEventIsNoGap(t *testing.T) {
	whole, part := received{"2 4 6 9 10", true}, received{"2 4 6", false}
	even, good, later := []string{"2", "4", "6"}, idStream(regular, "9", "10"), idStream(regular, "10", "11")
	for name, tc := range map[string]struct {
		part    string
		further http.HandlerFunc
		want    received
	}{
		"cut after its id":         {"id: 9\nda", good, whole},
		"without its empty line":   {"x-toucanroute-weight-versions: 7\r\nid: 9\r\ndata: t9\r\n", good, whole},
		"id last":                  {"data: t9\nid:9\n", good, whole},
		"cut inside its id":        {"id: 9", good, part},
		"cut before its id":        {"data: t9\n", good, part},
		"between events":           {"", good, part},
		"a later event":            {"id: 9\nda", later, part},
		"an event before it":       {"id: 10\nda", good, part},
		"no number":                {"id: x\nda", good, part},
		"a number, then none":      {"id: 9\nid: x\nda", good, part},
		"id of an event before it": {"id: 6\nda", good, part},
	} {
		broken := cutStream(tc.part, even...)
		for path, f := range map[string]*fixture{
			"directly":        newOrderFixture(t, broken, tc.further),
			"a peer's server": newPartitioned(t, newOrderFixture(t, broken, tc.further).relayServer(t)),
			"two peers":       newPartitioned(t, rawPeer(t, broken), newOrderFixture(t, tc.further).relayServer(t)),
		} {
			_, got := f.stream(t, "")
			assert.Check(t, got == tc.want, "%s, %s: %v", name, path, got)
		}
	}
	_, got := newOrderFixture(t, cutStream("id: 13\nda", even...), cutStream("", "8"), idStream(regular, "13")).stream(t, "")
	assert.Check(t, got == received{"2 4 6 8", false}, "another run's part: %v", got)
}
