// Package tracecheck checks the trace of a scheduler's decisions against the rules of docs/POLICY.md: no request is
// refused (shed) or preempted for one of a lower tier, no class starves, no server gets more grants than it has slots,
// and each request ends exactly once. It is used by tests and benchmarks, not by the daemon.
package tracecheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/toucanroute/toucanroute/process/pool"
)

// StarvationTimeout is the wait after which a class without a grant must be served before requests that arrive later.
const StarvationTimeout = time.Minute

// Checker checks the events of one scheduler, which must be added in order.
type Checker struct {
	servers map[string]*server
	// waiting holds the EventQueued of each waiting request, and granted the EventGranted of each request with a grant, by
	// request number.
	waiting map[int]pool.Event
	granted map[int]pool.Event
	// ended holds the numbers of the requests that were granted, refused or abandoned.
	ended map[int]bool
	// waitingSince holds, by class, the time since which the class has been waiting without a grant.
	waitingSince map[string]time.Time
	// lastGrant holds the time of the last grant by class.
	lastGrant  map[string]time.Time
	violations []Violation
	// seenTiers holds the tiers of the requests added so far.
	seenTiers map[int]bool
	// refusals holds the requests that were refused on arrival and whose latest start hasn't passed.
	refusals []pool.Event
	// mispredictions is the number that Mispredicted returns.
	mispredictions int
}

// Violation is an event that violates a rule.
type Violation struct {
	// Rule is the name of the rule.
	Rule string
	// Event is the event that violates the rule.
	Event pool.Event
	// Detail describes the violation.
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s (kind %d, request %d, class %s, tier %d, server %q at %s)",
		v.Rule, v.Detail, v.Event.Kind, v.Event.Request, v.Event.Class, v.Event.Tier, v.Event.Server, v.Event.At.Format("15:04:05.000"))
}

// server is the state of a backend server according to the events.
type server struct {
	slots, running           int
	cheap, serving, draining bool
}

// New returns an empty checker.
func New() *Checker {
	return &Checker{
		servers:      make(map[string]*server),
		waiting:      make(map[int]pool.Event),
		granted:      make(map[int]pool.Event),
		ended:        make(map[int]bool),
		waitingSince: make(map[string]time.Time),
		lastGrant:    make(map[string]time.Time),
		seenTiers:    make(map[int]bool),
	}
}

// Add checks one event. It can be used as Scheduler.OnEvent.
func (c *Checker) Add(e pool.Event) {
	if e.Kind != pool.EventServerChanged {
		c.seenTiers[e.Tier] = true
	}
	switch e.Kind {
	case pool.EventServerChanged:
		c.setServer(e)
	case pool.EventQueued:
		c.addWaiting(e)
	case pool.EventRefused:
		c.checkRefusal(e)
	case pool.EventAbandoned:
		c.checkAbandoned(e)
	case pool.EventGranted:
		c.checkGrant(e)
	case pool.EventPreempted:
		c.checkPreemption(e)
	case pool.EventReleased:
		c.checkRelease(e)
	}
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []Violation { return c.violations }

// Unfinished returns the number of requests that still wait and of grants that haven't been released.
func (c *Checker) Unfinished() (waiting, granted int) { return len(c.waiting), len(c.granted) }

func (c *Checker) addViolation(rule string, e pool.Event, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Event: e, Detail: fmt.Sprintf(format, args...)})
}

func (c *Checker) setServer(e pool.Event) {
	s := c.ensureServer(e.Server)
	s.slots, s.cheap, s.serving, s.draining = e.Slots, e.Cheap, e.Serving, e.Draining
}

// ensureServer returns the state of the server and creates it if there is none.
func (c *Checker) ensureServer(name string) *server {
	s := c.servers[name]
	if s == nil {
		s = &server{}
		c.servers[name] = s
	}
	return s
}

func (c *Checker) addWaiting(e pool.Event) {
	if c.ended[e.Request] {
		c.addViolation("conservation", e, "the request has ended already")
	}
	c.waiting[e.Request] = e
	if c.waitingSince[e.Class].IsZero() {
		c.waitingSince[e.Class] = e.At
	}
}

