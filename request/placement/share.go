package placement

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usualDecay is the time in which the weight of past work falls to a third in a workspace's usual rate. It is far
	// longer than a burst, and short enough that growth which lasts becomes usual within minutes.
	usualDecay = 60 * time.Second
	// recentDecay is the time in which the weight of past work falls to a third in a workspace's recent rate: about the
	// longest time for which requests wait, so that a burst is seen before it has filled the servers.
	recentDecay = 1500 * time.Millisecond
	// borrowFactor is the multiple of its part up to which a workspace doesn't exceed it: rates vary.
	borrowFactor = 1.5
	// partDeviations is the number of standard deviations by which a workspace must exceed its part, so that a few requests
	// which come together by chance don't count.
	partDeviations = 2
	// MaxSharesTold bounds the workspaces of a pool whose rates an instance tells the others. Only the largest can take
	// room from others.
	MaxSharesTold = 4
	// excessFactor multiplies the wait limit of a request beyond its workspace's part. The servers' backlog then stays at
	// half of what others may wait for, so that these are admitted. If others are refused all the same, they leave nothing
	// to borrow but what is idle, and refusedExcessFactor takes its place for refusedFor.
	excessFactor, refusedExcessFactor = 0.5, 0.1
	refusedFor                        = time.Second
	// maxExcess is the largest part of a workspace's requests that counts as beyond its part. The others are admitted like
	// all, so that a workspace which asks for very much isn't starved: a quarter of what others get is due to it.
	maxExcess = 0.7
	// maxPeerFactor is the multiple of the median instance's rate up to which the rates of another instance count: balancers
	// spread callers evenly, but for the sizes of machines.
	maxPeerFactor = 4
	// strainedFor is the time after a long expected wait for which a pool counts as strained.
	strainedFor = recentDecay
)

// WorkspaceShares tells how much more than its part of a pool a workspace asks for. The part of a workspace is the mean of
// what the others ask for, or its own usual rate, whichever is more. What it asks for beyond is admitted only while the
// expected wait is short, so that it borrows what others leave; the requests of its part are admitted like all others.
//
// It handles one workspace that sends many times its usual to a pool that is nearly full, at all instances at once. An
// instance knows what its own requests bring, and what the others tell while the pool is strained. Without news of the
// others it judges by its own requests. It is safe for concurrent use.
type WorkspaceShares struct {
	mu sync.Mutex
	// workspaces holds the work of this instance's requests by the hash of the workspace's name, and all the sum of their
	// recent work.
	workspaces map[int]*workspaceWork
	all        float64
	// requests is the number of requests, decayed by recentDecay.
	requests  float64
	startedAt time.Time
	decayedAt time.Time
	// strainedAt is the time of the last long expected wait.
	strainedAt time.Time
	// refusedAt is the time at which a request within its workspace's part was last refused.
	refusedAt time.Time
	// peers holds what other instances told, by name.
	peers map[string]peerShares
}

// workspaceWork is what the requests of a workspace ask for.
type workspaceWork struct {
	name string
	// recent and usual are sums of work in prefill tokens, decayed by recentDecay and usualDecay.
	recent, usual float64
	// admitted and refused count the requests, and waits is the sum of the expected waits of the admitted ones.
	admitted, refused int
	waits             time.Duration
}

// peerShares is what another instance told.
type peerShares struct {
	all        float64
	shares     []WorkspaceRate
	receivedAt time.Time
}

// WorkspaceRate is the work per second, in prefill tokens, that one workspace's requests bring to a pool.
type WorkspaceRate struct {
	// Hash identifies the workspace; see WorkspaceHash.
	Hash int
	// Recent is the rate of the last seconds, and Usual that of the last minute.
	Recent, Usual float64
}

// WorkspaceHash returns the hash that identifies a workspace in datagrams between instances.
func WorkspaceHash(name string) int { return int(uint32(xxhash.Sum64String(name))) }

