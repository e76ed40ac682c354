// Package tracecheck checks a trace of a home's decisions against the definitions of docs/POLICY.md:
// no higher tier is shed or preempted for a lower one, no class starves, slots are never over-granted,
// and each request ends exactly once. Tests and benchmarks use it; the daemon doesn't.
package tracecheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/toucanroute/toucanroute/process/pool"
)

// StarvedAfter is the wait after which a class without a grant goes before later requests.
const StarvedAfter = time.Minute

// Checker takes in the events of one home, in order.
type Checker struct {
	servers    map[string]*server
	waiting    map[int]pool.Event
	granted    map[int]pool.Event
	ended      map[int]bool
	waitBegan  map[string]time.Time
	lastGrant  map[string]time.Time
	violations []Violation
	tiers      map[int]bool
	// refusals holds the requests that were refused at once and whose latest start is to come.
	refusals     []pool.Event
	mispredicted int
}

// Violation is a breach of a definition.
type Violation struct {
	// Rule is the definition's name.
	Rule string
	// Event is the event that breaches it.
	Event pool.Event
	// Detail tells what was expected.
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: %s (kind %d, ask %d, class %s, tier %d, server %q at %s)",
		v.Rule, v.Detail, v.Event.Kind, v.Event.Ask, v.Event.Class, v.Event.Tier, v.Event.Server, v.Event.At.Format("15:04:05.000"))
}

type server struct {
	slots, running           int
	cheap, serving, draining bool
}

// New returns an empty checker.
func New() *Checker {
	return &Checker{
		servers:   make(map[string]*server),
		waiting:   make(map[int]pool.Event),
		granted:   make(map[int]pool.Event),
		ended:     make(map[int]bool),
		waitBegan: make(map[string]time.Time),
		lastGrant: make(map[string]time.Time),
		tiers:     make(map[int]bool),
	}
}

// Add takes in one event; it fits Home.Trace.
func (c *Checker) Add(e pool.Event) {
	if e.Kind != pool.EventServer {
		c.tiers[e.Tier] = true
	}
	switch e.Kind {
	case pool.EventServer:
		c.server(e)
	case pool.EventAsked:
		c.asked(e)
	case pool.EventRefused:
		c.refused(e)
	case pool.EventLeft:
		c.left(e)
	case pool.EventGranted:
		c.grant(e)
	case pool.EventPreempted:
		c.preempted(e)
	case pool.EventReleased:
		c.released(e)
	}
}

// Violations returns the breaches seen so far.
func (c *Checker) Violations() []Violation { return c.violations }

// Open returns the numbers of requests without an end and of grants without a release.
func (c *Checker) Open() (waiting, granted int) { return len(c.waiting), len(c.granted) }

func (c *Checker) fail(rule string, e pool.Event, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Event: e, Detail: fmt.Sprintf(format, args...)})
}

func (c *Checker) server(e pool.Event) {
	s := c.serverOf(e.Server)
	s.slots, s.cheap, s.serving, s.draining = e.Slots, e.Cheap, e.Serving, e.Draining
}

func (c *Checker) serverOf(name string) *server {
	s := c.servers[name]
	if s == nil {
		s = &server{}
		c.servers[name] = s
	}
	return s
}

func (c *Checker) asked(e pool.Event) {
	if c.ended[e.Ask] {
		c.fail("conservation", e, "the request has ended already")
	}
	c.waiting[e.Ask] = e
	if c.waitBegan[e.Class].IsZero() {
		c.waitBegan[e.Class] = e.At
	}
}

// end notes the only end of a waiting request.
func (c *Checker) end(e pool.Event) {
	if c.ended[e.Ask] {
		c.fail("conservation", e, "the request ends twice")
	}
	c.ended[e.Ask] = true
	delete(c.waiting, e.Ask)
	for _, w := range c.waiting {
		if w.Class == e.Class {
			return
		}
	}
	delete(c.waitBegan, e.Class)
}

func (c *Checker) refused(e pool.Event) {
	if e.Reason == pool.ReasonOverload && !e.Recovering {
		c.overload(e)
	}
	c.end(e)
}

// overload checks that what was counted against the request is no lower tier's, that no slot was
// free for the highest tier, and that pausing lower tiers wouldn't have given it one.
func (c *Checker) overload(e pool.Event) {
	ahead, turns := 0, make(map[string]bool)
	for _, w := range c.waiting {
		if w.Tier <= e.Tier {
			ahead++
		} else {
			turns[w.Class] = true
		}
	}
	if e.Ahead > ahead+len(turns) {
		c.fail("shed for", e, "%d requests counted ahead, %d wait in its tier and above and %d classes below", e.Ahead, ahead, len(turns))
	}
	c.pausable(e)
	if _, waited := c.waiting[e.Ask]; waited {
		return
	}
	c.refusals = append(c.refusals, e)
	if c.freeFor(e) > e.Ahead && c.isHighest(e.Tier) {
		c.fail("shed for", e, "%d slots are free, %d requests are ahead", c.freeFor(e), e.Ahead)
	}
}

func (c *Checker) isHighest(tier int) bool {
	for t := range c.tiers {
		if t < tier {
			return false
		}
	}
	return true
}

func (c *Checker) freeFor(e pool.Event) int {
	n := 0
	for name, s := range c.servers {
		if mayUse(e, name, s) {
			n += max(0, s.slots-s.running)
		}
	}
	return n
}

