package request

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Codes of error answers.
const (
	CodeBadRequest      = "bad_request"
	CodeBodyTooLarge    = "body_too_large"
	CodeHeadersTooLarge = "headers_too_large"
	CodeSlowRequest     = "request_timeout"
	CodeMethod          = "method_not_allowed"
	CodeNotFound        = "not_found"
	CodeUnknownModel    = "model_not_found"
	CodeUnknownService  = "service_not_found"
	CodeNoKey           = "key_missing"
	CodeBadKey          = "key_invalid"
	CodeKeyWithdrawn    = "key_withdrawn"
	CodeClassDenied     = "class_not_allowed"
	CodeRouteDenied     = "route_not_allowed"
	CodeOverload        = "overload"
	CodeRateLimit       = "rate_limit"
	CodeNoServer        = "no_server"
	CodeLeaving         = "leaving"
	CodeDeadline        = "deadline"
	CodeServerFailed    = "server_failed"
	CodeOutcomeUnknown  = "outcome_unknown"
	CodeInterrupted     = "stream_interrupted"
	CodeCallerGone      = "caller_gone"
	CodeClaimed         = "idempotency_key_used"
	CodeClaimFailed     = "claim_unavailable"
	CodeInternal        = "internal"
)

// ErrAnswer is a failure in the form in which the caller gets it.
type ErrAnswer struct {
	// Status is the HTTP status.
	Status int
	// Code is a stable word; see the Code constants.
	Code string
	// Message is for people; it never holds a key or a prompt.
	Message string
	// NotRun is true only if no byte of the request has left for a backend server.
	NotRun bool
	// RetryAfter is the time after which a new try may succeed; 0 is unknown.
	RetryAfter time.Duration
	// Cause is for logs; it may be nil.
	Cause error
}

func (e ErrAnswer) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s: %s", e.Code, e.Message)
	}
	return fmt.Sprintf("%s: %s: %v", e.Code, e.Message, e.Cause)
}

// Unwrap returns the cause.
func (e ErrAnswer) Unwrap() error { return e.Cause }

// IsErrAnswer tells whether err is an ErrAnswer.
func IsErrAnswer(err error) bool {
	var answer ErrAnswer
	return errors.As(err, &answer)
}

// Refuse returns the answer of a request that was not run.
func Refuse(status int, code, message string) ErrAnswer {
	return ErrAnswer{Status: status, Code: code, Message: message, NotRun: true}
}

// AnswerOf returns err as an answer; an error of another type becomes an internal one whose outcome is not claimed.
func AnswerOf(err error) ErrAnswer {
	var answer ErrAnswer
	if errors.As(err, &answer) {
		return answer
	}
	return ErrAnswer{
		Status:  http.StatusInternalServerError,
		Code:    CodeInternal,
		Message: "the request failed inside the router",
		Cause:   err,
	}
}

// Body returns the JSON body of the answer.
func (e ErrAnswer) Body(requestID string) wire.ErrorAnswer {
	return wire.ErrorAnswer{Error: wire.ErrorBody{
		Code:         e.Code,
		Message:      e.Message,
		NotRun:       e.NotRun,
		RequestId:    requestID,
		RetryAfterMs: int(e.RetryAfter.Milliseconds()),
		Type:         errorType(e.Status),
	}}
}

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

// ErrAttempt tells that one attempt at a backend server failed.
type ErrAttempt struct {
	// Sent is true if a byte of the request may have left for the backend server.
	Sent bool
	// Status is the HTTP status of the backend server's answer; 0 is none.
	Status int
	// Message is the backend server's own error message, if any.
	Message string
	// RetryAfter is what the backend server asked for; 0 is nothing.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
}

func (e ErrAttempt) Error() string {
	return fmt.Sprintf("attempt failed: status=%d sent=%t: %s: %v", e.Status, e.Sent, e.Message, e.Err)
}

// Unwrap returns the cause.
func (e ErrAttempt) Unwrap() error { return e.Err }

// IsErrAttempt tells whether err is an ErrAttempt.
func IsErrAttempt(err error) bool {
	var attempt ErrAttempt
	return errors.As(err, &attempt)
}
