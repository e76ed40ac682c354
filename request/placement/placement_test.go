package placement

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func engineIndex(p *Prompt, list []Candidate) int { return ChooseEngine(p, list).Index }

// leastLoaded is the baseline policy: it chooses the server with the fewest requests.
func leastLoaded(_ *Prompt, list []Candidate) int {
	best := 0
	for i := range list {
		if list[i].Running < list[best].Running {
			best = i
		}
	}
	return best
}

// With many affinity keys with long shared parts at the usual load, shared parts are prefilled again less than a fifth
// as often as with the baseline, and no more requests are late.
func TestManyAffinityKeys(t *testing.T) {
	rendezvous, baseline := newModel(18), newModel(18)
	long, short := rendezvous.simulate(newWorkload(1), 30, 60, 27, 0, engineIndex)
	baseLong, baseShort := baseline.simulate(newWorkload(1), 30, 60, 27, 0, leastLoaded)
	t.Logf("prefilled again: %d against %d; late %.3f, %.3f against %.3f, %.3f", rendezvous.prefilledAgain, baseline.prefilledAgain,
		lateShare(long, time.Second), lateShare(short, time.Second), lateShare(baseLong, time.Second), lateShare(baseShort, time.Second))
	assert.Assert(t, 5*rendezvous.prefilledAgain < baseline.prefilledAgain)
	assert.Assert(t, lateShare(long, time.Second) <= lateShare(baseLong, time.Second)+0.005)
	assert.Assert(t, lateShare(short, time.Second) <= lateShare(baseShort, time.Second)+0.005)
}

// Long prompts arrive at twice the usual rate on half of the servers. Few are late, and far fewer than with the
// baseline.
func TestBurstOfLongPrompts(t *testing.T) {
	rendezvous, baseline := newModel(9), newModel(9)
	long, _ := rendezvous.simulate(newWorkload(2), 10, 110, 27, 0, engineIndex)
	baseLong, _ := baseline.simulate(newWorkload(2), 10, 110, 27, 0, leastLoaded)
	t.Logf("late %.3f against %.3f", lateShare(long, time.Second), lateShare(baseLong, time.Second))
	assert.Assert(t, lateShare(long, time.Second) < 0.01)
	assert.Assert(t, lateShare(baseLong, time.Second) > 2*lateShare(long, time.Second))
}

// Streams with events of seven tokens pause too long while their servers also prefill long prompts, unless the long
// prompts have servers of their own.
func TestStreamsBesideLongPrompts(t *testing.T) {
	const maxGap = 150 * time.Millisecond
	divided, mixed := newModel(16), newModel(16)
	long, short := divided.simulate(newWorkload(3), 20, 80, 20, 0.6, engineIndex)
	_, mixedShort := mixed.simulate(newWorkload(3), 20, 80, 20, 0, engineIndex)
	t.Logf("short streams late %.3f, %.3f on mixed servers; long prompts late %.3f", lateShare(short, maxGap), lateShare(mixedShort, maxGap), lateShare(long, time.Second))
	assert.Assert(t, lateShare(short, maxGap) < 0.02)
	assert.Assert(t, lateShare(mixedShort, maxGap) > 5*lateShare(short, maxGap))
	assert.Assert(t, lateShare(long, time.Second) < 0.02)
}

// One affinity key gets a third of the long prompts: the server that owns it isn't overloaded.
func TestHotAffinityKey(t *testing.T) {
	m, load := newModel(12), newWorkload(4)
	n := 0
	long, _ := m.simulate(load, 10, 60, 20, 0, func(p *Prompt, list []Candidate) int {
		if n++; p.Tokens == 9190 && n%3 == 0 {
			p.Parts[1].ID = "hot"
		}
		return engineIndex(p, list)
	})
	assert.Assert(t, lateShare(long, time.Second) < 0.01, "late %.3f", lateShare(long, time.Second))
}

// A third of the servers fails at once: the affinity keys of the other servers don't move.
func TestServerLossMovesOnlyItsAffinityKeys(t *testing.T) {
	var all []Candidate
	for i := range 18 {
		all = append(all, Candidate{Name: fmt.Sprint("s", i), SameDataCentre: true})
	}
	for i := range 200 {
		p := &Prompt{Parts: []Part{{"base", 2000}, {fmt.Sprint("subject", i), 4000}, {"own", 1}}, Tokens: 6001, FirstEventTarget: time.Second}
		before := all[ChooseEngine(p, all).Index].Name
		remaining := all[6:]
		after := remaining[ChooseEngine(p, remaining).Index].Name
		wasOnLostServer := before == "s0" || before == "s1" || before == "s2" || before == "s3" || before == "s4" || before == "s5"
		assert.Assert(t, wasOnLostServer || before == after)
	}
}

