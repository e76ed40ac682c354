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

// IsErrReplyTooLarge reports whether err is or wraps an ErrReplyTooLarge.
func IsErrReplyTooLarge(err error) bool {
	var e ErrReplyTooLarge
	return errors.As(err, &e)
}
