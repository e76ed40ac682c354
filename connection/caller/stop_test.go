package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A call that the end of the server cuts is answered. If a backend server has got it, the answer doesn't invite the caller to
// repeat it.
func TestEndAnswersRunningCalls(t *testing.T) {
	arrived := make(chan struct{})
	s := newStack(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(arrived)
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	}), func(s *testStack) { s.dispatcher.Authorize = authorizeNonIdempotent })
	type answer struct {
		status int
		header http.Header
		body   string
	}
	answers := make(chan answer, 1)
	go func() {
		status, header, body := s.post(t, "/v1/services/orders/list", "{}")
		answers <- answer{status, header, body}
	}()
	<-arrived
	s.stop()
	select {
	case got := <-answers:
		assert.Check(t, got.status == http.StatusBadGateway, "status %d", got.status)
		assert.Check(t, got.header.Get("Retry-After") == "", "Retry-After %s", got.header.Get("Retry-After"))
		assert.Check(t, strings.Contains(got.body, `"code":"outcome_unknown"`), got.body)
		assert.Check(t, strings.Contains(got.body, `"not_run":false`), got.body)
	case <-time.After(5 * time.Second):
		t.Fatal("no answer")
	}
}
