package attempt

import (
	"sync"
	"time"
)

// buckets is the number of steps in which a Window forgets.
const buckets = 20

// Window allows further attempts within a sliding window of time, as a share of the requests in it and a fixed number
// beside. All instances of a deployment share one budget: each takes the share of its own requests and its part of the
// fixed number. Nothing of it lasts over a restart.
type Window struct {
	// Length is that of the window.
	Length time.Duration
	// Ratio is the number of further attempts for each request in a window.
	Ratio float64
	// Extra returns this instance's part of the fixed number of further attempts in a window.
	Extra func() float64

	mu       sync.Mutex
	started  time.Time
	step     int
	requests [buckets]int
	taken    [buckets]int
}

// Request counts a first attempt.
func (w *Window) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// Take takes one further attempt from the budget and tells whether there was one.
func (w *Window) Take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance()
	if w.left() < 1 {
		return false
	}
	w.taken[i]++
	return true
}

// Left returns the further attempts that are left now.
func (w *Window) Left() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.left()
}

// left counts the whole ring, which is longer than any window of the length that ends now.
func (w *Window) left() float64 {
	requests, taken := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		taken += w.taken[i]
	}
	return w.Ratio*float64(requests) + w.Extra() - float64(taken)
}

// advance forgets what is older than the window and returns the bucket of now.
func (w *Window) advance() int {
	now := time.Now()
	if w.started.IsZero() {
		w.started = now
	}
	// One bucket more than the window holds, so that a window that began inside a bucket is covered whole.
	step := int(now.Sub(w.started) / (w.Length / (buckets - 1)))
	for ; w.step < step && step-w.step <= buckets; w.step++ {
		i := (w.step + 1) % buckets
		w.requests[i], w.taken[i] = 0, 0
	}
	if w.step < step {
		w.requests, w.taken = [buckets]int{}, [buckets]int{}
		w.step = step
	}
	return w.step % buckets
}
