package forward

import (
	"bytes"
	"errors"
	"time"
)

const (
	// minStallTimeout is the shortest time without an event after which a stream counts as stalled. It is a multiple of the
	// longest time for which callers usually wait for an event.
	minStallTimeout = 30 * time.Second
	// stallGapFactor is the time after which a stream counts as stalled, as a multiple of the longest pause that the service
	// level allows. Callers leave after a gap that long.
	stallGapFactor = 8
)

// errStalled is the cause with which an attempt is cancelled whose stream sends no events any more.
var errStalled = errors.New("the backend server's stream sends no events any more")

// stallWatch cancels an attempt whose stream brings no event with data for the timeout, whatever else it sends: a comment
// or a part of an event now and then keeps the connection busy and brings the caller nothing.
type stallWatch struct {
	timer   *time.Timer
	timeout time.Duration
	// endsAt is the time at which the timer fires, and left what was left of it when the watch was paused.
	left   time.Duration
	endsAt time.Time
}

// watchForStall begins to watch the stream of the current attempt.
func (c *call) watchForStall() *stallWatch {
	timeout := max(c.f.StallTimeout, stallGapFactor*c.route.MaxEventGap, c.route.Timeout)
	if c.f.StallTimeout == 0 {
		timeout = max(timeout, minStallTimeout)
	}
	cancel := c.cancelAttempt
	return &stallWatch{
		timer: time.AfterFunc(timeout, func() { cancel(errStalled) }), timeout: timeout, endsAt: time.Now().Add(timeout),
	}
}

// pause stops the watch while an event is written: a slow caller doesn't make the server's stream a stalled one.
func (s *stallWatch) pause() {
	s.timer.Stop()
	s.left = time.Until(s.endsAt)
}

// resume goes on with the watch, from the beginning after an event with data.
func (s *stallWatch) resume(hasData bool) {
	if hasData {
		s.left = s.timeout
	}
	s.endsAt = time.Now().Add(s.left)
	s.timer.Reset(s.left)
}

var dataField = []byte("data")

// hasDataField reports whether an event has a field "data".
func hasDataField(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, dataField) {
			return true
		}
	}
	return false
}
