package forward

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/registry"
)

// errEventOrder is the error of an attempt whose server doesn't go on with the stream from the caller's last event.
type errEventOrder struct {
	// lastID is the id of the caller's last event, and nextID that of the event that arrived; both may be empty.
	lastID, nextID string
	fault          orderFault
}

func (e errEventOrder) Error() string {
	return fmt.Sprintf("the stream doesn't go on from event %q with event %q: %s", e.lastID, e.nextID, e.fault)
}

// orderFault says why an event, or the end of a stream, doesn't go on from an event.
type orderFault string

const (
	// faultNotHigher means that the event's id isn't higher than the id of each earlier event.
	faultNotHigher orderFault = "not_higher"
	// faultNotComparable means that a further run begins with an event whose id can't be compared with the last one's.
	faultNotComparable orderFault = "not_comparable"
	// faultGap means that a further run begins more than one step after the last event, while ids rose evenly so far.
	faultGap orderFault = "gap"
	// faultMissing means that a further run ends without the event inside which the one before it broke off.
	faultMissing orderFault = "missing"
)

// minEvenSteps is the number of equal steps between ids from which on the ids of a stream count as rising evenly.
const minEvenSteps = 2

// eventOrder compares the events of a stream with those that the caller has, from whatever servers and instances they
// come. A run is the part of a stream that one server sends in response to one request.
type eventOrder struct {
	// highest is the highest number among the ids so far; valid if hasNumber.
	highest   uint64
	hasNumber bool
	// isComparable is set if the last event with an id or data has a number, with which a further run can be compared.
	isComparable bool
	// joins is set from the beginning of a further run until its first event with a number.
	joins bool
	// isCut is set if a run broke off inside an event, until an event has come. cutNumber is then the number of that event; 0
	// if it isn't known.
	isCut     bool
	cutNumber uint64
	// step is the difference between the last two ids of one run, and steps the number of such differences so far.
	// isUneven is set once two of these differences were not equal.
	step     uint64
	steps    int
	isUneven bool
}

// eventNumber returns the number that an event's id is; false if it is none of at most 64 bits.
func eventNumber(id string) (uint64, bool) {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return 0, false
	}
	return n, true
}

// beginRun prepares for the events of a run that goes on after the event lastID; empty if it is the first run.
func (o *eventOrder) beginRun(lastID string) {
	o.joins = lastID != ""
	if n, ok := eventNumber(lastID); ok && !o.hasNumber {
		o.highest, o.hasNumber, o.isComparable = n, true, true
	}
}

// check returns an errEventOrder if an event doesn't go on from the event lastID and those before it.
func (o *eventOrder) check(event []byte, id, lastID string) error {
	n, isNumber := eventNumber(id)
	switch {
	case isNumber && o.hasNumber && n <= o.highest, id != "" && id == lastID:
		return errEventOrder{lastID, id, faultNotHigher}
	case o.joins && isPiece(event, id) && (!isNumber || !o.hasNumber):
		return errEventOrder{lastID, id, faultNotComparable}
	case o.joins && isNumber && !o.isUneven && o.steps >= minEvenSteps && n-o.highest > o.step && n != o.cutNumber:
		return errEventOrder{lastID, id, faultGap}
	}
	return nil
}

// record records an event that was forwarded.
func (o *eventOrder) record(event []byte, id string) {
	if !isPiece(event, id) {
		return
	}
	n, isNumber := eventNumber(id)
	o.isComparable, o.isCut, o.cutNumber = isNumber, false, 0
	if !isNumber {
		return
	}
	if o.hasNumber && !o.joins {
		step := n - o.highest
		o.isUneven = o.isUneven || o.steps > 0 && step != o.step
		o.step = step
		o.steps++
	}
	o.highest, o.hasNumber, o.joins = n, true, false
}

// checkEnd returns an errEventOrder if the stream can't have ended after the event lastID.
func (o *eventOrder) checkEnd(lastID string) error {
	if o.joins && o.isCut {
		return errEventOrder{lastID: lastID, fault: faultMissing}
	}
	return nil
}

// recordCut records the part of an event inside which a run broke off; empty if it broke off between two events.
func (o *eventOrder) recordCut(part []byte) {
	for line := range bytes.Lines(part) {
		if isPartOfPiece(bytes.TrimRight(line, "\r\n")) {
			o.isCut = true
		}
		if id, ok := bytes.CutPrefix(line, idFieldPrefix); ok && bytes.HasSuffix(id, []byte("\n")) {
			o.cutNumber, _ = eventNumber(string(bytes.TrimSpace(id)))
		}
	}
}

// retryField begins the line with which a server tells how soon callers may reconnect.
const retryField = "retry:"

// isPartOfPiece reports whether a line, or its beginning, may belong to a piece of the stream, unlike comments and retry times.
func isPartOfPiece(line []byte) bool {
	text := string(line)
	return text != "" && text[0] != ':' && !strings.HasPrefix(text, retryField) && !strings.HasPrefix(retryField, text)
}

// isPiece reports whether an event is a part of what the stream says, rather than a comment.
func isPiece(event []byte, id string) bool { return id != "" || hasDataField(event) }

// beginRun prepares for the events of a further run, or the first one.
func (c *call) beginRun() {
	c.order.beginRun(c.meta.LastEventID)
	c.runEvents, c.lastEventAt = 0, time.Time{}
}

// checkEvent returns an error if an event that has arrived doesn't go on from those that the caller has.
func (c *call) checkEvent(event []byte, id string) error {
	if err := c.order.check(event, id, c.meta.LastEventID); err != nil {
		return err
	}
	if c.order.joins && id != "" {
		c.logResumed(id)
	}
	return nil
}

// recordEvent records an event that the caller has.
func (c *call) recordEvent(event []byte, id string) {
	c.order.record(event, id)
	c.runEvents++
	c.lastEventAt = time.Now()
	if id != "" {
		c.meta.LastEventID = id
	}
	c.isJoinable.Store(c.mayJoin())
}

// mayJoin reports whether a further run may be joined to the events that the caller has.
func (c *call) mayJoin() bool {
	return c.route.Resumable && c.meta.LastEventID != "" && c.order.isComparable
}

// rejectedRunOutcome returns the outcome of an attempt whose run doesn't go on from the caller's last event. Before the first
// byte, only the caller says which one that is, and may be wrong.
func (c *call) rejectedRunOutcome() registry.Outcome {
	if c.firstByteAt.IsZero() {
		return registry.OutcomeAnswered
	}
	return registry.OutcomeFailed
}

// runRejected handles a run that doesn't go on from the caller's last event, like one that broke off: no later event of it
// may be forwarded either.
func (c *call) runRejected(err error) error {
	var orderErr errEventOrder
	errors.As(err, &orderErr)
	c.f.Log.Info("stream_run_rejected",
		zap.String("request_id", c.meta.ID),
		zap.String("server", c.serverID),
		zap.String("relayed_to", c.relayedTo),
		zap.Bool("begun", !c.firstByteAt.IsZero()),
		zap.String("last_event", orderErr.lastID),
		zap.String("next_event", orderErr.nextID),
		zap.String("reason", string(orderErr.fault)),
	)
	return c.streamInterrupted(err)
}

// logResumed writes where a stream goes on, given the id of the first event that arrives.
func (c *call) logResumed(id string) {
	c.f.Log.Info("stream_resumed",
		zap.String("request_id", c.meta.ID),
		zap.String("server", c.serverID),
		zap.String("relayed_to", c.relayedTo),
		zap.String("last_event", c.meta.LastEventID),
		zap.String("next_event", id),
	)
}
