package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/streamorigin"
)

// resume returns a request that takes up a stream that the request with the id began, after its second event.
func (f *fixture) resume(t *testing.T, began string) *http.Request {
	t.Helper()
	req := f.request(t, "POST", "/stream/", "b")
	req.Header.Set("X-Id", "later")
	req.Header.Set("Last-Event-Id", "2")
	if began != "" {
		req.Header.Set("X-Resumes", began)
	}
	return req
}

// A stream that a caller takes up goes on at the version that began it, also when the first server breaks it off again.
func TestTakenUpStreamKeepsItsVersion(t *testing.T) {
	f := newFixture(t, eventStream(3, 3, true), eventStream(3, 4, false), eventStream(9, 9, true), eventStream(5, 5, true))
	f.setVersions("v2", "v1", "v2", "v1")
	f.origins.Add("first", streamorigin.Origin{Pool: "p", Version: "v1"})
	status, body, _ := f.do(t, f.resume(t, "first"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "id: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n")
	_, ok := f.origins.Find("later")
	assert.Assert(t, !ok, "later attempts name the request that brought the first event")
}

// The request that brings a stream's first event is remembered with its server's version, whichever attempt at a server
// that was.
func TestBeginningOfStreamIsRemembered(t *testing.T) {
	f := newFixture(t, signedResponse(http.StatusInternalServerError, "failure"), eventStream(1, 2, true))
	f.setVersions("v1", "v2")
	f.do(t, f.request(t, "POST", "/stream/", "b"))
	origin, ok := f.origins.Find("r1")
	assert.Assert(t, ok)
	assert.Equal(t, origin, streamorigin.Origin{Pool: "p", Version: "v2"})
}

func TestStreamThatCannotGoOnIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		versions   []string
		began      string
		origin     streamorigin.Origin
		retryAfter bool
	}{
		"unknown request, two versions":  {[]string{"v1", "v2"}, "other", streamorigin.Origin{}, false},
		"no request named, two versions": {[]string{"v1", "v2"}, "", streamorigin.Origin{}, false},
		"version gone":                   {[]string{"v1", "v2"}, "first", streamorigin.Origin{Pool: "p", Version: "v0"}, false},
		"pool not the route's":           {[]string{"v1", "v2"}, "first", streamorigin.Origin{Pool: "engines", Version: "v1"}, false},
		"pool gone":                      {[]string{"v1", "v2"}, "first", streamorigin.Origin{Pool: "old", Version: "v1"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, eventStream(3, 4, true), eventStream(3, 4, true))
			f.setVersions(tc.versions...)
			f.origins.Add("first", tc.origin)
			status, body, h := f.do(t, f.resume(t, tc.began))
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Assert(t, strings.Contains(body, `"not_run":true`) && strings.Contains(body, `"stream_not_resumable"`), body)
			assert.Equal(t, h.Get("Retry-After") != "", tc.retryAfter)
			assert.Equal(t, f.received.Load(), int32(0))
		})
	}
}

// A stream that nobody remembers goes on if only one version can have begun it, and is refused as long as that isn't
// certain. The result holds for later take-ups.
func TestTakenUpStreamGoesOnAtOnlyVersion(t *testing.T) {
	for _, began := range []string{"other", ""} {
		f := newFixture(t, eventStream(3, 4, true), eventStream(3, 4, true))
		f.setVersions("v1", "v1")
		var results []string
		f.forwarder.ObserveTakeUp = func(result string) { results = append(results, result) }
		certain := f.forwarder.OnlyOrigin
		f.forwarder.OnlyOrigin = func(context.Context, string, string) (streamorigin.Origin, streamorigin.Answer) {
			return streamorigin.Origin{}, streamorigin.NotKnown
		}
		status, body, h := f.do(t, f.resume(t, began))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(body, `"not_run":true`) && strings.Contains(body, `"stream_not_resumable"`), body)
		assert.Assert(t, h.Get("Retry-After") != "")
		assert.Equal(t, f.received.Load(), int32(0))

		f.forwarder.OnlyOrigin = certain
		status, body, _ = f.do(t, f.resume(t, began))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, strings.Count(body, "data:"), 2)
		if began == "" {
			began = "later"
		}
		origin, ok := f.origins.Find(began)
		assert.Assert(t, ok)
		assert.Equal(t, origin, streamorigin.Origin{Pool: "p", Version: "v1"})

		f.setVersions("v1", "v2")
		status, _, _ = f.do(t, f.resume(t, began))
		assert.Equal(t, status, http.StatusOK, "the request that was taken up is remembered")
		assert.DeepEqual(t, results, []string{takeUpRefused, takeUpInferred, takeUpKnown})
	}
}

