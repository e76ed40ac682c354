package dispatch

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/wire"
)

// run is one request on its way; it is used by one goroutine.
type run struct {
	d      *Dispatcher
	meta   *request.Meta
	rights Rights
	ctx    context.Context
	live   live
	out    Outcome

	// sent is true once a byte may have left for a backend server; it never turns back.
	sent bool
	// shown is true once the caller has seen a part of the answer.
	shown bool
	// stall ends the running attempt unless it is reset by each sign of life.
	stall *time.Timer
	// attempt is the number of the running attempt, from 1.
	attempt int
	// exclude names backend servers that failed this request.
	exclude []string
	// resume names the backend server that holds the paused stream; empty is none.
	resume string
}

// start finds the request's rights and registers it as live. Its end must be called in any case.
func (d *Dispatcher) start(ctx context.Context, meta *request.Meta, ask *Ask) (*run, error) {
	r := &run{d: d, meta: meta, ctx: ctx}
	r.out = Outcome{RequestID: meta.ID, Class: ask.Class, Route: ask.Route}
	rights, err := d.Resolve(*ask)
	if err != nil {
		return r, err
	}
	r.setRights(rights)
	r.live = live{workspace: rights.Workspace, keyID: rights.KeyID}
	r.ctx, r.live.cancel = context.WithCancelCause(ctx)
	d.live.add(&r.live)
	// A withdrawal between the look-up and the registration would miss this request.
	if _, err := d.Resolve(*ask); err != nil {
		return r, err
	}
	return r, nil
}

func (r *run) setRights(rights Rights) {
	r.rights = rights
	r.out.Workspace = rights.Workspace
	r.out.Class = rights.Class.Name
	r.out.Route = rights.Route.Name
	r.out.Pool = rights.Route.Pool
	r.out.Tier = rights.Class.Tier
}

// withDeadline bounds the request by its class's deadline, counted from arrival.
func (r *run) withDeadline() context.CancelFunc {
	if r.rights.Class.DeadlineMs == 0 {
		return func() {}
	}
	deadline := r.meta.Arrived.Add(time.Duration(r.rights.Class.DeadlineMs) * time.Millisecond)
	var cancel context.CancelFunc
	r.ctx, cancel = context.WithDeadline(r.ctx, deadline)
	return cancel
}

