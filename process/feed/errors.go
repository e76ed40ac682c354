package feed

import (
	"errors"
	"fmt"
)

// ErrRefused reports that other instances were asked Tries times for the objects of a kind, and answered that they don't
// send them for now.
type ErrRefused struct {
	Kind  string
	Tries int
	// Err is the last error of an instance.
	Err error
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s: refused %d times: %v", e.Kind, e.Tries, e.Err)
}

// Unwrap returns the last error of an instance.
func (e ErrRefused) Unwrap() error { return e.Err }

// IsErrRefused reports whether err is or wraps an ErrRefused.
func IsErrRefused(err error) bool {
	var e ErrRefused
	return errors.As(err, &e)
}

// errNoPeers reports that the feed has no function that asks other instances.
type errNoPeers struct{}

func (errNoPeers) Error() string { return "other instances can't be asked" }

// errNewerElsewhere is the cause of a watch that was cancelled by NewerElsewhere.
type errNewerElsewhere struct{}

func (errNewerElsewhere) Error() string { return "a newer version is known elsewhere" }
