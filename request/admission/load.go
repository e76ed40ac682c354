package admission

import (
	"math"
	"time"
)

// Load is the load of a pool as it affects a new request of a tier.
type Load struct {
	// RequestsAhead is the number of waiting requests that are served first.
	RequestsAhead int
	// FreeSlots is the number of free slots that the request may use.
	FreeSlots int
	// Headroom is the number of free slots that are reserved for higher tiers.
	Headroom int
	// Reclaimable is the number of slots that are being, or can be, reclaimed from requests of lower tiers.
	Reclaimable int
	// ReleaseRate is the number of slots that are released per second.
	ReleaseRate float64
	// HigherTierRate is the number of requests of higher tiers that arrive per second.
	HigherTierRate float64
}

const (
	// minRateShare is the smallest part of the release rate that a prediction assumes the higher tiers to leave.
	minRateShare = 0.05
	// maxWait is the longest predicted wait; it also stands for a wait without end.
	maxWait = time.Hour
)

// Wait returns the predicted time until the request gets a slot.
func (l Load) Wait() time.Duration {
	missingSlots := l.RequestsAhead + 1 - max(0, l.FreeSlots-l.Headroom) - l.Reclaimable
	if missingSlots <= 0 {
		return 0
	}
	usableReleaseRate := max(l.ReleaseRate-l.HigherTierRate, minRateShare*l.ReleaseRate)
	if usableReleaseRate <= 0 {
		return maxWait
	}
	return min(maxWait, time.Duration(float64(missingSlots)/usableReleaseRate*float64(time.Second)))
}

const (
	// maxMissShare is the part of the requests of higher tiers that may get no slot in time because the headroom is
	// used up.
	maxMissShare = 0.003
	// maxHeadroomShare is the largest part of the slots that is reserved as headroom.
	maxHeadroomShare = 0.25
)

// Headroom returns the number of slots to reserve for the higher tiers, so that all but a small part of their requests
// get a slot within slack. The argument higherTierRate is the number of requests of higher tiers that arrive per
// second, and releaseRate the number of slots that are released per second.
//
// The shortage of slots is modelled as a birth-death process: its tail falls by the ratio of the two rates with each
// reserved slot, and exponentially in time with their difference.
func Headroom(higherTierRate, releaseRate float64, slack time.Duration, slots int) int {
	maxSlots := int(maxHeadroomShare * float64(slots))
	if higherTierRate <= 0 || maxSlots == 0 {
		return 0
	}
	utilization := higherTierRate / max(releaseRate, 1e-9)
	if utilization >= 1 {
		return maxSlots
	}
	needed := (math.Log(maxMissShare) + (releaseRate-higherTierRate)*slack.Seconds()) / math.Log(utilization)
	return min(maxSlots, max(0, int(math.Ceil(needed))))
}
