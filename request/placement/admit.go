package placement

import (
	"sync"
	"time"
)

const (
	// initialPrefillRate is the prefill rate of an engine that also generates, in tokens per millisecond, until the
	// first observation: a step that prefills a chunk of 2,048 tokens takes 25 ms for the chunk and 6 ms for the
	// running streams.
	initialPrefillRate = 0.8 * NominalPrefillRate
	// minPrefillRate is the lower bound of an observed rate: a lower one is more likely caused by a fault.
	minPrefillRate = NominalPrefillRate / 8
	// newestSampleWeight is the weight of the newest observed rate in the moving average.
	newestSampleWeight = 0.1
	// minSampleTokens is the number of prefilled tokens from which an observation is used: with fewer tokens, the fixed
	// cost of a request would be too large a part of the time.
	minSampleTokens = 8192
)

// PrefillRate estimates the prefill rate of a pool's engines, which also generate at the same time. It is safe for
// concurrent use.
type PrefillRate struct {
	mu          sync.Mutex
	tokensPerMs float64
}

// Observe records the time to the first event of a request. The argument tokens is the number of prompt tokens that the
// server had to prefill until then, those of the request included.
func (r *PrefillRate) Observe(tokens int, elapsed time.Duration) {
	if tokens < minSampleTokens || elapsed <= 0 {
		return
	}
	sample := min(max(float64(tokens)/(float64(elapsed)/float64(time.Millisecond)), minPrefillRate), NominalPrefillRate)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokensPerMs == 0 {
		r.tokensPerMs = initialPrefillRate
	}
	r.tokensPerMs += newestSampleWeight * (sample - r.tokensPerMs)
}

// TokensPerMs returns the prefill rate in tokens per millisecond.
func (r *PrefillRate) TokensPerMs() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokensPerMs == 0 {
		return initialPrefillRate
	}
	return r.tokensPerMs
}

// maxWaitShare is the part of the limit that an expected wait may reach. Under overload all waits are close to the
// limit, and an error of the estimate must not make all requests late.
const maxWaitShare = 0.75

// LimitOf returns the wait limit with which Admit admits expected waits up to the given one.
func LimitOf(wait time.Duration) time.Duration { return time.Duration(float64(wait) / maxWaitShare) }

// Refusal describes the wait of a request, and when the client may retry if it isn't admitted.
type Refusal struct {
	// Wait is the expected time at the best server until the prompt is prefilled.
	Wait time.Duration
	// RetryAfter is the expected wait plus the limit of the wait: the time in which the servers finish their present
	// backlog and another one of the permitted length, so that all clients may have returned. It is 0 for an admitted
	// request.
	RetryAfter time.Duration
}

// Admit reports whether a request may wait at the chosen server. The expected wait is the server's pending prefill
// divided by the prefill rate in tokens per millisecond, and longer on a server that is slower than usual; the limit is
// the longest useful wait, and 0 means no limit. The length of the request's own prompt doesn't count: long prompts would
// be refused far more often than short ones, though they wait no longer.
//
// Admission handles overload: if all requests were admitted, all would be late. Refusing at once those that would be
// late lets the servers finish the others in time.
func Admit(c *Candidate, tokensPerMs float64, limit time.Duration) (Refusal, bool) {
	tokens := float64(c.PendingPrefill)
	if c.Slots > 0 && c.Running >= c.Slots {
		tokens += queuedRequestCost * float64(c.Running-c.Slots+1)
	}
	wait := time.Duration(tokens * c.slowness() / tokensPerMs * float64(time.Millisecond))
	if limit <= 0 || float64(wait) <= maxWaitShare*float64(limit) || c.PendingPrefill <= maxIdlePrefill {
		return Refusal{Wait: wait}, true
	}
	return Refusal{Wait: wait, RetryAfter: wait + limit}, false
}

const (
	// honouredShare is the part of the time left to a caller up to which it waits for its return.
	honouredShare = 1.0 / 3
	// minReturn is the shortest time until a return: the engines' work of several steps, before which nothing has changed.
	minReturn = 50 * time.Millisecond
)

// ReturnAfter returns when a client that wasn't admitted may return, with the wait limit and the time that is left to it
// (0 if unknown). Returns are spread over the time from that at which the servers' backlog is down to what is admitted,
// until RetryAfter. The rankShare, from 0 for the most urgent requests to 1, and the position, a request's own number
// from 0 to 1, set the place within: more urgent clients return first. A client that would give up rather than wait for
// so long returns as late as it would, unless the backlog lasts longer.
//
// It handles clients that were refused together in a burst: if all returned at once, most would be refused again.
func (r Refusal) ReturnAfter(limit, left time.Duration, rankShare, position float64) time.Duration {
	first, last := r.Wait-time.Duration(maxWaitShare*float64(limit)), r.RetryAfter
	if honoured := time.Duration(honouredShare * float64(left)); left > 0 && first < honoured {
		last = min(last, honoured)
	}
	return max(first+time.Duration(float64(last-first)*(rankShare+position)/2), minReturn)
}

// DisplacedLimitFactor multiplies the wait limit of a latency-sensitive request that goes to a server for
// delay-tolerant ones; see ChooseDisplaced. The real wait is shorter than the expected one: delay-tolerant requests are
// admitted up to their own limit only, and engines prefill the more urgent prompt first.
const DisplacedLimitFactor = 2

// ChooseDisplaced chooses a server of the group for delay-tolerant requests for a latency-sensitive request that wasn't
// admitted at the servers of its own group. Later delay-tolerant requests are refused instead. It returns false if the
// request is delay-tolerant itself or there is no such server.
//
// Displacement handles more latency-sensitive work than its share of the servers can finish while delay-tolerant
// requests are still admitted.
func ChooseDisplaced(p *Prompt, candidates []Candidate) (Choice, bool) {
	noChoice := Choice{Index: -1, Owner: -1}
	if p.DelayTolerant {
		return noChoice, false
	}
	indices := make([]int, 0, len(candidates))
	tolerantCandidates := make([]Candidate, 0, len(candidates))
	for i := range candidates {
		if candidates[i].DelayTolerant {
			indices, tolerantCandidates = append(indices, i), append(tolerantCandidates, candidates[i])
		}
	}
	if len(tolerantCandidates) == 0 {
		return noChoice, false
	}
	displacedPrompt := *p
	displacedPrompt.DelayTolerant = true
	choice := ChooseEngine(&displacedPrompt, tolerantCandidates)
	owner := -1
	if choice.Owner >= 0 {
		owner = indices[choice.Owner]
	}
	return Choice{Index: indices[choice.Index], Owner: owner, Cost: choice.Cost}, true
}

// maxIdlePrefill is the pending prefill up to which a server counts as idle, in tokens: the amount that it prefills in
// two steps. An idle server refuses no request, however slow the engines have been.
const maxIdlePrefill = 4096
