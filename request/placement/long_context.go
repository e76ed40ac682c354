package placement

import "sync"

const (
	// longContextTokens is the mean length of delay-tolerant prompts above which their contexts count as long. An engine
	// attends to the whole context with each chunk that it prefills; from about this length on, that takes as long as
	// the rest of the step.
	longContextTokens = 12500
	// longContextHysteresis is the part of longContextTokens by which the mean must differ from it for a change.
	longContextHysteresis = 0.1
	// minContexts is the number of prompts after which the mean is used, and contextWeight the weight of the newest
	// prompt in it.
	minContexts   = 3
	contextWeight = 0.05
)

// ContextLength follows the length of a pool's delay-tolerant prompts. It is safe for concurrent use.
//
// Long contexts handle a pool in which a prefill seems harmless by the length of an engine's usual step, but the last
// chunks of long prompts take several times as long and delay all streams that run beside them. Its servers are then
// split like those of a pool with long events. Contexts count as long until prompts show otherwise: to end a split
// before there are caches costs little, to begin one later moves the prompts away from their cached parts.
type ContextLength struct {
	mu      sync.Mutex
	mean    float64
	count   int
	isShort bool
}

// Observe records the length of a delay-tolerant prompt in tokens, shared parts included.
func (c *ContextLength) Observe(tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	c.mean += max(contextWeight, 1/float64(c.count)) * (float64(tokens) - c.mean)
	switch {
	case c.count < minContexts:
	case c.mean > (1+longContextHysteresis)*longContextTokens:
		c.isShort = false
	case c.mean < (1-longContextHysteresis)*longContextTokens:
		c.isShort = true
	}
}

// IsLong reports whether the pool's delay-tolerant prompts have long contexts.
func (c *ContextLength) IsLong() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.isShort
}