// An instance that reaches no server relays a take-up: the other one goes on only if it is certain itself, whatever the
// first one infers.
func TestRelayedTakeUpNeedsCertainty(t *testing.T) {
	for _, began := range []string{"other", ""} {
		other := newFixture(t, events(4, 0), events(4, 0))
		other.setVersions("v1", "v2")
		first := newPartitioned(t, other.relayServer(t))
		first.setVersions("v1")
		status, body, _ := first.do(t, first.resume(t, began))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Assert(t, strings.Contains(body, `"not_run":true`), body)
		assert.Equal(t, other.received.Load()+first.received.Load(), int32(0))

		other = newFixture(t, events(4, 0), events(4, 0))
		other.setVersions("v1", "v1")
		first = newPartitioned(t, other.relayServer(t))
		first.setVersions("v1")
		status, body, _ = first.do(t, first.resume(t, began))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, strings.Count(body, "data:"), 2)
	}
}

// A route with two pools may have begun the stream at either.
func TestUnknownStreamOfTwoPoolsIsRefused(t *testing.T) {
	f := newFixture(t, eventStream(3, 4, true))
	f.setVersions("v1")
	for n := range 8 {
		req := f.resume(t, "")
		req.URL.Path = "/both/"
		req.Header.Set("X-Id", fmt.Sprint("n", n))
		status, _, _ := f.do(t, req)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, f.received.Load(), int32(0))
}

// Servers go on after the event that a caller names also on a route without resumption, so that a request there is served only
// if one version can have begun its stream.
func TestTakeUpWithoutResumptionNeedsCertainty(t *testing.T) {
	for _, newer := range []string{"v1", "v2"} {
		f := newFixture(t, eventStream(3, 4, true), eventStream(3, 4, true))
		f.setVersions("v1", newer)
		req := f.resume(t, "other")
		req.URL.Path = "/fixed/"
		status, _, _ := f.do(t, req)
		want, received := http.StatusOK, int32(1)
		if newer != "v1" {
			want, received = http.StatusServiceUnavailable, 0
		}
		assert.Equal(t, status, want, newer)
		assert.Equal(t, f.received.Load(), received)
	}
}

// While all servers of the version are unreachable, the caller is told to come back.
func TestStreamWaitsForUnreachableServersOfItsVersion(t *testing.T) {
	f := newFixture(t, eventStream(3, 4, true), eventStream(3, 4, true))
	f.setVersions("v1", "v2")
	f.origins.Add("first", streamorigin.Origin{Pool: "p", Version: "v1"})
	for _, server := range f.forwarder.Registry.Servers() {
		if entry := server.Entry(); entry.Version == "v1" {
			entry.Address = "127.0.0.1:1"
			f.forwarder.Registry.Put(entry)
		}
	}
	status, body, h := f.do(t, f.resume(t, "first"))
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, `"not_run":true`), body)
	assert.Assert(t, h.Get("Retry-After") != "")
	assert.Equal(t, f.received.Load(), int32(0))
}

// Where it can make no difference, what began the stream needn't be known.
func TestStreamIsTakenUpWithoutKnownOrigin(t *testing.T) {
	f := newFixture(t, eventStream(3, 4, false), eventStream(5, 5, true))
	f.setVersions("v1", "v1")
	status, body, _ := f.do(t, f.resume(t, ""))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, strings.Count(body, "data:"), 3, "one version only: %s", body)

	f = newFixture(t, eventStream(1, 2, true), eventStream(1, 2, true))
	f.setVersions("v1", "v2")
	req := f.resume(t, "other")
	req.Header.Del("Last-Event-Id")
	status, body, _ = f.do(t, req)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, firstTwoEvents, "a caller without an event")

	f = newFixture(t, signedResponse(http.StatusOK, "answer"))
	req = f.request(t, "GET", "/repeat/", "")
	req.Header.Set("Last-Event-Id", "2")
	status, _, _ = f.do(t, req)
	assert.Equal(t, status, http.StatusOK, "no stream")
}

// Each pool has its own streams: the rest comes from the pool that began the stream, not from the one that the hash of
// the new request's id chooses.
func TestStreamGoesOnAtItsPool(t *testing.T) {
	f := newFixture(t, eventStream(3, 4, true))
	f.setVersions("v1")
	for i, pool := range []string{"p", "engines"} {
		began := fmt.Sprint("first", i)
		f.origins.Add(began, streamorigin.Origin{Pool: pool, Version: "v1"})
		for n := range 8 {
			req := f.resume(t, began)
			req.URL.Path = "/both/"
			req.Header.Set("X-Id", fmt.Sprint(i, "-", n))
			var server string
			f.onReceived = func(r *http.Request) { server = r.Header.Get("X-Server") }
			status, _, _ := f.do(t, req)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, server, map[string]string{"p": "s0", "engines": "e0"}[pool])
		}
	}
}
