package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/process/streamorigin"
	"github.com/toucanroute/toucanroute/request"
)

// streamBufferBytes is the size of a stream's read buffer; events usually have some hundred bytes.
const streamBufferBytes = 2 << 10

// maxEventBytes is the largest size of one event.
const maxEventBytes = 1 << 20

// forwardStream forwards an event stream (server-sent events), one event at a time. A stream that ends inside an event,
// or with its connection before its first event, has been broken off. One whose events don't go on from those that the
// caller has is given up.
func (c *call) forwardStream(ctx context.Context, attempt *registry.Attempt, resp *http.Response) error {
	events := eventReader{r: bufio.NewReaderSize(resp.Body, streamBufferBytes), event: buffer{budget: c.f.Buffers, maxBytes: maxEventBytes}}
	defer events.event.reset()
	events.rejectText = !c.firstByteAt.IsZero()
	stalls := c.watchForStall()
	defer stalls.timer.Stop()
	c.beginRun()
	lastEventAt := time.Now()
	for index := 0; ; index++ {
		event, id, err := events.next()
		if err == nil {
			stalls.pause()
			if err = c.checkEvent(event, id); err != nil {
				attempt.End(c.rejectedRunOutcome())
				return c.runRejected(err)
			}
			pause := time.Duration(0)
			if index > 0 {
				// The time that the caller takes to read isn't part of the pause.
				pause = time.Since(lastEventAt)
				c.maxEventGap = max(c.maxEventGap, pause)
				attempt.RecordStepTime(pause)
			}
			c.observePace(pause)
			if writeErr := c.forwardEvent(attempt, resp, event, index); writeErr != nil {
				return writeErr
			}
			stalls.resume(hasDataField(event))
			lastEventAt = time.Now()
			c.recordEvent(event, id)
		}
		if errors.Is(err, io.EOF) && c.mayEndRun() {
			c.recordAnswered(attempt.Server(), resp)
			if err = c.order.checkEnd(c.meta.LastEventID); err != nil {
				attempt.End(registry.OutcomeFailed)
				return c.runRejected(err)
			}
			return c.endStream(attempt, resp)
		}
		if err != nil {
			c.order.recordCut(events.event.data)
			c.recordLostResponse(ctx, attempt, err)
			return c.streamInterrupted(err)
		}
	}
}

// forwardEvent sends one event to the caller, with the response headers before the first one. index counts from 0.
func (c *call) forwardEvent(attempt *registry.Attempt, resp *http.Response, event []byte, index int) error {
	if index == 0 {
		c.answerBeganAt = time.Now()
		attempt.MarkPrefilled()
		c.observePrefill()
		c.reportStarted()
		if c.f.OnLoadChange != nil {
			c.f.OnLoadChange()
		}
	}
	isFirst := c.origin.IsZero()
	if isFirst {
		c.origin = streamorigin.Origin{Pool: c.pool.Name, Version: c.serverVersion}
	}
	if c.firstByteAt.IsZero() {
		c.isJoinable.Store(false)
		c.beginResponse(resp)
		c.w.WriteHeader(resp.StatusCode)
	}
	_, err := c.w.Write(event)
	if err == nil {
		err = http.NewResponseController(c.w).Flush()
	}
	if isFirst && c.route.Resumable {
		c.f.BeginStream(c.meta.ID, c.origin)
	}
	if err == nil && c.r.Context().Err() == nil {
		return nil
	}
	attempt.End(registry.OutcomeCallerGone)
	c.outcome = OutcomeInterrupted
	c.cancel(errCallerLeft)
	return errCallerLeft
}

// observePrefill records the time that the chosen engine took to prefill its pending prompts and then this one.
func (c *call) observePrefill() {
	if c.meta.Prompt == nil || c.pool.Engine == nil {
		return
	}
	c.f.PrefillRate(c.pool.Name).Observe(c.serverChoice.server.PendingPrefill+c.meta.Prompt.Tokens-c.meta.Prompt.SharedTokens(), time.Since(c.placedAt))
}

// errEndNotProven is the error of a stream that ended with its server's connection, while the caller expects a last chunk
// or a length, or without an event.
var errEndNotProven = errors.New("the stream ended with its connection, so that its end isn't certain")

// mayEndRun reports whether a run that ended after a whole event, or without one, is a whole one. Servers may crash before
// their first event, but one that goes on with a stream may have nothing to add.
func (c *call) mayEndRun() bool {
	return c.runEvents > 0 || c.framing != request.FramingConnection || !c.firstByteAt.IsZero()
}

