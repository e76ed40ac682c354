package hostroute

import "time"

// findMinEventGaps finds the shortest MaxEventGap among the stream routes of each pool, and the pools of which some
// routes bear longer ones.
func (t *Table) findMinEventGaps() {
	t.minEventGaps = map[string]time.Duration{}
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		if r.Kind != Stream || r.MaxEventGap <= 0 {
			continue
		}
		for _, s := range r.Shares {
			if minGap, ok := t.minEventGaps[s.Pool]; !ok || r.MaxEventGap < minGap {
				t.minEventGaps[s.Pool] = r.MaxEventGap
			}
		}
	}
	t.bearsPrefills = map[string]bool{}
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		for _, s := range r.Shares {
			t.bearsPrefills[s.Pool] = t.bearsPrefills[s.Pool] || t.BearsPrefills(r, s.Pool)
		}
	}
}

const (
	// minDelayTolerantRatio is the ratio to the shortest MaxEventGap of a pool from which a stream's MaxEventGap makes
	// the stream delay-tolerant.
	minDelayTolerantRatio = 2
	// prefillStepTime is the usual duration of an engine step that also prefills 2,048 tokens of a long prompt.
	prefillStepTime = 30 * time.Millisecond
	// criticalGapFraction is the fraction of a pool's shortest MaxEventGap that an event may take, if each of its
	// engine steps includes a prefill, before the pool's servers are split.
	criticalGapFraction = 0.8
	// longContextGapFraction replaces criticalGapFraction for a pool whose long prompts have long contexts: their last
	// chunks take about half as long again as prefillStepTime.
	longContextGapFraction = 0.55
	// minLongPromptRatio replaces minDelayTolerantRatio for long prompts beside long contexts, and for all prompts in a
	// pool that is split because of its streams' pauses.
	minLongPromptRatio = 1.5
	// harmlessGapFraction is the fraction below which the servers aren't split because of their streams' pauses: even
	// if each engine step prefills twice the usual tokens, an event comes in time.
	harmlessGapFraction = 0.5
	// prefillChunkTokens is the usual number of tokens that an engine prefills in one step.
	prefillChunkTokens = 2048
)

// SplitsServers reports whether the pool's servers are split between delay-tolerant and latency-sensitive requests.
// They are split if prefills of long prompts would delay the events of the pool's streams for too long. The engine
// takes one step for each token of an event.
func (t *Table) SplitsServers(pool string) bool {
	return t.prefillGapFraction(pool) >= criticalGapFraction
}

// SplitsForLongContexts reports whether the pool's servers are split if the contexts of its long prompts are long; see
// placement.ContextLength.
func (t *Table) SplitsForLongContexts(pool string) bool {
	return t.prefillGapFraction(pool) >= longContextGapFraction
}

// prefillGapFraction returns the duration of an event whose engine steps all include a prefill, as a fraction of the
// pool's shortest MaxEventGap; 0 if the pool has no streams with a MaxEventGap.
func (t *Table) prefillGapFraction(pool string) float64 {
	p, ok := t.pools[pool]
	gap := t.minEventGaps[pool]
	if !ok || p.Engine == nil || gap <= 0 {
		return 0
	}
	return float64(p.Engine.TokensPerEvent) * float64(prefillStepTime) / float64(gap)
}

// DelayTolerant reports whether the route's requests are delay-tolerant: their streams may pause far longer than the
// shortest MaxEventGap of the pool.
func (t *Table) DelayTolerant(r *Route, pool string) bool {
	return r.Kind == Stream && t.minEventGaps[pool] > 0 && r.MaxEventGap >= minDelayTolerantRatio*t.minEventGaps[pool]
}

// DelaysStreams reports whether a prompt of the route counts as delay-tolerant in a pool that is split for long
// contexts, although its stream may pause only somewhat longer than the shortest MaxEventGap: its prefill takes as long
// as several engine steps, and would delay the events of the streams with that gap.
func (t *Table) DelaysStreams(r *Route, pool string, promptTokens int) bool {
	gap := t.minEventGaps[pool]
	p, ok := t.pools[pool]
	if !ok || p.Engine == nil || r.Kind != Stream || gap <= 0 {
		return false
	}
	return float64(r.MaxEventGap) >= minLongPromptRatio*float64(gap) && promptTokens >= prefillChunkTokens*p.Engine.TokensPerEvent/2
}

// MaySplitForPace reports whether the pool's servers may be split because of its streams' pauses; see
// placement.StreamPace. Prefills must be able to delay an event for too long, and some of the pool's requests must bear
// that.
func (t *Table) MaySplitForPace(pool string) bool {
	return t.bearsPrefills[pool] && !t.SplitsServers(pool) && t.prefillGapFraction(pool) >= harmlessGapFraction
}

// HasShortGap reports whether the route's streams are among those of the pool that may pause least.
func (t *Table) HasShortGap(r *Route, pool string) bool {
	gap := t.minEventGaps[pool]
	return r.Kind == Stream && r.MaxEventGap > 0 && float64(r.MaxEventGap) < minLongPromptRatio*float64(gap)
}

// BearsPrefills reports whether the route's requests count as delay-tolerant if the pool's servers are split because of
// its streams' pauses.
func (t *Table) BearsPrefills(r *Route, pool string) bool {
	gap := t.minEventGaps[pool]
	return r.Kind == Stream && gap > 0 && float64(r.MaxEventGap) >= minLongPromptRatio*float64(gap)
}
