package orders

import (
	"errors"
	"fmt"
)

// ErrRefused is returned when the receiver refused an order, which then has no effect.
type ErrRefused struct {
	ID     string
	Server string
	Reason string
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("order %s for %s refused: %s", e.ID, e.Server, e.Reason)
}

// IsErrRefused reports whether err is an ErrRefused: the receiver refused the order.
func IsErrRefused(err error) bool {
	var e ErrRefused
	return errors.As(err, &e)
}

// ErrPending is returned when it is unknown whether the receiver carried out an order. The lease holder later sends the
// order again under the same id or cancels it.
type ErrPending struct {
	ID    string
	Cause error
}

func (e ErrPending) Error() string { return fmt.Sprintf("order %s pending: %v", e.ID, e.Cause) }

// Unwrap returns the cause.
func (e ErrPending) Unwrap() error { return e.Cause }

// IsErrPending reports whether err is an ErrPending: the outcome of the order is unknown.
func IsErrPending(err error) bool {
	var e ErrPending
	return errors.As(err, &e)
}

// ErrUnsettled is returned when a new order can't be sent yet because an earlier order for the same server is being
// sent or has an unknown outcome, or because this process hasn't settled the intents of earlier lease holders yet.
// Settling an intent means to send its order again under the same id, or to cancel it.
type ErrUnsettled struct {
	Server string
	// Fence is the fencing token under which the earlier orders must be settled.
	Fence int
}

func (e ErrUnsettled) Error() string {
	return fmt.Sprintf("earlier orders for %s aren't settled under fencing token %d", e.Server, e.Fence)
}

// IsErrUnsettled reports whether err is an ErrUnsettled: an earlier order must be completed before a new one for the
// same server can be sent.
func IsErrUnsettled(err error) bool {
	var e ErrUnsettled
	return errors.As(err, &e)
}
