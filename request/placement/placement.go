// Package placement chooses the backend server of one request and decides whether the request is admitted. The choices
// are pure functions of their arguments; only WorkloadMix and PrefillRate keep state.
//
// An engine prefills a prompt, that is, it processes the prompt's tokens before it generates the first token of the
// answer. Waits and costs are in prefill tokens: one is the time in which an engine processes one token of a prompt.
//
// The owner of a prompt's shared parts is the server to which rendezvous hashing assigns them. It usually has them in
// its cache, so that it needn't prefill them again.
//
// A pool may divide its engines into two groups: one for delay-tolerant requests, whose streams may pause for long, and
// one for latency-sensitive requests, whose tokens must follow each other closely.
package placement

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is a contiguous section of a prompt.
type Part struct {
	// ID identifies the part's text; requests that share a part have the same id.
	ID string
	// Tokens is the length of the part in tokens.
	Tokens int
}

// Prompt describes a request's prompt and its limits.
type Prompt struct {
	// Parts lists the parts in order; the last one belongs to this request or its session alone.
	Parts []Part
	// Tokens is the length of the whole prompt in tokens.
	Tokens int
	// MaxOutput is the longest permitted answer in tokens.
	MaxOutput int
	// DelayTolerant marks a delay-tolerant request: its stream may pause far longer than others of its pool.
	DelayTolerant bool
	// Movable marks a request that becomes delay-tolerant if StreamPace splits the servers.
	Movable bool
	// FirstEventTarget is the target time to the first event; 0 means none.
	FirstEventTarget time.Duration
}

// AffinityKey returns the affinity key: the id of the last part that other requests may share. Requests with the same
// key go to the same few servers.
func (p *Prompt) AffinityKey() string {
	switch n := len(p.Parts); n {
	case 0:
		return ""
	case 1:
		return p.Parts[0].ID
	default:
		return p.Parts[n-2].ID
	}
}

// PartIDs returns the ids of the parts in order.
func (p *Prompt) PartIDs() []string {
	ids := make([]string, len(p.Parts))
	for i := range ids {
		ids[i] = p.Parts[i].ID
	}
	return ids
}

// SharedTokens returns the length in tokens of the parts that other requests may share.
func (p *Prompt) SharedTokens() int {
	shared := 0
	for i := 0; i < len(p.Parts)-1; i++ {
		shared += p.Parts[i].Tokens
	}
	return min(shared, p.Tokens)
}

// Candidate is the known state of one backend server at the time of the choice.
type Candidate struct {
	// Name identifies the server among all servers.
	Name string
	// Running is the number of requests that the server runs or has queued.
	Running int
	// Slots is the number of requests that the server can run at once; 0 means that no limit is known.
	Slots int
	// PendingPrefill is the number of prompt tokens that the server has yet to prefill for requests of all instances.
	PendingPrefill int
	// FailureRate is the ratio of recent requests that the server failed, from 0 to 1.
	FailureRate float64
	// Speed is the server's lasting speed relative to the usual server of its pool; 1 is usual, 0 unknown.
	Speed float64
	// WorkTime is how long work takes on the server at this moment, relative to its usual time; 1 is usual, 0 means that
	// the server doesn't report it.
	WorkTime float64
	// LoadAge is the time since the server reported its load and work time; negative if it hasn't. It is only logged.
	LoadAge time.Duration
	// SameDataCentre reports that the server is in the instance's own data centre.
	SameDataCentre bool
	// DelayTolerant reports that the server belongs to the group for delay-tolerant requests.
	DelayTolerant bool
	// JustStarted reports that the server has just started, so that the prompt parts it now owns were prefilled by
	// other servers.
	JustStarted bool
}

// Choice is the chosen candidate and its cost.
type Choice struct {
	// Index is the index of the chosen candidate in the list of candidates; -1 means none.
	Index int
	// Owner is the index of the candidate that owns the prompt's shared parts; -1 means none.
	Owner int
	// Cost is the cost by which the candidate was chosen: for an engine the expected time until the prompt is prefilled
	// and the penalties, in prefill tokens; for a plain service the load per slot.
	Cost float64
}

