package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/wire"
)

// checkUnknownOutcome checks that an error neither says that the request hasn't run nor asks the caller to repeat it.
func checkUnknownOutcome(t *testing.T, err error) {
	t.Helper()
	checkError(t, err, "outcome_unknown", false)
	response := request.ResponseOf(err)
	assert.Equal(t, response.Status, http.StatusBadGateway)
	assert.Equal(t, response.RetryAfter, time.Duration(0))
}

// An instance shuts down while a call runs. Only the caller of an idempotent one is asked to come back.
func TestShutdownDuringCallIsUnknownOutcome(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		ctx, cancel := context.WithCancelCause(t.Context())
		f := newServiceFixture()
		f.authorization.Idempotent = idempotent
		f.Call = func(ctx context.Context, _ request.ServiceCall) (request.ServiceResponse, error) {
			cancel(context.Canceled)
			return request.ServiceResponse{}, request.ErrAttempt{Sent: true, Err: context.Cause(ctx)}
		}
		err := f.Serve(ctx, httptest.NewRecorder(), &request.Meta{ID: "r1", ArrivedAt: time.Now()},
			request.ServiceCall{Route: "orders", Method: http.MethodPost, Path: "/book", Body: []byte("two ladoos")})
		if !idempotent {
			checkUnknownOutcome(t, err)
			continue
		}
		checkError(t, err, "leaving", false)
		assert.Assert(t, request.ResponseOf(err).RetryAfter > 0)
	}
}

// An engine pauses a request that isn't idempotent, and the pool then refuses it a slot to go on.
func TestRefusedSlotOfPausedRequestIsUnknownOutcome(t *testing.T) {
	for _, reason := range []string{request.CodeRateLimit, request.CodeOverload} {
		f := newFixture(func(context.Context, *request.Attempt, func([]byte, bool) error) error { return request.ErrPaused{} })
		f.authorization.Idempotent = false
		f.Acquire = func(ctx context.Context, ask wire.GrantAsk) (*pool.Grant, error) {
			if len(f.grants) > 0 {
				return nil, pool.ErrRefused{Reason: reason, RetryAfter: 250 * time.Millisecond}
			}
			return f.acquire(ctx, ask)
		}
		_, err := f.complete(t.Context(), t, false)
		checkUnknownOutcome(t, err)
		assert.Equal(t, f.summaries[0].Result, ResultFailed)
	}
}

// An engine's 408 or 421 isn't the caller's fault, nor does it say that the request hasn't run.
func TestRejectionByEngineIsUnknownOutcome(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		f := newFixture(sendTokens(0, request.ErrAttempt{Sent: true, Status: status}))
		f.authorization.Idempotent = false
		_, err := f.complete(t.Context(), t, false)
		checkUnknownOutcome(t, err)

		f = newFixture(sendTokens(0, request.ErrAttempt{Sent: true, Status: status}), sendTokens(2, nil))
		f.authorization.Idempotent = true
		_, err = f.complete(t.Context(), t, false)
		assert.NilError(t, err, "%d", status)
	}
}
