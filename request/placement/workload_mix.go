package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// shareDecay is the time in which the weight of past work falls to a third when the share is computed: the part of
	// a pool's servers that serves delay-tolerant requests. The time is longer than a burst, since each change of the
	// share moves prompts to other servers.
	shareDecay = 12 * time.Second
	// sensitiveWeight is the weight of latency-sensitive work in the share; the servers for it must be idle more often.
	sensitiveWeight = 1.5
	// shareSteps is the number of steps from 0 to 1 to which the share is rounded. Rounding gives instances that see
	// similar work the same share.
	shareSteps = 8
	// shareHysteresis is the part of a step by which the computed share must differ before the share in force changes.
	shareHysteresis = 0.75
	// minShare is the smallest share of either group of servers.
	minShare = 0.25
	// rateDecay is the time in which the weight of past work falls to a third in the rates that instances send each
	// other. It can be short, since the rates of all instances add up to many requests.
	rateDecay = 3 * time.Second
	// peerRatesTTL is the time for which the rates of another instance are used: three of the intervals at which they
	// are sent.
	peerRatesTTL = 3 * time.Second
	// outputTokenCost is the cost of one permitted token of an answer in prefill tokens. A generated token costs about
	// 10 if few other requests run, and answers have less than half of the permitted length.
	outputTokenCost = 4
	// sensitiveUtilization is the part of a server's prefill rate that latency-sensitive requests may use. An event of
	// several tokens takes as many steps, and each step that also prefills takes several times as long.
	sensitiveUtilization = 0.7
	// tolerantUtilization is the same for delay-tolerant requests. It can be higher, since they may wait much longer
	// than the time between two of their arrivals.
	tolerantUtilization = 0.8
)

// WorkloadMix measures how much of a pool's work belongs to delay-tolerant requests, and divides the pool's servers
// between these and the latency-sensitive ones. It protects streams with a short permitted gap between tokens from
// bursts of long prompts. Under overload of the whole pool the delay-tolerant requests get the servers that the others
// leave. It is safe for concurrent use.
type WorkloadMix struct {
	// Contexts follows the length of the pool's delay-tolerant prompts.
	Contexts ContextLength
	// Pace follows the pauses of the pool's streams.
	Pace StreamPace
	// Groups keeps long prompts away from the streams of servers that change their group while Pace splits the servers.
	Groups ServerGroups

	mu sync.Mutex
	// tolerantTokens and sensitiveTokens are the prefill tokens of the two kinds of requests, decayed by shareDecay.
	tolerantTokens  float64
	sensitiveTokens float64
	decayedAt       time.Time
	// localWork is this instance's work, decayed by rateDecay; peers holds the rates of the other instances by name.
	localWork WorkRates
	peers     map[string]peerRates
	// shareStep is the share in force in steps of 1/shareSteps; 0 until it is first computed.
	shareStep int
	// previousShare was in force before the last change of the share, at changedAt.
	previousShare float64
	changedAt     time.Time
}

// WorkRates is work per second in prefill tokens.
type WorkRates struct {
	// DelayTolerant is the work of delay-tolerant requests.
	DelayTolerant float64
	// LatencySensitive is the work of latency-sensitive requests.
	LatencySensitive float64
	// Refused is the part of both that wasn't admitted.
	Refused float64
	// Movable is the part of LatencySensitive that counts as delay-tolerant if StreamPace splits the servers.
	Movable float64
}

// perSecond converts a sum of work that was decayed by rateDecay to work per second.
func (r WorkRates) perSecond() WorkRates {
	seconds := rateDecay.Seconds()
	return WorkRates{r.DelayTolerant / seconds, r.LatencySensitive / seconds, r.Refused / seconds, r.Movable / seconds}
}

// peerRates holds the rates of another instance and when they were received.
type peerRates struct {
	WorkRates
	receivedAt time.Time
}

// AddRequest counts the work of a request. The argument tokens is the number of prompt tokens that must be prefilled.
func (m *WorkloadMix) AddRequest(p *Prompt, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(time.Now())
	work := p.Work(tokens)
	if p.DelayTolerant || p.Movable {
		m.tolerantTokens += float64(tokens)
	} else {
		m.sensitiveTokens += float64(tokens)
	}
	if p.DelayTolerant {
		m.localWork.DelayTolerant += work
		return
	}
	m.localWork.LatencySensitive += work
	if p.Movable {
		m.localWork.Movable += work
	}
}

