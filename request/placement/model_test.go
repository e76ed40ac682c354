package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

// model simulates engines that run batches: a step takes longer with each running request, and prefills a chunk of the
// waiting prompts. An engine keeps the parts of prompts that it has prefilled in its cache.
type model struct {
	engines []*modelEngine
	now     time.Duration
	// prefilledAgain counts the tokens of shared parts that an engine prefilled although another engine had them
	// cached.
	prefilledAgain int
	// prefilledParts holds the ids of the parts that any engine has prefilled.
	prefilledParts map[string]bool
	// prefilled lists the requests whose prefill is complete, in the order of the engines' steps.
	prefilled []*modelRun
	// maxLoadAge is the greatest age of the candidates' loads, which instances know from each other with a delay; 0
	// means that the loads are exact.
	maxLoadAge time.Duration
	// knownLoads is the last result of candidates, computed at knownAt.
	knownLoads []Candidate
	knownAt    time.Duration
}

// modelEngine is the state of one simulated engine.
type modelEngine struct {
	name        string
	down        bool
	cachedParts map[string]bool
	waiting     []*modelRun
	running     []*modelRun
	// freeAt is the time from which the engine can run its next step.
	freeAt time.Duration
	// tokensPerMs is the prefill rate without the time for the context.
	tokensPerMs float64
	// pairTime is the additional time of a chunk for each million pairs of one of its tokens and one token of the
	// context before it.
	pairTime time.Duration
	// eventTokens is the number of generated tokens in one event of a stream.
	eventTokens int
	// chunkTokens is the largest number of prompt tokens that a step prefills.
	chunkTokens int
}

// modelRun is one simulated request. Its times are since the start of the simulation.
type modelRun struct {
	prompt    *Prompt
	arrivedAt time.Duration
	// queuedTokens is the number of tokens to be prefilled on the engine when the request was placed there, those of
	// its own prompt included.
	queuedTokens int
	// pendingTokens is the number of prompt tokens that must still be prefilled.
	pendingTokens int
	firstEventAt  time.Duration
	// remainingSteps is the number of tokens that must still be generated, one in each step.
	remainingSteps int
	lastEventAt    time.Duration
	// maxGap is the longest time between two events.
	maxGap time.Duration
}

const (
	// stepTime is the duration of a step without running requests; each running request adds stepPerRun.
	stepTime   = 3740 * time.Microsecond
	stepPerRun = 80 * time.Microsecond
	// chunkTokens is the usual number of prompt tokens that a step prefills at most.
	chunkTokens = 2048
	// modelSlots is the number of slots that each engine has as a candidate.
	modelSlots = 64
	// eventTokens is the number of generated tokens in one event of a stream.
	eventTokens = 7
)

func newModel(n int) *model {
	m := &model{prefilledParts: map[string]bool{}}
	for i := range n {
		m.engines = append(m.engines, &modelEngine{name: string(rune('a' + i)), cachedParts: map[string]bool{}, eventTokens: eventTokens, chunkTokens: chunkTokens, tokensPerMs: NominalPrefillRate})
	}
	return m
}

// candidates returns the engines that are up with the loads that an instance knows, and their indices. The share is the
// part of the engines that serves delay-tolerant requests.
func (m *model) candidates(share float64) (list []Candidate, indices []int) {
	if m.maxLoadAge > 0 && m.knownLoads != nil && m.now-m.knownAt < m.maxLoadAge {
		for i := range m.engines {
			indices = append(indices, i)
		}
		return slices.Clone(m.knownLoads), indices
	}
	defer func() { m.knownLoads, m.knownAt = slices.Clone(list), m.now }()
	for i, e := range m.engines {
		if e.down {
			continue
		}
		pendingTokens := 0
		for _, r := range e.waiting {
			pendingTokens += r.pendingTokens
		}
		list = append(list, Candidate{
			Name: e.name, Running: len(e.running) + len(e.waiting), Slots: modelSlots, PendingPrefill: pendingTokens, SameDataCentre: true,
			DelayTolerant: (float64(i)+0.5)/float64(len(m.engines)) < share,
		})
		indices = append(indices, i)
	}
	return list, indices
}

// place queues a prompt on the engine with index i.
func (m *model) place(i int, p *Prompt) *modelRun {
	e := m.engines[i]
	r := &modelRun{prompt: p, arrivedAt: m.now, pendingTokens: p.Tokens, remainingSteps: p.MaxOutput}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		if e.cachedParts[part.ID] {
			r.pendingTokens -= part.Tokens
			continue
		}
		if m.prefilledParts[part.ID] {
			m.prefilledAgain += part.Tokens
		}
		e.cachedParts[part.ID], m.prefilledParts[part.ID] = true, true
	}
	for _, w := range e.waiting {
		r.queuedTokens += w.pendingTokens
	}
	r.queuedTokens += r.pendingTokens
	e.waiting = append(e.waiting, r)
	return r
}