// recordEnd records that a waiting request has ended and checks that it ends only once.
func (c *Checker) recordEnd(e pool.Event) {
	if c.ended[e.Request] {
		c.addViolation("conservation", e, "the request ends twice")
	}
	c.ended[e.Request] = true
	delete(c.waiting, e.Request)
	for _, w := range c.waiting {
		if w.Class == e.Class {
			return
		}
	}
	delete(c.waitingSince, e.Class)
}

func (c *Checker) checkRefusal(e pool.Event) {
	if e.Reason == pool.ReasonOverload && !e.Recovering {
		c.checkOverload(e)
	}
	c.recordEnd(e)
}

// checkOverload checks a refusal for overload: no request of a lower tier was counted ahead except for one turn per
// class, no slot was free for a request of the highest tier, and preempting lower tiers wouldn't have freed a slot.
func (c *Checker) checkOverload(e pool.Event) {
	ahead, lowerClasses := 0, make(map[string]bool)
	for _, w := range c.waiting {
		if w.Tier <= e.Tier {
			ahead++
		} else {
			lowerClasses[w.Class] = true
		}
	}
	if e.RequestsAhead > ahead+len(lowerClasses) {
		c.addViolation("shed for", e, "%d requests counted ahead, but only %d are waiting in its tier and above and %d classes below", e.RequestsAhead, ahead, len(lowerClasses))
	}
	c.checkPreemptible(e)
	if _, waited := c.waiting[e.Request]; waited {
		return
	}
	c.refusals = append(c.refusals, e)
	if c.freeSlotsFor(e) > e.RequestsAhead && c.isHighestTier(e.Tier) {
		c.addViolation("shed for", e, "%d slots are free, but only %d requests are ahead", c.freeSlotsFor(e), e.RequestsAhead)
	}
}

// isHighestTier reports whether no event of a higher tier has been added.
func (c *Checker) isHighestTier(tier int) bool {
	for t := range c.seenTiers {
		if t < tier {
			return false
		}
	}
	return true
}

// freeSlotsFor returns the number of free slots on the servers on which the request is allowed.
func (c *Checker) freeSlotsFor(e pool.Event) int {
	n := 0
	for name, s := range c.servers {
		if isAllowedOn(e, name, s) {
			n += max(0, s.slots-s.running)
		}
	}
	return n
}

// checkPreemptible checks that there are no more preemptible grants of lower tiers than requests ahead and grants being
// paused.
func (c *Checker) checkPreemptible(e pool.Event) {
	preemptible, pausing := 0, 0
	for _, g := range c.granted {
		switch {
		case g.Tier <= e.Tier || !isAllowedOn(e, g.Server, c.servers[g.Server]):
		case c.servers[g.Server].running > c.servers[g.Server].slots:
		case g.Preemptible:
			preemptible++
		case g.PreemptedForTier != 0:
			pausing++
		}
	}
	if preemptible > e.RequestsAhead+pausing {
		c.addViolation("shed for", e, "%d grants of lower tiers are preemptible, %d are being paused, %d requests are ahead", preemptible, pausing, e.RequestsAhead)
	}
}

// countMispredictions counts the requests refused on arrival that could have used the slot granted by e in time.
func (c *Checker) countMispredictions(e pool.Event) {
	if !e.TurnDue.IsZero() {
		return
	}
	remaining := c.refusals[:0]
	for _, refusal := range c.refusals {
		if e.At.After(refusal.LatestStart) {
			continue
		}
		if e.Tier > refusal.Tier && isAllowedOn(refusal, e.Server, c.servers[e.Server]) && !slices.Contains(e.SkippedRequests, refusal.Request) {
			c.mispredictions++
			continue
		}
		remaining = append(remaining, refusal)
	}
	c.refusals = remaining
}

// Mispredicted returns the number of requests that were refused on arrival although a lower tier was later granted a
// slot, not by turn, that the request could have used in time. These are errors of the wait prediction, which the rules
// allow.
func (c *Checker) Mispredicted() int { return c.mispredictions }

// isAllowedOn reports whether the request is allowed on the server, regardless of the server's load. Servers that the
// event lists as too slow aren't allowed.
func isAllowedOn(e pool.Event, name string, s *server) bool {
	if s != nil && e.Resume != "" {
		return name == e.Resume && (s.serving || s.draining)
	}
	if s == nil || !s.serving || s.cheap && !e.CheapAllowed {
		return false
	}
	return !slices.Contains(e.Exclude, name) && !slices.Contains(e.TooSlowServers, name)
}

