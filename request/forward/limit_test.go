package forward

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mostSince returns the largest number of requests since a time that a server with a limit of one a second may get: the
// first one, whose answer names the limit, and one in each second that the time touches.
func mostSince(start time.Time) int { return 3 + int(time.Since(start)/time.Second) }

// When the limits of all servers are used up, a request is refused as not run, with the time at which a server takes one
// again, whatever its kind; a server without a limit takes the rest.
func TestRequestBeyondLimitIsRefused(t *testing.T) {
	limited := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "1")
		w.Header().Set("X-Limit", "1")
		_, _ = io.WriteString(w, "limited")
	}
	free := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signed", "1")
		_, _ = io.WriteString(w, "free")
	}
	for _, route := range []string{"once", "repeat", "stream", "chat"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, limited)
			refused, start := 0, time.Now()
			for range 8 {
				req := f.request(t, http.MethodPost, "/"+route+"/x", "b")
				req.Header.Set("X-Prompt", "100")
				res, err := http.DefaultClient.Do(req)
				assert.NilError(t, err)
				_ = res.Body.Close()
				if res.StatusCode != http.StatusServiceUnavailable {
					continue
				}
				refused++
				seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, seconds > 0 && seconds < 2, "%v s", seconds)
			}
			assert.Assert(t, 8-refused <= mostSince(start), "%d of 8 requests were refused", refused)
			assert.Equal(t, int(f.received.Load()), 8-refused)

			f = newFixture(t, limited, free)
			for range 10 {
				req := f.request(t, http.MethodPost, "/"+route+"/x", "b")
				res, err := http.DefaultClient.Do(req)
				assert.NilError(t, err)
				_ = res.Body.Close()
				assert.Equal(t, res.StatusCode, http.StatusOK)
			}
		})
	}
}

// A server that rejects requests names its limit too.
func TestLimitOfRejectionCounts(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Limit", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	start := time.Now()
	for range 10 {
		res, err := http.DefaultClient.Do(f.request(t, http.MethodPost, "/repeat/x", "b"))
		assert.NilError(t, err)
		_ = res.Body.Close()
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Assert(t, int(f.received.Load()) <= mostSince(start), "%d requests", f.received.Load())
}
