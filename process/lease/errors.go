package lease

import (
	"errors"
	"fmt"
)

// ErrNotHeld is returned if this process doesn't hold the lease, or no longer holds it.
type ErrNotHeld struct {
	DataCentre string
	Job        string
	// Fence is the last fencing token under which this process held the lease; 0 if it never did.
	Fence int
}

func (e ErrNotHeld) Error() string {
	return fmt.Sprintf("lease %s.%s isn't held (last fence %d)", e.DataCentre, e.Job, e.Fence)
}

// IsErrNotHeld reports whether err is an ErrNotHeld: this process doesn't hold the lease.
func IsErrNotHeld(err error) bool {
	var e ErrNotHeld
	return errors.As(err, &e)
}
