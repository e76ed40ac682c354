package platform

import (
	"errors"
	"fmt"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// ErrConflict tells that a conditional write didn't match; the write has no effect.
type ErrConflict struct {
	Kind string
	Name string
	// Current is the stored object; its version is 0 where the answer didn't carry it.
	Current wire.Object
}

func (e ErrConflict) Error() string {
	return fmt.Sprintf("%s/%s: conflict with version %d", e.Kind, e.Name, e.Current.Version)
}

// IsErrConflict tells whether err is an ErrConflict.
func IsErrConflict(err error) bool {
	var e ErrConflict
	return errors.As(err, &e)
}

// ErrNotFound tells that there is no such object.
type ErrNotFound struct {
	Kind string
	Name string
}

func (e ErrNotFound) Error() string { return fmt.Sprintf("%s/%s: not found", e.Kind, e.Name) }

// IsErrNotFound tells whether err is an ErrNotFound.
func IsErrNotFound(err error) bool {
	var e ErrNotFound
	return errors.As(err, &e)
}

// ErrUnavailable tells that the platform didn't serve the call; a write has no effect.
type ErrUnavailable struct {
	Call  string
	Cause error
}

func (e ErrUnavailable) Error() string { return fmt.Sprintf("%s: unavailable: %v", e.Call, e.Cause) }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable tells whether err is an ErrUnavailable.
func IsErrUnavailable(err error) bool {
	var e ErrUnavailable
	return errors.As(err, &e)
}

// ErrRateLimited tells that the platform refused the call for its rate; a write has no effect.
type ErrRateLimited struct {
	Call       string
	RetryAfter time.Duration
}

func (e ErrRateLimited) Error() string {
	return fmt.Sprintf("%s: rate limited, retry after %s", e.Call, e.RetryAfter)
}

// IsErrRateLimited tells whether err is an ErrRateLimited.
func IsErrRateLimited(err error) bool {
	var e ErrRateLimited
	return errors.As(err, &e)
}

// ErrTooOld tells that a watch can't go on from its version; list and watch anew.
type ErrTooOld struct {
	Kind string
	From int
}

func (e ErrTooOld) Error() string {
	return fmt.Sprintf("watch of %s: history from version %d is gone", e.Kind, e.From)
}

// IsErrTooOld tells whether err is an ErrTooOld.
func IsErrTooOld(err error) bool {
	var e ErrTooOld
	return errors.As(err, &e)
}

// ErrUnknownOutcome tells that a write may or may not have taken effect, and may still do so later.
// The caller reads back before it writes again.
type ErrUnknownOutcome struct {
	Call  string
	Cause error
}

func (e ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnknownOutcome) Unwrap() error { return e.Cause }

// IsErrUnknownOutcome tells whether err is an ErrUnknownOutcome.
func IsErrUnknownOutcome(err error) bool {
	var e ErrUnknownOutcome
	return errors.As(err, &e)
}

// ErrRejected tells that the platform refused the call as faulty; it has no effect and a repeat won't help.
type ErrRejected struct {
	Call    string
	Status  int
	Code    string
	Message string
}

func (e ErrRejected) Error() string {
	return fmt.Sprintf("%s: status %d %s: %s", e.Call, e.Status, e.Code, e.Message)
}

// IsErrRejected tells whether err is an ErrRejected.
func IsErrRejected(err error) bool {
	var e ErrRejected
	return errors.As(err, &e)
}
