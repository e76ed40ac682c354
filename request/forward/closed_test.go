package forward

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// closedResponse returns a handler that doesn't run the request and wants no more for a while. It counts its requests.
func closedResponse(closeFor string, count *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		count.Add(1)
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Close-For", closeFor)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// TestClosedServerGetsNothing checks that a server that rejects a request for a while gets no further request in that
// time, neither new ones nor repetitions, and that it gets requests again afterwards.
func TestClosedServerGetsNothing(t *testing.T) {
	var rejected atomic.Int32
	f := newFixture(t, closedResponse("300ms", &rejected), signedResponse(http.StatusOK, "answer"))
	for range 20 {
		status, body, _ := f.do(t, f.request(t, "GET", "/repeat/", ""))
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, "answer")
	}
	assert.Equal(t, rejected.Load(), int32(1))
	time.Sleep(310 * time.Millisecond)
	f.do(t, f.request(t, "GET", "/repeat/", ""))
	assert.Equal(t, rejected.Load(), int32(2))
}

// TestAllServersClosed checks that a request is refused at once while all servers of the pool are closed, that the
// refusal says truthfully that the request hasn't run, and that it names a time at which the first server is open again.
func TestAllServersClosed(t *testing.T) {
	var long, short atomic.Int32
	f := newFixture(t, closedResponse("30s", &long), closedResponse("4s", &short))
	f.do(t, f.request(t, "GET", "/repeat/", ""))
	started := time.Now()
	for range 10 {
		status, _, h := f.do(t, f.request(t, "POST", "/once/", "x"))
		assert.Equal(t, status, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 3 && seconds <= 5, seconds)
	}
	assert.Assert(t, time.Since(started) < time.Second)
	assert.Equal(t, long.Load()+short.Load(), int32(2))
}

// TestLeavingServerGetsNothing checks that an answer that announces the server's shutdown is delivered, and that the
// server gets nothing afterwards, also if its stored entry is unchanged.
func TestLeavingServerGetsNothing(t *testing.T) {
	var answered atomic.Int32
	leaving := func(w http.ResponseWriter, _ *http.Request) {
		answered.Add(1)
		w.Header().Set("X-Signed", "1")
		w.Header().Set("X-Leaving", "1")
		_, _ = io.WriteString(w, "last answer")
	}
	f := newFixture(t, leaving, signedResponse(http.StatusOK, "answer"))
	status, body, _ := f.do(t, f.request(t, "GET", "/once/", ""))
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "last answer")
	for range 10 {
		_, body, _ = f.do(t, f.request(t, "GET", "/once/", ""))
		assert.Equal(t, body, "answer")
	}
	assert.Equal(t, answered.Load(), int32(1))
}
