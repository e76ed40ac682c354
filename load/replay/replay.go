// Package replay sends a recorded load to running instances and notes what became of each request.
package replay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Times of a replay.
const (
	// requestTimeout bounds one request.
	requestTimeout = 60 * time.Second
	// progressInterval is the time between two progress calls.
	progressInterval = time.Second
)

// Outcome tells what became of a request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeOK is a whole answer.
	OutcomeOK Outcome = "ok"
	// OutcomeRefused is an answer that says the request did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown is an answer that says the outcome is unknown.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed is anything else.
	OutcomeFailed Outcome = "failed"
)

// Result is what became of one arrival.
type Result struct {
	// Arrival is the request as recorded.
	Arrival wire.Arrival
	// Outcome tells whether the answer was whole.
	Outcome Outcome
	// Reason is the error code of an answer that was not whole.
	Reason string
	// FirstToken is the time to the first token or, for a service call, to the answer.
	FirstToken time.Duration
	// Duration is the time to the end of the answer.
	Duration time.Duration
	// Tokens is the number of tokens that came.
	Tokens int
	// Cached is the number of prompt tokens that the engine had cached.
	Cached int
}

// TokenGap returns the mean time between tokens; 0 where fewer than two came.
func (r Result) TokenGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.Duration - r.FirstToken) / time.Duration(r.Tokens-1)
}

// Met tells whether the result meets the targets of its class.
func (r Result) Met(c wire.Class) bool {
	if r.Outcome != OutcomeOK {
		return false
	}
	if r.FirstToken > time.Duration(c.TtftMs)*time.Millisecond {
		return false
	}
	if c.DeadlineMs > 0 && r.Duration > time.Duration(c.DeadlineMs)*time.Millisecond {
		return false
	}
	return c.TbtMs == 0 || r.TokenGap() <= time.Duration(c.TbtMs)*time.Millisecond
}

// Replayer sends arrivals at their times. Set the fields before Run.
type Replayer struct {
	// Instances are the callers' addresses, taken in turn as a balancer does.
	Instances []string
	// Scheme is "http" or "https".
	Scheme string
	// Keys has each workspace's key.
	Keys map[string]string
	// Client sends the requests.
	Client *http.Client
	// Progress is called about each second with the number of requests sent and ended.
	Progress func(sent, ended int)

	mu      sync.Mutex
	results []Result
	ended   int
}

// Run sends all arrivals and returns the results in the arrivals' order.
func (p *Replayer) Run(ctx context.Context, arrivals []wire.Arrival) []Result {
	p.results = make([]Result, len(arrivals))
	start := time.Now()
	nextProgress := start.Add(progressInterval)
	var wg sync.WaitGroup
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(time.Duration(a.AtMs)*time.Millisecond)) {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.store(i, p.send(ctx, i, a))
		}()
		if now := time.Now(); now.After(nextProgress) {
			nextProgress = now.Add(progressInterval)
			p.progress(i + 1)
		}
	}
	wg.Wait()
	p.progress(len(arrivals))
	return p.results
}

// sleepUntil waits for a point in time; false when ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	d := time.Until(at)
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (p *Replayer) store(i int, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[i] = r
	p.ended++
}

func (p *Replayer) progress(sent int) {
	if p.Progress == nil {
		return
	}
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	p.Progress(sent, ended)
}
