package attempt

import (
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/request/estimate"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// DefaultHedgeShare is the number of hedges per request.
	DefaultHedgeShare = 0.02
	hedgeBurst        = 2
	hedgeQuantile     = 0.95
	hedgeObservations = 20
)

// Hedger decides when an idempotent request that has no first token gets a second attempt.
type Hedger struct {
	// Share is the number of hedges allowed per request; 0 reads as DefaultHedgeShare.
	Share float64

	mu      sync.Mutex
	tokens  float64
	classes map[string]*estimate.Quantile
}

// Observe notes the time to first token of an attempt that answered.
func (h *Hedger) Observe(class string, firstToken time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.classes == nil {
		h.classes = make(map[string]*estimate.Quantile)
	}
	q := h.classes[class]
	if q == nil {
		q = &estimate.Quantile{Of: hedgeQuantile}
		h.classes[class] = q
	}
	q.Observe(firstToken.Seconds())
	h.tokens = min(h.tokens+orDefault(h.Share, DefaultHedgeShare), hedgeBurst)
}

// After returns the time without a first token after which the request may be hedged,
// and false where the class's requests aren't hedged.
func (h *Hedger) After(class wire.Class) (time.Duration, bool) {
	if !class.Idempotent {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.classes[class.Name]
	if q == nil || q.Count() < hedgeObservations {
		return 0, false
	}
	return time.Duration(q.Value() * float64(time.Second)), true
}

// AllowHedge takes one hedge from the budget right before it is sent; false is none left.
func (h *Hedger) AllowHedge() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tokens < 1 {
		return false
	}
	h.tokens--
	return true
}
