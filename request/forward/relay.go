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

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request"
)

const (
	// headerRelayWaited holds the time in milliseconds since a relayed request arrived at the first instance.
	headerRelayWaited = "X-Relay-Waited-Ms"
	// headerRelayError holds the code of the error if the response to a relayed request is the second instance's own.
	headerRelayError = "X-Relay-Error"
	// headerRelaySent holds, beside headerRelayError, the number of times that the second instance sent the request to a
	// backend server.
	headerRelaySent = "X-Relay-Sent"
	// maxRelays is the number of other instances to which a request is relayed until one takes it.
	maxRelays = 2
	// relayTimeout is the time beyond the request's own after which a relayed request is given up. The other instance gives
	// it up in time and tells whether it has run.
	relayTimeout = 100 * time.Millisecond
)

// ServeRelayed serves a request that another instance relayed, since it can't send it to a backend server. It isn't relayed
// again.
func (f *Forwarder) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.Header.Get(headerRelayWaited), 10, 64)
	if err != nil || ms < 0 || ms > time.Hour.Milliseconds() {
		f.Log.Info("relay_rejected", zap.String("peer", r.RemoteAddr), zap.String("waited", r.Header.Get(headerRelayWaited)))
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Header.Del(headerRelayWaited)
	f.serve(&call{f: f, w: w, r: r, arrivedAt: time.Now().Add(-time.Duration(ms) * time.Millisecond), isRelayed: true})
}

// findRelay returns the address of another instance if this one can't send the request to a backend server of the pool and
// the other can: it reaches none, or has no slot at brittle ones.
func (c *call) findRelay() (string, bool) {
	if c.isRelayed || c.f.FindRelay == nil || len(c.relays) >= maxRelays {
		return "", false
	}
	if c.f.Registry.IsUnreachable(c.pool.Name) {
		return c.f.FindRelay(c.pool.Name, c.skippedInstances(c.relays))
	}
	if owners := c.f.Registry.SlotOwners(c.pool.Name); len(owners) > 0 {
		return c.f.FindRelayAt(owners, c.skippedInstances(c.relays))
	}
	return "", false
}

// relay has another instance serve the request and forwards its response. A request that it didn't take may be sent
// again, here or at another instance; isFinal is set otherwise.
func (c *call) relay(peer string) (isFinal bool, err error) {
	c.relays[peer], c.relayedTo = true, peer
	c.extendTimeout()
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	resp, err := c.f.SendRelayed(c.relayRequest(ctx, peer), c.meta.ID, !c.route.MayRepeat())
	if err != nil {
		return c.relayFailed(peer, err)
	}
	defer func() { _ = resp.Body.Close() }()
	c.f.Log.Info("request_relayed", zap.String("request_id", c.meta.ID), zap.String("pool", c.pool.Name), zap.String("peer", peer),
		zap.Int("status", resp.StatusCode), zap.String("code", resp.Header.Get(headerRelayError)))
	if code := resp.Header.Get(headerRelayError); code != "" {
		return c.relayRefused(resp, code)
	}
	// The other instance has counted the request.
	c.startReported = true
	responseMeta := c.f.Headers.ReadResponse(resp.StatusCode, resp.Header)
	if !responseMeta.NotRun {
		c.logImpliedRejection(resp)
	}
	if c.isFalsePromise(resp, responseMeta) {
		c.logRejected(resp, responseMeta)
		c.possibleRuns++
		return true, c.finalError(errNotStated{resp.StatusCode})
	}
	if isSuccess(resp) && !isServersBody(resp, responseMeta) {
		c.logUnusedResponse(resp.StatusCode, "unsigned")
		c.possibleRuns++
		return true, c.finalError(errUnusable)
	}
	if !c.takeHeadMemory(resp.Header) {
		c.logUnusedResponse(resp.StatusCode, "no_memory")
		c.possibleRuns++
		return true, c.finalError(errUnusable)
	}
	if err = c.copyRelayed(resp); err == nil || c.outcome == OutcomeInterrupted {
		c.possibleRuns++
		return true, err
	}
	return c.relayFailed(peer, request.ErrAttempt{Sent: true, Err: err})
}

