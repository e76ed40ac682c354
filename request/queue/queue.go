// Package queue orders the waiting requests of one pool. Higher tiers are served first. A class that has waited long
// without a slot gets a turn, which protects it from starvation. Inside a tier, start-time fair queueing divides the
// generated tokens between the workspaces by their weights; inside a workspace, the request with the earliest deadline
// is served first.
//
// The start tag of a request is the service, in tokens per weight, that counts as received by its workspace before the
// request. Of two workspaces with waiting requests in a tier, the one whose next request has the smaller start tag is
// served first.
//
// A Queue isn't safe for concurrent use.
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
	// Number identifies the request in its pool, in order of arrival.
	Number int
	// Class is the name of the request's class.
	Class string
	// Workspace is the name of the workspace that pays for the request.
	Workspace string
	// Tier is the tier of the class; 1 is the highest.
	Tier int
	// JoinedAt is the time at which the request joined the queue.
	JoinedAt time.Time
	// LatestStart is the deadline of the request: its latest start that meets the target time of its class. The zero
	// time means that the class has no target.
	LatestStart time.Time
	// EstimatedTokens is the estimated number of tokens that the request will generate.
	EstimatedTokens float64
	// CheapAllowed reports that the request may run on cheap servers, which can be taken away at short notice.
	CheapAllowed bool
	// Resumed reports that the request was paused; it is served before the others of its workspace.
	Resumed bool

	// flow contains the request while it waits, and index is its position in flow.items.
	flow  *flow
	index int
}

// Turn gives a class whose requests have waited long without a slot the priority for one slot. Queue.Next defines the
// priority.
type Turn struct {
	// Due is the time from which the class has the turn; zero means no turn.
	Due time.Time
}

// IsZero reports whether there is no turn.
func (t Turn) IsZero() bool { return t.Due.IsZero() }

// Queue holds the waiting requests of one pool.
type Queue struct {
	// TurnAfter is the time for which a class with requests must wait without a slot until it gets a turn. A new value
	// applies to waits that begin after the change.
	TurnAfter time.Duration
	// MaxLag is the largest service, in tokens, that a workspace may catch up on when it has requests again after a
	// time without any. A larger lag behind the other workspaces is reduced to MaxLag.
	MaxLag float64

	tiers   []*tier
	classes map[string]*class
	// sortedClasses holds the classes sorted by name, so that equal inputs give equal decisions.
	sortedClasses []*class
	// weights holds the weights by workspace name.
	weights map[string]float64
	// count is the number of waiting requests.
	count int
}

// tier holds the waiting requests of one tier.
type tier struct {
	number int
	// virtualTime is the virtual time of start-time fair queueing: the largest start tag of the requests served so far,
	// in tokens per weight.
	virtualTime float64
	// flows holds the flows by workspace name.
	flows map[string]*flow
	// backlog holds the flows with waiting requests, smallest start tag first.
	backlog flowHeap
	// arrivals holds the waiting requests, oldest first.
	arrivals []*Item
	count    Count
}

// Count is a number of requests, and how many of them may run on cheap servers.
type Count struct {
	// All counts all requests.
	All int
	// Cheap counts those that may run on cheap servers.
	Cheap int
}

// addItems adds delta to the number of all requests, and to the number of those that may run on cheap servers if item
// may do so. A negative delta subtracts.
func (n *Count) addItems(item *Item, delta int) {
	n.All += delta
	if item.CheapAllowed {
		n.Cheap += delta
	}
}

// addCount adds the numbers of o.
func (n *Count) addCount(o Count) {
	n.All += o.All
	n.Cheap += o.Cheap
}

// flow holds the waiting requests of one workspace in one tier.
type flow struct {
	tier   *tier
	weight float64
	// tag is the start tag of the workspace's next request, in tokens per weight.
	tag float64
	// waitingTokens is the sum of EstimatedTokens of the waiting requests.
	waitingTokens float64
	items         itemHeap
	count         Count
	// index is the position in tier.backlog; -1 means that no request waits.
	index int
}

// class is the state of the turns of one class.
type class struct {
	name string
	tier int
	// turnDue is the time at which the class gets a turn; zero means that no request has arrived since its last grant
	// of a slot.
	turnDue time.Time
	// lastArrivedAt is the time at which the last request of the class arrived.
	lastArrivedAt time.Time
	// waitingCount is the number of waiting requests of the class.
	waitingCount int
}

