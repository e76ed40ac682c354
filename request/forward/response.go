package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/registry"
	"github.com/toucanroute/toucanroute/request"
)

// maxBufferedBytes is the size up to which a response that is not a stream is buffered before it is sent, so that the
// request can be repeated if the response breaks off. It is far above the usual 1 kB and limits the memory of one
// request.
const maxBufferedBytes = 256 << 10

// handleResponse forwards a server's response to the caller, or returns the reason why the response can't be used.
func (c *call) handleResponse(ctx context.Context, attempt *registry.Attempt, resp *http.Response) error {
	c.framing = request.FramingOf(resp)
	responseMeta := c.f.Headers.ReadResponse(resp.StatusCode, resp.Header)
	if responseMeta.Load != nil {
		attempt.RecordLoad(*responseMeta.Load)
	}
	if responseMeta.UnreadLoad != "" {
		attempt.RecordUnreadLoad(responseMeta.UnreadLoad)
	}
	if responseMeta.Leaving {
		attempt.MarkLeaving()
	}
	if responseMeta.ColdTime > 0 && !responseMeta.WrongServer {
		attempt.MarkCold(responseMeta.ColdTime)
	}
	if responseMeta.RetryAfter != "" {
		attempt.CloseFor(responseMeta.CloseFor, responseMeta.RetryAfter)
	}
	if !responseMeta.WrongServer {
		attempt.RecordLimit(responseMeta.Limit)
		attempt.RecordBrittle(responseMeta.Brittle, responseMeta.NotRun && resp.StatusCode == http.StatusServiceUnavailable)
	}
	if responseMeta.NotRun {
		attempt.End(notRunOutcome(responseMeta))
		c.logRejected(resp, responseMeta)
		c.drainBody(resp)
		return errRefused
	}
	c.possibleRuns++
	c.logImpliedRejection(resp)
	if responseMeta.WrongServer {
		attempt.End(registry.OutcomeReplaced)
		c.reportStarted()
		c.logRejected(resp, responseMeta)
		c.drainBody(resp)
		return errNotStated{resp.StatusCode}
	}
	if isSuccess(resp) && !isServersBody(resp, responseMeta) {
		attempt.End(registry.OutcomeFailed)
		c.reportStarted()
		c.logUnusedResponse(resp.StatusCode, "unsigned")
		return errUnusable
	}
	if !c.firstByteAt.IsZero() && !c.continuesStream(resp) {
		attempt.End(registry.OutcomeFailed)
		c.logUnusedResponse(resp.StatusCode, "no_stream")
		return errUnusable
	}
	if !c.takeHeadMemory(resp.Header) {
		attempt.End(registry.OutcomeFailed)
		c.reportStarted()
		c.logUnusedResponse(resp.StatusCode, "no_memory")
		return errUnusable
	}
	if isEventStream(resp) {
		return c.forwardStream(ctx, attempt, resp)
	}
	return c.forwardPlain(ctx, attempt, resp, responseMeta)
}

// notRunOutcome returns the outcome of an attempt that the server did not run.
func notRunOutcome(responseMeta ResponseMeta) registry.Outcome {
	if responseMeta.WrongServer {
		return registry.OutcomeReplaced
	}
	return registry.OutcomeRefused
}

func isEventStream(resp *http.Response) bool {
	return isSuccess(resp) && strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}

// continuesStream reports whether a response can go on with the stream that has begun. Another status, such as 204, is no
// stream that ends.
func (c *call) continuesStream(resp *http.Response) bool {
	return isEventStream(resp) && resp.StatusCode == c.status
}

const (
	// maxDrainBytes and drainTimeout bound the rest of a refusal that is read so that its connection can be reused. A
	// server sends it together with the head.
	maxDrainBytes = 16 << 10
	drainTimeout  = 50 * time.Millisecond
)

// errNotDrained is the cause with which an attempt is cancelled whose refusal doesn't end.
var errNotDrained = errors.New("the refusal of the backend server doesn't end")