func (c *Checker) checkAbandoned(e pool.Event) {
	if _, ok := c.waiting[e.Request]; !ok {
		c.addViolation("conservation", e, "the request wasn't waiting")
	}
	c.recordEnd(e)
}

func (c *Checker) checkGrant(e pool.Event) {
	s := c.ensureServer(e.Server)
	s.running++
	if e.Request < 0 {
		return
	}
	queued, ok := c.waiting[e.Request]
	if !ok {
		c.addViolation("conservation", e, "the request wasn't waiting")
	}
	if !isAllowedOn(queued, e.Server, s) {
		c.addViolation("eligible", e, "the request isn't allowed on the server")
	}
	if s.running > s.slots {
		c.addViolation("slots", e, "%d grants on %d slots", s.running, s.slots)
	}
	c.checkTiers(e, queued, s)
	c.checkTurn(e)
	c.countMispredictions(e)
	c.checkStarvation(e, queued, s)
	c.recordEnd(e)
	c.granted[e.Request] = e
	c.lastGrant[e.Class] = e.At
	if !c.waitingSince[e.Class].IsZero() {
		c.waitingSince[e.Class] = e.At
	}
}

// checkTiers checks that no request of a higher tier that could use the server is waiting. A grant by a turn is allowed
// if the waiting request joined the queue after the turn was due or has no target.
func (c *Checker) checkTiers(e, queued pool.Event, s *server) {
	for _, w := range c.waiting {
		if w.Tier >= queued.Tier || !isAllowedOn(w, e.Server, s) || slices.Contains(e.SkippedRequests, w.Request) {
			continue
		}
		if !e.TurnDue.IsZero() && (w.At.After(e.TurnDue) || w.LatestStart.IsZero()) {
			continue
		}
		c.addViolation("shed for", e, "request %d of tier %d has been waiting since %s", w.Request, w.Tier, w.At.Format("15:04:05.000"))
	}
}

// checkTurn checks that a class uses a turn only once, and only after the turn is due.
func (c *Checker) checkTurn(e pool.Event) {
	if e.TurnDue.IsZero() {
		return
	}
	if e.TurnDue.After(e.At) || !e.TurnDue.After(c.lastGrant[e.Class]) {
		c.addViolation("turn", e, "due at %s, last grant at %s", e.TurnDue.Format("15:04:05.000"), c.lastGrant[e.Class].Format("15:04:05.000"))
	}
}

// checkStarvation checks that no other class had waited for StarvationTimeout when the granted request joined the
// queue. A grant by a turn that became due before the other class had waited that long is allowed.
func (c *Checker) checkStarvation(e, queued pool.Event, s *server) {
	for _, w := range c.waiting {
		since := c.waitingSince[w.Class]
		if w.Class == e.Class || since.IsZero() || !isAllowedOn(w, e.Server, s) {
			continue
		}
		due := since.Add(StarvationTimeout)
		byOlderTurn := !e.TurnDue.IsZero() && !e.TurnDue.After(due)
		if queued.At.After(due) && !byOlderTurn {
			c.addViolation("starves", e, "class %s has been waiting since %s", w.Class, since.Format("15:04:05.000"))
		}
	}
}

func (c *Checker) checkPreemption(e pool.Event) {
	g, ok := c.granted[e.Request]
	if e.Request >= 0 && !ok {
		c.addViolation("conservation", e, "the grant doesn't exist or was released")
	}
	if e.PreemptedForTier >= e.Tier {
		c.addViolation("preempted for", e, "preempted for tier %d", e.PreemptedForTier)
	}
	if !g.TurnDue.IsZero() {
		c.addViolation("starves", e, "the preempted grant was made by a turn")
	}
	for _, w := range c.waiting {
		if w.Tier == e.PreemptedForTier {
			g.Preemptible, g.PreemptedForTier = false, e.PreemptedForTier
			if ok {
				c.granted[e.Request] = g
			}
			return
		}
	}
	c.addViolation("preempted for", e, "no request of tier %d is waiting", e.PreemptedForTier)
}

func (c *Checker) checkRelease(e pool.Event) {
	c.ensureServer(e.Server).running--
	if e.Request < 0 {
		return
	}
	if _, ok := c.granted[e.Request]; !ok {
		c.addViolation("conservation", e, "the grant doesn't exist or was released")
	}
	delete(c.granted, e.Request)
}
