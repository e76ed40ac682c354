package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/wire"
)

// Complete runs a request of the completions API and writes its response to w. An error is of type request.ErrResponse;
// the caller of Complete sends the error as the response, or as the last event of a stream that has started.
func (d *Dispatcher) Complete(ctx context.Context, w http.ResponseWriter, meta *request.Meta, c *request.Completion) error {
	r, err := d.startCompletion(ctx, meta, c)
	if err != nil {
		return r.end(err)
	}
	defer r.withDeadline()()
	s := newStream(r, w, c)
	return s.end(s.complete())
}

func (d *Dispatcher) startCompletion(ctx context.Context, meta *request.Meta, c *request.Completion) (*run, error) {
	return d.start(ctx, meta, &AuthRequest{Key: meta.Key, Kind: wire.RouteKindModel, Route: c.Model(), Class: meta.Class})
}

// end records the tokens of the response and then ends the request; see run.end.
func (s *stream) end(err error) error {
	s.responseStarted = s.response.responseStarted()
	s.recordTokens(err)
	return s.run.end(err)
}

func newStream(r *run, w http.ResponseWriter, completion *request.Completion) *stream {
	return &stream{run: r, completion: completion, response: newResponse(w, completion, r.meta.ID)}
}

// stream is the state of a completion during its attempts. A stream that the engine has paused or whose connection
// broke is resumed within the same attempt.
type stream struct {
	*run
	completion *request.Completion
	response   *response
	// body is the body of the request to the engine.
	body []byte

	// receivedChunks is the number of events of the engine's stream so far; a resumed stream continues after them.
	receivedChunks int
	// resumes is the number of times that a broken stream was resumed.
	resumes int
	// serverRemovedOrStalled is true if the last exchange ended because the backend server was removed or stalled.
	serverRemovedOrStalled bool
	// grant is the grant of the running attempt.
	grant *pool.Grant
	// attemptStart is the time at which the running attempt was sent.
	attemptStart time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
	maxTokenGap  time.Duration
	// wastedTokens is the number of tokens that failed attempts generated and that weren't sent to the caller.
	wastedTokens int
}

// complete runs attempts until one succeeds or no retry is allowed, and then finishes the response.
func (s *stream) complete() error {
	var err error
	s.body, err = s.completion.EngineBody(s.authorization.Route.Pool, s.authorization.Class.Tier, s.authorization.Class.MaxTokens)
	if err != nil {
		return err
	}
	s.identify()
	for s.attempt = 1; ; s.attempt++ {
		err = s.runAttempt()
		if err == nil {
			return s.response.finish()
		}
		if s.response.responseStarted() || !s.mayRetry(err) {
			return err
		}
		s.wastedTokens += s.response.reset()
		s.receivedChunks = 0
	}
}

// runAttempt runs one attempt to its end. A paused stream waits for a new slot of the same server and is resumed there.
func (s *stream) runAttempt() error {
	if err := s.checkQuarantine(); err != nil {
		return err
	}
	grant, address, err := s.acquire(s.estimateTokens(), s.completion.Prefix())
	if err != nil {
		return err
	}
	s.summary.Attempts++
	s.attemptStart = time.Now()
	a := s.newAttempt(address)
	err = s.streamWithGrant(grant, a)
	for request.IsErrPaused(err) {
		grant, err = s.reacquire(grant.Server())
		if err != nil {
			s.cancelStream(a)
			return err
		}
		a.Resume, a.SkipChunks = true, s.receivedChunks
		err = s.streamWithGrant(grant, a)
	}
	if err == nil {
		s.recordAnswered(grant.Server(), a.Address, request.FramingChunked)
	} else {
		s.reportIfCrashed(grant.Server(), a.Address, s.firstTokenAt, err)
	}
	if err != nil && request.IsErrAttempt(err) {
		s.excludedServers = append(s.excludedServers, grant.Server())
	}
	return err
}

