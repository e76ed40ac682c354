package place

import (
	"sync"
	"time"
)

const (
	// readRateFirst is the reading rate of an engine that also generates, in tokens a millisecond, before any was observed: a
	// step that reads a piece of 2,048 tokens takes 25 ms for it and 6 ms for the running streams.
	readRateFirst = 0.8 * ReadRate
	// readRateLeast bounds the observed rate: below it an observation rather shows a fault.
	readRateLeast = ReadRate / 8
	// weightOfReading is the weight of the newest observation.
	weightOfReading = 0.1
	// readingLeast is the work from which a wait is mostly reading and not the fixed cost of a request, in tokens.
	readingLeast = 8192
)

// Reading follows how fast a pool's engines read prompts beside what else they do.
type Reading struct {
	mu   sync.Mutex
	rate float64
}

// Observe takes the time until the first event of a prompt before which that many tokens were to be read, its own included.
func (r *Reading) Observe(tokens int, took time.Duration) {
	if tokens < readingLeast || took <= 0 {
		return
	}
	seen := min(max(float64(tokens)/(float64(took)/float64(time.Millisecond)), readRateLeast), ReadRate)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate == 0 {
		r.rate = readRateFirst
	}
	r.rate += weightOfReading * (seen - r.rate)
}

// Rate returns the reading rate in tokens a millisecond.
func (r *Reading) Rate() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate == 0 {
		return readRateFirst
	}
	return r.rate
}

// inTimeShare is the part of the limit that an expected wait may take: under more work than the servers can do, all waits are at
// the limit, and an error of the expectation must not make all of them late.
const inTimeShare = 0.75

// Refusal tells when a request that isn't placed should come back.
type Refusal struct {
	// Wait is the expected time at the best server until its prompt is read.
	Wait time.Duration
	// RetryAfter is the time in which the servers have done what they have now, and as much as they may hold.
	RetryAfter time.Duration
}

// Admit tells whether a request may wait at the chosen server, by the expected time until its own prompt is read at the reading
// rate. The limit is the longest wait that is of use, 0 is none. The prompt's own length doesn't count: long prompts would be
// refused far more often than short ones, though they wait no longer.
//
// It answers more work than the servers can do: where all that comes is let in, all comes late; where what would come late is
// refused at once, the servers do what they can in time.
func Admit(c *Candidate, rate float64, limit time.Duration) (Refusal, bool) {
	tokens := float64(c.Unread)
	if c.Slots > 0 && c.Running >= c.Slots {
		tokens += overfull * float64(c.Running-c.Slots+1)
	}
	wait := time.Duration(tokens / rate * float64(time.Millisecond))
	if limit <= 0 || float64(wait) <= inTimeShare*float64(limit) || c.Unread <= idleWork {
		return Refusal{}, true
	}
	return Refusal{Wait: wait, RetryAfter: wait + limit}, false
}

// DisplacedWaits is how many times its limit a request may be expected to wait at a server of patient requests: these are let in
// up to their own limit only, and engines read the more urgent prompt before theirs.
const DisplacedWaits = 2

// Displace chooses among the servers of patient requests for one that isn't patient and finds no room at its own kind: it takes
// the place of less urgent ones, which are then refused in its stead. It tells false where there is no such server.
//
// It answers more urgent work than its share of the servers can do, while less urgent work still finds room.
func Displace(p *Prompt, candidates []Candidate) (Choice, bool) {
	none := Choice{Index: -1, Owner: -1}
	if p.Patient {
		return none, false
	}
	index := make([]int, 0, len(candidates))
	list := make([]Candidate, 0, len(candidates))
	for i := range candidates {
		if candidates[i].Patient {
			index, list = append(index, i), append(list, candidates[i])
		}
	}
	if len(list) == 0 {
		return none, false
	}
	displaced := *p
	displaced.Patient = true
	choice := Engine(&displaced, list)
	owner := -1
	if choice.Owner >= 0 {
		owner = index[choice.Owner]
	}
	return Choice{Index: index[choice.Index], Owner: owner, Cost: choice.Cost}, true
}

// idleWork is the unread work up to which a server counts as free, in tokens: what it reads in two steps. Nothing is refused
// there, however slow the engines have been.
const idleWork = 4096
