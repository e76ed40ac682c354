// Package estimate estimates quantiles, means and rates of a stream of observations in constant memory.
// Its types aren't safe for concurrent use.
package estimate

import (
	"math"
	"time"
)

// Quantile estimates one quantile of positive values. An observation above the estimate raises the estimate's
// logarithm by Level times the step, and any other one lowers it by (1 - Level) times the step.
type Quantile struct {
	// Level is the quantile to estimate, between 0 and 1, such as 0.95.
	Level float64

	value float64
	count int
}

const (
	// maxFastSteps is the number of observations after which slowStep replaces the larger fastStep. Both are steps of
	// the estimate's logarithm.
	maxFastSteps = 32
	fastStep     = 0.4
	slowStep     = 0.05
)

// Observe adds one value; values that aren't positive are ignored.
func (q *Quantile) Observe(v float64) {
	if v <= 0 {
		return
	}
	q.count++
	if q.count == 1 {
		q.value = v
		return
	}
	step := slowStep
	if q.count < maxFastSteps {
		step = fastStep
	}
	if v > q.value {
		q.value *= math.Exp(step * q.Level)
		return
	}
	q.value *= math.Exp(-step * (1 - q.Level))
}

// Value returns the estimate, or 0 before the first observation.
func (q *Quantile) Value() float64 { return q.value }

// Count returns the number of observations.
func (q *Quantile) Count() int { return q.count }

// Mean is an exponentially weighted mean. The first Window observations have equal weights, as in an arithmetic mean.
type Mean struct {
	// Window is the effective number of recent observations in the mean; each new observation has the weight 1/Window.
	Window int

	value float64
	count int
}

// Observe adds one value.
func (m *Mean) Observe(v float64) {
	m.count++
	weight := 1 / float64(min(m.count, max(m.Window, 1)))
	m.value += weight * (v - m.value)
}

// Value returns the mean, or 0 before the first observation.
func (m *Mean) Value() float64 { return m.value }

// Count returns the number of observations.
func (m *Mean) Count() int { return m.count }

// Rate estimates the number of events per second by an exponentially decaying count.
type Rate struct {
	// Window is the time in which the weight of an event falls to 1/e.
	Window time.Duration

	// count is the number of events, weighted by their age at decayedAt.
	count     float64
	decayedAt time.Time
	// startedAt is the time of the first event.
	startedAt time.Time
}

// Add counts n events at now.
func (r *Rate) Add(n float64, now time.Time) {
	if r.startedAt.IsZero() {
		r.startedAt = now
	}
	r.decay(now)
	r.count += n
}

// decay reduces the count to its weight at now.
func (r *Rate) decay(now time.Time) {
	if !r.decayedAt.IsZero() {
		r.count *= math.Exp(-now.Sub(r.decayedAt).Seconds() / r.Window.Seconds())
	}
	r.decayedAt = now
}

// PerSecond returns the rate at now.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	r.decay(now)
	window := r.Window.Seconds()
	age := now.Sub(r.startedAt).Seconds()
	// Soon after the first event the count covers less than the window. At least a quarter of the window is
	// assumed, so that the first events don't give a very high rate.
	covered := window * (1 - math.Exp(-age/window))
	return r.count / max(covered, window/4)
}