func (s *stream) newAttempt(address string) *request.Attempt {
	return &request.Attempt{
		ID:            s.attemptID(),
		Address:       address,
		Path:          s.completion.Path(),
		Body:          s.body,
		NewConnection: !s.authorization.Idempotent,
	}
}

// streamWithGrant streams while it holds the grant, and releases the grant when the engine's slot is free. A broken
// connection is resumed at the same engine under the same grant.
func (s *stream) streamWithGrant(grant *pool.Grant, a *request.Attempt) error {
	s.grant = grant
	start := time.Now()
	tokensBefore := s.response.tokens()
	err := s.send(grant, a)
	for s.mayResume(err) {
		s.resumes++
		a.Resume, a.SkipChunks = true, s.receivedChunks
		err = s.send(grant, a)
	}
	s.release(grant, start, tokensBefore, err)
	return err
}

// release releases the grant and reports what was observed since start. The argument tokensBefore is the length of the
// response in tokens at start.
func (s *stream) release(grant *pool.Grant, start time.Time, tokensBefore int, err error) {
	var attemptErr request.ErrAttempt
	failed := errors.As(err, &attemptErr) && !isClientError(attemptErr.Status) && s.ctx.Err() == nil
	release := wire.GrantRelease{
		Pool:         s.authorization.Route.Pool,
		DurationMs:   int(time.Since(start).Milliseconds()),
		Failed:       failed,
		Paused:       request.IsErrPaused(err),
		Tokens:       max(s.response.tokens()-tokensBefore, 0),
		CachedTokens: s.response.cachedTokens(),
	}
	if !s.firstTokenAt.IsZero() && !s.firstTokenAt.Before(start) {
		release.FirstTokenMs = max(int(s.firstTokenAt.Sub(start).Milliseconds()), 1)
	}
	grant.Release(release)
}

// send runs one exchange with the engine: it sends the request, or a request to resume its stream, and handles the
// events of the response. If the stream ends early, send cancels it at the engine before it returns.
func (s *stream) send(grant *pool.Grant, a *request.Attempt) error {
	ctx, cancel := s.beginAttempt(grant.Server())
	defer s.endAttempt(cancel)
	if s.authorization.Class.Resumable && s.d.Pause != nil {
		go s.pauseOnPreempt(ctx, grant, a)
	}
	err := s.d.Stream(ctx, a, s.onData)
	s.serverRemovedOrStalled = isServerRemovedOrStalled(ctx)
	s.recordSent(err)
	if err != nil && !request.IsErrPaused(err) && s.maybeSent && s.d.Cancel != nil {
		s.cancelAfterError(err, a)
	}
	return err
}

// isServerRemovedOrStalled reports whether an attempt was cancelled because its backend server was removed or stalled.
func isServerRemovedOrStalled(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(cause, ErrServerLeft{}) || errors.Is(cause, ErrStalled{})
}

// pauseOnPreempt pauses the engine's stream when the grant is preempted for a more urgent request.
func (s *stream) pauseOnPreempt(ctx context.Context, grant *pool.Grant, a *request.Attempt) {
	select {
	case <-ctx.Done():
	case <-grant.Preempted():
		s.pause(ctx, a)
	}
}

// pause repeats the pause call until the engine accepts it or the exchange ends: an engine may not yet know a stream
// that was just sent.
func (s *stream) pause(ctx context.Context, a *request.Attempt) {
	delay := minPauseDelay
	for s.d.Pause(ctx, a.Address, a.ID) != nil {
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		delay = min(2*delay, controlTimeout)
	}
}

// cancelStream makes the engine stop a stream and free its slot and the state of a paused stream.
func (s *stream) cancelStream(a *request.Attempt) {
	if s.d.Cancel == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), controlTimeout)
	defer cancel()
	_ = s.d.Cancel(ctx, a.Address, a.ID)
}

