package queue

import (
	"math"
	"time"
)

// Place is where a new request would stand in the queue.
type Place struct {
	// Ahead counts the waiting requests that would be served before it, were no others to come.
	Ahead Count
	// ByTurn tells that its class's turn carries the request: then only those count that joined
	// higher tiers, with a target, before the turn came due.
	ByTurn bool
}

// Place returns where a new request would stand: behind the higher tiers, the turns that are due,
// and what fair shares and deadlines put first in its own tier.
func (q *Queue) Place(it *Item, now time.Time) Place {
	normal := q.aheadByTier(it)
	normal.plus(q.turnsAhead(it, now))
	c := q.classes[it.Class]
	if c == nil || c.waiting > 0 {
		return Place{Ahead: normal}
	}
	turn := q.turn(c, now)
	if turn.IsZero() {
		return Place{Ahead: normal}
	}
	return Place{Ahead: q.aheadOfTurn(it.Tier, turn.Due), ByTurn: true}
}

func (q *Queue) aheadByTier(it *Item) Count {
	var n Count
	for _, t := range q.tiers {
		if t.number < it.Tier {
			n.plus(t.n)
		}
		if t.number == it.Tier {
			n.plus(q.aheadInTier(t, it))
		}
	}
	return n
}

// aheadInTier counts the requests of the tier whose start tags come before the new one's.
func (q *Queue) aheadInTier(t *tier, it *Item) Count {
	own := q.flow(t, it.Workspace)
	tag, n := q.join(own, it)
	for _, f := range t.backlog {
		if f != own && f.tag <= tag {
			n.plus(f.before(tag))
		}
	}
	return n
}

// join returns the start tag that a new request would have, and how many of the own go before it.
func (q *Queue) join(f *flow, it *Item) (tag float64, n Count) {
	tag = f.tag
	if len(f.items) == 0 {
		tag = q.startTag(f)
	}
	for _, own := range f.items {
		if own.Resumed || compareLatest(own.Latest, it.Latest) <= 0 {
			n.add(own, 1)
			tag += own.Tokens / f.weight
		}
	}
	return tag, n
}

// before returns about how many of the flow's requests start before the tag.
func (f *flow) before(tag float64) Count {
	each := max(1, f.tokens/float64(f.n.All)) / f.weight
	n := min(f.n.All, int(math.Ceil((tag-f.tag)/each)))
	return Count{All: n, Cheap: n * f.n.Cheap / f.n.All}
}

// turnsAhead counts the due turns of classes of lower tiers.
func (q *Queue) turnsAhead(it *Item, now time.Time) Count {
	var n Count
	for _, c := range q.order {
		if c.tier > it.Tier && c.waiting > 0 && !q.turn(c, now).IsZero() {
			n.plus(Count{All: 1, Cheap: 1})
		}
	}
	return n
}

func (q *Queue) aheadOfTurn(below int, due time.Time) Count {
	var n Count
	for _, t := range q.tiers {
		if t.number >= below {
			break
		}
		for _, it := range t.arrivals {
			if it.Since.After(due) {
				break
			}
			if !it.Latest.IsZero() {
				n.add(it, 1)
			}
		}
	}
	return n
}
