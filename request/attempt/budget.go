// Package attempt decides on retries and hedges of a request. A hedge is a second, concurrent attempt of a request
// whose first attempt is slow. The package has retry budgets, hedging for idempotent classes, and circuit breakers and
// straggler detection for backend servers. Its types are safe for concurrent use; each has its own lock.
package attempt

import "sync"

// Budget permits retries in proportion to the number of requests.
type Budget struct {
	// Share is the number of permitted retries per request; 0 means DefaultRetryShare.
	Share float64
	// Burst is the largest number of unused retries that the budget keeps; 0 means DefaultRetryBurst.
	Burst float64

	mu sync.Mutex
	// retriesLeft is the number of retries that are left.
	retriesLeft float64
	// initialized is true once retriesLeft was set to the burst.
	initialized bool
}

const (
	// DefaultRetryShare is the default number of permitted retries per request.
	DefaultRetryShare = 0.1
	// DefaultRetryBurst is the default number of unused retries that the budget keeps.
	DefaultRetryBurst = 10
)

// CountRequest records the first attempt of a request, which adds to the budget.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(orDefault(b.Share, DefaultRetryShare))
}

// AllowRetry takes one retry from the budget. It returns false if none is left.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(0)
	if b.retriesLeft < 1 {
		return false
	}
	b.retriesLeft--
	return true
}

// refill adds n retries to the budget, up to the burst; n may be a fraction. The first call fills the budget to the
// burst.
func (b *Budget) refill(n float64) {
	burst := orDefault(b.Burst, DefaultRetryBurst)
	if !b.initialized {
		b.initialized = true
		b.retriesLeft = burst
	}
	b.retriesLeft = min(b.retriesLeft+n, burst)
}

// orDefault returns v, or d if v is 0.
func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