const (
	// runningRequestCost is the wait that each running request adds, in prefill tokens: a step of a batch gets longer
	// by about 2% of an empty step with each request, and a step prefills up to 2,048 tokens.
	runningRequestCost = 40
	// queuedRequestCost is the wait for a slot of a full server that each queued request adds, in prefill tokens.
	queuedRequestCost = 2048
	// sharedMissFactor multiplies the length of the shared parts; the result is added to the cost of each server that
	// doesn't own these parts.
	sharedMissFactor = 1
	// remoteCost is the cost of a server in another data centre, in prefill tokens: the link to it may fail, and its
	// traffic costs money. It is a tenth of the shortest usual target.
	remoteCost = 2048
	// wrongGroupCost is the cost of a server of the other group, in prefill tokens: prefilling a long prompt delays
	// each token of the streams that run at the same time. The cost is the prefill of half a second, so that such a
	// server is chosen only if the servers of the request's own group have a long backlog.
	wrongGroupCost = 40000
	// streamDelayCost is the additional cost of a delay-tolerant request on a server of the other group that isn't
	// idle. It exceeds any wait, so that such a server is used only if no other is left: a sequence of long prompts
	// would delay each token of all streams there.
	streamDelayCost = 1e7
	// streamTokenCost is the cost of one permitted token of an answer on a usual server, in prefill tokens. Generating a
	// token takes as long as prefilling some hundreds, and answers have less than half of the permitted length; the time
	// matters less than that to the first event, unless the pauses get too long.
	streamTokenCost = 50
	// maxIdleRunning is the number of running requests up to which a server counts as idle, if its pending prefill is
	// at most maxIdlePrefill: only few streams are delayed then.
	maxIdleRunning = 4
	// initialChoices is the number of servers of all data centres, and of the instance's own data centre, that are
	// compared first. With outdated loads, more choices are worse.
	initialChoices = 2
	// maxFailureRatio is the FailureRate of the best server above which more servers are compared.
	maxFailureRatio = 0.3
	// hotServerFactor is the multiple of the mean wait above which a server counts as overloaded compared with the
	// others, such as the owner of an affinity key that gets much of the traffic.
	hotServerFactor = 1.5
	// failureCost is the weight of failures: a server's cost is multiplied by 1 + failureCost * FailureRate.
	failureCost = 8
)

// ChooseEngine chooses an engine for a prompt. It compares the first few engines in the order of a rendezvous hash of
// the prompt's affinity key. The first of them owns the shared parts, so that these are prefilled once; if the owner is
// overloaded, the requests spill over to the next ones in the same order. More engines are compared only if the best
// one is overloaded or fails too often.
//
// The choice handles many affinity keys with long shared parts, one key that gets much of the traffic, and many
// instances with outdated loads of each other: if all of them took the server that looks least loaded, they would
// overload it.
func ChooseEngine(p *Prompt, candidates []Candidate) Choice {
	ranking := p.ranking(candidates)
	best := Choice{Index: -1, Owner: -1}
	if len(ranking) > 0 && candidates[ranking[0]].DelayTolerant == p.DelayTolerant {
		best.Owner = ranking[0]
	}
	usual := p.usualLoad(candidates)
	for compared := initialChoices; ; compared *= 2 {
		// sameDataCentreCount counts the servers of the instance's own data centre in the ranking so far.
		sameDataCentreCount := 0
		for rank, i := range ranking {
			if candidates[i].SameDataCentre {
				sameDataCentreCount++
			}
			if rank >= compared && (!candidates[i].SameDataCentre || sameDataCentreCount > compared) {
				continue
			}
			if cost := p.cost(&candidates[i], i == best.Owner, usual); best.Index < 0 || cost < best.Cost {
				best.Index, best.Cost = i, cost
			}
		}
		if compared >= len(ranking) || !p.needsAlternative(&candidates[best.Index], usual.wait) {
			return best
		}
	}
}

// cost returns the expected time until the candidate has prefilled the prompt, plus penalties, in prefill tokens. Where
// servers report work times, the pauses of a stream that isn't delay-tolerant count too: they get longer with the time
// that work takes there, and with the requests that run there, whose prompts are prefilled between the stream's tokens.
func (p *Prompt) cost(c *Candidate, isOwner bool, usual usualLoad) float64 {
	work := float64(p.Tokens - p.SharedTokens())
	if !isOwner {
		work += sharedMissFactor * float64(p.SharedTokens())
	}
	cost := p.waitCost(expectedWait(c)) + work*c.slowness()
	if c.reportsWorkTime() && !p.DelayTolerant {
		cost += streamTokenCost * float64(p.MaxOutput) * c.slowness() * (1 + float64(c.Running)/max(usual.running, 1)) / 2
	}
	if !c.SameDataCentre {
		cost += remoteCost
	}
	if c.DelayTolerant != p.DelayTolerant {
		cost += wrongGroupCost
		if p.DelayTolerant && (c.PendingPrefill > maxIdlePrefill || c.Running > maxIdleRunning) {
			cost += streamDelayCost
		}
	}
	return cost * (1 + failureCost*c.FailureRate)
}

