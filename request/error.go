package request

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Codes of error responses.
const (
	CodeBadRequest       = "bad_request"
	CodeBodyTooLarge     = "body_too_large"
	CodeHeadersTooLarge  = "headers_too_large"
	CodeRequestTimeout   = "request_timeout"
	CodeMethodNotAllowed = "method_not_allowed"
	CodeNotFound         = "not_found"
	CodeUnknownModel     = "model_not_found"
	CodeUnknownService   = "service_not_found"
	CodeNoKey            = "key_missing"
	CodeBadKey           = "key_invalid"
	CodeKeyWithdrawn     = "key_withdrawn"
	CodeClassDenied      = "class_not_allowed"
	CodeRouteDenied      = "route_not_allowed"
	CodeOverload         = "overload"
	CodeRateLimit        = "rate_limit"
	CodeNoServer         = "no_server"
	CodeLeaving          = "leaving"
	CodeDeadline         = "deadline"
	CodeServerFailed     = "server_failed"
	CodeOutcomeUnknown   = "outcome_unknown"
	CodeNotResumable     = "stream_not_resumable"
	CodeQuarantined      = "prompt_quarantined"
	CodeInterrupted      = "stream_interrupted"
	CodeCallerGone       = "caller_gone"
	CodeClaimed          = "idempotency_key_used"
	CodeClaimFailed      = "claim_unavailable"
	CodeInternal         = "internal"
)

// ErrResponse is an error with the content of the error response to the caller.
type ErrResponse struct {
	// Status is the HTTP status.
	Status int
	// Code is one of the Code constants, by which programs can tell errors apart.
	Code string
	// Message is the text for people. It never contains a key or a prompt.
	Message string
	// NotRun is true only if the request has surely not run at a backend server, so that the caller may repeat it.
	NotRun bool
	// RetryAfter is the time after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
	// Cause is the underlying error, which is only logged; it may be nil.
	Cause error
}

func (e ErrResponse) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e ErrResponse) Unwrap() error { return e.Cause }

// IsErrResponse reports whether err, or an error that it wraps, holds the error response to the caller.
func IsErrResponse(err error) bool {
	var response ErrResponse
	return errors.As(err, &response)
}

// NewRefusal returns the error response to a request that the router refuses before any backend server can have run it.
func NewRefusal(status int, code, message string) ErrResponse {
	return ErrResponse{Status: status, Code: code, Message: message, NotRun: true}
}

// ResponseOf returns err as an ErrResponse. An error of another type becomes an internal error that does not say that
// the request has not run.
func ResponseOf(err error) ErrResponse {
	var response ErrResponse
	if errors.As(err, &response) {
		return response
	}
	return ErrResponse{
		Status:  http.StatusInternalServerError,
		Code:    CodeInternal,
		Message: "the request failed inside the router",
		Cause:   err,
	}
}

// Body returns the body of the error response.
func (e ErrResponse) Body(requestID string) wire.ErrorAnswer {
	return wire.ErrorAnswer{Error: wire.ErrorBody{
		Code:         e.Code,
		Message:      e.Message,
		NotRun:       e.NotRun,
		RequestId:    requestID,
		RetryAfterMs: int(e.RetryAfter.Milliseconds()),
		Type:         errorType(e.Status),
	}}
}

// errorType returns the error type of the completions API for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// ErrAttempt is the error of one failed attempt at a backend server.
type ErrAttempt struct {
	// Sent is true if a byte of the request may have been sent to the backend server.
	Sent bool
	// Status is the HTTP status of the backend server's response; 0 if there was none.
	Status int
	// Message is the error message of the backend server; empty if it sent none.
	Message string
	// RetryAfter is the backend server's Retry-After; 0 if it sent none.
	RetryAfter time.Duration
	// Err is the underlying error; it may be nil.
	Err error
}

func (e ErrAttempt) Error() string {
	return fmt.Sprintf("attempt failed: status=%d sent=%t: %s: %v", e.Status, e.Sent, e.Message, e.Err)
}

// Unwrap returns the cause.
func (e ErrAttempt) Unwrap() error { return e.Err }

// IsErrAttempt reports whether err, or an error that it wraps, is the failure of one attempt at a backend server.
func IsErrAttempt(err error) bool {
	var attemptErr ErrAttempt
	return errors.As(err, &attemptErr)
}
