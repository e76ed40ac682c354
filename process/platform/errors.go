package platform

import (
	"errors"
	"fmt"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// ErrConflict reports that the condition of a write was not met; the write has no effect.
type ErrConflict struct {
	Kind string
	Name string
	// Current is the stored object; its version is 0 if the response didn't contain the object.
	Current wire.Object
}

func (e ErrConflict) Error() string {
	return fmt.Sprintf("%s/%s: conflict with version %d", e.Kind, e.Name, e.Current.Version)
}

// IsErrConflict reports whether err is or wraps an ErrConflict: the condition of a write was not met.
func IsErrConflict(err error) bool {
	var e ErrConflict
	return errors.As(err, &e)
}

// ErrNotFound reports that the object does not exist.
type ErrNotFound struct {
	Kind string
	Name string
}

func (e ErrNotFound) Error() string { return fmt.Sprintf("%s/%s: not found", e.Kind, e.Name) }

// IsErrNotFound reports whether err is or wraps an ErrNotFound: the object does not exist.
func IsErrNotFound(err error) bool {
	var e ErrNotFound
	return errors.As(err, &e)
}

// ErrUnavailable reports that the platform did not serve the call; a write has no effect.
type ErrUnavailable struct {
	Call  string
	Cause error
}

func (e ErrUnavailable) Error() string { return fmt.Sprintf("%s: unavailable: %v", e.Call, e.Cause) }

// Unwrap returns the cause.
func (e ErrUnavailable) Unwrap() error { return e.Cause }

// IsErrUnavailable reports whether err is or wraps an ErrUnavailable: the platform did not serve the call.
func IsErrUnavailable(err error) bool {
	var e ErrUnavailable
	return errors.As(err, &e)
}

// ErrRateLimited reports that the platform refused the call because of a rate limit; a write has no effect.
type ErrRateLimited struct {
	Call       string
	RetryAfter time.Duration
}

func (e ErrRateLimited) Error() string {
	return fmt.Sprintf("%s: rate limited, retry after %s", e.Call, e.RetryAfter)
}

// IsErrRateLimited reports whether err is or wraps an ErrRateLimited: the platform refused the call because of a rate
// limit.
func IsErrRateLimited(err error) bool {
	var e ErrRateLimited
	return errors.As(err, &e)
}

// ErrWatchTooOld reports that a watch can't continue from its version, since the platform no longer has the events
// after it. The caller must list the objects and watch from the version of the list.
type ErrWatchTooOld struct {
	Kind string
	From int
}

func (e ErrWatchTooOld) Error() string {
	return fmt.Sprintf("watch of %s: history from version %d is gone", e.Kind, e.From)
}

// IsErrWatchTooOld reports whether err is or wraps an ErrWatchTooOld: the platform no longer has the events that a
// watch was to return.
func IsErrWatchTooOld(err error) bool {
	var e ErrWatchTooOld
	return errors.As(err, &e)
}

// ErrUnknownOutcome reports that a write may or may not have taken effect, or may still take effect later. The caller
// must read the object back before it writes again.
type ErrUnknownOutcome struct {
	Call  string
	Cause error
}

func (e ErrUnknownOutcome) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v", e.Call, e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnknownOutcome) Unwrap() error { return e.Cause }

// IsErrUnknownOutcome reports whether err is or wraps an ErrUnknownOutcome: a write may or may not take effect.
func IsErrUnknownOutcome(err error) bool {
	var e ErrUnknownOutcome
	return errors.As(err, &e)
}

// ErrRejected reports that the platform rejected the call as invalid. The call has no effect, and a retry would fail
// again.
type ErrRejected struct {
	Call    string
	Status  int
	Code    string
	Message string
}

func (e ErrRejected) Error() string {
	return fmt.Sprintf("%s: status %d %s: %s", e.Call, e.Status, e.Code, e.Message)
}

// IsErrRejected reports whether err is or wraps an ErrRejected: the platform rejected the call as invalid.
func IsErrRejected(err error) bool {
	var e ErrRejected
	return errors.As(err, &e)
}