// cancelAfterError frees the engine's slot after a failed exchange, unless the engine itself ended the exchange or the
// stream is to be resumed.
func (s *stream) cancelAfterError(err error, a *request.Attempt) {
	var attemptErr request.ErrAttempt
	if errors.As(err, &attemptErr) && attemptErr.Status != 0 {
		return
	}
	if s.mayResume(err) {
		return
	}
	s.cancelStream(a)
}

// mayResume reports whether a stream whose connection broke can be resumed at the same engine.
func (s *stream) mayResume(err error) bool {
	var attemptErr request.ErrAttempt
	if !errors.As(err, &attemptErr) || attemptErr.Status != 0 || !attemptErr.Sent || s.serverRemovedOrStalled {
		return false
	}
	return s.receivedChunks > 0 && s.resumes < maxResumes && s.ctx.Err() == nil && s.authorization.Class.Resumable
}

// reacquire waits for a slot of the backend server that has the paused stream.
func (s *stream) reacquire(server string) (*pool.Grant, error) {
	s.resumeServer = server
	defer func() { s.resumeServer = "" }()
	for {
		grant, _, err := s.acquire(s.estimateTokens(), s.completion.Prefix())
		if err != nil {
			return nil, err
		}
		if grant.Server() == server {
			return grant, nil
		}
		grant.Release(wire.GrantRelease{Pool: s.authorization.Route.Pool})
		s.excludedServers = append(s.excludedServers, grant.Server())
	}
}

// estimateTokens returns the expected number of tokens of the request: those of the prompt, as those of the response
// aren't known yet.
func (s *stream) estimateTokens() int {
	return s.completion.PromptTokens()
}

// onData handles one event of the engine's stream. The argument more is true if further events are already buffered.
func (s *stream) onData(data []byte, more bool) error {
	s.receivedChunks++
	// A slow caller may block the write for long, which must not count as a stall of the engine.
	s.stallTimer.Stop()
	defer s.stallTimer.Reset(s.d.stallTimeout())
	hasToken, err := s.response.add(data, more)
	if !hasToken {
		return err
	}
	now := time.Now()
	if s.firstTokenAt.IsZero() {
		s.firstTokenAt = now
		s.reportLateFirstToken(now)
	} else {
		s.maxTokenGap = max(s.maxTokenGap, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	return err
}

// reportLateFirstToken tells the instance that granted the slot about a first token that took the engine more than half
// of the class's target.
func (s *stream) reportLateFirstToken(now time.Time) {
	elapsed := now.Sub(s.attemptStart)
	target := time.Duration(s.authorization.Class.TtftMs) * time.Millisecond
	if target > 0 && elapsed > target/2 && s.grant != nil {
		s.grant.ReportFirstToken(elapsed)
	}
}

// recordTokens sets the token counts and times of the summary and counts the usage: the engine's count for a complete
// response, the tokens that were sent to the caller for a stream that ended early.
func (s *stream) recordTokens(err error) {
	tokens := s.response.tokens()
	if !s.firstTokenAt.IsZero() {
		s.summary.FirstToken = s.firstTokenAt.Sub(s.meta.ArrivedAt)
	}
	if chunks := s.response.countTokenChunks(); chunks > 1 {
		s.summary.MeanTokenGap = s.lastTokenAt.Sub(s.firstTokenAt) / time.Duration(chunks-1)
		s.summary.MaxTokenGap = s.maxTokenGap
	}
	s.summary.PromptTokens = s.response.promptTokens()
	s.summary.WastedTokens = s.wastedTokens
	countUsage := err == nil || s.response.responseStarted()
	if err != nil {
		s.summary.WastedTokens += tokens
	}
	if !countUsage {
		return
	}
	s.summary.CompletionTokens = tokens
	if s.d.CountUsage != nil {
		s.d.CountUsage(s.authorization.Workspace, s.authorization.Class.Name, s.summary.PromptTokens, tokens)
	}
}
