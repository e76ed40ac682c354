// Package dispatch takes one request from its rights to its final answer: slot, attempts, stream, retries,
// observations and usage.
//
// Lock order: liveTable.mu is a leaf; no other lock is taken while it is held.
package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	maxAttempts  = 3
	controlWait  = time.Second
	maxResumes   = 8
	defaultRetry = time.Second
	pauseBackoff = 20 * time.Millisecond
)

// DefaultStallTimeout is the time in which a backend server must send something.
const DefaultStallTimeout = 30 * time.Second

// Ask is what a request's rights depend on.
type Ask struct {
	// Key is the caller's key; empty is none.
	Key string
	// Kind tells models from services.
	Kind wire.RouteKind
	// Route is the model's or service's name.
	Route string
	// Class is the class that the caller names; empty leaves it to the route.
	Class string
	// Method is the HTTP method of a service call.
	Method string
	// Path is the path of a service call behind the service's name.
	Path string
}

// Rights is what a request may use.
type Rights struct {
	// Workspace is the workspace of the key, or that of an open route.
	Workspace string
	// KeyID names the key for its withdrawal; empty on open routes.
	KeyID string
	// Route is the route as configured.
	Route wire.Route
	// Class is the class as configured.
	Class wire.Class
	// Idempotent requests may be repeated.
	Idempotent bool
}

// ClaimAsk names a call that may run at most once.
type ClaimAsk struct {
	// Workspace is the caller's workspace.
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key string
	// Fingerprint is a hash of route, method, path and body, 16 hex digits.
	Fingerprint string
	// RequestID is the id of the request that claims.
	RequestID string
}

// Outcome is the record of one finished request.
type Outcome struct {
	// RequestID is the request's id.
	RequestID string
	// Workspace is empty if the request's rights were not found.
	Workspace string
	// Class is the class's name.
	Class string
	// Route is the model's or service's name.
	Route string
	// Pool is the pool's name.
	Pool string
	// Tier is the class's tier; 0 is unknown.
	Tier int
	// Server is the backend server of the last attempt; empty is none.
	Server string
	// Cheap tells whether the last attempt ran on the cheap kind.
	Cheap bool
	// Attempts is the number of attempts that were sent.
	Attempts int
	// FirstToken is the time from arrival to the first token, or to a service's answer; 0 is none.
	FirstToken time.Duration
	// BetweenMean is the mean time between tokens.
	BetweenMean time.Duration
	// BetweenMax is the longest time between tokens.
	BetweenMax time.Duration
	// Duration is the time from arrival to the end.
	Duration time.Duration
	// PromptTokens is the engine's count; 0 is unknown.
	PromptTokens int
	// CompletionTokens is the count of the answer's tokens.
	CompletionTokens int
	// WastedTokens were generated and not part of a whole answer.
	WastedTokens int
	// Result is one of the Result constants.
	Result string
	// Reason is the error's code; empty if the request was answered.
	Reason string
	// NotRun is true if no byte of the request has left for a backend server.
	NotRun bool
}

// Results of a request.
const (
	ResultOK         = "ok"
	ResultRefused    = "refused"
	ResultFailed     = "failed"
	ResultCallerGone = "caller_gone"
	ResultDeadline   = "deadline"
)

