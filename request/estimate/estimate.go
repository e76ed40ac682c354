// Package estimate follows quantiles, means and rates of a stream of observations in constant memory.
// Its types hold no lock.
package estimate

import (
	"math"
	"time"
)

// Quantile follows one quantile of positive values by steps in the logarithm of the estimate.
type Quantile struct {
	// Of is the quantile, between 0 and 1.
	Of float64

	value float64
	n     int
}

const (
	// fastSteps is the number of first observations with larger steps.
	fastSteps = 32
	fastStep  = 0.4
	slowStep  = 0.05
)

// Observe takes in one value; values that aren't positive are left out.
func (q *Quantile) Observe(v float64) {
	if v <= 0 {
		return
	}
	q.n++
	if q.n == 1 {
		q.value = v
		return
	}
	step := slowStep
	if q.n < fastSteps {
		step = fastStep
	}
	if v > q.value {
		q.value *= math.Exp(step * q.Of)
		return
	}
	q.value *= math.Exp(-step * (1 - q.Of))
}

// Value returns the estimate, or 0 before the first observation.
func (q *Quantile) Value() float64 { return q.value }

// Count returns the number of observations.
func (q *Quantile) Count() int { return q.n }

// Mean is an exponentially weighted mean that starts as a plain mean.
type Mean struct {
	// Window is the number of observations that the mean remembers.
	Window int

	value float64
	n     int
}

// Observe takes in one value.
func (m *Mean) Observe(v float64) {
	m.n++
	weight := 1 / float64(min(m.n, max(m.Window, 1)))
	m.value += weight * (v - m.value)
}

// Value returns the mean, or 0 before the first observation.
func (m *Mean) Value() float64 { return m.value }

// Count returns the number of observations.
func (m *Mean) Count() int { return m.n }

// Rate is an exponentially decaying count of events per second.
type Rate struct {
	// Window is the time that the rate remembers.
	Window time.Duration

	count float64
	at    time.Time
	began time.Time
}

// Add counts n events at now.
func (r *Rate) Add(n float64, now time.Time) {
	if r.began.IsZero() {
		r.began = now
	}
	r.decay(now)
	r.count += n
}

func (r *Rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.count *= math.Exp(-now.Sub(r.at).Seconds() / r.Window.Seconds())
	}
	r.at = now
}

// PerSecond returns the rate at now.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.began.IsZero() {
		return 0
	}
	r.decay(now)
	window := r.Window.Seconds()
	age := now.Sub(r.began).Seconds()
	// The count of a young rate covers less than the window.
	covered := window * (1 - math.Exp(-age/window))
	return r.count / max(covered, window/4)
}