// extendTimeout gives the other instance the time to answer that it has given the request up.
func (c *call) extendTimeout() {
	if c.timeoutTimer == nil || c.timeLimit == 0 || !c.firstByteAt.IsZero() {
		return
	}
	if c.timeoutTimer.Stop() {
		c.timeoutTimer.Reset(time.Until(c.arrivedAt.Add(c.timeLimit + relayTimeout)))
	}
}

// relayRequest returns the request to another instance. A stream that has begun goes on after its last event.
func (c *call) relayRequest(ctx context.Context, peer string) *http.Request {
	h := c.r.Header.Clone()
	request.StripHopHeaders(h)
	c.tellEvacuated(h)
	h.Set(headerRelayWaited, strconv.FormatInt(time.Since(c.arrivedAt).Milliseconds(), 10))
	if !c.firstByteAt.IsZero() {
		c.f.Headers.PrepareResume(h, c.meta.LastEventID, c.beganBy())
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""}
	}
	target, _ := targetURL(peer, c.r.RequestURI)
	req := (&http.Request{
		Method: c.r.Method, URL: target, Host: c.r.Host, Header: h,
	}).WithContext(ctx)
	if c.r.ContentLength != 0 || len(c.body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return req
}

// relayFailed handles a relayed request of which no answer arrived.
func (c *call) relayFailed(peer string, err error) (isFinal bool, _ error) {
	var attemptErr request.ErrAttempt
	sent := !errors.As(err, &attemptErr) || attemptErr.Sent
	c.f.Log.Info("relay_failed", zap.String("request_id", c.meta.ID), zap.String("peer", peer), zap.Bool("sent", sent), zap.Error(err))
	if context.Cause(c.ctx) != nil {
		if sent {
			c.possibleRuns++
		}
		return true, c.finalError(err)
	}
	if !sent {
		return false, err
	}
	c.possibleRuns++
	if c.outcome == OutcomeInterrupted || !c.mayTryAnother(err) {
		return true, c.finalError(err)
	}
	return false, err
}

// relayRefused handles the other instance's own error response. Another instance is tried if this one found no server, and
// whatever the reason if the response has begun.
func (c *call) relayRefused(resp *http.Response, code string) (isFinal bool, _ error) {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	refusal := request.ErrResponse{
		Status: resp.StatusCode, Code: code, Message: "the request was refused by the instance that reaches the backend servers",
		// Of an instance's own errors with a 5xx status, only 503 says that the request hasn't run.
		NotRun:     resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusServiceUnavailable,
		RetryAfter: time.Duration(seconds * float64(time.Second)),
	}
	switch {
	case !refusal.NotRun:
		c.possibleRuns++
	case resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests:
		// This instance has accepted the request, so that the other one has another configuration.
		refusal.Status, refusal.Code, refusal.RetryAfter = http.StatusServiceUnavailable, request.CodeNoServer, retryAfterNoServer
	}
	switch {
	case !c.firstByteAt.IsZero() && c.mayGoOnAfter(resp, refusal):
		return false, refusal
	case !c.firstByteAt.IsZero():
		return true, c.finalError(refusal)
	case c.possibleRuns > 0 && refusal.NotRun:
		// An earlier attempt may have run.
		return true, c.finalError(errRefused)
	case refusal.Code == request.CodeNoServer && refusal.NotRun:
		return !c.mayRelayAgain(resp), refusal
	}
	return true, refusal
}

// mayGoOnAfter reports whether a stream that has begun may go on elsewhere after the other instance's own error response.
func (c *call) mayGoOnAfter(resp *http.Response, refusal request.ErrResponse) bool {
	if refusal.NotRun {
		return c.mayRelayAgain(resp)
	}
	return c.mayTryAnother(refusal)
}

