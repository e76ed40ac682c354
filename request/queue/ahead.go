package queue

import (
	"math"
	"time"
)

// Ahead returns how many waiting requests would be served before a new one of the class and
// workspace, were no others to come: the higher tiers, the turns that are due, and in the own tier
// what fair shares and deadlines put first. A request that its class's turn carries waits only for
// the requests of higher tiers that joined before the turn came due.
func (q *Queue) Ahead(it *Item, now time.Time) int {
	normal := q.aheadByTier(it) + q.turnsAhead(it, now)
	c := q.classes[it.Class]
	if c == nil || c.waiting > 0 {
		return normal
	}
	turn := q.turn(c, now)
	if turn.IsZero() {
		return normal
	}
	return min(normal, q.aheadOfTurn(it.Tier, turn.Due))
}

func (q *Queue) aheadByTier(it *Item) int {
	n := 0
	for _, t := range q.tiers {
		if t.number < it.Tier {
			n += t.n
		}
		if t.number == it.Tier {
			n += q.aheadInTier(t, it)
		}
	}
	return n
}

// aheadInTier counts the requests of the tier whose start tags come before the new one's.
func (q *Queue) aheadInTier(t *tier, it *Item) int {
	own := t.flows[it.Workspace]
	tag, n := t.virtual, 0
	if own != nil {
		tag, n = own.join(it)
	}
	for _, f := range t.backlog {
		if f == own || f.tag > tag {
			continue
		}
		each := max(1, f.tokens/float64(len(f.items))) / f.weight
		n += min(len(f.items), int(math.Ceil((tag-f.tag)/each)))
	}
	return n
}

// join returns the start tag that a new request would have, and how many of the own go before it.
func (f *flow) join(it *Item) (tag float64, n int) {
	tag = f.tag
	if len(f.items) == 0 {
		tag = max(f.tag, f.tier.virtual)
	}
	for _, own := range f.items {
		if compareLatest(own.Latest, it.Latest) <= 0 {
			n++
			tag += own.Tokens / f.weight
		}
	}
	return tag, n
}

// turnsAhead counts the due turns of other classes of lower tiers.
func (q *Queue) turnsAhead(it *Item, now time.Time) int {
	n := 0
	for _, c := range q.order {
		if c.tier > it.Tier && c.waiting > 0 && !q.turn(c, now).IsZero() {
			n++
		}
	}
	return n
}

func (q *Queue) aheadOfTurn(below int, due time.Time) int {
	n := 0
	for _, t := range q.tiers {
		if t.number >= below {
			break
		}
		for _, it := range t.arrivals {
			if it.Since.After(due) {
				break
			}
			n++
		}
	}
	return n
}