// drainBody reads a short response to its end, so that its connection can be reused.
func (c *call) drainBody(resp *http.Response) {
	if c.framing == request.FramingConnection {
		return
	}
	timer := time.AfterFunc(drainTimeout, func() { c.cancelAttempt(errNotDrained) })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
}

// isServersBody reports whether a success has the body of a backend server: it is signed and nothing on the way encoded it.
func isServersBody(resp *http.Response, meta ResponseMeta) bool {
	return meta.Signed && resp.Header.Get("Content-Encoding") == ""
}

func isSuccess(resp *http.Response) bool { return resp.StatusCode >= 200 && resp.StatusCode < 300 }

// logRejected writes a rejection by a server that isn't passed on, and whether it states that the request hasn't run or
// only implies it by its status.
func (c *call) logRejected(resp *http.Response, meta ResponseMeta) {
	reason := "not_run"
	if !meta.NotRun {
		reason = "not_stated"
	}
	c.f.Log.Info("answer_not_used",
		zap.String("request_id", c.meta.ID),
		zap.String("server", c.serverID),
		zap.Int("status", resp.StatusCode),
		zap.String("reason", reason),
		zap.Bool("stated", meta.NotRun),
		zap.Bool("wrong_server", meta.WrongServer),
		zap.Int("possible_runs", c.possibleRuns),
	)
}

func (c *call) logUnusedResponse(status int, reason string) {
	c.f.Log.Info("answer_not_used",
		zap.String("request_id", c.meta.ID),
		zap.String("server", c.serverID),
		zap.Int("status", status),
		zap.String("reason", reason),
	)
}

// forwardPlain forwards a response that is not an event stream. Up to maxBufferedBytes, or less if other responses need
// the memory, are read from the server before any byte is sent to the caller.
func (c *call) forwardPlain(ctx context.Context, attempt *registry.Attempt, resp *http.Response, meta ResponseMeta) error {
	c.reportStarted()
	attempt.MarkPrefilled()
	body := buffer{budget: c.f.Buffers, maxBytes: maxBufferedBytes}
	defer body.reset()
	err := body.readAll(resp.Body)
	complete := err == nil
	if err != nil && !errors.Is(err, errBufferFull) {
		c.recordLostResponse(ctx, attempt, err)
		return errors.Join(errUnusable, err)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		attempt.End(registry.OutcomeFailed)
		switch {
		case !c.route.MayRepeat():
		case c.canRetryFailure():
			c.logUnusedResponse(resp.StatusCode, "failed")
			return errUnusable
		case c.possibleRuns < c.route.MaxAttempts && c.f.RetryBudget(c.pool.Name).Remaining() < 1:
			c.logRetry("retry_refused")
		}
	}
	if c.isFalsePromise(resp, meta) {
		attempt.End(registry.OutcomeAnswered)
		c.logRejected(resp, meta)
		return errNotStated{resp.StatusCode}
	}
	c.beginResponse(resp)
	h := c.w.Header()
	if complete && !hasNoBody(resp) && !c.endsWithConnection {
		h.Set("Content-Length", strconv.Itoa(len(body.data)))
	}
	if complete {
		// The server is free for its next request while a slow caller accepts the response.
		attempt.End(registry.OutcomeAnswered)
		c.recordAnswered(attempt.Server(), resp)
		_ = resp.Body.Close()
	}
	c.w.WriteHeader(resp.StatusCode)
	if _, err := c.w.Write(body.data); err != nil {
		attempt.End(registry.OutcomeCallerGone)
		c.outcome = OutcomeCallerLeft
		return nil
	}
	if complete {
		return nil
	}
	body.reset()
	return c.copyRest(attempt, resp)
}

// canRetryFailure reports whether attempts, servers and retry budget are left to repeat a request that a server failed.
func (c *call) canRetryFailure() bool {
	if c.possibleRuns >= c.route.MaxAttempts {
		return false
	}
	if len(c.f.Registry.Usable(c.pool.Name, c.selection())) == 0 {
		return false
	}
	return c.f.RetryBudget(c.pool.Name).Remaining() >= 1
}

func hasNoBody(resp *http.Response) bool {
	return resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified || resp.Request != nil && resp.Request.Method == http.MethodHead
}

