package quarantine

import (
	"errors"
	"io"
	"syscall"
	"time"
)

// beginTime is the time after the beginning of an answer within which its prompt may be the cause of a crash. Servers
// crash when they begin to answer.
const beginTime = 500 * time.Millisecond

// IsSuspect reports whether a request that failed with err may have crashed its server: the server closed or reset the
// connection, and its answer had not begun or only just. beganAt is zero if it had not begun.
func IsSuspect(err error, beganAt time.Time) bool {
	closed := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return closed && (beganAt.IsZero() || time.Since(beganAt) <= beginTime)
}
