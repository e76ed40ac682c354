package attempt

import (
	"sync"
	"time"
)

// BreakerState is the state of a Breaker.
type BreakerState int

const (
	// BreakerClosed lets all requests pass.
	BreakerClosed BreakerState = iota
	// BreakerOpen lets none pass until its time is over.
	BreakerOpen
	// BreakerHalfOpen lets one request pass to see whether the server has recovered.
	BreakerHalfOpen
)

const (
	breakerFailures = 3
	breakerOpenMin  = 500 * time.Millisecond
	breakerOpenMax  = 30 * time.Second
)

// Breaker stops requests to a backend server that fails. The zero value is closed.
type Breaker struct {
	mu       sync.Mutex
	state    BreakerState
	failures int
	openFor  time.Duration
	until    time.Time
}

// Allow tells whether a request may go to the server; in the half-open state only one may.
func (b *Breaker) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == BreakerClosed {
		return true
	}
	if time.Now().Before(b.until) {
		return false
	}
	// A probe whose end is never told would block the server for good, so another may go later.
	b.state = BreakerHalfOpen
	b.until = time.Now().Add(b.openFor)
	return true
}

// Success notes that the server answered.
func (b *Breaker) Success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state, b.failures, b.openFor = BreakerClosed, 0, 0
}

// Failure notes that the server failed; several in a row open the breaker.
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
	b.until = time.Now().Add(b.openFor)
}

// State returns the state.
func (b *Breaker) State() BreakerState {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state
}
