package place

import (
	"math/rand/v2"
	"slices"
	"time"
)

// model is a set of engines that run batches: a step takes longer with each running request, and reads a piece of one waiting
// prompt. Parts of prompts that an engine has read stay with it.
type model struct {
	engines []*modelEngine
	now     time.Duration
	// reread counts the tokens of shared parts that an engine read although another had.
	reread int
	read   map[string]bool
	// begun holds the runs whose prompts were read, in the order of their engines' steps.
	begun []*modelRun
	// stale is how old the known loads may be, as many instances that tell each other know them; 0 is exact.
	stale time.Duration
	known []Candidate
	at    time.Duration
}

type modelEngine struct {
	name    string
	down    bool
	kept    map[string]bool
	waiting []*modelRun
	running []*modelRun
	free    time.Duration
}

type modelRun struct {
	prompt  *Prompt
	arrived time.Duration
	// before is what was to be read when it was placed, its own prompt included.
	before int
	unread int
	first  time.Duration
	steps  int
	last   time.Duration
	gap    time.Duration
}

const (
	stepTime    = 3740 * time.Microsecond
	stepPerRun  = 80 * time.Microsecond
	pieceTokens = 2048
	modelSlots  = 64
	eventTokens = 7
)

func newModel(n int) *model {
	m := &model{read: map[string]bool{}}
	for i := range n {
		m.engines = append(m.engines, &modelEngine{name: string(rune('a' + i)), kept: map[string]bool{}})
	}
	return m
}

// candidates returns what an instance knows of the engines that are up, and their indices.
func (m *model) candidates(share float64) (list []Candidate, index []int) {
	if m.stale > 0 && m.known != nil && m.now-m.at < m.stale {
		for i := range m.engines {
			index = append(index, i)
		}
		return slices.Clone(m.known), index
	}
	defer func() { m.known, m.at = slices.Clone(list), m.now }()
	for i, e := range m.engines {
		if e.down {
			continue
		}
		unread := 0
		for _, r := range e.waiting {
			unread += r.unread
		}
		list = append(list, Candidate{
			Name: e.name, Running: len(e.running) + len(e.waiting), Slots: modelSlots, Unread: unread, Near: true,
			Patient: (float64(i)+0.5)/float64(len(m.engines)) < share,
		})
		index = append(index, i)
	}
	return list, index
}

// place puts a prompt on an engine.
func (m *model) place(i int, p *Prompt) *modelRun {
	e := m.engines[i]
	r := &modelRun{prompt: p, arrived: m.now, unread: p.Tokens, steps: p.MaxOutput}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		if e.kept[part.ID] {
			r.unread -= part.Tokens
			continue
		}
		if m.read[part.ID] {
			m.reread += part.Tokens
		}
		e.kept[part.ID], m.read[part.ID] = true, true
	}
	for _, w := range e.waiting {
		r.before += w.unread
	}
	r.before += r.unread
	e.waiting = append(e.waiting, r)
	return r
}

// run advances the engines to the time.
func (m *model) run(to time.Duration) {
	for _, e := range m.engines {
		for e.free < to && (len(e.waiting) > 0 || len(e.running) > 0) {
			if r := e.step(); r != nil {
				m.begun = append(m.begun, r)
			}
		}
		e.free = max(e.free, to)
	}
	m.now = to
}

// step runs one batch and returns the run whose prompt was read with it.
func (e *modelEngine) step() (read *modelRun) {
	took := stepTime + time.Duration(len(e.running))*stepPerRun
	if len(e.waiting) > 0 {
		r := e.waiting[0]
		n := min(r.unread, pieceTokens)
		took += time.Duration(n) * time.Millisecond / ReadRate
		r.unread -= n
		if r.unread <= 0 {
			r.first, r.last = e.free+took, e.free+took
			e.running = append(e.running, r)
			e.waiting = e.waiting[1:]
			read = r
		}
	}
	e.free += took
	e.running = slices.DeleteFunc(e.running, func(r *modelRun) bool {
		if r.first == e.free {
			return false
		}
		r.steps--
		if r.steps%eventTokens == 0 {
			r.gap = max(r.gap, e.free-r.last)
			r.last = e.free
		}
		return r.steps <= 0
	})
	return read
}

// load is a stream of prompts: long ones about a few hundred subjects, and short ones whose streams must keep coming.
type load struct {
	rng *rand.Rand
}

func newLoad(seed uint64) *load { return &load{rand.New(rand.NewPCG(seed, 1))} }

func (l *load) long(subjects int) *Prompt {
	subject := "s" + string(rune(l.rng.IntN(subjects)))
	return &Prompt{
		Parts:  []Part{{"base", 2520}, {subject, 3780}, {"own", 2890}},
		Tokens: 9190, MaxOutput: 50, Patient: true, Target: time.Second,
	}
}

func (l *load) short() *Prompt {
	return &Prompt{
		Parts:  []Part{{"hello", 100}, {"t" + string(rune(l.rng.IntN(200))), 70}, {"own", 370}},
		Tokens: 540, MaxOutput: 280, Target: 250 * time.Millisecond,
	}
}

// play runs arrivals for a time; choose returns the index among the candidates, or -1 to refuse.
func (m *model) play(l *load, seconds float64, longs, shorts float64, share float64, choose func(*Prompt, []Candidate) int) (long, short []*modelRun) {
	end := m.now + time.Duration(seconds*float64(time.Second))
	for m.now < end {
		m.run(m.now + time.Duration(l.rng.ExpFloat64()/(longs+shorts)*float64(time.Second)))
		isLong := l.rng.Float64() < longs/(longs+shorts)
		p := l.short()
		if isLong {
			p = l.long(280)
		}
		list, index := m.candidates(share)
		if share == 0 {
			p.Patient = false
		}
		r := &modelRun{prompt: p, arrived: m.now}
		if i := choose(p, list); i >= 0 {
			r = m.place(index[i], p)
		}
		if isLong {
			long = append(long, r)
		} else {
			short = append(short, r)
		}
	}
	m.run(end + 5*time.Second)
	return long, short
}

// late returns the share of the runs whose first event came after their target, or that paused for longer than a gap.
func late(runs []*modelRun, gap time.Duration) float64 {
	n := 0
	for _, r := range runs {
		if r.first == 0 || r.first-r.arrived > r.prompt.Target || r.gap > gap {
			n++
		}
	}
	return float64(n) / float64(max(len(runs), 1))
}
