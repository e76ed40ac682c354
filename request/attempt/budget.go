// Package attempt decides on further attempts of a request: retries within a budget, hedges for
// idempotent classes, breakers and stragglers per backend server. Its types may be used from
// several goroutines; each holds its own lock and calls nothing while it holds it.
package attempt

import "sync"

// Budget allows retries as a share of the requests seen.
type Budget struct {
	// Share is the number of retries allowed per request; 0 reads as DefaultRetryShare.
	Share float64
	// Burst is the most retries that may be saved up; 0 reads as DefaultRetryBurst.
	Burst float64

	mu     sync.Mutex
	tokens float64
	used   bool
}

const (
	// DefaultRetryShare is the number of retries per request.
	DefaultRetryShare = 0.1
	// DefaultRetryBurst is the number of retries that a quiet time saves up.
	DefaultRetryBurst = 10
)

// Request counts a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(orDefault(b.Share, DefaultRetryShare))
}

// AllowRetry takes one retry from the budget; it tells false where none is left.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(0)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) fill(n float64) {
	burst := orDefault(b.Burst, DefaultRetryBurst)
	if !b.used {
		b.used = true
		b.tokens = burst
	}
	b.tokens = min(b.tokens+n, burst)
}

func orDefault(v, d float64) float64 {
	if v == 0 {
		return d
	}
	return v
}
