package forward

import (
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
