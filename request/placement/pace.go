package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// maxLateStreams is the part of the streams with the pool's shortest pauses that may pause for too long before the
	// pool's servers are split. Service levels promise nine of ten requests in time.
	maxLateStreams = 0.1
	// minPacedStreams is the number of streams within rateDecay from which their late part says something.
	minPacedStreams = 10
	// splitDelay is the time for which too many streams must be late before the servers are split: the instances learn
	// of each other's late streams within a second.
	splitDelay = 500 * time.Millisecond
	// riseTime is the time in which the rates of a burst that has just begun reach their full size.
	riseTime = 2 * rateDecay
	// mergeWorkRatio is the part of the delay-tolerant work at the time of the split that must be left to end it.
	mergeWorkRatio = 0.5
	// mergeDelay is the time for which the work must have been that low. Like shareDecay it is longer than the time
	// between two bursts, since each change moves prompts to other servers.
	mergeDelay = 12 * time.Second
	// followDelay is the time after a change of its own in which an instance doesn't follow the majority: the others
	// come to the same decision within a second or two.
	followDelay = 5 * time.Second
	// minFollowed is the number of instances that must be heard to follow them.
	minFollowed = 2
	// minSplitWork is the delay-tolerant work, in prefill tokens per second, from which the servers are split: what fills
	// one server. Without it, long prompts aren't what makes the streams late.
	minSplitWork = tolerantUtilization * initialPrefillRate * 1000
	// paceInterval is the minimum time between two decisions.
	paceInterval = 100 * time.Millisecond
)

// StreamPace decides whether a pool's servers are split, by the pauses of the streams that may pause least. It is safe
// for concurrent use.
//
// It answers bursts of long prompts beside streams with short permitted pauses: each engine step that also prefills
// takes several times as long, and a few such steps within one event make it late. Whether this happens depends on the
// load of each pool and the size of its engines' steps, which the configuration doesn't tell, so that the decision uses
// what happened to the streams of all instances. Instances that know the same decide alike; one that knows little
// follows the others, and one that hears none keeps its state while its own load lasts.
type StreamPace struct {
	mu sync.Mutex
	// began and late count this instance's streams, decayed by rateDecay.
	began, late float64
	decayedAt   time.Time
	peers       map[string]peerPace
	// isSplit is the decision in force, made at changedAt; changedAt is zero before the first change.
	isSplit   bool
	changedAt time.Time
	decidedAt time.Time
	// lateSince is the time since which too many streams have been late, calmSince the time since which a split hasn't
	// been needed; zero if that isn't so.
	lateSince, calmSince time.Time
	// splitWork and splitWorkPerInstance are the most delay-tolerant work until riseTime after the servers were split.
	splitWork, splitWorkPerInstance float64
}

// PaceReport is what an instance tells the others of a pool's streams.
type PaceReport struct {
	// Began is the number of streams with the pool's shortest permitted pauses that began per second, and Late the
	// number of those that have paused for too long.
	Began, Late float64
	// Groups is the sender's decision.
	Groups PaceGroups
}

// PaceGroups says whether an instance splits a pool's servers because of its streams' pauses.
type PaceGroups int

const (
	// PaceUnknown is reported by instances that don't decide: their build can't split servers because of pauses, or they
	// have had no request for a pool of which this may be due.
	PaceUnknown PaceGroups = iota
	// PaceMixed means that the servers aren't split.
	PaceMixed
	// PaceSplit means that they are.
	PaceSplit
)

// peerPace holds the report of another instance and when it was received.
type peerPace struct {
	PaceReport
	receivedAt time.Time
}

// PaceChange describes a change of the decision for the log.
type PaceChange struct {
	// Split is the new decision, and Reason why it was made.
	Split  bool
	Reason string
	// Began and Late are the streams of all instances per second, Work their delay-tolerant work in prefill tokens per
	// second.
	Began, Late, Work float64
	// Peers is the number of instances whose reports were used, and OldestReport the age of the oldest one.
	Peers        int
	OldestReport time.Duration
}

// ObserveBegin counts a stream with the pool's shortest permitted pauses when its first event arrives.
func (p *StreamPace) ObserveBegin() { p.observe(1, 0) }

// ObserveLate counts such a stream when it pauses for too long for the first time.
func (p *StreamPace) ObserveLate() { p.observe(0, 1) }

func (p *StreamPace) observe(began, late float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decay(time.Now())
	p.began += began
	p.late += late
}

// decay reduces the weight of past streams to that at now; the caller holds the lock.
func (p *StreamPace) decay(now time.Time) {
	if !p.decayedAt.IsZero() {
		factor := math.Exp(-float64(now.Sub(p.decayedAt)) / float64(rateDecay))
		p.began *= factor
		p.late *= factor
	}
	p.decayedAt = now
}

// Report returns what the other instances are told. An instance that hasn't decided within peerRatesTTL has no vote.
func (p *StreamPace) Report() PaceReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.decay(now)
	r := PaceReport{Began: p.began / rateDecay.Seconds(), Late: p.late / rateDecay.Seconds()}
	switch {
	case p.decidedAt.IsZero() || now.Sub(p.decidedAt) > peerRatesTTL:
	case p.isSplit:
		r.Groups = PaceSplit
	default:
		r.Groups = PaceMixed
	}
	return r
}

