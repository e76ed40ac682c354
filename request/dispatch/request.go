package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/wire"
)

// run is the state of one request while it is processed. It is used by one goroutine.
type run struct {
	d             *Dispatcher
	meta          *request.Meta
	authorization Authorization
	ctx           context.Context
	live          live
	summary       Summary

	// maybeSent is true once a byte of the request may have been sent to a backend server. It is never reset.
	maybeSent bool
	// responseStarted is true once a part of the response was sent to the caller.
	responseStarted bool
	// stallTimer cancels the running attempt if its server sends nothing for the stall timeout.
	stallTimer *time.Timer
	// attempt is the number of the running attempt of the request, counted from 1.
	attempt int
	// identity is what the request is known by if servers crash under it, and lost the number of its attempts that were lost
	// with the connection to their server, which may have crashed.
	identity quarantine.Request
	lost     int
	// excludedServers holds the names of the backend servers that failed this request.
	excludedServers []string
	// resumeServer is the name of the backend server that has the paused stream; empty if no stream is paused.
	resumeServer string
}

// start authorizes the request and registers it as running. The caller must call end on the returned run, also on an
// error.
func (d *Dispatcher) start(ctx context.Context, meta *request.Meta, authRequest *AuthRequest) (*run, error) {
	r := &run{d: d, meta: meta, ctx: ctx}
	r.summary = Summary{RequestID: meta.ID, Class: authRequest.Class, Route: authRequest.Route}
	authorization, err := d.Authorize(*authRequest)
	if err != nil {
		return r, err
	}
	r.setAuthorization(authorization)
	r.live = live{workspace: authorization.Workspace, keyID: authorization.KeyID}
	r.ctx, r.live.cancel = context.WithCancelCause(ctx)
	d.live.add(&r.live)
	// A withdrawal of the key between the first check and the registration would not have cancelled this request, so
	// the key is checked again.
	if _, err := d.Authorize(*authRequest); err != nil {
		return r, err
	}
	return r, nil
}

// setAuthorization stores the authorization in the run and copies its names to the summary.
func (r *run) setAuthorization(authorization Authorization) {
	r.authorization = authorization
	r.summary.Workspace = authorization.Workspace
	r.summary.Class = authorization.Class.Name
	r.summary.Route = authorization.Route.Name
	r.summary.Pool = authorization.Route.Pool
	r.summary.Tier = authorization.Class.Tier
}

// withDeadline limits the request to its class's deadline, counted from its arrival.
func (r *run) withDeadline() context.CancelFunc {
	if r.authorization.Class.DeadlineMs == 0 {
		return func() {}
	}
	deadline := r.meta.ArrivedAt.Add(time.Duration(r.authorization.Class.DeadlineMs) * time.Millisecond)
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithDeadline(r.ctx, deadline)
	return cancel
}

// end completes, logs and reports the request's summary. It returns err as the error response for the caller.
func (r *run) end(err error) error {
	defer r.unregister()
	r.summary.Duration = time.Since(r.meta.ArrivedAt)
	r.summary.Result = ResultOK
	if err != nil {
		response := r.errorResponse(err)
		r.summary.Reason = response.Code
		r.summary.NotRun = response.NotRun
		r.summary.Result = resultOf(response)
		err = response
	}
	if r.d.Log != nil {
		r.d.Log.Info("request", r.summary.fields()...)
	}
	if r.d.Observe != nil {
		r.d.Observe(r.summary)
	}
	return err
}

func (r *run) unregister() {
	if r.live.cancel == nil {
		return
	}
	r.d.live.remove(&r.live)
	r.live.cancel(nil)
}

func resultOf(response request.ErrResponse) string {
	switch {
	case response.Code == request.CodeCallerGone:
		return ResultCallerGone
	case response.Code == request.CodeDeadline:
		return ResultDeadline
	case response.NotRun || response.Status < http.StatusInternalServerError:
		return ResultRefused
	default:
		return ResultFailed
	}
}