// Add counts the work of a request.
func (s *WorkspaceShares) Add(workspace string, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(time.Now())
	if s.workspaces == nil {
		s.workspaces = map[int]*workspaceWork{}
	}
	hash := WorkspaceHash(workspace)
	w := s.workspaces[hash]
	if w == nil {
		w = &workspaceWork{name: workspace}
		s.workspaces[hash] = w
	}
	// What exceeds the part while the pool is strained doesn't become usual.
	excess := 0.0
	if s.isStrained(s.decayedAt) {
		excess = s.excess(w, s.rate(w.recent, recentDecay), s.rate(w.usual, usualDecay), s.rate(s.all, recentDecay))
	}
	w.recent, w.usual = w.recent+work, w.usual+work*(1-excess)
	s.all += work
	s.requests++
}

// decay reduces the weight of past work to that at now; the caller holds the lock.
func (s *WorkspaceShares) decay(now time.Time) {
	if s.startedAt.IsZero() {
		s.startedAt, s.decayedAt = now, now
		return
	}
	elapsed := now.Sub(s.decayedAt)
	recent, usual := math.Exp(-float64(elapsed)/float64(recentDecay)), math.Exp(-float64(elapsed)/float64(usualDecay))
	for hash, w := range s.workspaces {
		w.recent, w.usual = w.recent*recent, w.usual*usual
		if w.usual < 1 {
			delete(s.workspaces, hash)
		}
	}
	s.all *= recent
	s.requests *= recent
	s.decayedAt = now
}

// rate converts decayed work to work per second; the caller holds the lock. While less than the time of the decay has
// been observed, the sum is divided by what was.
func (s *WorkspaceShares) rate(work float64, decay time.Duration) float64 {
	observed := 1 - math.Exp(-max(s.decayedAt.Sub(s.startedAt).Seconds(), 1)/decay.Seconds())
	return work / (decay.Seconds() * observed)
}

// ObserveWait records the expected wait of a request and its limit. The pool is strained if the wait is longer than
// requests of workspaces beyond their part may wait for.
func (s *WorkspaceShares) ObserveWait(wait, limit time.Duration) {
	if limit <= 0 || float64(wait) <= excessFactor*maxWaitShare*float64(limit) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.strainedAt = time.Now()
}

// isStrained reports whether the pool counts as strained; the caller holds the lock.
func (s *WorkspaceShares) isStrained(now time.Time) bool {
	return !s.strainedAt.IsZero() && now.Sub(s.strainedAt) <= strainedFor
}

// Record counts a request that was admitted after the expected wait, or refused.
func (s *WorkspaceShares) Record(workspace string, wait time.Duration, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.workspaces[WorkspaceHash(workspace)]
	switch {
	case w == nil:
	case admitted:
		w.admitted++
		w.waits += wait
	default:
		w.refused++
	}
}

// WorkspaceStatus describes what a workspace asks for.
type WorkspaceStatus struct {
	Workspace string
	WorkspaceRate
	// Excess is the part of its requests that is beyond its part.
	Excess float64
	// Admitted and Refused are its requests since it began to ask, and MeanWait is the mean expected wait of the former.
	Admitted, Refused int
	MeanWait          time.Duration
}

// maxStatus bounds the workspaces that Status returns.
const maxStatus = 16

// Status returns what the largest workspaces ask for, the largest first.
func (s *WorkspaceShares) Status() []WorkspaceStatus {
	s.mu.Lock()
	s.decay(time.Now())
	list := make([]WorkspaceStatus, 0, len(s.workspaces))
	for hash, w := range s.workspaces {
		list = append(list, WorkspaceStatus{
			Workspace: w.name, WorkspaceRate: WorkspaceRate{hash, s.rate(w.recent, recentDecay), s.rate(w.usual, usualDecay)},
			Admitted: w.admitted, Refused: w.refused, MeanWait: w.waits / time.Duration(max(w.admitted, 1)),
		})
	}
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b WorkspaceStatus) int {
		return cmp.Or(cmp.Compare(b.Recent+b.Usual, a.Recent+a.Usual), cmp.Compare(a.Workspace, b.Workspace))
	})
	list = list[:min(len(list), maxStatus)]
	for i := range list {
		list[i].Excess = s.Excess(list[i].Workspace)
	}
	return list
}