// end closes the request's record and returns the error that the caller gets.
func (r *run) end(err error) error {
	defer r.unregister()
	r.out.Duration = time.Since(r.meta.Arrived)
	r.out.Result = ResultOK
	if err != nil {
		answer := r.answerOf(err)
		r.out.Reason = answer.Code
		r.out.NotRun = answer.NotRun
		r.out.Result = resultOf(answer)
		err = answer
	}
	if r.d.Log != nil {
		r.d.Log.Info("request", r.out.fields()...)
	}
	if r.d.Observe != nil {
		r.d.Observe(r.out)
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

func resultOf(answer request.ErrAnswer) string {
	switch {
	case answer.Code == request.CodeCallerGone:
		return ResultCallerGone
	case answer.Code == request.CodeDeadline:
		return ResultDeadline
	case answer.NotRun || answer.Status < http.StatusInternalServerError:
		return ResultRefused
	default:
		return ResultFailed
	}
}

// answerOf gives err the form of an answer that tells the truth about what was sent.
func (r *run) answerOf(err error) request.ErrAnswer {
	answer := r.classify(err)
	// A repeat is not sent, but its call may have run under the same key: a new key would run it twice.
	answer.NotRun = !r.sent && answer.Code != request.CodeClaimed
	return answer
}

// noteSent notes whether an attempt that ended with err may have sent a byte.
func (r *run) noteSent(err error) {
	var attempt request.ErrAttempt
	if !errors.As(err, &attempt) || attempt.Sent {
		r.sent = true
	}
}

func (r *run) classify(err error) request.ErrAnswer {
	if answer, ok := r.endCause(); ok {
		return answer
	}
	if errors.Is(err, ErrCallerGone{}) {
		return callerGone(err)
	}
	var refused pool.ErrRefused
	if errors.As(err, &refused) {
		return refusedAnswer(refused)
	}
	var attempt request.ErrAttempt
	if errors.As(err, &attempt) {
		return r.attemptAnswer(attempt)
	}
	return request.AnswerOf(err)
}

// endCause returns the answer where the request as a whole was ended from outside.
func (r *run) endCause() (request.ErrAnswer, bool) {
	if r.ctx.Err() == nil {
		return request.ErrAnswer{}, false
	}
	cause := context.Cause(r.ctx)
	switch {
	case errors.Is(cause, ErrKeyWithdrawn{}):
		return request.ErrAnswer{Status: http.StatusUnauthorized, Code: request.CodeKeyWithdrawn, Message: "the key was withdrawn"}, true
	case errors.Is(cause, context.DeadlineExceeded):
		return request.ErrAnswer{Status: http.StatusGatewayTimeout, Code: request.CodeDeadline, Message: "the class's deadline has passed"}, true
	case errors.Is(cause, ErrCallerGone{}):
		return callerGone(cause), true
	}
	return request.ErrAnswer{Status: http.StatusServiceUnavailable, Code: request.CodeLeaving, Message: "the instance is shutting down", RetryAfter: defaultRetry}, true
}

func callerGone(cause error) request.ErrAnswer {
	return request.ErrAnswer{Status: http.StatusBadGateway, Code: request.CodeCallerGone, Message: "the caller has left", Cause: cause}
}

func refusedAnswer(refused pool.ErrRefused) request.ErrAnswer {
	status := http.StatusServiceUnavailable
	if refused.Reason == request.CodeRateLimit {
		status = http.StatusTooManyRequests
	}
	return request.ErrAnswer{
		Status:     status,
		Code:       refused.Reason,
		Message:    "no slot for the request now",
		RetryAfter: max(refused.RetryAfter, time.Millisecond),
		Cause:      refused,
	}
}

// attemptAnswer is the answer after the last attempt failed.
func (r *run) attemptAnswer(err request.ErrAttempt) request.ErrAnswer {
	if err.Status >= http.StatusBadRequest && err.Status < http.StatusInternalServerError && err.Status != http.StatusTooManyRequests {
		return request.ErrAnswer{Status: err.Status, Code: request.CodeBadRequest, Message: "the engine refused the request: " + err.Message}
	}
	answer := request.ErrAnswer{
		Status:     http.StatusBadGateway,
		Code:       request.CodeServerFailed,
		Message:    "no backend server could be reached",
		RetryAfter: max(err.RetryAfter, defaultRetry),
		Cause:      err,
	}
	switch {
	case r.shown:
		answer.Code = request.CodeInterrupted
		answer.Message = "the backend server failed before the end of the answer"
		answer.RetryAfter = 0
	case r.sent && !r.rights.Idempotent:
		answer.Code = request.CodeOutcomeUnknown
		answer.Message = "the backend server failed after the request was sent; whether it ran is unknown"
		answer.RetryAfter = 0
	case r.sent:
		answer.Message = "the backend server failed"
	}
	return answer
}

// acquire waits for a slot. A home may name a backend server that has just left the table; its slot goes back at once.
func (r *run) acquire(tokens int, prefix string) (*pool.Grant, string, error) {
	grant, err := r.d.Acquire(r.ctx, wire.GrantAsk{
		WaitedMs:  int(time.Since(r.meta.Arrived).Milliseconds()),
		Class:     r.rights.Class.Name,
		Prefix:    prefix,
		RequestID: r.meta.ID + "." + strconv.Itoa(r.attempt),
		Pool:      r.rights.Route.Pool,
		Tokens:    tokens,
		Workspace: r.rights.Workspace,
		Exclude:   r.exclude,
		Resume:    r.resume,
	})
	if err != nil {
		return nil, "", err
	}
	r.out.Server = grant.Server()
	if r.d.Cheap != nil {
		r.out.Cheap = r.d.Cheap(grant.Server())
	}
	address := r.d.Address(grant.Server())
	if address == "" {
		grant.Release(wire.GrantRelease{Pool: r.rights.Route.Pool, Failed: true})
		return nil, "", request.ErrAttempt{Err: errNoAddress}
	}
	return grant, address, nil
}

var errNoAddress = errors.New("backend server has no address")

// beginAttempt returns the context of an attempt at a backend server. It ends if r.stall isn't reset in time.
func (r *run) beginAttempt(server string) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(r.ctx)
	r.d.live.setAttempt(&r.live, server, cancel)
	r.stall = time.AfterFunc(r.d.stallTimeout(), func() { cancel(ErrStalled{}) })
	return ctx, cancel
}

func (r *run) endAttempt(cancel context.CancelCauseFunc) {
	r.stall.Stop()
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

// mayRetry tells whether another attempt is allowed after err. It never is after a byte of a request that may not
// be repeated was sent.
func (r *run) mayRetry(err error) bool {
	var attempt request.ErrAttempt
	if !errors.As(err, &attempt) || r.ctx.Err() != nil || r.attempt >= maxAttempts {
		return false
	}
	if !attempt.Sent {
		return true
	}
	if !r.rights.Idempotent || isCallersFault(attempt.Status) {
		return false
	}
	return r.d.Retry != nil && r.d.Retry(r.rights.Route.Pool)
}

// isCallersFault tells whether an answer of this status would be the same from any backend server.
func isCallersFault(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError &&
		status != http.StatusTooManyRequests && status != http.StatusRequestTimeout
}
