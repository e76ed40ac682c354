// Package dispatch runs one request from the check of its key to the end of its response: it waits for a slot of a
// backend server, sends the request there, forwards the response, retries failed attempts, and records metrics and
// usage.
//
// A slot is the capacity of a backend server to run one request, and a grant is the permission to use a slot; see
// package pool. An attempt is one try to run the request at a server.
//
// Lock order: no other lock is taken while liveRequests.mu is held.
package dispatch

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/process/quarantine"
	"github.com/toucanroute/toucanroute/request"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 3
	// controlTimeout is the timeout of a cancel call to an engine, and the longest delay between two pause calls.
	controlTimeout = time.Second
	// maxResumes is the number of times that a broken stream of one request is resumed at its engine.
	maxResumes = 8
	// defaultRetryAfter is the Retry-After value during a shutdown, and the smallest one after a failed attempt.
	defaultRetryAfter = time.Second
	// minPauseDelay is the delay after the first failed pause call; it doubles up to controlTimeout.
	minPauseDelay = 20 * time.Millisecond
)

// DefaultStallTimeout is the longest time for which a backend server may send nothing before an attempt is cancelled.
const DefaultStallTimeout = 30 * time.Second

// AuthRequest holds the properties of a request by which it is authorized.
type AuthRequest struct {
	// Key is the caller's API key; empty if it sent none.
	Key string
	// Kind is the kind of the route: a model or a service.
	Kind wire.RouteKind
	// Route is the model's or service's name.
	Route string
	// Class is the service class that the caller asks for; empty selects the route's default.
	Class string
	// Method is the HTTP method of a service call.
	Method string
	// Path is the path of a service call after the service's name.
	Path string
}

// Authorization says on which route and in which service class a request may run, and for which workspace.
type Authorization struct {
	// Workspace is the workspace of the key, or of the open route.
	Workspace string
	// KeyID identifies the key, so that its requests can be cancelled when the key is withdrawn; empty on open routes.
	KeyID string
	// Route is the configured route.
	Route wire.Route
	// Class is the configured service class.
	Class wire.Class
	// Idempotent is true if the request may run more than once.
	Idempotent bool
}

// ClaimRequest identifies a call of a plain service that may run at most once. A claim reserves the call's idempotency
// key, so that a repeat of the call isn't run; see package claim.
type ClaimRequest struct {
	// Workspace is the caller's workspace.
	Workspace string
	// Key is the caller's Idempotency-Key.
	Key string
	// Fingerprint is a hash of the route, method, path, query and body as 16 hex digits.
	Fingerprint string
	// RequestID is the id of the request that makes the claim.
	RequestID string
}

// Summary describes one finished request for the log and the metrics.
type Summary struct {
	// RequestID is the id of the request.
	RequestID string
	// Workspace is the workspace of the request; empty if it was not authorized.
	Workspace string
	// Class is the name of the service class.
	Class string
	// Route is the model's or service's name.
	Route string
	// Pool is the name of the pool of backend servers.
	Pool string
	// Tier is the priority tier of the class; 0 if unknown.
	Tier int
	// Server is the backend server of the last attempt; empty if there was none.
	Server string
	// Cheap is true if the last attempt ran on a server of the cheap kind, which may be reclaimed at any time.
	Cheap bool
	// Attempts is the number of attempts that were sent.
	Attempts int
	// FirstToken is the time from arrival to the first token, or to a service's response; 0 if there was none.
	FirstToken time.Duration
	// MeanTokenGap is the mean time between two tokens.
	MeanTokenGap time.Duration
	// MaxTokenGap is the longest time between two tokens.
	MaxTokenGap time.Duration
	// Duration is the time from arrival to the end.
	Duration time.Duration
	// PromptTokens is the length of the prompt as counted by the engine; 0 if unknown.
	PromptTokens int
	// CompletionTokens is the number of tokens of the response.
	CompletionTokens int
	// WastedTokens is the number of generated tokens that are not part of a complete response.
	WastedTokens int
	// Result is one of the Result constants.
	Result string
	// Reason is the code of the error response; empty if the request succeeded.
	Reason string
	// NotRun is true if no byte of the request was sent to a backend server.
	NotRun bool
}

// Results of a request, as logged and counted in the metrics.
const (
	ResultOK         = "ok"
	ResultRefused    = "refused"
	ResultFailed     = "failed"
	ResultCallerGone = "caller_gone"
	ResultDeadline   = "deadline"
)

