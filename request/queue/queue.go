// Package queue orders the waiting requests of one pool: strict tiers, a turn for each class that
// would starve, fair shares of tokens between the workspaces of a tier, and the earliest deadline
// inside a workspace. It holds no lock and no goroutine; its owner serializes the calls.
package queue

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Item is one waiting request.
type Item struct {
	// Number identifies the request at its home.
	Number int
	// Class is the name of the request's class.
	Class string
	// Workspace is the name of the workspace that pays for the request.
	Workspace string
	// Tier is the tier of the class; 1 is the highest.
	Tier int
	// Since is the time at which the request joined this queue.
	Since time.Time
	// Latest is the latest start that still meets the class's target; zero is none.
	Latest time.Time
	// Tokens is the estimated length of the answer.
	Tokens float64
	// CheapAllowed tells that servers of the cheap kind may take the request.
	CheapAllowed bool
	// Resumed tells that the request was paused; it goes before the others of its workspace.
	Resumed bool

	flow  *flow
	index int
}

// Turn is a place in line that a class holds because it has waited long without a slot.
type Turn struct {
	// Due is the time since which the class holds the place; zero is no turn.
	Due time.Time
}

// IsZero tells whether there is no turn.
func (t Turn) IsZero() bool { return t.Due.IsZero() }

// Queue is the waiting requests of one pool.
type Queue struct {
	// TurnAfter is the time that a class with demand waits without a slot until it gets a turn.
	// A change counts for the waits that begin after it.
	TurnAfter time.Duration
	// Credit is the service, in tokens, that a workspace without waiting requests may be behind the
	// others and still catch up; what it fell behind further is forgotten.
	Credit float64

	tiers   []*tier
	classes map[string]*class
	// order holds the classes by name, so that equal inputs give equal decisions.
	order   []*class
	weights map[string]float64
	n       int
}

type tier struct {
	number int
	// virtual is the largest start tag of the requests served so far, in tokens per weight.
	virtual float64
	flows   map[string]*flow
	// backlog holds the flows with waiting requests, smallest start tag first.
	backlog flowHeap
	// arrivals holds the waiting items, oldest first.
	arrivals []*Item
	n        Count
}

// Count is a number of requests.
type Count struct {
	// All counts all requests.
	All int
	// Cheap counts those that servers of the cheap kind may take.
	Cheap int
}

func (n *Count) add(it *Item, by int) {
	n.All += by
	if it.CheapAllowed {
		n.Cheap += by
	}
}

func (n *Count) plus(o Count) {
	n.All += o.All
	n.Cheap += o.Cheap
}

// flow is the waiting requests of one workspace in one tier.
type flow struct {
	tier   *tier
	weight float64
	// tag is the start tag of the next request, in tokens per weight.
	tag    float64
	tokens float64
	items  itemHeap
	n      Count
	index  int
}

type class struct {
	name string
	tier int
	// due is the time at which the turn begins; zero is no demand since the last grant.
	due        time.Time
	lastDemand time.Time
	waiting    int
}

// Configure sets the classes and the weights of the workspaces; waiting requests stay.
func (q *Queue) Configure(classes []wire.Class, workspaces []wire.Workspace) {
	if q.classes == nil {
		q.classes = make(map[string]*class)
	}
	for _, c := range classes {
		state := q.class(c.Name, c.Tier)
		state.tier = c.Tier
	}
	q.weights = make(map[string]float64, len(workspaces))
	for _, w := range workspaces {
		q.weights[w.Name] = weightOf(w)
	}
	for _, t := range q.tiers {
		for name, f := range t.flows {
			f.weight = q.weight(name)
		}
	}
}

func weightOf(w wire.Workspace) float64 {
	if w.Weight <= 0 {
		return 1
	}
	return w.Weight
}

func (q *Queue) weight(workspace string) float64 {
	if w, ok := q.weights[workspace]; ok {
		return w
	}
	return 1
}

func (q *Queue) class(name string, tierNumber int) *class {
	if q.classes == nil {
		q.classes = make(map[string]*class)
	}
	c := q.classes[name]
	if c == nil {
		c = &class{name: name, tier: tierNumber}
		q.classes[name] = c
		i, _ := slices.BinarySearchFunc(q.order, name, func(c *class, n string) int { return cmp.Compare(c.name, n) })
		q.order = slices.Insert(q.order, i, c)
	}
	return c
}

func (q *Queue) tier(number int) *tier {
	i, ok := slices.BinarySearchFunc(q.tiers, number, func(t *tier, n int) int { return t.number - n })
	if ok {
		return q.tiers[i]
	}
	t := &tier{number: number, flows: make(map[string]*flow)}
	q.tiers = slices.Insert(q.tiers, i, t)
	return t
}

func (q *Queue) flow(t *tier, workspace string) *flow {
	f := t.flows[workspace]
	if f == nil {
		f = &flow{tier: t, weight: q.weight(workspace), index: -1}
		t.flows[workspace] = f
	}
	return f
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.n }

// Demand notes that a request of the class has come, whether or not it will wait.
func (q *Queue) Demand(name string, tierNumber int, now time.Time) {
	c := q.class(name, tierNumber)
	lapsed := c.waiting == 0 && now.Sub(c.lastDemand) > q.TurnAfter
	if c.due.IsZero() || lapsed {
		c.due = now.Add(q.TurnAfter)
	}
	c.lastDemand = now
}

// Turn returns the turn that the class holds at now.
func (q *Queue) Turn(name string, now time.Time) Turn {
	c := q.classes[name]
	if c == nil {
		return Turn{}
	}
	return q.turn(c, now)
}

