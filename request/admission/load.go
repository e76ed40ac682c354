package admission

import (
	"math"
	"time"
)

// Load is what a new request of a tier finds at its pool.
type Load struct {
	// Ahead is the number of waiting requests that go first.
	Ahead int
	// Free is the number of free slots that the request may use.
	Free int
	// Headroom is the number of free slots that are left to higher tiers.
	Headroom int
	// Coming is the number of slots that are being, or can be, taken back from lower tiers.
	Coming int
	// Rate is the number of slots that come free in a second.
	Rate float64
	// Higher is the number of requests of higher tiers that come in a second.
	Higher float64
}

const (
	// leastShare is the least share of the rate that is taken to remain beside the higher tiers.
	leastShare = 0.05
	// longestWait stands in for a wait without end.
	longestWait = time.Hour
)

// Wait returns the predicted time until the request gets a slot.
func (l Load) Wait() time.Duration {
	n := l.Ahead + 1 - max(0, l.Free-l.Headroom) - l.Coming
	if n <= 0 {
		return 0
	}
	rate := max(l.Rate-l.Higher, leastShare*l.Rate)
	if rate <= 0 {
		return longestWait
	}
	return min(longestWait, time.Duration(float64(n)/rate*float64(time.Second)))
}

const (
	// missShare is the share of requests that may find no slot in time for want of headroom.
	missShare = 0.003
	// headroomShare is the largest share of the slots that is kept free.
	headroomShare = 0.25
)

// Headroom returns how many slots to keep ready for the higher tiers, so that all but a small share
// of their requests get a slot within slack. Requests of higher tiers come at higher per second and
// slots come free at rate per second; the shortage of ready slots is a birth-death process whose
// tail falls by the ratio of the two for each slot kept, and in time by their difference.
func Headroom(higher, rate float64, slack time.Duration, slots int) int {
	most := int(headroomShare * float64(slots))
	if higher <= 0 || most == 0 {
		return 0
	}
	load := higher / max(rate, 1e-9)
	if load >= 1 {
		return most
	}
	n := (math.Log(missShare) + (rate-higher)*slack.Seconds()) / math.Log(load)
	return min(most, max(0, int(math.Ceil(n))))
}