// needsAlternative reports whether more servers must be compared: the chosen one fails too often, belongs to the other
// group, or is overloaded compared with usualWait, the mean wait of its group. If all are overloaded, more choices
// would only spread the shared parts over more servers, and prefilling them again would add to the load.
func (p *Prompt) needsAlternative(c *Candidate, usualWait float64) bool {
	return c.FailureRate > maxFailureRatio || c.DelayTolerant != p.DelayTolerant || expectedWait(c) > max(p.harmlessWait(), maxIdlePrefill, hotServerFactor*usualWait)
}

// usualLoad is the mean load of the servers of a prompt's group.
type usualLoad struct {
	// wait is the wait of a new prompt in prefill tokens, and running the number of running requests.
	wait, running float64
}

// usualLoad returns the mean load of the servers of the prompt's group.
func (p *Prompt) usualLoad(candidates []Candidate) usualLoad {
	sum, n := usualLoad{}, 0
	for i := range candidates {
		if candidates[i].DelayTolerant == p.DelayTolerant {
			sum.wait += expectedWait(&candidates[i])
			sum.running += float64(candidates[i].Running)
			n++
		}
	}
	count := float64(max(n, 1))
	return usualLoad{sum.wait / count, sum.running / count}
}

// ranking returns the indices of the candidates, those of the prompt's own group first, by descending rendezvous hash of
// the prompt's affinity key and their names. An engine that is known to be twice as fast comes first twice as often.
func (p *Prompt) ranking(candidates []Candidate) []int {
	keyHash := xxhash.Sum64String(p.AffinityKey())
	ranks := make([]rank, len(candidates))
	ranking := make([]int, len(candidates))
	for i := range candidates {
		ranks[i], ranking[i] = candidates[i].rank(keyHash), i
	}
	slices.SortFunc(ranking, func(a, b int) int {
		if ownGroup := candidates[a].DelayTolerant == p.DelayTolerant; ownGroup != (candidates[b].DelayTolerant == p.DelayTolerant) {
			if ownGroup {
				return -1
			}
			return 1
		}
		return ranks[a].compare(ranks[b])
	})
	return ranking
}

// ChoosePrefixSource returns the index of the server that most likely has a prompt's shared parts in its cache, and
// false if there is none. That server is the owner among the reachable servers, including those that are leaving but
// not those that have just started, since these have no parts yet. This handles the start and stop of many servers at
// once: the new owner of a part fetches it from the source instead of prefilling it again.
func ChoosePrefixSource(p *Prompt, sources []Candidate) (int, bool) {
	owner := p.owner(sources, func(c *Candidate) bool { return !c.JustStarted })
	return owner, owner >= 0
}

// owner returns the index of the owner of the prompt's shared parts among the eligible servers of its group, or -1.
func (p *Prompt) owner(servers []Candidate, eligible func(*Candidate) bool) int {
	return rendezvousOwner(p.AffinityKey(), servers, func(c *Candidate) bool { return c.DelayTolerant == p.DelayTolerant && eligible(c) })
}

const (
	// NominalPrefillRate is the usual prefill rate of an engine in tokens per millisecond; it converts target times to
	// prefill tokens.
	NominalPrefillRate = 80
	// harmlessShare is the part of a request's target below which a wait matters less than prefilling shared parts
	// again.
	harmlessShare = 0.3
)

// harmlessWait returns the wait, in prefill tokens, below which waiting for the owner of the shared parts is better
// than prefilling them again elsewhere; 0 means that the request has no target.
func (p *Prompt) harmlessWait() float64 {
	return harmlessShare * NominalPrefillRate * float64(p.FirstEventTarget.Milliseconds())
}

// waitCost returns the cost of a wait in prefill tokens. A wait that is short compared with the request's target costs
// less than its length, so that a delay-tolerant request stays at the owner of its shared parts.
func (p *Prompt) waitCost(wait float64) float64 {
	limit := p.harmlessWait()
	if limit <= 0 || wait >= limit {
		return wait
	}
	return wait * wait / limit
}

