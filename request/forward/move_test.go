package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A stream isn't moved from a server that has just become unreachable to one that already is.
func TestStreamIsNotMovedToUnreachableServer(t *testing.T) {
	var f *fixture
	f = newFixture(t, pausingStream(func() {
		time.Sleep(20 * time.Millisecond)
		f.suspect("s1")
		f.suspect("s0")
		time.Sleep(50 * time.Millisecond)
	}), idStream(betweenEvents))
	f.setMaxAttempts(t, 5)
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)
}

// A sound server may be silent for a while. The last attempt that is permitted isn't given up for it.
func TestSilentServerKeepsLastAttempt(t *testing.T) {
	silent := func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(minSilenceTimeout + 200*time.Millisecond)
			next(w, r)
		}
	}
	f := newFixture(t, idStream(betweenEvents, "1", "2", "3"), silent(goOn(6)), goOn(6))
	_, got := f.stream(t, "")
	assert.Check(t, got == received{"1 2 3 4 5 6", true}, "%v", got)

	f = newFixture(t, silent(signedResponse(http.StatusOK, "ok")), signedResponse(http.StatusOK, "other"))
	f.setMaxAttempts(t, 1)
	status, body, _ := f.do(t, f.request(t, http.MethodPost, "/repeat/", "b"))
	assert.Check(t, status == http.StatusOK && body == "ok", "%d %q", status, body)
}