func (c *Checker) pausable(e pool.Event) {
	open, pausing := 0, 0
	for _, g := range c.granted {
		switch {
		case g.Tier <= e.Tier || !mayUse(e, g.Server, c.servers[g.Server]):
		case c.servers[g.Server].running > c.servers[g.Server].slots:
		case g.Preemptible:
			open++
		case g.ForTier != 0:
			pausing++
		}
	}
	if open > e.Ahead+pausing {
		c.fail("shed for", e, "%d grants of lower tiers could be paused, %d are, %d requests are ahead", open, pausing, e.Ahead)
	}
}

// mispredicted counts the refusals at once whose requests could have had the slot in time after all.
func (c *Checker) mispredictedBy(e pool.Event) {
	if !e.TurnDue.IsZero() {
		return
	}
	kept := c.refusals[:0]
	for _, r := range c.refusals {
		if e.At.After(r.Latest) {
			continue
		}
		if e.Tier > r.Tier && mayUse(r, e.Server, c.servers[e.Server]) && !slices.Contains(e.Unfit, r.Ask) {
			c.mispredicted++
			continue
		}
		kept = append(kept, r)
	}
	c.refusals = kept
}

// Mispredicted returns how many requests were refused at once although a lower tier got a slot, without
// a turn, that the request could have used in time: the error of the prediction, which no definition rules out.
func (c *Checker) Mispredicted() int { return c.mispredicted }

// mayUse tells whether the rules let the request on the server, however loaded and slow it is.
func mayUse(e pool.Event, name string, s *server) bool {
	if s != nil && e.Resume != "" {
		return name == e.Resume && (s.serving || s.draining)
	}
	if s == nil || !s.serving || s.cheap && !e.CheapAllowed {
		return false
	}
	return !slices.Contains(e.Exclude, name) && !slices.Contains(e.TooSlow, name)
}

func (c *Checker) left(e pool.Event) {
	if _, ok := c.waiting[e.Ask]; !ok {
		c.fail("conservation", e, "the request wasn't waiting")
	}
	c.end(e)
}

func (c *Checker) grant(e pool.Event) {
	s := c.serverOf(e.Server)
	s.running++
	if e.Ask < 0 {
		return
	}
	asked, ok := c.waiting[e.Ask]
	if !ok {
		c.fail("conservation", e, "the request wasn't waiting")
	}
	if !mayUse(asked, e.Server, s) {
		c.fail("eligible", e, "the server may not take the request")
	}
	if s.running > s.slots {
		c.fail("slots", e, "%d grants on %d slots", s.running, s.slots)
	}
	c.checkTiers(e, asked, s)
	c.checkTurn(e)
	c.mispredictedBy(e)
	c.checkStarved(e, asked, s)
	c.end(e)
	c.granted[e.Ask] = e
	c.lastGrant[e.Class] = e.At
	if !c.waitBegan[e.Class].IsZero() {
		c.waitBegan[e.Class] = e.At
	}
}

// checkTiers checks that no request of a higher tier that could use the server waits, save behind a
// turn that was due before it joined or where it has no target.
func (c *Checker) checkTiers(e, asked pool.Event, s *server) {
	for _, w := range c.waiting {
		if w.Tier >= asked.Tier || !mayUse(w, e.Server, s) || slices.Contains(e.Unfit, w.Ask) {
			continue
		}
		if !e.TurnDue.IsZero() && (w.At.After(e.TurnDue) || w.Latest.IsZero()) {
			continue
		}
		c.fail("shed for", e, "request %d of tier %d waits since %s", w.Ask, w.Tier, w.At.Format("15:04:05.000"))
	}
}

// checkTurn checks that a class uses a turn once, and only after a wait.
func (c *Checker) checkTurn(e pool.Event) {
	if e.TurnDue.IsZero() {
		return
	}
	if e.TurnDue.After(e.At) || !e.TurnDue.After(c.lastGrant[e.Class]) {
		c.fail("turn", e, "due at %s, last grant at %s", e.TurnDue.Format("15:04:05.000"), c.lastGrant[e.Class].Format("15:04:05.000"))
	}
}

// checkStarved checks that the slot doesn't go past a class that has waited for longer than StarvedAfter
// to a request that joined after that.
func (c *Checker) checkStarved(e, asked pool.Event, s *server) {
	for _, w := range c.waiting {
		began := c.waitBegan[w.Class]
		if w.Class == e.Class || began.IsZero() || !mayUse(w, e.Server, s) {
			continue
		}
		due := began.Add(StarvedAfter)
		byOlderTurn := !e.TurnDue.IsZero() && !e.TurnDue.After(due)
		if asked.At.After(due) && !byOlderTurn {
			c.fail("starves", e, "class %s waits since %s", w.Class, began.Format("15:04:05.000"))
		}
	}
}

func (c *Checker) preempted(e pool.Event) {
	g, ok := c.granted[e.Ask]
	if e.Ask >= 0 && !ok {
		c.fail("conservation", e, "the grant isn't out")
	}
	if e.ForTier >= e.Tier {
		c.fail("preempted for", e, "preempted for tier %d", e.ForTier)
	}
	if !g.TurnDue.IsZero() {
		c.fail("starves", e, "the grant came by a turn")
	}
	for _, w := range c.waiting {
		if w.Tier == e.ForTier {
			g.Preemptible, g.ForTier = false, e.ForTier
			if ok {
				c.granted[e.Ask] = g
			}
			return
		}
	}
	c.fail("preempted for", e, "no request of tier %d waits", e.ForTier)
}

func (c *Checker) released(e pool.Event) {
	c.serverOf(e.Server).running--
	if e.Ask < 0 {
		return
	}
	if _, ok := c.granted[e.Ask]; !ok {
		c.fail("conservation", e, "the grant isn't out")
	}
	delete(c.granted, e.Ask)
}
