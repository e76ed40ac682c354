// Package burn counts how each class and workspace fares against its service level and how fast the error budget
// burns over a short and a long window.
//
// Lock order: Book.mu is a leaf.
package burn

import "time"

// Lengths of the windows over which burn is told.
const (
	// ShortWindow is the window that shows a sudden burn.
	ShortWindow = 5 * time.Minute
	// LongWindow is the window that shows a steady burn.
	LongWindow = time.Hour
	// slotLength is the length of one slot of a ring.
	slotLength = 30 * time.Second
	// ringSlots is the number of slots that cover LongWindow.
	ringSlots = int(LongWindow / slotLength)
)

// counts is what happened in one slot or window.
type counts struct {
	// good is the number of requests that met their targets.
	good int32
	// bad is the number of requests that did not, by cause.
	bad [causes]int32
}

func (c *counts) add(o counts) {
	c.good += o.good
	for i := range c.bad {
		c.bad[i] += o.bad[i]
	}
}

// ring holds the counts of the last LongWindow in slots.
type ring struct {
	slots [ringSlots]counts
	// epoch is the number of the newest slot since the Unix epoch.
	epoch int64
}

// at returns the slot for now, after clearing the slots that have passed.
func (r *ring) at(now time.Time) *counts {
	epoch := now.UnixNano() / int64(slotLength)
	if epoch-r.epoch >= int64(ringSlots) {
		r.slots = [ringSlots]counts{}
		r.epoch = epoch
	}
	for r.epoch < epoch {
		r.epoch++
		r.slots[r.epoch%int64(ringSlots)] = counts{}
	}
	return &r.slots[epoch%int64(ringSlots)]
}

// sum returns the counts of the last length.
func (r *ring) sum(now time.Time, length time.Duration) counts {
	r.at(now)
	n := int(length / slotLength)
	var total counts
	for i := 0; i < n && i < ringSlots; i++ {
		total.add(r.slots[(r.epoch-int64(i))%int64(ringSlots)])
	}
	return total
}