// expectedWait returns the expected wait of a new prompt until its own prefill begins, in prefill tokens.
func expectedWait(c *Candidate) float64 {
	wait := float64(c.PendingPrefill) + runningRequestCost*float64(c.Running)
	if c.Slots > 0 && c.Running >= c.Slots {
		wait += queuedRequestCost * float64(c.Running-c.Slots+1)
	}
	return wait * c.waitFactor()
}

// rendezvousOwner returns the index of the eligible candidate with the highest rendezvous hash of the affinity key and
// its name. It returns -1 if none is eligible.
func rendezvousOwner(affinityKey string, candidates []Candidate, eligible func(*Candidate) bool) int {
	owner, first := -1, rank{}
	keyHash := xxhash.Sum64String(affinityKey)
	for i := range candidates {
		if !eligible(&candidates[i]) {
			continue
		}
		if r := candidates[i].rank(keyHash); owner < 0 || r.compare(first) < 0 {
			owner, first = i, r
		}
	}
	return owner
}

// rendezvousHash combines the hash of a key, an affinity key or a request id, with the name of a server.
func rendezvousHash(keyHash uint64, server string) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], keyHash)
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(server))
	return xxhash.Sum64(buf[:])
}

// ChooseServer chooses a server of a plain service: the one with the lowest load per slot, where failures and
// slowness count as load. A hash of the request's id decides between equal servers, so that instances don't all choose
// the same one. If the servers report work times, see drawServer.
func ChooseServer(id string, candidates []Candidate) Choice {
	if slices.ContainsFunc(candidates, func(c Candidate) bool { return c.reportsWorkTime() }) {
		return drawServer(id, candidates)
	}
	best, chosen := math.Inf(1), -1
	idHash := xxhash.Sum64String(id)
	bestHash := uint64(0)
	for i := range candidates {
		c := &candidates[i]
		load := float64(c.Running+1) / float64(max(c.Slots, 1)) * c.waitFactor() * (1 + failureCost*c.FailureRate)
		if h := rendezvousHash(idHash, c.Name); load < best || load == best && h > bestHash {
			best, chosen, bestHash = load, i, h
		}
	}
	return Choice{Index: chosen, Owner: -1, Cost: best}
}

// drawServer draws two servers by the hash of the request's id and chooses the one with the lower load. A server is drawn in
// proportion to its slots and, if work takes longer there than usual, to the square of its speed at this moment, since a
// request also stays longer there. A fast server is drawn no more often than a usual one, and gets more by its lower load:
// so one that reports a false speed gets at most twice the usual work.
//
// This handles many instances that choose at the same moment by the same outdated loads: each sees another pair, so that
// they don't all choose the server with the lowest load.
func drawServer(id string, candidates []Candidate) Choice {
	idHash := xxhash.Sum64String(id)
	load := func(i int) float64 {
		c := &candidates[i]
		return float64(c.Running+1) / float64(max(c.Slots, 1)) * c.slowness() * (1 + failureCost*c.FailureRate)
	}
	first, second, firstScore, secondScore := -1, -1, -1.0, -1.0
	for i := range candidates {
		c := &candidates[i]
		slowness := max(c.slowness(), 1)
		weight := float64(max(c.Slots, 1)) / (slowness * slowness) / (1 + failureCost*c.FailureRate)
		switch score := weightedScore(rendezvousHash(idHash, c.Name), weight); {
		case score > firstScore:
			first, second, firstScore, secondScore = i, first, score, firstScore
		case score > secondScore:
			second, secondScore = i, score
		}
	}
	if second >= 0 && load(second) < load(first) {
		first = second
	}
	return Choice{Index: first, Owner: -1, Cost: load(first)}
}

// ChoosePool returns the name of the pool for the request with the id. Each pool gets a part of the requests in
// proportion to its weight.
func ChoosePool(id string, names []string, weights []float64) string {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	if len(names) == 1 || sum <= 0 {
		return names[0]
	}
	position := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * sum
	for i, w := range weights {
		position -= w
		if position < 0 {
			return names[i]
		}
	}
	return names[slices.Index(weights, slices.MaxFunc(weights, cmp.Compare))]
}

// Median returns the median of the values, or 0 if there are none. It sorts the slice in place.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