// mayRelayAgain reports whether a request that the other instance refused may go to a further one. If it has arrived at a
// backend server, or the other instance doesn't tell, this takes one attempt from the pool's retry budget.
func (c *call) mayRelayAgain(resp *http.Response) bool {
	return resp.Header.Get(headerRelaySent) == "0" || c.mayTryAnother(errRefused)
}

// copyRelayed forwards the response of a backend server that another instance relays. An error means that it broke off,
// and that another server may begin or resume it unless the outcome is OutcomeInterrupted.
func (c *call) copyRelayed(resp *http.Response) error {
	c.framing = request.FramingOf(resp)
	if !c.firstByteAt.IsZero() && !c.continuesStream(resp) {
		return errUnusable
	}
	if isEventStream(resp) {
		return c.copyRelayedStream(resp)
	}
	body := buffer{budget: c.f.Buffers, maxBytes: maxBufferedBytes}
	defer body.reset()
	err := body.readAll(resp.Body)
	if err != nil && !errors.Is(err, errBufferFull) {
		return errors.Join(errUnusable, err)
	}
	complete := err == nil
	c.beginResponse(resp)
	if complete && !hasNoBody(resp) && !c.endsWithConnection {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(body.data)))
	}
	c.w.WriteHeader(resp.StatusCode)
	if _, err := c.w.Write(body.data); err != nil {
		c.outcome = OutcomeCallerLeft
		return nil
	}
	if complete {
		return nil
	}
	body.reset()
	if err := c.copyBody(resp.Body); err != nil {
		c.outcome = OutcomeInterrupted
		return err
	}
	return nil
}

// copyRelayedStream forwards an event stream that another instance relays, one event at a time.
func (c *call) copyRelayedStream(resp *http.Response) error {
	events := eventReader{r: bufio.NewReaderSize(resp.Body, streamBufferBytes), event: buffer{budget: c.f.Buffers, maxBytes: maxEventBytes}}
	defer events.event.reset()
	c.beginRun()
	events.rejectText = !c.firstByteAt.IsZero()
	for {
		event, id, err := events.next()
		if errors.Is(err, io.EOF) && c.mayEndRun() {
			if err = c.order.checkEnd(c.meta.LastEventID); err != nil {
				return c.runRejected(err)
			}
			return c.endRelayedStream(resp)
		}
		if err != nil {
			c.order.recordCut(events.event.data)
			return c.streamInterrupted(err)
		}
		if err = c.checkEvent(event, id); err != nil {
			return c.runRejected(err)
		}
		c.beganRelayed = c.origin.IsZero()
		if c.firstByteAt.IsZero() {
			c.beginResponse(resp)
			c.w.WriteHeader(resp.StatusCode)
		}
		_, err = c.w.Write(event)
		if err == nil {
			err = http.NewResponseController(c.w).Flush()
		}
		if err != nil || c.r.Context().Err() != nil {
			c.outcome = OutcomeInterrupted
			c.cancel(errCallerLeft)
			return errCallerLeft
		}
		c.recordEvent(event, id)
	}
}

// findRelayedOrigin finds out what began a stream at another instance, so that only servers of that pool and software version
// go on with it. It returns false if that isn't known, or the route doesn't lead there any more.
func (c *call) findRelayedOrigin() bool {
	origin, ok := c.f.FindStream(c.ctx, c.beganBy())
	if !ok || c.restrictTo(origin) != nil {
		return false
	}
	c.beganRelayed = false
	return true
}

// endRelayedStream completes a relayed stream after a whole run, like endStream.
func (c *call) endRelayedStream(resp *http.Response) error {
	if !c.isEndProven() {
		return c.streamInterrupted(errEndNotProven)
	}
	if c.firstByteAt.IsZero() {
		c.beginResponse(resp)
		c.w.WriteHeader(resp.StatusCode)
	}
	return nil
}