// HasDecided reports whether a decision was ever due.
func (p *StreamPace) HasDecided() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.decidedAt.IsZero()
}

// SetPeer stores the report of another instance, unless that one doesn't decide. Impossible rates are bounded.
func (p *StreamPace) SetPeer(instance string, r PaceReport) {
	if r.Groups != PaceMixed && r.Groups != PaceSplit {
		return
	}
	r.Began = max(r.Began, 0)
	r.Late = min(max(r.Late, 0), r.Began)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[string]peerPace{}
	}
	p.peers[instance] = peerPace{r, time.Now()}
}

// IsSplit returns the decision in force.
func (p *StreamPace) IsSplit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isSplit
}

// ChangedWithin reports whether the decision changed at most the given time ago.
func (p *StreamPace) ChangedWithin(ago time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.changedAt.IsZero() && time.Since(p.changedAt) <= ago
}

// Decide brings the decision up to date and reports whether it changed. The argument work returns the delay-tolerant
// work of all instances in prefill tokens per second, whether or not the servers are split.
func (p *StreamPace) Decide(work func() float64) (PaceChange, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Sub(p.decidedAt) < paceInterval {
		return PaceChange{}, false
	}
	p.decidedAt = now
	p.decay(now)
	state, splitVotes, mixedVotes := p.sum(now)
	state.Work = work()
	state.Split, state.Reason = p.next(now, state, splitVotes, mixedVotes)
	isChanged := state.Split != p.isSplit
	if isChanged {
		p.isSplit, p.changedAt = state.Split, now
		p.lateSince, p.calmSince = time.Time{}, time.Time{}
		if state.Reason == "late" {
			// One that follows the others knows the work of an earlier split better than what is left of it.
			p.splitWork, p.splitWorkPerInstance = 0, 0
		}
	}
	if p.isSplit && now.Sub(p.changedAt) <= riseTime {
		p.splitWork = max(p.splitWork, state.Work)
		p.splitWorkPerInstance = max(p.splitWorkPerInstance, state.Work/float64(1+state.Peers))
	}
	return state, isChanged
}

// next returns the decision for the present state and the reason for it.
func (p *StreamPace) next(now time.Time, s PaceChange, splitVotes, mixedVotes int) (split bool, reason string) {
	tooLate := s.Began*rateDecay.Seconds() >= minPacedStreams && s.Late > maxLateStreams*s.Began
	if lasts(&p.lateSince, tooLate && s.Work >= minSplitWork && !p.isSplit, now) >= splitDelay {
		return true, "late"
	}
	calm := s.Work <= mergeWorkRatio*p.splitWork && s.Work/float64(1+s.Peers) <= mergeWorkRatio*p.splitWorkPerInstance
	if lasts(&p.calmSince, calm && !tooLate && p.isSplit, now) >= mergeDelay {
		return false, "calm"
	}
	votes := splitVotes + mixedVotes
	if votes < minFollowed || !p.changedAt.IsZero() && now.Sub(p.changedAt) < followDelay {
		return p.isSplit, ""
	}
	if majority := splitVotes > mixedVotes; majority != p.isSplit && 3*max(splitVotes, mixedVotes) >= 2*votes {
		return majority, "majority"
	}
	return p.isSplit, ""
}

// lasts returns how long a condition has held. It keeps the time since which it holds in since.
func lasts(since *time.Time, holds bool, now time.Time) time.Duration {
	if !holds {
		*since = time.Time{}
		return -1
	}
	if since.IsZero() {
		*since = now
	}
	return now.Sub(*since)
}

// maxPeerRate returns the streams per second up to which those of another instance count: maxPeerFactor times the median
// of the instances that have any. The caller holds the lock.
func (p *StreamPace) maxPeerRate() float64 {
	rates := make([]float64, 0, 1+len(p.peers))
	if p.began > 0 {
		rates = append(rates, p.began/rateDecay.Seconds())
	}
	for _, r := range p.peers {
		if r.Began > 0 {
			rates = append(rates, r.Began)
		}
	}
	return maxPeerFactor * Median(rates)
}

// sum adds up the streams of all instances, counts their decisions and drops outdated reports; the caller holds the
// lock.
func (p *StreamPace) sum(now time.Time) (state PaceChange, splitVotes, mixedVotes int) {
	state.Began, state.Late = p.began/rateDecay.Seconds(), p.late/rateDecay.Seconds()
	limit := p.maxPeerRate()
	for name, r := range p.peers {
		age := now.Sub(r.receivedAt)
		if age > peerRatesTTL {
			delete(p.peers, name)
			continue
		}
		if r.Began > 0 {
			factor := min(1, limit/r.Began)
			state.Began += factor * r.Began
			state.Late += factor * r.Late
		}
		state.Peers++
		state.OldestReport = max(state.OldestReport, age)
		switch r.Groups {
		case PaceSplit:
			splitVotes++
		case PaceMixed:
			mixedVotes++
		}
	}
	return state, splitVotes, mixedVotes
}