// Configure sets the classes and the weights of the workspaces. Waiting requests keep their tier.
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

// class returns the state of the class, which it creates on first use.
func (q *Queue) class(name string, tierNumber int) *class {
	if q.classes == nil {
		q.classes = make(map[string]*class)
	}
	c := q.classes[name]
	if c == nil {
		c = &class{name: name, tier: tierNumber}
		q.classes[name] = c
		i, _ := slices.BinarySearchFunc(q.sortedClasses, name, func(c *class, n string) int { return cmp.Compare(c.name, n) })
		q.sortedClasses = slices.Insert(q.sortedClasses, i, c)
	}
	return c
}

// tier returns the tier with the number, which it creates on first use.
func (q *Queue) tier(number int) *tier {
	i, ok := slices.BinarySearchFunc(q.tiers, number, func(t *tier, n int) int { return t.number - n })
	if ok {
		return q.tiers[i]
	}
	t := &tier{number: number, flows: make(map[string]*flow)}
	q.tiers = slices.Insert(q.tiers, i, t)
	return t
}

// flow returns the flow of the workspace in the tier, which it creates on first use.
func (q *Queue) flow(t *tier, workspace string) *flow {
	f := t.flows[workspace]
	if f == nil {
		f = &flow{tier: t, weight: q.weight(workspace), index: -1}
		t.flows[workspace] = f
	}
	return f
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// RecordDemand records that a request of the class has arrived, whether or not the request will wait. The time until
// the turn of the class starts with the first request since its last grant. It starts again if no request waits and
// none has arrived for longer than TurnAfter.
func (q *Queue) RecordDemand(name string, tierNumber int, now time.Time) {
	c := q.class(name, tierNumber)
	demandPaused := c.waitingCount == 0 && now.Sub(c.lastArrivedAt) > q.TurnAfter
	if c.turnDue.IsZero() || demandPaused {
		c.turnDue = now.Add(q.TurnAfter)
	}
	c.lastArrivedAt = now
}

// Turn returns the turn of the class that is due at now, if any.
func (q *Queue) Turn(name string, now time.Time) Turn {
	c := q.classes[name]
	if c == nil {
		return Turn{}
	}
	return q.turn(c, now)
}

func (q *Queue) turn(c *class, now time.Time) Turn {
	if c.turnDue.IsZero() || c.turnDue.After(now) {
		return Turn{}
	}
	return Turn{Due: c.turnDue}
}

// Push adds a waiting request.
func (q *Queue) Push(item *Item) {
	t := q.tier(item.Tier)
	f := q.flow(t, item.Workspace)
	if len(f.items) == 0 {
		f.tag = q.startTag(f)
	}
	item.flow = f
	heap.Push(&f.items, item)
	f.waitingTokens += item.EstimatedTokens
	if f.index < 0 {
		heap.Push(&t.backlog, f)
	}
	t.arrivals = append(t.arrivals, item)
	t.count.addItems(item, 1)
	f.count.addItems(item, 1)
	q.count++
	q.class(item.Class, item.Tier).waitingCount++
}

// startTag returns the start tag of the next request of a workspace that had no waiting request.
func (q *Queue) startTag(f *flow) float64 {
	return max(f.tag, f.tier.virtualTime-q.MaxLag/f.weight)
}

// Remove removes a request from the queue. It returns false if the request isn't waiting.
func (q *Queue) Remove(item *Item) bool {
	f := item.flow
	if f == nil {
		return false
	}
	heap.Remove(&f.items, item.index)
	f.waitingTokens -= item.EstimatedTokens
	t := f.tier
	if len(f.items) == 0 {
		heap.Remove(&t.backlog, f.index)
	}
	if i := slices.Index(t.arrivals, item); i >= 0 {
		t.arrivals = slices.Delete(t.arrivals, i, i+1)
	}
	item.flow = nil
	t.count.addItems(item, -1)
	f.count.addItems(item, -1)
	q.count--
	q.class(item.Class, item.Tier).waitingCount--
	return true
}

// Next returns the request to serve next among those that fit, and the turn by which it is served, if any. It doesn't
// remove the request. The fits function reports whether some free slot may serve the request, by a turn or without one.
//
// A turn has priority over all requests that joined after it was due. Requests of higher tiers that joined before keep
// their priority if they have a target; those without a target may wait without limit.
func (q *Queue) Next(now time.Time, fits func(item *Item, byTurn bool) bool) (*Item, Turn) {
	if item, turn := q.nextTurn(now, fits); item != nil {
		return item, turn
	}
	for _, t := range q.tiers {
		if item := t.firstFitting(func(item *Item) bool { return fits(item, false) }); item != nil {
			return item, Turn{}
		}
	}
	return nil, Turn{}
}

// nextTurn returns the request to serve by a turn and that turn, or nil. It skips the turns that an older request of a
// higher tier precedes and those without a fitting request, and takes the one that was due first.
func (q *Queue) nextTurn(now time.Time, fits func(item *Item, byTurn bool) bool) (*Item, Turn) {
	var best *Item
	var bestTurn Turn
	for _, c := range q.sortedClasses {
		turn := q.turn(c, now)
		if c.waitingCount == 0 || turn.IsZero() || q.hasOlderRequest(c.tier, turn.Due) {
			continue
		}
		if best != nil && !turn.Due.Before(bestTurn.Due) {
			continue
		}
		item := q.tier(c.tier).firstFitting(func(item *Item) bool { return item.Class == c.name && fits(item, true) })
		if item != nil {
			best, bestTurn = item, turn
		}
	}
	return best, bestTurn
}

// hasOlderRequest reports whether a waiting request with a target joined a tier above the given one at or before due.
func (q *Queue) hasOlderRequest(tierNumber int, due time.Time) bool {
	return q.aheadOfTurn(tierNumber, due).All > 0
}

// firstFitting returns the tier's first request that fits, in order of fair shares and deadlines, or nil.
func (t *tier) firstFitting(fits func(*Item) bool) *Item {
	if len(t.backlog) == 0 {
		return nil
	}
	if item := t.backlog[0].items[0]; fits(item) {
		return item
	}
	flows := slices.Clone(t.backlog)
	slices.SortFunc(flows, compareFlows)
	for _, f := range flows {
		if item := f.firstFitting(fits); item != nil {
			return item
		}
	}
	return nil
}

// firstFitting returns the flow's first request that fits, in the order of itemHeap, or nil.
func (f *flow) firstFitting(fits func(*Item) bool) *Item {
	items := slices.Clone(f.items)
	slices.SortFunc(items, compareItems)
	for _, item := range items {
		if fits(item) {
			return item
		}
	}
	return nil
}

// Grant removes a waiting request that gets a slot, charges its workspace the estimated tokens, and ends the turn of
// its class.
func (q *Queue) Grant(item *Item, now time.Time) {
	f := item.flow
	q.Remove(item)
	f.tier.virtualTime = max(f.tier.virtualTime, f.tag)
	f.charge(item.EstimatedTokens)
	c := q.class(item.Class, item.Tier)
	c.turnDue = time.Time{}
	if c.waitingCount > 0 {
		c.turnDue = now.Add(q.TurnAfter)
	}
}

// AdjustCharge replaces the estimated tokens that Grant charged to the workspace by the tokens that the request has
// generated.
func (q *Queue) AdjustCharge(tierNumber int, workspace string, estimated, tokens float64) {
	q.flow(q.tier(tierNumber), workspace).charge(tokens - estimated)
}

// charge adds tokens to the service that the workspace has received; a negative number subtracts from it.
func (f *flow) charge(tokens float64) {
	f.tag += tokens / f.weight
	if f.index >= 0 {
		heap.Fix(&f.tier.backlog, f.index)
	}
}

// Items returns the waiting requests, tier by tier, oldest first.
func (q *Queue) Items() []*Item {
	items := make([]*Item, 0, q.count)
	for _, t := range q.tiers {
		items = append(items, t.arrivals...)
	}
	return items
}

// Each calls visit for each waiting request, tier by tier, oldest first, until visit returns false.
// The visit function must not change the queue.
func (q *Queue) Each(visit func(*Item) bool) {
	for _, t := range q.tiers {
		for _, item := range t.arrivals {
			if !visit(item) {
				return
			}
		}
	}
}
