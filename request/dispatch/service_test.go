package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/toucanroute/toucanroute/request"
)

// serviceBench is a dispatcher whose plain service plays a list of results.
type serviceBench struct {
	*bench
	errs     []error
	sends    int
	claims   []ClaimAsk
	unclaims int
	claimErr error
}

func newServiceBench(errs ...error) *serviceBench {
	b := &serviceBench{bench: newBench(), errs: errs}
	b.Call = func(context.Context, request.ServiceCall) (request.ServiceAnswer, error) {
		err := b.errs[0]
		b.errs = b.errs[1:]
		b.sends++
		return request.ServiceAnswer{Status: http.StatusCreated, Header: http.Header{"X-Order": {"7"}}, Body: []byte("booked")}, err
	}
	b.Claim = func(_ context.Context, ask ClaimAsk) error {
		b.claims = append(b.claims, ask)
		return b.claimErr
	}
	b.Unclaim = func(context.Context, ClaimAsk) { b.unclaims++ }
	return b
}

func (b *serviceBench) serve(key string) (*httptest.ResponseRecorder, error) {
	w := httptest.NewRecorder()
	err := b.Serve(context.Background(), w, &request.Meta{ID: "r1", IdempotencyKey: key, Arrived: time.Now()},
		request.ServiceCall{Route: "orders", Method: http.MethodPost, Path: "/book", Body: []byte("two ladoos")})
	return w, err
}

func TestServiceCalls(t *testing.T) {
	for _, tc := range []struct {
		name       string
		errs       []error
		idempotent bool
		key        string
		code       string
		notRun     bool
		sends      int
		claims     int
		unclaims   int
	}{
		{"answered", []error{nil}, false, "", "", false, 1, 0, 0},
		{"claimed and answered", []error{nil}, false, "k", "", false, 1, 1, 0},
		{"idempotent needs no claim", []error{errSent, nil}, true, "k", "", false, 2, 0, 0},
		{"unsent moves with one claim", []error{errUnsent, nil}, false, "k", "", false, 2, 1, 0},
		{"never sent gives the claim back", []error{errUnsent, errUnsent, errUnsent}, false, "k", "server_failed", true, 3, 1, 1},
		{"unknown outcome keeps the claim", []error{errSent}, false, "k", "outcome_unknown", false, 1, 1, 0},
		{"unknown after a move keeps the claim", []error{errUnsent, errSent}, false, "k", "outcome_unknown", false, 2, 1, 0},
		{"unknown outcome without key", []error{errSent}, false, "", "outcome_unknown", false, 1, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newServiceBench(tc.errs...)
			b.rights.Idempotent = tc.idempotent
			w, err := b.serve(tc.key)
			assert.Equal(t, b.sends, tc.sends)
			assert.Equal(t, len(b.claims), tc.claims)
			assert.Equal(t, b.unclaims, tc.unclaims)
			assert.Equal(t, len(b.releases), len(b.grants))
			if tc.code != "" {
				checkAnswer(t, err, tc.code, tc.notRun)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, w.Code, http.StatusCreated)
			assert.Equal(t, w.Header().Get("X-Order"), "7")
			assert.Equal(t, w.Body.String(), "booked")
		})
	}
}

func TestRefusedClaimSendsNothing(t *testing.T) {
	b := newServiceBench(nil)
	b.rights.Idempotent = false
	b.claimErr = request.Refuse(http.StatusConflict, request.CodeClaimed, "a call with this key was taken on before")
	_, err := b.serve("k")
	checkAnswer(t, err, "idempotency_key_used", false)
	assert.Equal(t, b.sends, 0)
	assert.Equal(t, b.unclaims, 0, "the claim of the first call must stay")
}

func TestUnavailableClaimSendsNothingAndSaysSo(t *testing.T) {
	b := newServiceBench(nil)
	b.rights.Idempotent = false
	b.claimErr = request.Refuse(http.StatusServiceUnavailable, request.CodeClaimFailed, "the key can't be checked now")
	_, err := b.serve("k")
	checkAnswer(t, err, "claim_unavailable", true)
	assert.Equal(t, b.sends, 0)
	assert.Equal(t, b.unclaims, 0)
}

// Claims of unlike bodies have unlike fingerprints, so that a reused key is told from a repeat.
func TestClaimFingerprint(t *testing.T) {
	b := newServiceBench(nil, nil)
	b.rights.Idempotent = false
	_, err := b.serve("k")
	assert.NilError(t, err)
	w := httptest.NewRecorder()
	err = b.Serve(context.Background(), w, &request.Meta{ID: "r2", IdempotencyKey: "k", Arrived: time.Now()},
		request.ServiceCall{Route: "orders", Method: http.MethodPost, Path: "/book", Body: []byte("three ladoos")})
	assert.NilError(t, err)
	assert.Equal(t, b.claims[0].Workspace, "w1")
	assert.Equal(t, b.claims[0].Key, "k")
	assert.Assert(t, b.claims[0].Fingerprint != b.claims[1].Fingerprint)
}

// A service that never answers leaves the outcome unknown after the stall time, and its claim in place.
func TestStalledService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newServiceBench()
		b.rights.Idempotent = false
		b.Call = func(ctx context.Context, _ request.ServiceCall) (request.ServiceAnswer, error) {
			<-ctx.Done()
			return request.ServiceAnswer{}, request.ErrAttempt{Sent: true, Err: context.Cause(ctx)}
		}
		begin := time.Now()
		_, err := b.serve("k")
		checkAnswer(t, err, "outcome_unknown", false)
		assert.Equal(t, time.Since(begin), DefaultStallTimeout)
		assert.Equal(t, b.unclaims, 0)
	})
}