// Dispatcher runs requests. Its fields are set before first use; those marked optional may be nil.
type Dispatcher struct {
	// Resolve finds the rights of a request; its errors are request.ErrAnswer.
	Resolve func(Ask) (Rights, error)
	// Models lists the model names that a key may use.
	Models func(key string) ([]string, error)
	// Acquire waits for a slot; a refusal is a pool.ErrRefused.
	Acquire func(ctx context.Context, ask wire.GrantAsk) (*pool.Grant, error)
	// Address returns a backend server's IP address and port; empty is unknown.
	Address func(server string) string
	// Cheap tells whether a backend server is of the cheap kind. Optional.
	Cheap func(server string) bool
	// Retry takes one retry from a pool's budget and tells whether there was one. Optional: none is allowed.
	Retry func(pool string) bool
	// StallTimeout bounds the time in which a backend server must send something; 0 is DefaultStallTimeout.
	StallTimeout time.Duration
	// Claim reserves a call that may run at most once; its errors are request.ErrAnswer. Optional.
	Claim func(ctx context.Context, ask ClaimAsk) error
	// Unclaim gives up a claim whose call provably didn't run. Optional.
	Unclaim func(ctx context.Context, ask ClaimAsk)
	// Count adds to a workspace's usage. Optional.
	Count func(workspace, class string, prompt, completion int)
	// Log takes one line for each finished request. Optional.
	Log *zap.Logger
	// Observe takes the record of each finished request. Optional.
	Observe func(Outcome)
	// Stream sends an attempt to an engine; see engine.Client.
	Stream func(ctx context.Context, a *request.Attempt, onData func(data []byte, more bool) error) error
	// Pause asks an engine to pause a stream.
	Pause func(ctx context.Context, address, id string) error
	// Cancel asks an engine to end a stream.
	Cancel func(ctx context.Context, address, id string) error
	// Call sends an attempt to a plain service; see service.Client.
	Call func(ctx context.Context, call request.ServiceCall) (request.ServiceAnswer, error)

	live liveTable
}

// ErrKeyWithdrawn is the cause of the end of requests whose key was withdrawn.
type ErrKeyWithdrawn struct{}

func (ErrKeyWithdrawn) Error() string { return "key withdrawn" }

// ErrStalled is the cause of the end of attempts at a backend server that sends nothing.
type ErrStalled struct{}

func (ErrStalled) Error() string { return "backend server sends nothing" }

// ErrServerLeft is the cause of the end of attempts at a backend server that is gone.
type ErrServerLeft struct{}

func (ErrServerLeft) Error() string { return "backend server left" }

// ErrCallerGone is the cause with which the callers' listener ends a request whose caller has left.
type ErrCallerGone struct{}

func (ErrCallerGone) Error() string { return "caller left" }

// CancelKey ends the live requests of a key. An empty keyID means each key of the workspace.
func (d *Dispatcher) CancelKey(workspace, keyID string) int {
	return d.live.cancel(ErrKeyWithdrawn{}, func(l *live) bool {
		return l.workspace == workspace && l.keyID != "" && (keyID == "" || l.keyID == keyID)
	})
}

// CancelServer ends the live attempts at a backend server; idempotent ones may go on elsewhere.
func (d *Dispatcher) CancelServer(server string) int {
	return d.live.cancelAttempts(ErrServerLeft{}, server)
}

// Live returns the number of live requests.
func (d *Dispatcher) Live() int { return d.live.len() }

// Running returns the number of running attempts at a backend server.
func (d *Dispatcher) Running(server string) int { return d.live.running(server) }

// live is one running request.
type live struct {
	workspace string
	keyID     string
	cancel    context.CancelCauseFunc

	// server and cancelAttempt belong to the running attempt; they are guarded by liveTable.mu.
	server        string
	cancelAttempt context.CancelCauseFunc
}

// liveTable holds the running requests.
type liveTable struct {
	mu  sync.Mutex
	all map[*live]struct{}
}

func (t *liveTable) add(l *live) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = make(map[*live]struct{})
	}
	t.all[l] = struct{}{}
}

func (t *liveTable) remove(l *live) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.all, l)
}

func (t *liveTable) setAttempt(l *live, server string, cancel context.CancelCauseFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.server, l.cancelAttempt = server, cancel
}

func (t *liveTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.all)
}

func (t *liveTable) running(server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for l := range t.all {
		if l.server == server && l.cancelAttempt != nil {
			n++
		}
	}
	return n
}

func (t *liveTable) cancel(cause error, match func(*live) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for l := range t.all {
		if match(l) {
			l.cancel(cause)
			n++
		}
	}
	return n
}

func (t *liveTable) cancelAttempts(cause error, server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for l := range t.all {
		if l.server == server && l.cancelAttempt != nil {
			l.cancelAttempt(cause)
			n++
		}
	}
	return n
}
