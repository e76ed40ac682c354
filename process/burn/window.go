// Package burn counts the requests of each class and workspace that met or missed their service-level targets, and
// computes burn rates over a short and a long window. The error budget of a class is the share of its requests that may
// miss the targets. The burn rate is the share of missed requests as a multiple of the error budget.
//
// No other lock is taken while Recorder.mu is held.
package burn

import "time"

// Lengths of the windows over which requests are counted.
const (
	// ShortWindow is the length of the window that shows sudden bursts of misses.
	ShortWindow = 5 * time.Minute
	// LongWindow is the length of the window that shows a steady rate of misses.
	LongWindow = time.Hour
	// bucketLength is the length of time that one bucket of counts covers.
	bucketLength = 30 * time.Second
	// bucketCount is the number of buckets that cover LongWindow.
	bucketCount = int(LongWindow / bucketLength)
)

// counts holds the numbers of requests in one bucket or window.
type counts struct {
	// good is the number of requests that met their targets.
	good int32
	// missed is the number of requests that missed their targets, by cause.
	missed [causeCount]int32
}

// add adds the counts of another bucket.
func (c *counts) add(o counts) {
	c.good += o.good
	for i := range c.missed {
		c.missed[i] += o.missed[i]
	}
}

// bucketRing is a ring buffer with the counts of the last LongWindow, in buckets of the length bucketLength.
type bucketRing struct {
	buckets [bucketCount]counts
	// newestBucket is the number of buckets from the Unix epoch to the newest bucket.
	newestBucket int64
}

// advance returns the bucket for the time now, after it has cleared the buckets that have expired.
func (r *bucketRing) advance(now time.Time) *counts {
	newestBucket := now.UnixNano() / int64(bucketLength)
	if newestBucket-r.newestBucket >= int64(bucketCount) {
		r.buckets = [bucketCount]counts{}
		r.newestBucket = newestBucket
	}
	for r.newestBucket < newestBucket {
		r.newestBucket++
		r.buckets[r.newestBucket%int64(bucketCount)] = counts{}
	}
	return &r.buckets[newestBucket%int64(bucketCount)]
}

// sum returns the counts of the window of the given length that ends now.
func (r *bucketRing) sum(now time.Time, length time.Duration) counts {
	r.advance(now)
	n := int(length / bucketLength)
	var total counts
	for i := 0; i < n && i < bucketCount; i++ {
		total.add(r.buckets[(r.newestBucket-int64(i))%int64(bucketCount)])
	}
	return total
}