// errorResponse converts err to an error response and sets NotRun by whether a byte was sent.
func (r *run) errorResponse(err error) request.ErrResponse {
	response := r.classify(err)
	// Nothing of a refused repeat was sent, but the first call with its idempotency key may have run. A caller that was
	// told that the call has not run could repeat it with a new key, and it would run twice.
	response.NotRun = !r.maybeSent && response.Code != request.CodeClaimed
	if r.maybeSent && !r.authorization.Idempotent && response.RetryAfter > 0 {
		return r.unknownOutcome(response)
	}
	return response
}

// unknownOutcome returns the error response to a request that may have run and isn't idempotent, in place of one that
// asks the caller to repeat it.
func (r *run) unknownOutcome(response request.ErrResponse) request.ErrResponse {
	response.RetryAfter = 0
	if r.responseStarted {
		return response
	}
	response.Status, response.Code = http.StatusBadGateway, request.CodeOutcomeUnknown
	response.Message += "; whether the request ran is unknown"
	return response
}

// recordSent sets maybeSent unless err, the result of an attempt, says that no byte was sent.
func (r *run) recordSent(err error) {
	var attemptErr request.ErrAttempt
	if !errors.As(err, &attemptErr) || attemptErr.Sent {
		r.maybeSent = true
	}
}

func (r *run) classify(err error) request.ErrResponse {
	if response, ok := r.contextError(); ok {
		return response
	}
	if errors.Is(err, ErrCallerGone{}) {
		return callerGoneError(err)
	}
	var refused pool.ErrRefused
	if errors.As(err, &refused) {
		return refusedError(refused)
	}
	var attemptErr request.ErrAttempt
	if errors.As(err, &attemptErr) {
		return r.attemptError(attemptErr)
	}
	return request.ResponseOf(err)
}

// contextError returns the error response of a request whose context was cancelled.
func (r *run) contextError() (request.ErrResponse, bool) {
	if r.ctx.Err() == nil {
		return request.ErrResponse{}, false
	}
	cause := context.Cause(r.ctx)
	switch {
	case errors.Is(cause, ErrKeyWithdrawn{}):
		return request.ErrResponse{Status: http.StatusUnauthorized, Code: request.CodeKeyWithdrawn, Message: "the key was withdrawn"}, true
	case errors.Is(cause, context.DeadlineExceeded):
		return request.ErrResponse{Status: http.StatusGatewayTimeout, Code: request.CodeDeadline, Message: "the class's deadline has passed"}, true
	case errors.Is(cause, ErrCallerGone{}):
		return callerGoneError(cause), true
	}
	return r.leavingError(), true
}

// leavingError returns the error response of a request that the end of the instance cancels. What a backend server may
// have run gets no status that promises that it hasn't.
func (r *run) leavingError() request.ErrResponse {
	response := request.ErrResponse{Status: http.StatusServiceUnavailable, Code: request.CodeLeaving, Message: "the instance is shutting down", RetryAfter: defaultRetryAfter}
	if r.maybeSent {
		response.Status = http.StatusBadGateway
	}
	return response
}

func callerGoneError(cause error) request.ErrResponse {
	return request.ErrResponse{Status: http.StatusBadGateway, Code: request.CodeCallerGone, Message: "the caller has left", Cause: cause}
}

func refusedError(refused pool.ErrRefused) request.ErrResponse {
	status := http.StatusServiceUnavailable
	if refused.Reason == request.CodeRateLimit {
		status = http.StatusTooManyRequests
	}
	return request.ErrResponse{
		Status:     status,
		Code:       refused.Reason,
		Message:    "no slot for the request now",
		RetryAfter: max(refused.RetryAfter, time.Millisecond),
		Cause:      refused,
	}
}

