package policybench

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	prefill       = 120 * time.Millisecond
	betweenTokens = 20 * time.Millisecond
	cachedTokens  = 256
	// reportLag is the age of a load report when it arrives, and the time between two.
	reportLag = time.Second
	// warmCache is the number of prompts whose prefixes an engine remembers, of prefixKinds in the load.
	warmCache   = 16
	prefixKinds = 60
)

// engine is a fake model engine: slots, a line of its own for what comes beyond them, and speed.
type engine struct {
	spec    pool.ServerSpec
	running int
	line    []*ticket
	slowBy  float64
	gone    chan struct{}
	cache   []string
	lagging wire.LoadReport
}

type ticket struct {
	ready chan struct{}
	left  bool
}

func newEngine(spec pool.ServerSpec) *engine {
	return &engine{spec: spec, slowBy: 1, gone: make(chan struct{})}
}

// times returns the engine's time to first token and between tokens under its present load.
func (e *engine) times(prefix string) (first, between time.Duration, cached int) {
	load := e.slowBy * (1 + 0.5*float64(e.running)/float64(e.spec.Slots))
	f := float64(prefill) * load
	for _, p := range e.cache {
		if p == prefix {
			f /= 2
			cached = cachedTokens
			break
		}
	}
	e.cache = append(e.cache, prefix)
	e.cache = e.cache[max(0, len(e.cache)-warmCache):]
	return time.Duration(f), time.Duration(float64(betweenTokens) * load), cached
}

// enter returns a ticket whose channel closes when the request has a slot of the engine.
func (e *engine) enter() *ticket {
	t := &ticket{ready: make(chan struct{})}
	if e.running < e.spec.Slots {
		e.running++
		close(t.ready)
		return t
	}
	e.line = append(e.line, t)
	return t
}

// leave gives the slot to the next in line.
func (e *engine) leave() {
	for len(e.line) > 0 {
		t := e.line[0]
		e.line = e.line[1:]
		if !t.left {
			close(t.ready)
			return
		}
	}
	e.running--
}

func (e *engine) report() wire.LoadReport {
	waiting := 0
	for _, t := range e.line {
		if !t.left {
			waiting++
		}
	}
	return wire.LoadReport{
		Server: e.spec.Name, Running: e.running, Waiting: waiting,
		Slots: e.spec.Slots, AtMs: int(time.Now().UnixMilli()),
	}
}

// view is what a baseline sees of the engine.
func (e *engine) view() *pick.Server {
	return &pick.Server{Name: e.spec.Name, Slots: e.spec.Slots, Cheap: e.spec.Kind == wire.ServerKindCheap, Reported: e.lagging}
}

// arrival is one request of a recorded load.
type arrival struct {
	at        time.Duration
	class     string
	workspace string
	prefix    string
	tokens    int
}

// stream is a Poisson stream of one class; rate gives the requests per second at a time.
type stream struct {
	class      string
	workspaces []string
	rate       func(at time.Duration) float64
	tail       func(rnd *rand.Rand) int
}

const (
	medianTokens = 130
	meanTokens   = 200
)

// logNormal draws lengths with a mean of about meanTokens.
func logNormal(rnd *rand.Rand) int {
	return 1 + int(medianTokens*math.Exp(0.93*rnd.NormFloat64()))
}

// pareto draws tail-heavy lengths with a mean of about meanTokens.
func pareto(rnd *rand.Rand) int {
	const alpha, least, most = 1.3, 55.0, 4000.0
	return int(min(most, least/math.Pow(1-rnd.Float64(), 1/alpha)))
}

// draw returns the arrivals of a stream until the end. The workspaces are dealt from a shuffled deck, so
// that each has its share of each phase and the chance of the draw isn't taken for unfairness.
func (s stream) draw(rnd *rand.Rand, end time.Duration) []arrival {
	var out []arrival
	var deck []string
	const most = 1000.0
	tail := s.tail
	if tail == nil {
		tail = logNormal
	}
	for at := time.Duration(0); at < end; {
		at += time.Duration(rnd.ExpFloat64() / most * float64(time.Second))
		if rnd.Float64() >= s.rate(at)/most {
			continue
		}
		if len(deck) == 0 {
			deck = slices.Clone(s.workspaces)
			rnd.Shuffle(len(deck), func(i, j int) { deck[i], deck[j] = deck[j], deck[i] })
		}
		workspace := deck[0]
		deck = deck[1:]
		out = append(out, arrival{
			at: at, class: s.class, workspace: workspace,
			prefix: strconv.Itoa(rnd.IntN(prefixKinds)), tokens: tail(rnd),
		})
	}
	return out
}
