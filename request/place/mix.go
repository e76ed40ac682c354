package place

import (
	"math"
	"sync"
	"time"
)

const (
	// mixAge is the time in which the weight of past work falls to a third: long against bursts, since each change of the
	// share moves prompts to other servers.
	mixAge = 12 * time.Second
	// hurryWeight weighs the work of requests that aren't patient, whose servers must be idle more often.
	hurryWeight = 1.5
	// mixSteps is the number of steps of the share, so that instances that see a like mix come to the same one.
	mixSteps = 8
	// mixSlack is the part of a step by which the mix must differ before the share changes.
	mixSlack = 0.75
	// shareLeast bounds the share on both sides.
	shareLeast = 0.25
)

// Mix follows how much of a pool's reading is for patient requests, and divides the pool's servers accordingly. It answers
// bursts of long prompts beside streams whose tokens must keep coming.
type Mix struct {
	mu      sync.Mutex
	patient float64
	hurried float64
	at      time.Time
	step    int
	// last is the share before the last change, and changed is when that was.
	last    float64
	changed time.Time
}

// Add counts the reading of a request in tokens.
func (m *Mix) Add(p *Prompt, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(time.Now())
	if p.Patient {
		m.patient += float64(tokens)
	} else {
		m.hurried += float64(tokens)
	}
}

func (m *Mix) fade(now time.Time) {
	if !m.at.IsZero() {
		f := math.Exp(-float64(now.Sub(m.at)) / float64(mixAge))
		m.patient *= f
		m.hurried *= f
	}
	m.at = now
}

// Share returns the part of the servers that patient requests get, half before anything was counted.
func (m *Mix) Share() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.step == 0 {
		m.step = mixSteps / 2
	}
	if sum := m.patient + hurryWeight*m.hurried; sum > 0 {
		at := m.patient / sum * mixSteps
		if math.Abs(at-float64(m.step)) > mixSlack {
			m.last, m.changed = m.share(), time.Now()
			m.step = int(math.Round(at))
		}
	}
	return m.share()
}

func (m *Mix) share() float64 {
	return min(max(float64(m.step)/mixSteps, shareLeast), 1-shareLeast)
}

// Before returns the share that was in force that time ago, or since.
func (m *Mix) Before(ago time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed.IsZero() || time.Since(m.changed) > ago {
		return m.share()
	}
	return m.last
}
