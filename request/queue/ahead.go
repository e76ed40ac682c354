package queue

import (
	"math"
	"time"
)

// Position is the position that a new request would have in the queue.
type Position struct {
	// Ahead counts the waiting requests that would be served before the new one if no further requests arrived.
	Ahead Count
	// ByTurn reports that the request would be served by the turn of its class; see Turn. Ahead then counts only
	// requests of higher tiers that have a target and joined before the turn was due.
	ByTurn bool
}

// Position returns the position that a new request would have. The requests of higher tiers and the due turns of lower
// tiers are ahead of it, and so are those requests of its own tier that fair queueing and deadlines put first.
func (q *Queue) Position(item *Item, now time.Time) Position {
	normal := q.aheadByTier(item)
	normal.addCount(q.turnsAhead(item, now))
	c := q.classes[item.Class]
	if c == nil || c.waitingCount > 0 {
		return Position{Ahead: normal}
	}
	turn := q.turn(c, now)
	if turn.IsZero() {
		return Position{Ahead: normal}
	}
	return Position{Ahead: q.aheadOfTurn(item.Tier, turn.Due), ByTurn: true}
}

// aheadByTier counts the requests of higher tiers and those that are served first in the new request's tier.
func (q *Queue) aheadByTier(item *Item) Count {
	var count Count
	for _, t := range q.tiers {
		if t.number < item.Tier {
			count.addCount(t.count)
		}
		if t.number == item.Tier {
			count.addCount(q.aheadInTier(t, item))
		}
	}
	return count
}

// aheadInTier counts the tier's requests with smaller start tags than the new request would have.
func (q *Queue) aheadInTier(t *tier, item *Item) Count {
	ownFlow := q.flow(t, item.Workspace)
	tag, ahead := q.positionInFlow(ownFlow, item)
	for _, f := range t.backlog {
		if f != ownFlow && f.tag <= tag {
			ahead.addCount(f.countBefore(tag))
		}
	}
	return ahead
}

// positionInFlow returns the start tag that a new request would have in the flow, and the number of the flow's requests
// that are served before it.
func (q *Queue) positionInFlow(f *flow, item *Item) (tag float64, ahead Count) {
	tag = f.tag
	if len(f.items) == 0 {
		tag = q.startTag(f)
	}
	for _, waitingItem := range f.items {
		if waitingItem.Resumed || compareLatestStarts(waitingItem.LatestStart, item.LatestStart) <= 0 {
			ahead.addItems(waitingItem, 1)
			tag += waitingItem.EstimatedTokens / f.weight
		}
	}
	return tag, ahead
}

// countBefore estimates from the mean length of the flow's requests how many of them have a start tag before the given
// one.
func (f *flow) countBefore(tag float64) Count {
	tagIncrement := max(1, f.waitingTokens/float64(f.count.All)) / f.weight
	count := min(f.count.All, int(math.Ceil((tag-f.tag)/tagIncrement)))
	return Count{All: count, Cheap: count * f.count.Cheap / f.count.All}
}

// turnsAhead counts the classes of lower tiers that have waiting requests and a due turn.
func (q *Queue) turnsAhead(item *Item, now time.Time) Count {
	var dueTurns Count
	for _, c := range q.sortedClasses {
		if c.tier > item.Tier && c.waitingCount > 0 && !q.turn(c, now).IsZero() {
			dueTurns.addCount(Count{All: 1, Cheap: 1})
		}
	}
	return dueTurns
}

// aheadOfTurn counts the waiting requests with a target that joined a tier above the given one at or before due.
func (q *Queue) aheadOfTurn(tierNumber int, due time.Time) Count {
	var ahead Count
	for _, t := range q.tiers {
		if t.number >= tierNumber {
			break
		}
		for _, item := range t.arrivals {
			if item.JoinedAt.After(due) {
				break
			}
			if !item.LatestStart.IsZero() {
				ahead.addItems(item, 1)
			}
		}
	}
	return ahead
}
