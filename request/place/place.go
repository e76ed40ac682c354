// Package place chooses the backend server of one request. The choices are plain functions of what is known and do no
// input or output; only Mix keeps something, the mix of past work.
package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt.
type Part struct {
	// ID names the part's text; requests with the same part have the same id.
	ID string
	// Tokens is the part's length.
	Tokens int
}

// Prompt is what a request says of the tokens that it needs.
type Prompt struct {
	// Parts are in the prompt's order; the last belongs to the request or its session alone.
	Parts []Part
	// Tokens is the length of the whole prompt.
	Tokens int
	// MaxOutput bounds the length of the answer in tokens.
	MaxOutput int
	// Patient tells that the request's stream may pause far longer than others of its pool.
	Patient bool
	// Target is the time to the first event that the service level asks for; 0 is none.
	Target time.Duration
}

// Subject returns the id of the last part that other requests share, by which the prompt is kept together with its like.
func (p *Prompt) Subject() string {
	switch n := len(p.Parts); n {
	case 0:
		return ""
	case 1:
		return p.Parts[0].ID
	default:
		return p.Parts[n-2].ID
	}
}

// Shared returns the length of the parts that other requests may share.
func (p *Prompt) Shared() int {
	shared := 0
	for i := 0; i < len(p.Parts)-1; i++ {
		shared += p.Parts[i].Tokens
	}
	return min(shared, p.Tokens)
}

// Candidate is what is known of one backend server at the moment of the choice.
type Candidate struct {
	// Name identifies the server among all.
	Name string
	// Running is the number of requests that the server runs or holds in line.
	Running int
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Unread is the number of prompt tokens that the server has yet to read for requests of all instances.
	Unread int
	// Failing is the share of the last requests that the server failed, 0 to 1.
	Failing float64
	// Slow is the server's recent time to answer against that of its pool; 1 is usual, 0 unknown.
	Slow float64
	// Near tells that the server is in the instance's own data centre.
	Near bool
	// Patient tells that the server is one of those for patient requests.
	Patient bool
	// Young tells that the server started a short time ago, so that what it now owns was read elsewhere.
	Young bool
}

// Choice is the result of a choice.
type Choice struct {
	// Index is the chosen candidate's; -1 is none.
	Index int
	// Owner is the index of the server that owns the prompt's shared parts.
	Owner int
	// Cost is the expected time until the prompt is read, in tokens of reading.
	Cost float64
}

const (
	// tokensPerRunning is what one running request adds to a prompt's wait, in tokens of reading: a batch grows its
	// step by about 2% of the empty step with each request, and a step reads up to 2,048 tokens.
	tokensPerRunning = 40
	// overfull is the wait for a slot of a full server, in tokens of reading, for each request in line.
	overfull = 2048
	// rereadShare is the part of the shared tokens' cost that moving away from their owner costs.
	rereadShare = 1
	// farCost is what a server in another data centre costs: its link may be cut, and its bytes are paid. It is a tenth of
	// the shortest usual target.
	farCost = 2048
	// misplaced is what it costs to put a patient request beside others or the other way round: reading a long prompt holds
	// up each token of the streams that run along. It is half a second's reading of an engine, so that it happens only where
	// the request's own kind of servers is far behind.
	misplaced = 40000
	// holdsUp is what it costs beside that to put a patient request on a server that isn't idle: more than any wait, so that it
	// is only done where no other server is left. One after the other they would hold up each token of all streams there.
	holdsUp = 1e7
	// idleRuns is the number of running requests up to which a server counts as idle beside idleWork: few are held up then.
	idleRuns = 4
	// choices is the number of servers of all data centres, and of the instance's own, that are looked at first: with loads that
	// are known late, more choices are worse.
	choices = 2
	// mostFailing is the share of failures from which more servers are looked at.
	mostFailing = 0.3
	// unusual is how many times the mean wait a server's wait must be for it to count as singled out, as by a hot subject.
	unusual = 1.5
	// failingCost multiplies a server's cost by up to 1 + failingCost.
	failingCost = 8
)

// Engine chooses an engine for a prompt, among a few that a hash of its shared parts names (rendezvous hashing): the first of
// these owns the parts, so that they are read once, and what spills over is kept by the same few. More are looked at only
// where all of these have too much to do.
//
// It answers the load of many subjects with long shared prompts, of one subject that gets much of the traffic, and of many
// instances that know each other's loads late: if all of them took the server that looks least loaded, it would be drowned.
func Engine(p *Prompt, candidates []Candidate) Choice {
	order := p.order(candidates)
	best := Choice{Index: -1, Owner: -1}
	if len(order) > 0 && candidates[order[0]].Patient == p.Patient {
		best.Owner = order[0]
	}
	usual := p.meanWait(candidates)
	for n := choices; ; n *= 2 {
		near := 0
		for seen, i := range order {
			if candidates[i].Near {
				near++
			}
			if seen >= n && (!candidates[i].Near || near > n) {
				continue
			}
			if cost := p.cost(&candidates[i], i == best.Owner); best.Index < 0 || cost < best.Cost {
				best.Index, best.Cost = i, cost
			}
		}
		if n >= len(order) || !p.tooMuch(&candidates[best.Index], usual) {
			return best
		}
	}
}

// cost returns the expected work until the prompt is read at the server, and what else speaks against it, in tokens of reading.
func (p *Prompt) cost(c *Candidate, owns bool) float64 {
	cost := p.weigh(waitOf(c)) + float64(p.Tokens-p.Shared())
	if !owns {
		cost += rereadShare * float64(p.Shared())
	}
	if !c.Near {
		cost += farCost
	}
	if c.Patient != p.Patient {
		cost += misplaced
		if p.Patient && (c.Unread > idleWork || c.Running > idleRuns) {
			cost += holdsUp
		}
	}
	return cost * (1 + failingCost*c.Failing)
}

