package attempt

import (
	"sync"
	"time"
)

// bucketCount is the number of time buckets in which a WindowBudget counts requests and further attempts.
const bucketCount = 20

// WindowBudget is a budget of further attempts (retries) in a sliding time window. It permits as many further attempts
// as a ratio of the requests in the window plus a fixed number. All instances of a deployment share one budget: each
// uses the ratio of its own requests and its part of the fixed number. The counts are lost when the process restarts, so
// that FixedAllowance must not grant again what an earlier process of the instance may have used in the same window.
type WindowBudget struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of permitted further attempts for each request in a window.
	Ratio float64
	// FixedAllowance returns this instance's part of the fixed number of permitted further attempts in a window. It is
	// called while the WindowBudget is locked.
	FixedAllowance func() float64

	mu sync.Mutex
	// startedAt is the time of the first call.
	startedAt time.Time
	// step is the number of the current bucket, counted from startedAt; the bucket's index is step modulo bucketCount.
	step int
	// requests and taken count the requests and the further attempts in each bucket.
	requests [bucketCount]int
	taken    [bucketCount]int
}

// CountRequest records the first attempt of a request, which adds to the budget.
func (w *WindowBudget) CountRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// TryTake takes one further attempt from the budget. It returns false if none is left.
func (w *WindowBudget) TryTake() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance()
	if w.remaining() < 1 {
		return false
	}
	w.taken[i]++
	return true
}

// Remaining returns the number of further attempts that are left.
func (w *WindowBudget) Remaining() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.remaining()
}

// WindowUsage is how far a WindowBudget is used.
type WindowUsage struct {
	// Requests and Taken are the numbers of requests and further attempts in the window.
	Requests, Taken int
	// FixedAllowance is this instance's part of the fixed number.
	FixedAllowance float64
	// Age is the time since the first call.
	Age time.Duration
}

// Usage returns how far the budget is used now.
func (w *WindowBudget) Usage() WindowUsage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.usage()
}

// usage returns the same as Usage. The caller holds the lock and has called advance.
func (w *WindowBudget) usage() WindowUsage {
	u := WindowUsage{FixedAllowance: w.FixedAllowance(), Age: time.Since(w.startedAt)}
	for i := range bucketCount {
		u.Requests += w.requests[i]
		u.Taken += w.taken[i]
	}
	return u
}

// remaining counts all buckets, which cover more time than a window that ends now. The caller holds the lock.
func (w *WindowBudget) remaining() float64 {
	u := w.usage()
	return w.Ratio*float64(u.Requests) + u.FixedAllowance - float64(u.Taken)
}

// advance clears the buckets that are older than the window and returns the index of the current one. The caller holds
// the lock.
func (w *WindowBudget) advance() int {
	now := time.Now()
	if w.startedAt.IsZero() {
		w.startedAt = now
	}
	// There is one bucket more than the window needs, so that a window that begins inside a bucket is covered
	// completely.
	step := int(now.Sub(w.startedAt) / (w.Length / (bucketCount - 1)))
	for ; w.step < step && step-w.step <= bucketCount; w.step++ {
		i := (w.step + 1) % bucketCount
		w.requests[i], w.taken[i] = 0, 0
	}
	if w.step < step {
		w.requests, w.taken = [bucketCount]int{}, [bucketCount]int{}
		w.step = step
	}
	return w.step % bucketCount
}