// Told returns what the other instances are to know: the rate of all requests and the rates of the workspaces that ask
// for most. It returns none while the pool isn't strained.
func (s *WorkspaceShares) Told() (all float64, shares []WorkspaceRate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !s.isStrained(now) {
		return 0, nil
	}
	s.decay(now)
	for hash, w := range s.workspaces {
		shares = append(shares, WorkspaceRate{hash, s.rate(w.recent, recentDecay), s.rate(w.usual, usualDecay)})
	}
	// The order is that of both rates, so that what comes together by chance isn't told more often.
	slices.SortFunc(shares, func(a, b WorkspaceRate) int {
		return cmp.Or(cmp.Compare(b.Recent+b.Usual, a.Recent+a.Usual), cmp.Compare(a.Hash, b.Hash))
	})
	return s.rate(s.all, recentDecay), shares[:min(len(shares), MaxSharesTold)]
}

// SetPeer stores what another instance told. It is used for three of the intervals at which instances tell it.
func (s *WorkspaceShares) SetPeer(instance string, all float64, shares []WorkspaceRate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(shares) == 0 {
		delete(s.peers, instance)
		return
	}
	if s.peers == nil {
		s.peers = map[string]peerShares{}
	}
	s.peers[instance] = peerShares{all, shares[:min(len(shares), MaxSharesTold)], time.Now()}
}

// Excess returns the part of a workspace's requests, from 0 to 1, that is beyond its part of the pool, as far as this
// instance knows.
func (s *WorkspaceShares) Excess(workspace string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.decay(now)
	hash := WorkspaceHash(workspace)
	w := s.workspaces[hash]
	if w == nil {
		return 0
	}
	recent, usual, all := s.rate(w.recent, recentDecay), s.rate(w.usual, usualDecay), s.rate(s.all, recentDecay)
	rates := []float64{all}
	for name, p := range s.peers {
		if now.Sub(p.receivedAt) > peerRatesTTL {
			delete(s.peers, name)
			continue
		}
		rates = append(rates, p.all)
	}
	limit := maxPeerFactor * Median(rates)
	for _, p := range s.peers {
		// What an instance tells is taken in proportion if all of it is more than it can have.
		factor := min(1, limit/max(p.all, 1))
		all += factor * p.all
		for _, r := range p.shares {
			if r.Hash == hash {
				recent, usual = recent+factor*min(r.Recent, p.all), usual+factor*min(r.Usual, p.all)
			}
		}
	}
	return s.excess(w, recent, usual, all)
}

// excess returns the part of a workspace's rate that is beyond its part, given its own rates and that of all; the caller
// holds the lock. While no other workspace asks for anything, nothing is beyond it.
func (s *WorkspaceShares) excess(w *workspaceWork, recent, usual, all float64) float64 {
	if len(s.workspaces) < 2 || s.requests == 0 {
		return 0
	}
	perRequest := s.all / s.requests
	if (all-recent)*recentDecay.Seconds() < perRequest/math.E {
		return 0
	}
	part := max((all-recent)/s.othersOf(w), usual)
	expected := borrowFactor * part * recentDecay.Seconds()
	if recent*recentDecay.Seconds() <= expected+partDeviations*math.Sqrt(expected*perRequest)+perRequest {
		return 0
	}
	return min(1-part/recent, maxExcess)
}

// othersOf returns the number of other workspaces, as many of the same size as make up the work that is usual beside w.
// One that has asked for nothing for minutes hardly counts. The caller holds the lock.
func (s *WorkspaceShares) othersOf(w *workspaceWork) float64 {
	sum, squares := 0.0, 0.0
	for _, other := range s.workspaces {
		if other != w {
			sum += other.usual
			squares += other.usual * other.usual
		}
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / squares
}

// ExcessLimit returns the wait limit of a request beyond its workspace's part, given that of all others.
func (s *WorkspaceShares) ExcessLimit(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.refusedAt.IsZero() && time.Since(s.refusedAt) < refusedFor {
		return time.Duration(refusedExcessFactor * float64(limit))
	}
	return time.Duration(excessFactor * float64(limit))
}

// ObserveRefused records that a request within its workspace's part was refused.
func (s *WorkspaceShares) ObserveRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedAt = time.Now()
}

// IsAmong reports whether the request with the id belongs to a part, from 0 to 1, of the requests.
func IsAmong(id string, part float64) bool {
	return part > 0 && float64(xxhash.Sum64String("share "+id)>>11)/(1<<53) < part
}
