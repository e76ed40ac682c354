// Package pool holds the scheduling home of a pool: its queue, its slots and the grants that are out.
package pool

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// ErrRefused tells that a request got no slot and when to come back.
type ErrRefused struct {
	// Reason is a stable word for reports, such as "overload", "rate_limit" or "no_server".
	Reason string
	// RetryAfter is the time after which a new try may succeed.
	RetryAfter time.Duration
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("no slot: %s, retry after %s", e.Reason, e.RetryAfter)
}

// IsErrRefused tells whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused)
}

// Grant is a slot of one backend server, held by one attempt until Release.
type Grant struct {
	server    string
	number    int
	preempted chan struct{}
	preempt   sync.Once

	// mu is a leaf; onRelease is called without it.
	mu   sync.Mutex
	home string
	// onRelease is nil once the grant is released.
	onRelease func(wire.GrantRelease)
	// onFirst may be nil.
	onFirst func(home string, f wire.GrantFirst)
}

// NewGrant returns a grant that calls onRelease once when it is released.
func NewGrant(server, home string, number int, onRelease func(wire.GrantRelease)) *Grant {
	return &Grant{
		server:    server,
		home:      home,
		number:    number,
		preempted: make(chan struct{}),
		onRelease: onRelease,
	}
}

// Server returns the name of the backend server.
func (g *Grant) Server() string { return g.server }

// Home returns the name of the instance to which the grant belongs.
func (g *Grant) Home() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.home
}

// Redirect gives the grant to another home, whose onRelease takes the place of the earlier one. It tells false where
// the grant is released already.
func (g *Grant) Redirect(home string, onRelease func(wire.GrantRelease)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.onRelease == nil {
		return false
	}
	g.home = home
	g.onRelease = onRelease
	return true
}

// OnFirstToken sets what tells the grant's home that the first token came late.
func (g *Grant) OnFirstToken(tell func(home string, f wire.GrantFirst)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onFirst = tell
}

// FirstToken tells the home how late the first token came, so that a straggler is known before its streams end.
func (g *Grant) FirstToken(late time.Duration) {
	g.mu.Lock()
	tell, home := g.onFirst, g.home
	g.mu.Unlock()
	if tell != nil {
		tell(home, wire.GrantFirst{Grant: g.number, FirstTokenMs: int(late.Milliseconds())})
	}
}

// Number returns the grant's number at its home.
func (g *Grant) Number() int { return g.number }

// Preempted is closed when the home asks to pause the stream and return the slot.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// Preempt closes the channel that Preempted returns.
func (g *Grant) Preempt() { g.preempt.Do(func() { close(g.preempted) }) }

// Release returns the slot with what was observed; calls after the first do nothing.
func (g *Grant) Release(r wire.GrantRelease) {
	g.mu.Lock()
	onRelease := g.onRelease
	g.onRelease = nil
	g.mu.Unlock()
	if onRelease == nil {
		return
	}
	r.Grant = g.number
	onRelease(r)
}
