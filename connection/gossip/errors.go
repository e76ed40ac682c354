package gossip

import (
	"errors"
	"fmt"
)

// ErrReplyTooLarge reports that the decompressed reply of a peer has more than Limit bytes.
type ErrReplyTooLarge struct {
	Limit int64
}

func (e ErrReplyTooLarge) Error() string {
	return fmt.Sprintf("the peer's decompressed reply has more than %d bytes", e.Limit)
}

// ErrEncoding reports that a peer's reply has an encoding that wasn't offered.
type ErrEncoding struct {
	Encoding string
}

func (e ErrEncoding) Error() string {
	return fmt.Sprintf("the peer's reply has the unknown encoding %q", e.Encoding)
}

// ErrRefused reports that a peer answered and sent no objects for now.
type ErrRefused struct {
	Address string
	Reason  string
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("the peer %s refused: %s", e.Address, e.Reason)
}

// IsErrRefused reports whether err is or wraps an ErrRefused.
func IsErrRefused(err error) bool {
	var e ErrRefused
	return errors.As(err, &e)
}

// IsErrReplyTooLarge reports whether err is or wraps an ErrReplyTooLarge.
func IsErrReplyTooLarge(err error) bool {
	var e ErrReplyTooLarge
	return errors.As(err, &e)
}
