package instance

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/request/claim"
	"github.com/toucanroute/toucanroute/request/dispatch"
	"github.com/toucanroute/toucanroute/wire"
)

// claims acquires claims of idempotency keys for calls that must not be repeated, and records the outcomes of these
// calls. A claim is a stored record that a request has used an idempotency key; a later request with the same key is
// not sent, unless the claim says that the earlier one didn't run.
type claims struct {
	claims *claim.Claims

	mu sync.Mutex
	// inFlight holds the claim of each call that has no outcome yet, by request ID.
	inFlight map[string]*claim.Claim
}

// claim acquires the claim of the idempotency key of a call. It returns nil if the call may be sent; errors are of type
// request.ErrResponse.
func (c *claims) claim(ctx context.Context, call dispatch.ClaimRequest) error {
	acquired, err := c.claims.Claim(ctx, call.Workspace, call.Key, call.RequestID, call.Fingerprint)
	if err != nil {
		return claimError(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight == nil {
		c.inFlight = map[string]*claim.Claim{}
	}
	c.inFlight[call.RequestID] = acquired
	return nil
}

// remove removes and returns the claim of a request, or returns nil if the request has none.
func (c *claims) remove(requestID string) *claim.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	removed := c.inFlight[requestID]
	delete(c.inFlight, requestID)
	return removed
}

// release records in the claim of a call that no byte of the call was sent, so that the key can be used again.
func (c *claims) release(_ context.Context, call dispatch.ClaimRequest) {
	if acquired := c.remove(call.RequestID); acquired != nil {
		acquired.NotRun()
	}
}

// recordOutcome records the outcome of the call of a finished request.
func (c *claims) recordOutcome(outcome dispatch.Summary) {
	acquired := c.remove(outcome.RequestID)
	if acquired == nil {
		return
	}
	switch {
	case outcome.Result == dispatch.ResultOK:
		acquired.RecordDone(http.StatusOK)
	case outcome.NotRun:
		acquired.NotRun()
	default:
		acquired.RecordUnknown()
	}
}

// claimError returns the error response for a call that may not be sent because its claim failed.
func claimError(err error) error {
	var claimed claim.ErrClaimed
	if errors.As(err, &claimed) {
		return request.ErrResponse{
			Status:  http.StatusConflict,
			Code:    request.CodeClaimed,
			Message: claimedMessage(claimed),
			Cause:   err,
		}
	}
	response := request.ErrResponse{
		Status:     http.StatusServiceUnavailable,
		Code:       request.CodeClaimFailed,
		Message:    "the idempotency key can't be checked now, so the call was not sent",
		NotRun:     true,
		RetryAfter: claim.DefaultRetryAfter,
		Cause:      err,
	}
	var unavailable claim.ErrClaimNotRecorded
	if errors.As(err, &unavailable) && unavailable.RetryAfter > 0 {
		response.RetryAfter = unavailable.RetryAfter
	}
	return response
}

// claimedMessage describes the state of the earlier call that has used the same idempotency key.
func claimedMessage(e claim.ErrClaimed) string {
	if e.BodyDiffers {
		return "the idempotency key was used with another request"
	}
	prefix := fmt.Sprintf("request %s has used the idempotency key; this one was not sent; the first ", e.RequestID)
	switch e.State {
	case wire.ClaimRecordStateDone:
		return prefix + "was answered"
	case wire.ClaimRecordStateSent:
		return prefix + "is under way, or its instance was lost and its outcome is unknown"
	default:
		return prefix + "has an unknown outcome"
	}
}
