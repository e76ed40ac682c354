// Package replay sends a recorded load to running instances and records the result of each request.
package replay

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

const (
	// requestTimeout is the maximum time from the start of a request to the end of its response.
	requestTimeout = 60 * time.Second
	// progressInterval is the minimum time between two calls of Replayer.Progress.
	progressInterval = time.Second
)

// Outcome says how a request ended.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeOK means that the response was complete.
	OutcomeOK Outcome = "ok"
	// OutcomeRefused means an error response which says that the request was not executed.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means an error response which leaves open whether the request was executed.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means any other failure, such as a stream that broke off.
	OutcomeFailed Outcome = "failed"
)

// Result is the outcome of one arrival with its times and token counts.
type Result struct {
	// Arrival is the request as recorded.
	Arrival wire.Arrival
	// Outcome says how the request ended.
	Outcome Outcome
	// Reason is the error code of a request without a complete response.
	Reason string
	// TimeToFirstToken is the time to the first token or, for a service call, to the whole response.
	TimeToFirstToken time.Duration
	// Duration is the time to the end of the response.
	Duration time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// CachedPromptTokens is the number of prompt tokens that the engine had cached.
	CachedPromptTokens int
}

// TokenGap returns the mean time between tokens; 0 if fewer than two tokens were received.
func (r Result) TokenGap() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.Duration - r.TimeToFirstToken) / time.Duration(r.Tokens-1)
}

// MetTargets reports whether the response was complete and met the targets of class c.
func (r Result) MetTargets(c wire.Class) bool {
	if r.Outcome != OutcomeOK {
		return false
	}
	if r.TimeToFirstToken > time.Duration(c.TtftMs)*time.Millisecond {
		return false
	}
	if c.DeadlineMs > 0 && r.Duration > time.Duration(c.DeadlineMs)*time.Millisecond {
		return false
	}
	return c.TbtMs == 0 || r.TokenGap() <= time.Duration(c.TbtMs)*time.Millisecond
}

// Replayer sends requests at their recorded times. Set the fields before calling Run.
type Replayer struct {
	// Instances holds the addresses at which the instances accept callers. Requests go to them in turn, as with a load
	// balancer.
	Instances []string
	// Scheme is "http" or "https".
	Scheme string
	// Keys maps each workspace to its API key.
	Keys map[string]string
	// Client sends the requests.
	Client *http.Client
	// Progress is called about once a second with the numbers of requests sent and ended. It may be nil.
	Progress func(sent, ended int)

	mu      sync.Mutex
	results []Result
	// ended is the number of requests whose result is known.
	ended int
}

// Run sends all arrivals and returns their results in the order of the arrivals.
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
			p.recordResult(i, p.send(ctx, i, a))
		}()
		if now := time.Now(); now.After(nextProgress) {
			nextProgress = now.Add(progressInterval)
			p.reportProgress(i + 1)
		}
	}
	wg.Wait()
	p.reportProgress(len(arrivals))
	return p.results
}

// sleepUntil waits until wakeTime. It returns false if ctx is done first.
func sleepUntil(ctx context.Context, wakeTime time.Time) bool {
	d := time.Until(wakeTime)
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

func (p *Replayer) recordResult(i int, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[i] = r
	p.ended++
}

func (p *Replayer) reportProgress(sent int) {
	if p.Progress == nil {
		return
	}
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	p.Progress(sent, ended)
}
