package forward

import (
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/request/placement"
	"github.com/toucanroute/toucanroute/version/hostroute"
)

// classifyPrompt decides whether the pool's servers are split between delay-tolerant and latency-sensitive requests, and
// to which of them the request belongs.
func (c *call) classifyPrompt() {
	pool, prompt := c.pool.Name, c.meta.Prompt
	isTolerant := c.config.DelayTolerant(c.route, pool)
	if c.splitsServers = c.config.SplitsServers(pool); c.splitsServers {
		prompt.DelayTolerant = isTolerant
		return
	}
	if c.config.SplitsForLongContexts(pool) {
		contexts := &c.f.WorkloadMix(pool).Contexts
		if isTolerant {
			contexts.Observe(prompt.Tokens)
		}
		if contexts.IsLong() {
			c.splitsServers = true
			prompt.DelayTolerant = isTolerant || c.config.DelaysStreams(c.route, pool, prompt.Tokens)
			return
		}
	}
	if c.config.MaySplitForPace(pool) {
		c.classifyByPace()
	}
}

// classifyByPace decides the same in a pool whose servers may be split because of its streams' pauses.
func (c *call) classifyByPace() {
	mix := c.f.WorkloadMix(c.pool.Name)
	if change, ok := mix.DecidePace(); ok {
		LogPaceChange(c.f.Log, c.pool.Name, change)
	}
	c.followsPace = c.config.HasShortGap(c.route, c.pool.Name)
	prompt := c.meta.Prompt
	prompt.Movable = c.config.BearsPrefills(c.route, c.pool.Name)
	c.splitsServers = mix.Pace.IsSplit()
	prompt.DelayTolerant = c.splitsServers && prompt.Movable
}

// LogPaceChange logs a change of placement.StreamPace in a pool.
func LogPaceChange(log *zap.Logger, pool string, change placement.PaceChange) {
	log.Info("stream_pace_changed",
		zap.String("pool", pool), zap.Bool("split", change.Split), zap.String("reason", change.Reason),
		zap.Float64("began", change.Began), zap.Float64("late", change.Late), zap.Int("work", int(change.Work)),
		zap.Int("peers", change.Peers), zap.Duration("oldest", change.OldestReport))
}

// settleGroups keeps the prompt away from servers that change their group in a pool that is split by its streams' pauses.
func (c *call) settleGroups(candidates []placement.Candidate) {
	if c.meta.Prompt == nil || !c.followsPace && !c.meta.Prompt.Movable {
		return
	}
	groups := &c.f.WorkloadMix(c.pool.Name).Groups
	if !c.splitsServers {
		groups.Forget()
		return
	}
	groups.Settle(c.meta.Prompt, candidates)
}

// Late says how a response missed its service level; empty if it didn't.
type Late string

const (
	// LateFirstEvent means that the response began after the route's FirstEventTarget.
	LateFirstEvent Late = "first_event"
	// LatePause means that it began in time and then paused for longer than the route's MaxEventGap.
	LatePause Late = "pause"
)

// late returns how the response missed its service level. The argument is the time to its first event.
func (c *call) late(first time.Duration) Late {
	switch {
	case c.route.Kind != hostroute.Stream:
		return ""
	case c.route.FirstEventTarget > 0 && first > c.route.FirstEventTarget:
		return LateFirstEvent
	case c.route.MaxEventGap > 0 && c.maxEventGap > c.route.MaxEventGap:
		return LatePause
	}
	return ""
}

// observePace counts the stream at its first event and at its first pause of more than permitted.
func (c *call) observePace(pause time.Duration) {
	if !c.followsPace {
		return
	}
	pace := &c.f.WorkloadMix(c.pool.Name).Pace
	if !c.begunPace {
		c.begunPace = true
		pace.ObserveBegin()
	}
	if pause > c.route.MaxEventGap && !c.latePace {
		c.latePace = true
		pace.ObserveLate()
	}
}

// cachePrompt returns the prompt and the share of the servers for delay-tolerant requests by which the engines got their
// caches: those in force before the last change, if that was lately.
func (c *call) cachePrompt() (prompt *placement.Prompt, share float64) {
	prompt = c.meta.Prompt
	mix := c.f.WorkloadMix(c.pool.Name)
	if c.splitsServers {
		share = mix.ShareBefore(newEngineAge)
	}
	if !prompt.Movable || !mix.Pace.ChangedWithin(newEngineAge) {
		return prompt, share
	}
	before := *prompt
	if before.DelayTolerant = !c.splitsServers; c.splitsServers {
		return &before, 0
	}
	return &before, mix.ShareBefore(0)
}
