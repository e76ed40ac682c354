package attempt

import (
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/request/estimate"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// DefaultHedgeShare is the default number of permitted hedges per request.
	DefaultHedgeShare = 0.02
	// hedgeBurst is the largest number of unused hedges that the budget keeps.
	hedgeBurst = 2
	// hedgeQuantile is the quantile of its class's times to first token after which a request is hedged.
	hedgeQuantile = 0.95
	// minHedgeObservations is the number of observed times to first token that a class needs before its requests are
	// hedged.
	minHedgeObservations = 20
)

// Hedger decides when an idempotent request that has received no token gets a second, concurrent attempt (a hedge).
type Hedger struct {
	// Share is the number of permitted hedges per request; 0 means DefaultHedgeShare.
	Share float64

	mu sync.Mutex
	// hedgesLeft is the number of hedges that are left.
	hedgesLeft float64
	// firstTokenQuantiles holds, by class, the estimated hedgeQuantile of the time to first token in seconds.
	firstTokenQuantiles map[string]*estimate.Quantile
}

// Observe records the time to first token of an attempt that was answered.
func (h *Hedger) Observe(class string, firstToken time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.firstTokenQuantiles == nil {
		h.firstTokenQuantiles = make(map[string]*estimate.Quantile)
	}
	q := h.firstTokenQuantiles[class]
	if q == nil {
		q = &estimate.Quantile{Level: hedgeQuantile}
		h.firstTokenQuantiles[class] = q
	}
	q.Observe(firstToken.Seconds())
	h.hedgesLeft = min(h.hedgesLeft+orDefault(h.Share, DefaultHedgeShare), hedgeBurst)
}

// Delay returns the time without a first token after which a request of the class may be hedged,
// and false if requests of the class aren't hedged.
func (h *Hedger) Delay(class wire.Class) (time.Duration, bool) {
	if !class.Idempotent {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	q := h.firstTokenQuantiles[class.Name]
	if q == nil || q.Count() < minHedgeObservations {
		return 0, false
	}
	return time.Duration(q.Value() * float64(time.Second)), true
}

// AllowHedge takes one hedge from the budget. It returns false if none is left. Call it right before sending the hedge.
func (h *Hedger) AllowHedge() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.hedgesLeft < 1 {
		return false
	}
	h.hedgesLeft--
	return true
}