// isEndProven reports whether the end of a whole run is that of the stream. The end of its server's connection is one to
// callers who expect no more than that, and only after an event.
func (c *call) isEndProven() bool {
	return c.framing != request.FramingConnection || c.endsWithConnection && c.runEvents > 0
}

// endStream completes a stream after a whole run. If its end isn't proven, another server may prove it: it has nothing to add
// then.
func (c *call) endStream(attempt *registry.Attempt, resp *http.Response) error {
	attempt.End(registry.OutcomeAnswered)
	if !c.isEndProven() {
		c.f.Log.Info("answer_lost", zap.String("request_id", c.meta.ID), zap.String("server", c.serverID), zap.Error(errEndNotProven))
		return c.streamInterrupted(errEndNotProven)
	}
	if c.firstByteAt.IsZero() {
		c.reportStarted()
		c.beginResponse(resp)
		c.w.WriteHeader(resp.StatusCode)
	}
	return nil
}

// streamInterrupted handles a stream that broke off. It returns err if another server may start or resume the stream;
// if the caller got a part that can't be resumed, it sets the outcome to OutcomeInterrupted.
func (c *call) streamInterrupted(err error) error {
	if c.firstByteAt.IsZero() {
		c.reportStarted()
		return err
	}
	c.brokenOffAt = time.Now()
	if cause := context.Cause(c.ctx); cause != nil {
		c.outcome = OutcomeInterrupted
		return errCallerLeft
	}
	if !c.mayJoin() {
		c.givenUp = notResumable
		c.outcome = OutcomeInterrupted
		return err
	}
	c.f.Log.Info("stream_interrupted",
		zap.String("request_id", c.meta.ID), zap.String("server", c.serverID), zap.String("last_event", c.meta.LastEventID),
		zap.String("version", c.origin.Version), zap.Bool("inside_event", c.order.isCut), zap.Int("run_events", c.runEvents),
		zap.Duration("silent", c.silence()), zap.Error(err))
	return err
}

var idFieldPrefix = []byte("id:")

// eventReader reads the events of a stream.
type eventReader struct {
	r *bufio.Reader
	// event holds the bytes of the event that was read last.
	event buffer
	// rejectText makes next fail for text that is no event. It is set where the events join those of another server, whose
	// stream doesn't vouch for them.
	rejectText bool
}

// errNoEvent reports that a stream holds text that is no event.
var errNoEvent = errors.New("the stream holds text that is no event")

// next reads one event including its final empty line, and the value of its id field. The event is valid until the next
// call. next returns io.EOF at the end of a stream that ends after a whole event, io.ErrUnexpectedEOF if the stream ends
// inside an event, errBufferFull if the event is too long, and errNoEvent if it isn't one and rejectText is set.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.event.reset()
	lineStart := 0
	for {
		line, err := e.r.ReadSlice('\n')
		if appendErr := e.event.append(line); appendErr != nil {
			return nil, "", appendErr
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && len(e.event.data) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, "", err
		}
		fullLine := bytes.TrimRight(e.event.data[lineStart:], "\r\n")
		lineStart = len(e.event.data)
		if len(fullLine) == 0 {
			if e.rejectText && !isEvent(e.event.data) {
				// The text is no part of an event that broke off.
				e.event.reset()
				return nil, "", errNoEvent
			}
			return e.event.data, id, nil
		}
		if bytes.HasPrefix(fullLine, idFieldPrefix) {
			id = shortID(bytes.TrimSpace(fullLine[len(idFieldPrefix):]))
		}
	}
}

// maxIDBytes is the length up to which the id of an event is kept. It is kept beyond the event, outside of the budget of that.
const maxIDBytes = 256

// shortID returns the id of an event, or for a long one, which is no number and can't be gone on from, its beginning and a
// hash that tells it from others.
func shortID(id []byte) string {
	if len(id) <= maxIDBytes {
		return string(id)
	}
	return string(id[:maxIDBytes]) + "#" + strconv.FormatUint(xxhash.Sum64(id), 16)
}

// isEvent reports whether the lines up to an empty one are an event or a comment: they have a field that the format defines,
// or begin with a colon throughout.
func isEvent(text []byte) bool {
	isComment := true
	for line := range bytes.Lines(text) {
		line = bytes.TrimRight(line, "\r\n")
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "data", "event", "id", "retry":
			return true
		}
		isComment = isComment && (len(line) == 0 || line[0] == ':')
	}
	return isComment
}
