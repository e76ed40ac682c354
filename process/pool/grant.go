// Package pool schedules the requests of a pool of backend servers.
//
// The scheduler of a pool in a data centre owns the queue of waiting requests and the slots of the servers. It runs on
// one instance, the home instance of the pool. A grant gives one attempt the right to use a slot. The instance whose
// attempt has the grant is its holder. If the home instance changes, the holders declare their grants: they send the
// new scheduler the list of the grants that they hold, and it adopts these grants.
//
// Each request belongs to a class, and each class to a tier; tier 1 is the highest. Free slots go to the highest tier
// first. To preempt a grant means to pause its stream, so that a request of a higher tier gets the slot. A class that
// has had no grant for some time gets a turn: one of its requests is granted a slot ahead of higher tiers, so
// that the class doesn't starve.
//
// Servers of the cheap kind, in contrast to regular ones, may be reclaimed by the platform at short notice. A straggler
// is a server that has become much slower than the others.
package pool

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// ErrRefused is returned when a request is refused a slot.
type ErrRefused struct {
	// Reason is one of the Reason constants. Reports contain it, so its values are stable.
	Reason string
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

func (e ErrRefused) Error() string {
	return fmt.Sprintf("no slot: %s, retry after %s", e.Reason, e.RetryAfter)
}

// IsErrRefused reports whether err is an ErrRefused.
func IsErrRefused(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused)
}

// Grant is the right of one attempt to use a slot of a backend server until Release is called.
type Grant struct {
	server    string
	number    int
	preempted chan struct{}
	preempt   sync.Once

	// mu guards the fields below. While it is held, no other lock is acquired and no callback is called.
	mu sync.Mutex
	// home is the name of the home instance, whose scheduler issued or adopted the grant.
	home string
	// onRelease is called on the release; it is nil after that.
	onRelease func(wire.GrantRelease)
	// onLateFirstToken reports a late first token; it may be nil.
	onLateFirstToken func(home string, f wire.GrantFirst)
}

// NewGrant returns a grant that calls onRelease once, on its release.
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

// SchedulerInstance returns the name of the home instance, whose scheduler issued or adopted the grant.
func (g *Grant) SchedulerInstance() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.home
}

// Reassign moves the grant to the scheduler of another home instance and replaces onRelease. It returns false if the
// grant has already been released.
func (g *Grant) Reassign(home string, onRelease func(wire.GrantRelease)) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.onRelease == nil {
		return false
	}
	g.home = home
	g.onRelease = onRelease
	return true
}

// SetFirstTokenCallback sets the function that reports a late first token to the scheduler of the grant.
func (g *Grant) SetFirstTokenCallback(callback func(home string, f wire.GrantFirst)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onLateFirstToken = callback
}

// ReportFirstToken reports the time to first token to the scheduler, which can thus detect a straggler before its
// streams end.
func (g *Grant) ReportFirstToken(delay time.Duration) {
	g.mu.Lock()
	callback, home := g.onLateFirstToken, g.home
	g.mu.Unlock()
	if callback != nil {
		callback(home, wire.GrantFirst{Grant: g.number, FirstTokenMs: int(delay.Milliseconds())})
	}
}

// Number returns the number of the grant, which its scheduler assigned.
func (g *Grant) Number() int { return g.number }

// Preempted returns a channel that is closed when the scheduler asks the holder to pause the stream and return the
// slot.
func (g *Grant) Preempted() <-chan struct{} { return g.preempted }

// Preempt closes the channel that Preempted returns.
func (g *Grant) Preempt() { g.preempt.Do(func() { close(g.preempted) }) }

// Release returns the slot and reports the observed times and tokens. Calls after the first one have no effect.
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