// attemptError returns the error response after the last attempt failed.
func (r *run) attemptError(err request.ErrAttempt) request.ErrResponse {
	if isClientError(err.Status) {
		return request.ErrResponse{Status: err.Status, Code: request.CodeBadRequest, Message: "the engine refused the request: " + err.Message}
	}
	response := request.ErrResponse{
		Status:     http.StatusBadGateway,
		Code:       request.CodeServerFailed,
		Message:    "no backend server could be reached",
		RetryAfter: max(err.RetryAfter, defaultRetryAfter),
		Cause:      err,
	}
	switch {
	case r.responseStarted:
		response.Code = request.CodeInterrupted
		response.Message = "the backend server failed before the end of the answer"
		response.RetryAfter = 0
	case r.maybeSent && !r.authorization.Idempotent:
		response.Code = request.CodeOutcomeUnknown
		response.Message = "the backend server failed after the request was sent; whether it ran is unknown"
		response.RetryAfter = 0
	case r.maybeSent:
		response.Message = "the backend server failed"
	}
	return response
}

// acquire waits for a slot of a backend server and returns its grant and the server's address. The instance that grants
// the slots may choose a server that was just removed and whose address isn't known here; such a slot is released at
// once.
func (r *run) acquire(tokens int, prefix string) (*pool.Grant, string, error) {
	grant, err := r.d.Acquire(r.ctx, wire.GrantAsk{
		WaitedMs:  int(time.Since(r.meta.ArrivedAt).Milliseconds()),
		Class:     r.authorization.Class.Name,
		Prefix:    prefix,
		RequestID: r.meta.ID + "." + strconv.Itoa(r.attempt),
		Pool:      r.authorization.Route.Pool,
		Tokens:    tokens,
		Workspace: r.authorization.Workspace,
		Exclude:   r.excludedServers,
		Resume:    r.resumeServer,
	})
	if err != nil {
		return nil, "", err
	}
	r.summary.Server = grant.Server()
	if r.d.Cheap != nil {
		r.summary.Cheap = r.d.Cheap(grant.Server())
	}
	address := r.d.Address(grant.Server())
	if address == "" {
		grant.Release(wire.GrantRelease{Pool: r.authorization.Route.Pool, Failed: true})
		return nil, "", request.ErrAttempt{Err: errNoAddress}
	}
	return grant, address, nil
}

var errNoAddress = errors.New("the granted backend server has no known address")

// beginAttempt returns the context of an attempt at a backend server. The context is cancelled if r.stallTimer isn't
// reset in time.
func (r *run) beginAttempt(server string) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.d.live.setAttempt(&r.live, server, cancel)
	r.stallTimer = time.AfterFunc(r.d.stallTimeout(), func() { cancel(ErrStalled{}) })
	return ctx, cancel
}

func (r *run) endAttempt(cancel context.CancelCauseFunc) {
	r.stallTimer.Stop()
	r.d.live.setAttempt(&r.live, "", nil)
	cancel(nil)
}

func (d *Dispatcher) stallTimeout() time.Duration {
	if d.StallTimeout == 0 {
		return DefaultStallTimeout
	}
	return d.StallTimeout
}

func (r *run) attemptID() string {
	return r.meta.ID + "." + strconv.Itoa(r.attempt)
}

// mayRetry reports whether another attempt is allowed after err. A request that is not idempotent is never retried
// after a byte of it was sent.
func (r *run) mayRetry(err error) bool {
	var attempt request.ErrAttempt
	if !errors.As(err, &attempt) || r.ctx.Err() != nil || r.attempt >= maxAttempts {
		return false
	}
	if !attempt.Sent {
		return true
	}
	if !r.authorization.Idempotent || isClientError(attempt.Status) || r.crashesServers() {
		return false
	}
	return r.d.TakeRetry != nil && r.d.TakeRetry(r.authorization.Route.Pool)
}

// isClientError reports whether the status says that the request itself is bad, so that any backend server would
// respond with the same status.
func isClientError(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests && status != http.StatusRequestTimeout && status != http.StatusMisdirectedRequest
}
