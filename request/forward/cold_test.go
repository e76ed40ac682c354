package forward

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/registry"
)

// makeCold has the server with the id stand one request a second of all instances, and uses up this instance's share.
func (f *fixture) makeCold(id string) {
	reg := f.forwarder.Registry
	reg.Cold = func(string) registry.ColdLimit { return registry.ColdLimit{Rate: 1} }
	for _, srv := range reg.Servers() {
		e := srv.Entry()
		if e.ID != id {
			continue
		}
		e.WarmupTime = time.Minute
		reg.Remove(id)
		reg.Put(e)
	}
	for _, srv := range reg.Servers() {
		if srv.Entry().ID == id {
			srv.TryBegin(0)
		}
	}
}

// A stream that broke off goes on although the only other server is cold and takes nothing at the moment.
func TestBegunStreamWaitsForColdServer(t *testing.T) {
	f := newFixture(t, eventStream(1, 2, false), eventStream(3, 4, true))
	f.makeCold("s1")
	start := time.Now()
	_, body, _ := f.do(t, f.request(t, http.MethodPost, "/stream/x", "b"))
	assert.Equal(t, body, "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\n")
	assert.Assert(t, time.Since(start) < 2*time.Second, "callers give up after two seconds")
}

// Where only cold servers are left, new requests beyond what they stand are refused at once, with the time at which a
// server takes one again. A server that isn't cold takes the rest.
func TestRequestsBeyondColdServersAreRefused(t *testing.T) {
	f := newFixture(t, signedResponse(http.StatusOK, "cold"))
	f.makeCold("s0")
	start, served := time.Now(), 0
	for range 6 {
		status, _, h := f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
		if status == http.StatusOK {
			served++
			continue
		}
		assert.Equal(t, status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 0 && seconds < 2, "%v s", seconds)
	}
	assert.Assert(t, served <= 1+int(time.Since(start)/time.Second), "%d of 6", served)

	f = newFixture(t, signedResponse(http.StatusOK, "cold"), signedResponse(http.StatusOK, "warm"))
	f.makeCold("s0")
	for range 6 {
		status, _, _ := f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
		assert.Equal(t, status, http.StatusOK)
	}
}

// Requests with homes reach only servers there, and are refused if none is left. A relayed request reaches none in a data
// centre that the first instance knows as evacuated.
func TestRequestStaysAtHome(t *testing.T) {
	f := newFixture(t, signedResponse(http.StatusOK, "north"), signedResponse(http.StatusOK, "south"))
	reg := f.forwarder.Registry
	for _, srv := range reg.Servers() {
		e := srv.Entry()
		e.DataCentre = map[byte]string{'0': "n", '1': "s"}[e.ID[1]]
		reg.Put(e)
	}
	f.forwarder.Regions = func() map[string]string { return map[string]string{"n": "north", "s": "south"} }
	table := f.forwarder.Table()
	route, ok := table.Route("h", "/once/x")
	assert.Assert(t, ok)
	for _, home := range []string{"north", "s"} {
		route.Homes = []string{home}
		for range 5 {
			_, body, _ := f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
			assert.Equal(t, body[0], home[0])
		}
	}
	route.Homes = []string{"nowhere"}
	status, _, h := f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assertLongRetryAfter(t, h)

	route.Homes = nil
	reg.SetEvacuated(map[string]bool{"n": true, "s": true})
	status, _, h = f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assertLongRetryAfter(t, h)
	reg.SetEvacuated(nil)

	relayed := f.relayServer(t)
	for _, evacuated := range []string{"n", "s"} {
		req := f.request(t, http.MethodPost, "/once/x", "b")
		req.URL.Host = relayed
		req.Header.Set(headerRelayWaited, "1")
		req.Header.Set(headerRelayEvacuated, evacuated)
		_, body, _ := f.do(t, req)
		assert.Equal(t, body, map[string]string{"n": "south", "s": "north"}[evacuated])
	}
}

// assertLongRetryAfter checks that a caller isn't told to come back at once, as if another instance could serve it.
func assertLongRetryAfter(t *testing.T, h http.Header) {
	t.Helper()
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 1, "%v s", seconds)
}

// A request with homes is relayed to no instance elsewhere; a relayed one tells which data centres are evacuated.
func TestRelayStaysAtHome(t *testing.T) {
	told := ""
	peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		told = r.Header.Get(headerRelayEvacuated)
		signedResponse(http.StatusOK, "relayed")(w, r)
	}))
	t.Cleanup(peer.Close)
	address := strings.TrimPrefix(peer.URL, "http://")
	f := newPartitioned(t, address)
	f.forwarder.Evacuated = func() []string { return []string{"n", "e"} }
	_, body, _ := f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
	assert.Equal(t, body, "relayed")
	assert.Equal(t, told, "n,e")

	f.forwarder.Regions = func() map[string]string { return map[string]string{"n": "north", "s": "south"} }
	f.forwarder.InstancesOutside = func(dataCentres map[string]bool) []string {
		assert.Check(t, len(dataCentres) == 1 && dataCentres["s"])
		return []string{address}
	}
	route, ok := f.forwarder.Table().Route("h", "/once/x")
	assert.Assert(t, ok)
	route.Homes = []string{"south"}
	_, body, _ = f.do(t, f.request(t, http.MethodPost, "/once/x", "b"))
	assert.Assert(t, body != "relayed", body)
}
