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
	// rateAge is the time in which the weight of work falls to a third in the rates that instances tell each other: they add up
	// to many requests, so that it can be short.
	rateAge = 3 * time.Second
	// rateBelief is how long a told rate is believed: three intervals at which all is told.
	rateBelief = 3 * time.Second
	// outputWork is what an engine needs for a permitted token of an answer, in tokens of reading: one that is made takes about
	// 10 beside few others, and answers have less than half of the permitted length.
	outputWork = 4
	// hurriedUse is the part of a server's reading that requests which aren't patient may take up: an event of some tokens takes
	// as many steps, and each that also reads takes several times as long.
	hurriedUse = 0.7
	// patientUse is the same for patient requests, whose wait may be long against the gaps between them.
	patientUse = 0.8
)

// Mix follows how much of a pool's work is for patient requests, and divides the pool's servers accordingly. It answers
// bursts of long prompts beside streams whose tokens must keep coming, and more work than all servers can do: the patient
// requests then get what the others leave.
type Mix struct {
	mu      sync.Mutex
	patient float64
	hurried float64
	at      time.Time
	// recent is this instance's work, fading with rateAge, and told holds the rates of the other instances.
	recent Rates
	told   map[string]toldRates
	step   int
	// last is the share before the last change, and changed is when that was.
	last    float64
	changed time.Time
}

// Rates are the work of a second in tokens of reading.
type Rates struct {
	Patient float64
	Hurried float64
	// Refused is the part of both that wasn't let in.
	Refused float64
}

// perSecond returns the rates of work that has faded with rateAge.
func (r Rates) perSecond() Rates {
	s := rateAge.Seconds()
	return Rates{r.Patient / s, r.Hurried / s, r.Refused / s}
}

// toldRates are the rates of another instance.
type toldRates struct {
	Rates
	at time.Time
}

// Add counts the work of a request that has that many tokens to be read.
func (m *Mix) Add(p *Prompt, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(time.Now())
	work := float64(tokens + outputWork*p.MaxOutput)
	if p.Patient {
		m.patient += float64(tokens)
		m.recent.Patient += work
	} else {
		m.hurried += float64(tokens)
		m.recent.Hurried += work
	}
}

// Own returns this instance's rates.
func (m *Mix) Own() Rates {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(time.Now())
	return m.recent.perSecond()
}

// Refused counts the reading of a request that wasn't let in.
func (m *Mix) Refused(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(time.Now())
	m.recent.Refused += float64(tokens)
}

// All returns the rates of all instances.
func (m *Mix) All() Rates {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.fade(now)
	return m.all(now)
}

// Servers returns the number of servers that the work of all instances needs.
func (m *Mix) Servers() int {
	r := m.All()
	return int(math.Ceil((r.Patient/patientUse + r.Hurried/hurriedUse) / (readRateFirst * 1000)))
}

// Told takes another instance's rates.
func (m *Mix) Told(instance string, r Rates) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.told == nil {
		m.told = map[string]toldRates{}
	}
	m.told[instance] = toldRates{r, time.Now()}
}

// all returns the rates of all instances; the lock is held.
func (m *Mix) all(now time.Time) Rates {
	sum := m.recent.perSecond()
	for name, r := range m.told {
		if now.Sub(r.at) > rateBelief {
			delete(m.told, name)
			continue
		}
		sum.Patient += r.Patient
		sum.Hurried += r.Hurried
		sum.Refused += r.Refused
	}
	return sum
}

func (m *Mix) fade(now time.Time) {
	if !m.at.IsZero() {
		f := math.Exp(-float64(now.Sub(m.at)) / float64(mixAge))
		m.patient *= f
		m.hurried *= f
		f = math.Exp(-float64(now.Sub(m.at)) / float64(rateAge))
		m.recent.Patient *= f
		m.recent.Hurried *= f
		m.recent.Refused *= f
	}
	m.at = now
}

// Share returns the part of the servers that patient requests get, half before anything was counted: by the mix of the work,
// and no more than the others leave of the servers. That counts on the usual reading rate: the observed one falls with each
// backlog, and would take servers away where the backlog is.
func (m *Mix) Share(servers int) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.step == 0 {
		m.step = mixSteps / 2
	}
	now := time.Now()
	m.fade(now)
	if sum := m.patient + hurryWeight*m.hurried; sum > 0 {
		at := m.patient / sum * mixSteps
		if servers > 0 {
			needed := m.all(now).Hurried / (hurriedUse * readRateFirst * 1000)
			at = min(at, (1-needed/float64(servers))*mixSteps)
		}
		if math.Abs(at-float64(m.step)) > mixSlack {
			m.last, m.changed = m.share(), now
			m.step = max(int(math.Round(at)), 1)
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
