package attempt

import (
	"sync"
	"time"
)

// BreakerState is the state of a Breaker.
type BreakerState int

const (
	// BreakerClosed allows all requests.
	BreakerClosed BreakerState = iota
	// BreakerOpen allows no requests until its timeout ends.
	BreakerOpen
	// BreakerHalfOpen allows one request as a probe of whether the server has recovered.
	BreakerHalfOpen
)

const (
	// breakerFailures is the number of consecutive failures that open a closed breaker.
	breakerFailures = 3
	// breakerOpenMin is the time for which a breaker is open at first; it doubles with each failed probe up to
	// breakerOpenMax.
	breakerOpenMin = 500 * time.Millisecond
	breakerOpenMax = 30 * time.Second
)

// Breaker is a circuit breaker: it stops requests to a backend server that fails. The zero value is closed.
type Breaker struct {
	mu    sync.Mutex
	state BreakerState
	// failures is the number of consecutive failures.
	failures int
	// openFor is the time for which an open breaker allows no requests, and openUntil is the end of that time.
	openFor   time.Duration
	openUntil time.Time
}

// Allow reports whether a request may be sent to the server. After the timeout of an open breaker it allows one request
// as a probe.
func (b *Breaker) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == BreakerClosed {
		return true
	}
	if time.Now().Before(b.openUntil) {
		return false
	}
	// A probe whose result is never reported would block the server forever, so another one is allowed after the same
	// timeout.
	b.state = BreakerHalfOpen
	b.openUntil = time.Now().Add(b.openFor)
	return true
}

// Success records that the server answered, and closes the breaker.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state, b.failures, b.openFor = BreakerClosed, 0, 0
}

// Failure records that the server failed. Several failures in a row open the breaker, and a failed probe opens it again
// for twice the time, up to breakerOpenMax.
func (b *Breaker) Failure() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.state == BreakerClosed && b.failures < breakerFailures {
		return
	}
	if b.state == BreakerOpen {
		return
	}
	b.state = BreakerOpen
	b.openFor = min(max(2*b.openFor, breakerOpenMin), breakerOpenMax)
	b.openUntil = time.Now().Add(b.openFor)
}

// State returns the current state.
func (b *Breaker) State() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}
