package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/toucanroute/toucanroute/wire"
)

const (
	// requestBurst is the time whose requests may come at once.
	requestBurst = time.Second
	// tokenBurst is the time whose tokens may be used at once.
	tokenBurst = 10 * time.Second
)

// Limits holds the rate limits of the workspaces. Tokens are paid after they are generated: a
// workspace in debt is refused until the debt is paid off.
type Limits struct {
	workspaces map[string]*limits
}

type limits struct {
	spec     wire.Workspace
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// Configure takes in the workspaces; limits that didn't change keep their state.
func (l *Limits) Configure(workspaces []wire.Workspace) {
	next := make(map[string]*limits, len(workspaces))
	for _, w := range workspaces {
		old := l.workspaces[w.Name]
		if old != nil && old.spec.RequestsPerSecond == w.RequestsPerSecond && old.spec.TokensPerSecond == w.TokensPerSecond {
			next[w.Name] = old
			continue
		}
		next[w.Name] = &limits{
			spec:     w,
			requests: limiter(w.RequestsPerSecond, requestBurst),
			tokens:   limiter(w.TokensPerSecond, tokenBurst),
		}
	}
	l.workspaces = next
}

func limiter(perSecond float64, burst time.Duration) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burst.Seconds())))
}

// Allow takes one request from the workspace's limit. Where the limit is used up it returns the time
// after which a request will be allowed.
func (l *Limits) Allow(workspace string, now time.Time) (bool, time.Duration) {
	w := l.workspaces[workspace]
	if w == nil {
		return true, 0
	}
	if w.tokens != nil {
		if left := w.tokens.TokensAt(now); left <= 0 {
			return false, until(w.tokens, 1-left)
		}
	}
	if w.requests == nil || w.requests.AllowN(now, 1) {
		return true, 0
	}
	return false, until(w.requests, 1-w.requests.TokensAt(now))
}

func until(lim *rate.Limiter, missing float64) time.Duration {
	return time.Duration(missing / float64(lim.Limit()) * float64(time.Second))
}

// Use charges generated tokens to the workspace.
func (l *Limits) Use(workspace string, tokens int, now time.Time) {
	w := l.workspaces[workspace]
	if w == nil || w.tokens == nil {
		return
	}
	for tokens > 0 {
		n := min(tokens, w.tokens.Burst())
		w.tokens.ReserveN(now, n)
		tokens -= n
	}
}