// advance advances the simulation to the given time.
func (m *model) advance(to time.Duration) {
	for _, e := range m.engines {
		for e.freeAt < to && (len(e.waiting) > 0 || len(e.running) > 0) {
			m.prefilled = append(m.prefilled, e.step()...)
		}
		e.freeAt = max(e.freeAt, to)
	}
	m.now = to
}

// step runs one step of the engine's batch. It returns the requests whose prefill ended with the step.
func (e *modelEngine) step() (prefilled []*modelRun) {
	elapsed := stepTime + time.Duration(len(e.running))*stepPerRun
	for budget := e.chunkTokens; len(e.waiting) > 0 && budget > 0; {
		r := e.waiting[0]
		n := min(r.pendingTokens, budget)
		budget -= n
		elapsed += time.Duration(float64(n) / e.tokensPerMs * float64(time.Millisecond))
		elapsed += time.Duration(float64(n) * float64(r.prompt.Tokens-r.pendingTokens) / 1e6 * float64(e.pairTime))
		r.pendingTokens -= n
		if r.pendingTokens <= 0 {
			e.running = append(e.running, r)
			e.waiting = e.waiting[1:]
			prefilled = append(prefilled, r)
		}
	}
	e.freeAt += elapsed
	for _, r := range prefilled {
		r.firstEventAt, r.lastEventAt = e.freeAt, e.freeAt
	}
	e.running = slices.DeleteFunc(e.running, func(r *modelRun) bool {
		if r.firstEventAt == e.freeAt {
			return false
		}
		r.remainingSteps--
		if r.remainingSteps%e.eventTokens == 0 {
			r.maxGap = max(r.maxGap, e.freeAt-r.lastEventAt)
			r.lastEventAt = e.freeAt
		}
		return r.remainingSteps <= 0
	})
	return prefilled
}

// workload generates prompts: long delay-tolerant ones and short latency-sensitive ones, each kind with a few hundred
// affinity keys.
type workload struct {
	rng *rand.Rand
}

func newWorkload(seed uint64) *workload { return &workload{rand.New(rand.NewPCG(seed, 1))} }

// long returns a long delay-tolerant prompt with one of the given number of affinity keys.
func (l *workload) long(keys int) *Prompt {
	key := "s" + string(rune(l.rng.IntN(keys)))
	return &Prompt{
		Parts:  []Part{{"base", 2520}, {key, 3780}, {"own", 2890}},
		Tokens: 9190, MaxOutput: 50, DelayTolerant: true, FirstEventTarget: time.Second,
	}
}

// short returns a short latency-sensitive prompt.
func (l *workload) short() *Prompt {
	return &Prompt{
		Parts:  []Part{{"hello", 100}, {"t" + string(rune(l.rng.IntN(200))), 70}, {"own", 370}},
		Tokens: 540, MaxOutput: 280, FirstEventTarget: 250 * time.Millisecond,
	}
}

// simulate simulates requests that arrive at random for a number of seconds, with the mean numbers of long and short
// prompts per second. The function choose returns the index of a candidate, or -1 to refuse the request.
func (m *model) simulate(load *workload, seconds float64, longPerSecond, shortPerSecond float64, share float64, choose func(*Prompt, []Candidate) int) (long, short []*modelRun) {
	end := m.now + time.Duration(seconds*float64(time.Second))
	for m.now < end {
		m.advance(m.now + time.Duration(load.rng.ExpFloat64()/(longPerSecond+shortPerSecond)*float64(time.Second)))
		isLong := load.rng.Float64() < longPerSecond/(longPerSecond+shortPerSecond)
		p := load.short()
		if isLong {
			p = load.long(280)
		}
		list, indices := m.candidates(share)
		if share == 0 {
			p.DelayTolerant = false
		}
		r := &modelRun{prompt: p, arrivedAt: m.now}
		if i := choose(p, list); i >= 0 {
			r = m.place(indices[i], p)
		}
		if isLong {
			long = append(long, r)
		} else {
			short = append(short, r)
		}
	}
	m.advance(end + 5*time.Second)
	return long, short
}

// lateShare returns the share of the requests whose first event missed the target, or whose stream paused for longer
// than maxGap.
func lateShare(runs []*modelRun, maxGap time.Duration) float64 {
	n := 0
	for _, r := range runs {
		if r.firstEventAt == 0 || r.firstEventAt-r.arrivedAt > r.prompt.FirstEventTarget || r.maxGap > maxGap {
			n++
		}
	}
	return float64(n) / float64(max(len(runs), 1))
}
