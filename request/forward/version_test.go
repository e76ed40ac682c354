package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// setVersions sets the software versions of the servers, in the order of the fixture's handlers.
func (f *fixture) setVersions(versions ...string) {
	for _, server := range f.forwarder.Registry.Servers() {
		entry := server.Entry()
		entry.Version = versions[int(entry.ID[1]-'0')]
		f.forwarder.Registry.Put(entry)
	}
}

// What two software versions write doesn't fit together, so only servers of the version that began a stream go on with
// it.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	f := newFixture(t, eventStream(1, 2, false), eventStream(3, 4, true), eventStream(3, 9, true))
	f.setVersions("v1", "v2", "v1")
	_, body, _ := f.do(t, f.request(t, "POST", "/stream/", "b"))
	assert.Equal(t, strings.Count(body, "data:"), 9, body)
	assert.Equal(t, f.received.Load(), int32(2))
}

func TestStreamWithoutServerOfItsVersionIsInterrupted(t *testing.T) {
	f := newFixture(t, eventStream(1, 2, false), eventStream(3, 4, true))
	f.setVersions("v1", "v2")
	_, body, _ := f.do(t, f.request(t, "POST", "/stream/", "b"))
	events, _, interrupted := strings.Cut(body, "|")
	assert.Assert(t, interrupted, body)
	assert.Equal(t, events, firstTwoEvents)
	assert.Equal(t, f.received.Load(), int32(1))
}

// Before its first event a stream may begin anew at any version.
func TestStreamWithoutEventBeginsAtAnyVersion(t *testing.T) {
	f := newFixture(t, signedResponse(http.StatusInternalServerError, "failure"), eventStream(1, 2, true))
	f.setVersions("v1", "v2")
	status, body, _ := f.do(t, f.request(t, "POST", "/stream/", "b"))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, firstTwoEvents)
}

// What an engine has cached is read by engines of its own software version only. One engine is leaving, so that the
// others fetch what it has.
func TestCachedPromptIsFetchedWithinAVersion(t *testing.T) {
	for name, tc := range map[string]struct {
		versions []string
		fetches  bool
	}{
		"one version":  {[]string{"v1", "v1", "v1"}, true},
		"two versions": {[]string{"v1", "v2", "v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, eventStream(1, 2, true), eventStream(1, 2, true), eventStream(1, 2, true))
			f.setVersions(tc.versions...)
			for _, server := range f.forwarder.Registry.Servers() {
				if entry := server.Entry(); entry.ID == "e0" {
					entry.Draining = true
					f.forwarder.Registry.Put(entry)
				}
			}
			fetched := 0
			f.onReceived = func(r *http.Request) {
				if r.Header.Get("X-Fetch") != "" {
					fetched++
				}
			}
			for n := range 16 {
				req := f.request(t, "POST", "/chat/", "b")
				req.Header.Set("X-Id", fmt.Sprint("r", n))
				req.Header.Set("X-Prompt", "500")
				req.Header.Set("X-Shared", fmt.Sprint("part", n))
				status, _, _ := f.do(t, req)
				assert.Equal(t, status, http.StatusOK)
			}
			assert.Equal(t, fetched > 0, tc.fetches, "%d fetches", fetched)
		})
	}
}