// Work returns the work of a request in prefill tokens. The argument tokens is the number of prompt tokens that must be
// prefilled.
func (p *Prompt) Work(tokens int) float64 { return float64(tokens + outputTokenCost*p.MaxOutput) }

// LocalRates returns the rates of this instance's requests.
func (m *WorkloadMix) LocalRates() WorkRates {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(time.Now())
	return m.localWork.perSecond()
}

// AddRefused counts the prefill tokens of a request that wasn't admitted.
func (m *WorkloadMix) AddRefused(tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decay(time.Now())
	m.localWork.Refused += float64(tokens)
}

// TotalRates returns the sum of the rates of all instances.
func (m *WorkloadMix) TotalRates() WorkRates {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.decay(now)
	return m.totalRates(now)
}

// ServersNeeded returns the number of servers needed for the work of all instances.
func (m *WorkloadMix) ServersNeeded() int {
	r := m.TotalRates()
	return int(math.Ceil((r.DelayTolerant/tolerantUtilization + r.LatencySensitive/sensitiveUtilization) / (initialPrefillRate * 1000)))
}

// DecidePace brings the decision of Pace up to date and reports whether it changed.
func (m *WorkloadMix) DecidePace() (PaceChange, bool) {
	return m.Pace.Decide(func() float64 {
		r := m.TotalRates()
		return r.DelayTolerant + r.Movable
	})
}

// SetPeerRates stores the rates that another instance has sent.
func (m *WorkloadMix) SetPeerRates(instance string, r WorkRates) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[string]peerRates{}
	}
	m.peers[instance] = peerRates{r, time.Now()}
}

// totalRates returns the sum of the rates of all instances and drops outdated ones; the caller holds the lock.
func (m *WorkloadMix) totalRates(now time.Time) WorkRates {
	sum := m.localWork.perSecond()
	for name, r := range m.peers {
		if now.Sub(r.receivedAt) > peerRatesTTL {
			delete(m.peers, name)
			continue
		}
		sum.DelayTolerant += r.DelayTolerant
		sum.LatencySensitive += r.LatencySensitive
		sum.Refused += r.Refused
		sum.Movable += r.Movable
	}
	return sum
}

// decay reduces the weight of past work to that at now; the caller holds the lock.
func (m *WorkloadMix) decay(now time.Time) {
	if !m.decayedAt.IsZero() {
		factor := math.Exp(-float64(now.Sub(m.decayedAt)) / float64(shareDecay))
		m.tolerantTokens *= factor
		m.sensitiveTokens *= factor
		factor = math.Exp(-float64(now.Sub(m.decayedAt)) / float64(rateDecay))
		m.localWork.DelayTolerant *= factor
		m.localWork.LatencySensitive *= factor
		m.localWork.Refused *= factor
		m.localWork.Movable *= factor
	}
	m.decayedAt = now
}

// DelayTolerantShare returns the part of the pool's servers that serves delay-tolerant requests; it is one half until
// work is counted. The share follows the proportion of the work, but leaves enough servers for the latency-sensitive
// requests. The number of these servers is computed with the initial prefill rate: the observed rate falls with each
// backlog, so that it would take servers away from the group that has the backlog.
func (m *WorkloadMix) DelayTolerantShare(servers int) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shareStep == 0 {
		m.shareStep = shareSteps / 2
	}
	now := time.Now()
	m.decay(now)
	if sum := m.tolerantTokens + sensitiveWeight*m.sensitiveTokens; sum > 0 {
		targetStep := m.tolerantTokens / sum * shareSteps
		if servers > 0 {
			total := m.totalRates(now)
			neededServers := (total.LatencySensitive - total.Movable) / (sensitiveUtilization * initialPrefillRate * 1000)
			targetStep = min(targetStep, (1-neededServers/float64(servers))*shareSteps)
		}
		if math.Abs(targetStep-float64(m.shareStep)) > shareHysteresis {
			m.previousShare, m.changedAt = m.currentShare(), now
			m.shareStep = max(int(math.Round(targetStep)), 1)
		}
	}
	return m.currentShare()
}

// currentShare returns the share in force; the caller holds the lock.
func (m *WorkloadMix) currentShare() float64 {
	return min(max(float64(m.shareStep)/shareSteps, minShare), 1-minShare)
}

// ShareBefore returns the share from before the last change if that change is at most the given time ago, else the
// present share.
func (m *WorkloadMix) ShareBefore(ago time.Duration) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changedAt.IsZero() || time.Since(m.changedAt) > ago {
		return m.currentShare()
	}
	return m.previousShare
}
