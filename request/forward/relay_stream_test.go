package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/process/streamorigin"
)

// A stream isn't given up when all servers count as unreachable and no instance is left to which it could be relayed.
func TestUnreachablePoolKeepsStreamWithoutRelay(t *testing.T) {
	var f *fixture
	f = newFixture(t, pausingStream(func() {
		time.Sleep(20 * time.Millisecond)
		f.suspect("s1")
		f.suspect("s0")
		time.Sleep(50 * time.Millisecond)
	}), idStream(betweenEvents))
	f.setMaxAttempts(t, 5)
	f.forwarder.FindRelay = func(string, map[string]bool) (string, bool) { return "", false }
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
}

// A begun stream that one instance doesn't go on with goes on at another one, or at the servers of this instance.
func TestRefusedRelayCutsNoStream(t *testing.T) {
	broken := idStream(betweenEvents, "1", "2", "3")
	stopping := func(t *testing.T) string {
		s := httptest.NewServer(http.HandlerFunc(newFixture(t, goOn(6)).forwarder.RefuseRelayed))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	for name, first := range map[string]func(t *testing.T) string{
		"stopping":       stopping,
		"without server": func(t *testing.T) string { return newOrderFixture(t).relayServer(t) },
		"unknown origin": func(t *testing.T) string {
			other := newFixture(t, goOn(6), goOn(6))
			other.setVersions("v1", "v2")
			return other.relayServer(t)
		},
		"lost there": func(t *testing.T) string {
			return newOrderFixture(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }).relayServer(t)
		},
	} {
		f := newOrderFixture(t, broken)
		f.relayAfterFirst(t, first(t), newOrderFixture(t, goOn(6)).relayServer(t))
		_, got := f.stream(t, "")
		assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%s, another instance is left: %v", name, got)

		f = newOrderFixture(t, broken, goOn(6))
		f.relayAfterFirst(t, first(t))
		_, got = f.stream(t, "")
		assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%s, a server is left: %v", name, got)

		f = newOrderFixture(t, broken)
		f.relayAfterFirst(t, first(t))
		_, got = f.stream(t, "")
		assert.Check(t, got == received{"1 2 3", false}, "%s, none is left: %v", name, got)
	}
}

// A relayed stream that breaks off goes on at this instance's servers of the version that began it.
func TestRelayedStreamReturnsToOwnServers(t *testing.T) {
	for name, isReachable := range map[string]bool{"reachable again": true, "no instance is left": false} {
		f := newFixture(t, idStream(regular, "4", "9"), goOn(6))
		f.setMaxAttempts(t, 5)
		f.setVersions("v2", "v1")
		f.origins.Add("r1", streamorigin.Origin{Pool: "p", Version: "v1"})
		peer := rawPeer(t, func(w http.ResponseWriter, r *http.Request) {
			for _, srv := range f.forwarder.Registry.Servers() {
				if isReachable {
					srv.Begin(0).End(registry.OutcomeAnswered)
				}
			}
			idStream(betweenEvents, "1", "2", "3")(w, r)
		})
		relaying := newPartitioned(t, peer).forwarder
		f.forwarder.FindRelay, f.forwarder.SendRelayed = relaying.FindRelay, relaying.SendRelayed
		f.markUnreachable()
		_, got := f.stream(t, "")
		assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%s: %v", name, got)
	}
}

// A stream that began here and went on at another instance still goes on at the servers of the version that began it.
func TestStreamReturnsFromRelay(t *testing.T) {
	f := newOrderFixture(t, idStream(betweenEvents, "1", "2"), idStream(regular, "4", "9"), goOn(6))
	f.setVersions("v1", "v2", "v1")
	f.relayAfterFirst(t, rawPeer(t, idStream(betweenEvents, "3", "4")))
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
}
