package admission

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/toucanroute/toucanroute/wire"
)

const (
	// requestBurstTime determines the burst of the request limit: a workspace may send as many requests at once as its
	// limit permits in this time.
	requestBurstTime = time.Second
	// tokenBurstTime determines the burst of the token limit: the tokens that the limit permits in this time.
	tokenBurstTime = 10 * time.Second
)

// Limits holds the rate limits of the workspaces. Tokens are charged after they are generated, so that a workspace may
// exceed its limit; its requests are then refused until its token bucket is positive again.
type Limits struct {
	workspaces map[string]*workspaceLimits
}

type workspaceLimits struct {
	workspace wire.Workspace
	requests  *rate.Limiter
	tokens    *rate.Limiter
}

// Configure replaces the workspaces; those whose limits didn't change keep their state.
func (l *Limits) Configure(workspaces []wire.Workspace) {
	next := make(map[string]*workspaceLimits, len(workspaces))
	for _, w := range workspaces {
		old := l.workspaces[w.Name]
		if old != nil && old.workspace.RequestsPerSecond == w.RequestsPerSecond && old.workspace.TokensPerSecond == w.TokensPerSecond {
			next[w.Name] = old
			continue
		}
		next[w.Name] = &workspaceLimits{
			workspace: w,
			requests:  newLimiter(w.RequestsPerSecond, requestBurstTime),
			tokens:    newLimiter(w.TokensPerSecond, tokenBurstTime),
		}
	}
	l.workspaces = next
}

// newLimiter returns a token bucket for the rate, which holds what the rate permits in burstTime. It returns nil if the
// rate is unlimited.
func newLimiter(perSecond float64, burstTime time.Duration) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstTime.Seconds())))
}

// Allow reports whether the workspace may send one more request, and counts the request if so. If a limit is used up,
// Allow also returns the time after which a request will be permitted.
func (l *Limits) Allow(workspace string, now time.Time) (bool, time.Duration) {
	w := l.workspaces[workspace]
	if w == nil {
		return true, 0
	}
	if w.tokens != nil {
		if left := w.tokens.TokensAt(now); left <= 0 {
			return false, refillTime(w.tokens, 1-left)
		}
	}
	if w.requests == nil || w.requests.AllowN(now, 1) {
		return true, 0
	}
	return false, refillTime(w.requests, 1-w.requests.TokensAt(now))
}

// refillTime returns the time in which the limiter refills the missing tokens.
func refillTime(limiter *rate.Limiter, missing float64) time.Duration {
	return time.Duration(missing / float64(limiter.Limit()) * float64(time.Second))
}

// ChargeTokens charges generated tokens to the workspace, also beyond its limit.
func (l *Limits) ChargeTokens(workspace string, tokens int, now time.Time) {
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
