package orders

import (
	"errors"
	"fmt"
)

// ErrRefused tells that the receiver refused an order, which has no effect.
type ErrRefused struct {
	ID     string
	Server string
	Reason string
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("order %s for %s refused: %s", e.ID, e.Server, e.Reason)
}

// IsErrRefused tells whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var e ErrRefused
	return errors.As(err, &e)
}

// ErrPending tells that the outcome of an order is unknown; the holder of the lease settles it later.
type ErrPending struct {
	ID    string
	Cause error
}

func (e ErrPending) Error() string { return fmt.Sprintf("order %s pending: %v", e.ID, e.Cause) }

// Unwrap returns the cause.
func (e ErrPending) Unwrap() error { return e.Cause }

// IsErrPending tells whether err is an ErrPending.
func IsErrPending(err error) bool {
	var e ErrPending
	return errors.As(err, &e)
}

// ErrUnsettled tells that earlier orders for a server aren't settled yet.
type ErrUnsettled struct {
	Server string
	Fence  int
}

func (e ErrUnsettled) Error() string {
	return fmt.Sprintf("earlier orders for %s aren't settled under fence %d", e.Server, e.Fence)
}

// IsErrUnsettled tells whether err is an ErrUnsettled.
func IsErrUnsettled(err error) bool {
	var e ErrUnsettled
	return errors.As(err, &e)
}