func (q *Queue) turn(c *class, now time.Time) Turn {
	if c.due.IsZero() || c.due.After(now) {
		return Turn{}
	}
	return Turn{Due: c.due}
}

// Push adds a waiting request.
func (q *Queue) Push(it *Item) {
	t := q.tier(it.Tier)
	f := q.flow(t, it.Workspace)
	if len(f.items) == 0 {
		f.tag = q.startTag(f)
	}
	it.flow = f
	heap.Push(&f.items, it)
	f.tokens += it.Tokens
	if f.index < 0 {
		heap.Push(&t.backlog, f)
	}
	t.arrivals = append(t.arrivals, it)
	t.n.add(it, 1)
	f.n.add(it, 1)
	q.n++
	q.class(it.Class, it.Tier).waiting++
}

// startTag returns the start tag of a workspace that had no waiting request.
func (q *Queue) startTag(f *flow) float64 {
	return max(f.tag, f.tier.virtual-q.Credit/f.weight)
}

// Remove takes a request out of the queue; it tells false where the request isn't waiting.
func (q *Queue) Remove(it *Item) bool {
	f := it.flow
	if f == nil {
		return false
	}
	heap.Remove(&f.items, it.index)
	f.tokens -= it.Tokens
	t := f.tier
	if len(f.items) == 0 {
		heap.Remove(&t.backlog, f.index)
	}
	if i := slices.Index(t.arrivals, it); i >= 0 {
		t.arrivals = slices.Delete(t.arrivals, i, i+1)
	}
	it.flow = nil
	t.n.add(it, -1)
	f.n.add(it, -1)
	q.n--
	q.class(it.Class, it.Tier).waiting--
	return true
}

// Next returns the request that goes first among those that fit, and the turn that brought it there.
// The fits function tells whether some free slot may serve the request, by its turn or without one.
// A turn goes before all requests that joined after it came due, and behind those of higher tiers
// with a target that joined before; a request without a target may wait without bound.
func (q *Queue) Next(now time.Time, fits func(it *Item, byTurn bool) bool) (*Item, Turn) {
	if it, turn := q.nextTurn(now, fits); it != nil {
		return it, turn
	}
	for _, t := range q.tiers {
		if it := t.first(func(it *Item) bool { return fits(it, false) }); it != nil {
			return it, Turn{}
		}
	}
	return nil, Turn{}
}

// nextTurn returns the request of the oldest turn that has reached the head of the line.
func (q *Queue) nextTurn(now time.Time, fits func(it *Item, byTurn bool) bool) (*Item, Turn) {
	var best *Item
	var bestTurn Turn
	for _, c := range q.order {
		turn := q.turn(c, now)
		if c.waiting == 0 || turn.IsZero() || q.hasOlder(c.tier, turn.Due) {
			continue
		}
		if best != nil && !turn.Due.Before(bestTurn.Due) {
			continue
		}
		it := q.tier(c.tier).first(func(it *Item) bool { return it.Class == c.name && fits(it, true) })
		if it != nil {
			best, bestTurn = it, turn
		}
	}
	return best, bestTurn
}

// hasOlder tells whether a request of a tier above that has a target joined at or before due.
func (q *Queue) hasOlder(below int, due time.Time) bool {
	return q.aheadOfTurn(below, due).All > 0
}

// first returns the tier's first request, in order of fair shares and deadlines, that fits.
func (t *tier) first(fits func(*Item) bool) *Item {
	if len(t.backlog) == 0 {
		return nil
	}
	if it := t.backlog[0].items[0]; fits(it) {
		return it
	}
	flows := slices.Clone(t.backlog)
	slices.SortFunc(flows, compareFlows)
	for _, f := range flows {
		if it := f.first(fits); it != nil {
			return it
		}
	}
	return nil
}

func (f *flow) first(fits func(*Item) bool) *Item {
	items := slices.Clone(f.items)
	slices.SortFunc(items, compareItems)
	for _, it := range items {
		if fits(it) {
			return it
		}
	}
	return nil
}

// Grant takes a request out of the queue and charges its workspace the estimated tokens.
func (q *Queue) Grant(it *Item, now time.Time) {
	f := it.flow
	q.Remove(it)
	f.tier.virtual = max(f.tier.virtual, f.tag)
	f.charge(it.Tokens)
	c := q.class(it.Class, it.Tier)
	c.due = time.Time{}
	if c.waiting > 0 {
		c.due = now.Add(q.TurnAfter)
	}
}

// Settle corrects the charge of a granted request once its true length is known.
func (q *Queue) Settle(tierNumber int, workspace string, estimated, tokens float64) {
	q.flow(q.tier(tierNumber), workspace).charge(tokens - estimated)
}

func (f *flow) charge(tokens float64) {
	f.tag += tokens / f.weight
	if f.index >= 0 {
		heap.Fix(&f.tier.backlog, f.index)
	}
}

// Items returns the waiting requests, tier by tier, oldest first.
func (q *Queue) Items() []*Item {
	items := make([]*Item, 0, q.n)
	for _, t := range q.tiers {
		items = append(items, t.arrivals...)
	}
	return items
}

// Each calls visit for each waiting request, tier by tier, oldest first, until it returns false.
// The visit must not change the queue.
func (q *Queue) Each(visit func(*Item) bool) {
	for _, t := range q.tiers {
		for _, it := range t.arrivals {
			if !visit(it) {
				return
			}
		}
	}
}