// tooMuch tells whether a server fails too often to settle for it, or has too much to do while the others have far less. Where
// all have too much, looking further only spreads the shared parts, and reading them again makes it more.
func (p *Prompt) tooMuch(c *Candidate, usual float64) bool {
	return c.Failing > mostFailing || c.Patient != p.Patient || waitOf(c) > max(p.harmlessWait(), idleWork, unusual*usual)
}

// meanWait returns the mean work that stands before a new prompt at the servers of its kind, in tokens of reading.
func (p *Prompt) meanWait(candidates []Candidate) float64 {
	sum, n := 0.0, 0
	for i := range candidates {
		if candidates[i].Patient == p.Patient {
			sum += waitOf(&candidates[i])
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// order returns the indices of the candidates by the hash of the prompt's subject and their names, those of the prompt's own
// kind first.
func (p *Prompt) order(candidates []Candidate) []int {
	subject := xxhash.Sum64String(p.Subject())
	hashes := make([]uint64, len(candidates))
	order := make([]int, len(candidates))
	for i := range candidates {
		hashes[i], order[i] = mix(subject, candidates[i].Name), i
	}
	slices.SortFunc(order, func(a, b int) int {
		if own := candidates[a].Patient == p.Patient; own != (candidates[b].Patient == p.Patient) {
			if own {
				return -1
			}
			return 1
		}
		return cmp.Compare(hashes[b], hashes[a])
	})
	return order
}

// Source returns the index of the server that most likely keeps a prompt's shared parts: the owner among all that can still
// be asked, also those that are leaving, where a server that has just started owns nothing yet. It answers servers that come
// and go in numbers: what they take over is fetched and not read again.
func Source(p *Prompt, sources []Candidate) (int, bool) {
	owner := p.owner(sources, func(c *Candidate) bool { return !c.Young })
	return owner, owner >= 0
}

// owner returns the index of the server that keeps the prompt's shared parts, among those of its kind that may.
func (p *Prompt) owner(servers []Candidate, may func(*Candidate) bool) int {
	return ownerAmong(p.Subject(), servers, func(c *Candidate) bool { return c.Patient == p.Patient && may(c) })
}

const (
	// ReadRate is the usual reading rate of an engine in tokens a millisecond, by which targets compare with work.
	ReadRate = 80
	// harmless is the part of a request's target below which a wait begins to matter less than work done twice.
	harmless = 0.3
)

// harmlessWait returns the wait below which work done twice matters more, in tokens of reading; 0 is none.
func (p *Prompt) harmlessWait() float64 {
	return harmless * ReadRate * float64(p.Target.Milliseconds())
}

// weigh returns what a wait costs the request: little while it is short against the request's target, so that a patient
// request stays where its shared parts are kept.
func (p *Prompt) weigh(wait float64) float64 {
	limit := p.harmlessWait()
	if limit <= 0 || wait >= limit {
		return wait
	}
	return wait * wait / limit
}

// waitOf returns the work that stands before a new prompt, in tokens of reading.
func waitOf(c *Candidate) float64 {
	wait := float64(c.Unread) + tokensPerRunning*float64(c.Running)
	if c.Slots > 0 && c.Running >= c.Slots {
		wait += overfull * float64(c.Running-c.Slots+1)
	}
	if c.Slow > 1 {
		wait *= c.Slow
	}
	return wait
}

// ownerAmong returns the index of the server that keeps a subject: the highest hash of both names among the servers that may.
// It is -1 where none may.
func ownerAmong(subject string, candidates []Candidate, may func(*Candidate) bool) int {
	owner, highest := -1, uint64(0)
	base := xxhash.Sum64String(subject)
	for i := range candidates {
		if !may(&candidates[i]) {
			continue
		}
		if h := mix(base, candidates[i].Name); owner < 0 || h > highest {
			owner, highest = i, h
		}
	}
	return owner
}

// mix returns the hash of a subject's hash together with a server's name.
func mix(subject uint64, server string) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], subject)
	binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(server))
	return xxhash.Sum64(buf[:])
}

// Service chooses a server of a plain service: the least loaded for its slots, where failures and slowness count as load.
// Equal ones are taken in the order of a hash of the request's id, so that instances don't all choose the same.
func Service(id string, candidates []Candidate) Choice {
	best, chosen := math.Inf(1), -1
	base := xxhash.Sum64String(id)
	order := uint64(0)
	for i := range candidates {
		c := &candidates[i]
		load := float64(c.Running+1) / float64(max(c.Slots, 1)) * max(c.Slow, 1) * (1 + failingCost*c.Failing)
		if h := mix(base, c.Name); load < best || load == best && h > order {
			best, chosen, order = load, i, h
		}
	}
	return Choice{Index: chosen, Owner: -1, Cost: best}
}

// Pool returns the name of the pool that a request of the id goes to, by the weights of the pools.
func Pool(id string, names []string, weights []float64) string {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	if len(names) == 1 || sum <= 0 {
		return names[0]
	}
	at := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * sum
	for i, w := range weights {
		at -= w
		if at < 0 {
			return names[i]
		}
	}
	return names[slices.Index(weights, slices.MaxFunc(weights, cmp.Compare))]
}

// Median returns the median of the values, 0 without any; it sorts them.
func Median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
