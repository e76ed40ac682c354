package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestContextLength(t *testing.T) {
	c := &ContextLength{}
	observe := func(tokens, n int) {
		for range n {
			c.Observe(tokens)
		}
	}
	observe(9000, minContexts-1)
	assert.Assert(t, c.IsLong(), "too few prompts")
	observe(9000, 1)
	assert.Assert(t, !c.IsLong())
	observe(13000, 200)
	assert.Assert(t, !c.IsLong(), "the mean is within the hysteresis")
	observe(17000, 200)
	assert.Assert(t, c.IsLong())
	observe(12000, 200)
	assert.Assert(t, c.IsLong(), "the mean is within the hysteresis")
}

// TestLongContextsDelayStreams replays prompts with long contexts and middle-sized prompts beside short streams with
// tight pauses. Without groups, the last chunks of the long prompts make the pauses of many streams too long; with the
// servers split, few are late, and the long prompts are still in time.
func TestLongContextsDelayStreams(t *testing.T) {
	const (
		maxGap  = 200 * time.Millisecond
		seconds = 30
	)
	replay := func(split bool) (longLate, shortLate float64) {
		m := newModel(15)
		for _, e := range m.engines {
			e.tokensPerMs, e.pairTime, e.eventTokens = 64, 650*time.Microsecond, 4
		}
		load := newWorkload(8)
		contexts := &ContextLength{}
		prompt := func() *Prompt {
			switch kind := load.rng.Float64() * 49; {
			case kind < 12:
				return &Prompt{Parts: []Part{{fmt.Sprint("d", load.rng.IntN(400)), 13300}, {"own", 3720}}, Tokens: 17020, MaxOutput: 120, DelayTolerant: true, FirstEventTarget: 2 * time.Second}
			case kind < 22:
				return &Prompt{Parts: []Part{{fmt.Sprint("a", load.rng.IntN(400)), 6300}, {"own", 2890}}, Tokens: 9190, MaxOutput: 52, DelayTolerant: true, FirstEventTarget: 600 * time.Millisecond}
			}
			return &Prompt{Parts: []Part{{fmt.Sprint("g", load.rng.IntN(200)), 350}, {"own", 1110}}, Tokens: 1460, MaxOutput: 172, FirstEventTarget: 300 * time.Millisecond}
		}
		var long, short []*modelRun
		for end := seconds * time.Second; m.now < end; {
			m.advance(m.now + time.Duration(load.rng.ExpFloat64()/49*float64(time.Second)))
			p, share := prompt(), 0.0
			isLong := p.DelayTolerant
			if p.Tokens > 16000 {
				contexts.Observe(p.Tokens)
			}
			if split && contexts.IsLong() {
				share = 0.75
			}
			p.DelayTolerant = isLong && share > 0
			list, indices := m.candidates(share)
			r := m.place(indices[ChooseEngine(p, list).Index], p)
			if isLong {
				long = append(long, r)
			} else {
				short = append(short, r)
			}
		}
		m.advance(m.now + 10*time.Second)
		return lateShare(long, 300*time.Millisecond), lateShare(short, maxGap)
	}
	longLate, shortLate := replay(true)
	longLateWithout, shortLateWithout := replay(false)
	t.Logf("late: long %.3f, short %.3f; without groups long %.3f, short %.3f", longLate, shortLate, longLateWithout, shortLateWithout)
	assert.Assert(t, shortLate < 0.02)
	assert.Assert(t, shortLateWithout > 4*shortLate)
	assert.Assert(t, longLate <= longLateWithout+0.02)
}