func TestSourceIsThePreviousOwner(t *testing.T) {
	p := &Prompt{Parts: []Part{{"base", 2000}, {"subject", 4000}, {"own", 1}}, Tokens: 6001}
	all := []Candidate{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	owner, ok := ChoosePrefixSource(p, all)
	assert.Assert(t, ok)
	for i := range 50 {
		grown := append([]Candidate{{Name: fmt.Sprint("new", i), JustStarted: true}}, all...)
		source, ok := ChoosePrefixSource(p, grown)
		assert.Assert(t, ok && grown[source].Name == all[owner].Name, "a server that has just started must not be a source")
	}
	_, ok = ChoosePrefixSource(p, []Candidate{{Name: "a", JustStarted: true}})
	assert.Assert(t, !ok)
}

// A healthy server is preferred to one that fails requests, is slow, is full, or is in another data centre.
func TestHealthyServersArePreferred(t *testing.T) {
	for name, worse := range map[string]Candidate{
		"failing": {Name: "worse", Slots: 8, SameDataCentre: true, FailureRate: 0.5},
		"slow":    {Name: "worse", Slots: 8, SameDataCentre: true, Speed: 0.2, Running: 2, PendingPrefill: 8000},
		"full":    {Name: "worse", Slots: 8, SameDataCentre: true, Running: 8},
		"far":     {Name: "worse", Slots: 8},
	} {
		list := []Candidate{worse, {Name: "good", Slots: 8, SameDataCentre: true, Running: 2}}
		p := &Prompt{Parts: []Part{{"x", 100}, {"own", 400}}, Tokens: 500, FirstEventTarget: 250 * time.Millisecond}
		assert.Equal(t, ChooseEngine(p, list).Index, 1, name)
	}
	list := []Candidate{{Name: "a", Slots: 6, FailureRate: 0.4}, {Name: "b", Slots: 6, Running: 2}}
	assert.Equal(t, ChooseServer("id", list).Index, 1)
}

func TestServiceSpreadsEqualServers(t *testing.T) {
	list := []Candidate{{Name: "a", Slots: 6}, {Name: "b", Slots: 6}, {Name: "c", Slots: 6}}
	seen := map[int]int{}
	for i := range 300 {
		seen[ChooseServer(fmt.Sprint("r", i), list).Index]++
	}
	for i := range list {
		assert.Assert(t, seen[i] > 60)
	}
}

func TestPoolByWeight(t *testing.T) {
	seen := map[string]int{}
	for i := range 2000 {
		seen[ChoosePool(fmt.Sprint("r", i), []string{"a", "b"}, []float64{90, 10})]++
	}
	assert.Assert(t, seen["b"] > 140 && seen["b"] < 260, "%d", seen["b"])
	assert.Equal(t, ChoosePool("r", []string{"a"}, []float64{0}), "a")
	for i := range 100 {
		assert.Equal(t, ChoosePool(fmt.Sprint("r", i), []string{"a", "b"}, []float64{0, 1}), "b")
	}
}

func TestChoiceIsAlwaysValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(rt, "servers")
		list := make([]Candidate, n)
		for i := range list {
			list[i] = Candidate{
				Name: fmt.Sprint(i), Running: rapid.IntRange(0, 100).Draw(rt, "running"), Slots: rapid.IntRange(0, 64).Draw(rt, "slots"),
				PendingPrefill: rapid.IntRange(0, 100000).Draw(rt, "unread"), FailureRate: rapid.Float64Range(0, 1).Draw(rt, "failing"),
				DelayTolerant: rapid.Bool().Draw(rt, "delay-tolerant server"), SameDataCentre: rapid.Bool().Draw(rt, "near"),
			}
		}
		p := &Prompt{Tokens: rapid.IntRange(0, 50000).Draw(rt, "tokens"), DelayTolerant: rapid.Bool().Draw(rt, "delay-tolerant prompt")}
		for range rapid.IntRange(0, 4).Draw(rt, "parts") {
			p.Parts = append(p.Parts, Part{ID: "x", Tokens: rapid.IntRange(0, 5000).Draw(rt, "part")})
		}
		choice := ChooseEngine(p, list)
		assert.Assert(rt, choice.Index >= 0 && choice.Index < n)
		assert.Assert(rt, choice.Cost >= 0)
		assert.Assert(rt, ChooseServer("r", list).Index >= 0)
		assert.Assert(rt, p.SharedTokens() <= p.Tokens)
	})
}

func TestShareChangesSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &WorkloadMix{}
		assert.Equal(t, m.DelayTolerantShare(0), 0.5)
		for range 600 {
			m.AddRequest(&Prompt{DelayTolerant: true}, 3000)
			m.AddRequest(&Prompt{}, 2000)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, m.DelayTolerantShare(0), 0.5)
		for range 400 {
			m.AddRequest(&Prompt{DelayTolerant: true}, 12000)
			m.AddRequest(&Prompt{}, 1000)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, m.ShareBefore(10*time.Second), 0.5, "the share from before the change")
		assert.Equal(t, m.DelayTolerantShare(0), 0.75, "latency-sensitive requests must keep a quarter")
		time.Sleep(11 * time.Second)
		assert.Equal(t, m.ShareBefore(10*time.Second), 0.75)
	})
}

// The latency-sensitive work of all instances needs most of the servers: delay-tolerant requests get the rest, and
// their usual share again if there are enough servers.
func TestLatencySensitiveWorkHasPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &WorkloadMix{}
		for range 100 {
			m.AddRequest(&Prompt{DelayTolerant: true}, 5000)
			m.AddRequest(&Prompt{MaxOutput: 280}, 500)
			time.Sleep(50 * time.Millisecond)
		}
		own := m.LocalRates()
		assert.Assert(t, own.LatencySensitive > 24_000 && own.LatencySensitive < 28_000, "%f", own.LatencySensitive)
		assert.Equal(t, m.DelayTolerantShare(20), 0.75)
		for i := range 20 {
			m.SetPeerRates(fmt.Sprint("i", i), own)
		}
		assert.Equal(t, m.ServersNeeded(), 46)
		assert.Equal(t, m.DelayTolerantShare(20), 0.375)
		assert.Equal(t, m.DelayTolerantShare(32), 0.625)
		m.AddRefused(9000)
		m.SetPeerRates("i0", WorkRates{Refused: 7000})
		assert.Equal(t, m.TotalRates().Refused, 10_000.0)
		time.Sleep(peerRatesTTL + time.Second)
		assert.Equal(t, m.DelayTolerantShare(20), 0.75, "outdated rates of other instances must not count")
	})
}