// copyRest copies the rest of a response that wasn't buffered whole.
func (c *call) copyRest(attempt *registry.Attempt, resp *http.Response) error {
	if err := c.copyBody(resp.Body); err != nil {
		attempt.End(registry.OutcomeFailed)
		c.outcome = OutcomeInterrupted
		return err
	}
	attempt.End(registry.OutcomeAnswered)
	c.recordAnswered(attempt.Server(), resp)
	return nil
}

// beginResponse copies the headers of the response to the caller's and stops the timeout. If the server's response ends
// with its connection, so does the caller's: a length or a last chunk would vouch for its completeness.
func (c *call) beginResponse(resp *http.Response) {
	if c.timeoutTimer != nil {
		c.timeoutTimer.Stop()
	}
	request.StripHopHeaders(resp.Header)
	c.f.Headers.StripResponse(resp.Header)
	for _, name := range []string{headerRelayWaited, headerRelayError, headerRelaySent} {
		resp.Header.Del(name)
	}
	h := c.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	if c.framing == request.FramingConnection {
		// net/http's server then sends neither a length nor chunks and closes the connection after the response.
		h.Set("Transfer-Encoding", "identity")
	}
	if c.endsWithConnection = c.framing == request.FramingConnection || !c.r.ProtoAtLeast(1, 1) && h.Get("Content-Length") == ""; c.endsWithConnection {
		c.resetOnClose(true)
	}
	c.status = resp.StatusCode
	c.firstByteAt = time.Now()
	c.outcome = OutcomeServed
	if !isSuccess(resp) {
		c.outcome = OutcomeServerFailure
	}
}

// resetOnClose makes the end of the caller's connection reset it, or end it properly.
func (c *call) resetOnClose(reset bool) {
	if err := c.f.ResetOnClose(c.r.Context(), reset); err != nil {
		c.f.Log.Info("connection_option_not_set", zap.String("request_id", c.meta.ID), zap.Bool("reset", reset), zap.Error(err))
	}
}

// completeResponse lets the end of the caller's connection end the response properly if nothing else ends it.
func (c *call) completeResponse() {
	if !c.endsWithConnection {
		return
	}
	// What isn't written yet would be missing if the process ended after the change of the option.
	if err := http.NewResponseController(c.w).Flush(); err == nil {
		c.resetOnClose(false)
	}
}

// recordLostResponse records a response that ended before it was complete.
func (c *call) recordLostResponse(ctx context.Context, attempt *registry.Attempt, err error) {
	if context.Cause(c.ctx) != nil {
		attempt.End(registry.OutcomeCallerGone)
	} else {
		c.endFailed(ctx, attempt, err)
	}
	c.f.Log.Info("answer_lost", zap.String("request_id", c.meta.ID), zap.String("server", c.serverID), zap.Bool("begun", !c.firstByteAt.IsZero()),
		zap.Strings("parts", c.loggedParts()), zap.String("fingerprint", c.identity.Fingerprint), zap.Error(err))
}

// endFailed ends an attempt that its server has failed, or that failed on the way to it.
func (c *call) endFailed(ctx context.Context, attempt *registry.Attempt, err error) {
	switch {
	case errors.Is(context.Cause(ctx), errUnreachable):
		attempt.End(registry.OutcomeUnreachable)
	case isTimeout(err):
		attempt.End(registry.OutcomeTimedOut)
	case isUnreachable(err):
		attempt.End(registry.OutcomeUnreachable)
	default:
		attempt.End(registry.OutcomeFailed)
		c.reportIfCrashed(attempt.Server(), err)
	}
}

// isTimeout reports whether an error shows that no connection was opened, or nothing was acknowledged, in time.
func isTimeout(err error) bool {
	if errors.Is(err, syscall.ETIMEDOUT) {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" && opErr.Timeout()
}

// isUnreachable reports whether an error shows that the server or the network path to it is down, rather than the
// failure of one request.
func isUnreachable(err error) bool {
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) {
		return true
	}
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial" && !errors.Is(err, syscall.ECONNRESET)
}