// Dispatcher runs requests. Set its fields before the first request; fields marked optional may be nil.
type Dispatcher struct {
	// Authorize authorizes a request. Its errors are of type request.ErrResponse.
	Authorize func(AuthRequest) (Authorization, error)
	// Models returns the names of the models that a key may use.
	Models func(key string) ([]string, error)
	// Acquire waits for a slot of a backend server. If none is granted it returns a pool.ErrRefused.
	Acquire func(ctx context.Context, ask wire.GrantAsk) (*pool.Grant, error)
	// Address returns a backend server's IP address and port; empty if the server is unknown.
	Address func(server string) string
	// Cheap reports whether a backend server is of the cheap kind, which may be reclaimed at any time. Optional.
	Cheap func(server string) bool
	// TakeRetry takes one retry from a pool's retry budget and reports whether one was left. Optional; nil allows no
	// retries.
	TakeRetry func(pool string) bool
	// StallTimeout is the longest time for which a backend server may send nothing; 0 selects DefaultStallTimeout.
	StallTimeout time.Duration
	// Claim makes the claim of a call that may run at most once. Its errors are of type request.ErrResponse. Optional.
	Claim func(ctx context.Context, ask ClaimRequest) error
	// ReleaseClaim releases the claim of a call of which no byte was sent, so that a repeat may run. Optional.
	ReleaseClaim func(ctx context.Context, ask ClaimRequest)
	// CountUsage adds a request's prompt and completion tokens to a workspace's usage. Optional.
	CountUsage func(workspace, class string, prompt, completion int)
	// Log receives one line for each finished request. Optional.
	Log *zap.Logger
	// Observe is called with the Summary of each finished request. Optional.
	Observe func(Summary)
	// Quarantine keeps prompts away from engines that crash under them. Optional.
	Quarantine *quarantine.Table
	// Stream sends a completion to an engine and calls onData for each event of its response; see engine.Client.
	Stream func(ctx context.Context, a *request.Attempt, onData func(data []byte, more bool) error) error
	// Pause asks an engine to pause a stream and free its slot.
	Pause func(ctx context.Context, address, id string) error
	// Cancel asks an engine to stop a stream.
	Cancel func(ctx context.Context, address, id string) error
	// Call sends a request to a plain service and returns its response; see service.Client.
	Call func(ctx context.Context, call request.ServiceCall) (request.ServiceResponse, error)

	live liveRequests
}

// ErrKeyWithdrawn is the cancellation cause of requests whose key was withdrawn.
type ErrKeyWithdrawn struct{}

func (ErrKeyWithdrawn) Error() string { return "key withdrawn" }

// ErrStalled is the cancellation cause of attempts whose backend server sent nothing for the stall timeout.
type ErrStalled struct{}

func (ErrStalled) Error() string { return "backend server sent nothing within the stall timeout" }

// ErrServerLeft is the cancellation cause of attempts whose backend server was removed.
type ErrServerLeft struct{}

func (ErrServerLeft) Error() string { return "backend server was removed" }

// ErrCallerGone is the cancellation cause of requests whose caller disconnected; the listener for callers sets it.
type ErrCallerGone struct{}

func (ErrCallerGone) Error() string { return "caller disconnected" }

// CancelKey cancels the running requests of a key and returns their number. An empty keyID selects all keys of the
// workspace.
func (d *Dispatcher) CancelKey(workspace, keyID string) int {
	return d.live.cancel(ErrKeyWithdrawn{}, func(l *live) bool {
		return l.workspace == workspace && l.keyID != "" && (keyID == "" || l.keyID == keyID)
	})
}

// CancelServer cancels the running attempts at a backend server and returns their number. Idempotent requests may then
// be retried at another server.
func (d *Dispatcher) CancelServer(server string) int {
	return d.live.cancelAttempts(ErrServerLeft{}, server)
}

// Live returns the number of running requests.
func (d *Dispatcher) Live() int { return d.live.len() }

// Running returns the number of running attempts at a backend server.
func (d *Dispatcher) Running(server string) int { return d.live.countAttempts(server) }

// live is one running request, registered so that it can be cancelled from outside.
type live struct {
	workspace string
	keyID     string
	cancel    context.CancelCauseFunc

	// server and cancelAttempt belong to the running attempt; they are guarded by liveRequests.mu.
	server        string
	cancelAttempt context.CancelCauseFunc
}

// liveRequests is the set of running requests.
type liveRequests struct {
	mu       sync.Mutex
	requests map[*live]struct{}
}

func (t *liveRequests) add(l *live) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = make(map[*live]struct{})
	}
	t.requests[l] = struct{}{}
}

func (t *liveRequests) remove(l *live) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, l)
}

func (t *liveRequests) setAttempt(l *live, server string, cancel context.CancelCauseFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.server, l.cancelAttempt = server, cancel
}

func (t *liveRequests) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}

func (t *liveRequests) countAttempts(server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for l := range t.requests {
		if l.server == server && l.cancelAttempt != nil {
			n++
		}
	}
	return n
}

func (t *liveRequests) cancel(cause error, match func(*live) bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for l := range t.requests {
		if match(l) {
			l.cancel(cause)
			n++
		}
	}
	return n
}

func (t *liveRequests) cancelAttempts(cause error, server string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for l := range t.requests {
		if l.server == server && l.cancelAttempt != nil {
			l.cancelAttempt(cause)
			n++
		}
	}
	return n
}
