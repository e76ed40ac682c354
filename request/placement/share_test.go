package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// shareLoad is a load of long prompts of many workspaces on a pool, which arrive at any of the instances.
type shareLoad struct {
	instances, workspaces int
	// room is the load without the burst, as a multiple of what the engines can prefill.
	room float64
	// hot is the factor by which the first workspace sends more during the burst.
	hot float64
	// lost is the part of the datagrams between instances that is lost.
	lost float64
	// withoutShares admits without regard to workspaces.
	withoutShares bool
	// lostEngines is the number of engines that are lost when the burst begins.
	lostEngines int
	// hotKey is set if all prompts of the first workspace share their parts.
	hotKey bool
	// lie, if not nil, is told by one more instance.
	lie func() (float64, []WorkspaceRate)
}

// modelRate is the number of long prompts a second that newModel(16) can prefill when their shared parts are cached.
const modelRate = 300

// played is the part of the requests whose first event was in time, of the hot workspace and of all others, before the
// burst and in it.
type played struct{ hotBefore, hot, othersBefore, others float64 }

// play runs the load for ten seconds and then with the burst for ten.
func (l shareLoad) play(t *testing.T) (result played) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m, load, rng := newModel(16), newWorkload(4711), rand.New(rand.NewPCG(4711, 2))
		shares := make([]*WorkspaceShares, l.instances)
		for i := range shares {
			shares[i] = &WorkspaceShares{}
		}
		rate, observed := &PrefillRate{}, 0
		start, nextNews := time.Now(), time.Second
		workspaces := map[*Prompt]int{}
		choose := func(extra float64) func(*Prompt, []Candidate) int {
			return func(p *Prompt, list []Candidate) int {
				time.Sleep(m.now - time.Since(start))
				for ; m.now >= nextNews; nextNews += time.Second {
					l.exchange(rng, shares)
				}
				if rng.Float64() >= extra/(extra+float64(l.workspaces)) {
					workspaces[p] = rng.IntN(l.workspaces)
				}
				if l.hotKey && workspaces[p] == 0 {
					p.Parts[1].ID = "hot"
				}
				for ; observed < len(m.prefilled); observed++ {
					rate.Observe(m.prefilled[observed].queuedTokens, m.prefilled[observed].firstEventAt-m.prefilled[observed].arrivedAt)
				}
				return l.admit(shares[rng.IntN(l.instances)], rate.TokensPerMs(), fmt.Sprint(m.now), fmt.Sprint("w", workspaces[p]), p, list)
			}
		}
		simulate := func(extra float64) (hot, others float64) {
			perSecond := l.room * modelRate * (1 + extra/float64(l.workspaces))
			runs, _ := m.simulate(load, 10, perSecond, 0, 1, choose(extra))
			var ofHot, ofOthers []*modelRun
			for _, r := range runs {
				if workspaces[r.prompt] == 0 {
					ofHot = append(ofHot, r)
				} else {
					ofOthers = append(ofOthers, r)
				}
			}
			return float64(countInTime(ofHot)) / float64(len(ofHot)), float64(countInTime(ofOthers)) / float64(len(ofOthers))
		}
		result.hotBefore, result.othersBefore = simulate(0)
		for _, e := range m.engines[:l.lostEngines] {
			e.down = true
		}
		result.hot, result.others = simulate(l.hot - 1)
	})
	t.Logf("in time: hot %.3f, then %.3f; others %.3f, then %.3f", result.hotBefore, result.hot, result.othersBefore, result.others)
	return result
}

// admit returns the index of the engine for a prompt, or -1 if an instance refuses it.
func (l shareLoad) admit(s *WorkspaceShares, rate float64, id, workspace string, p *Prompt, list []Candidate) int {
	i, limit := ChooseEngine(p, list).Index, p.FirstEventTarget
	s.Add(workspace, float64(p.Tokens-p.SharedTokens()))
	refusal, ok := Admit(&list[i], rate, limit)
	if !l.withoutShares {
		s.ObserveWait(refusal.Wait, limit)
		switch {
		case IsAmong(id, s.Excess(workspace)):
			_, ok = Admit(&list[i], rate, s.ExcessLimit(limit))
		case !ok:
			s.ObserveRefused()
		}
	}
	if !ok {
		return -1
	}
	return i
}

// exchange tells each instance what the others tell, as far as it isn't lost.
func (l shareLoad) exchange(rng *rand.Rand, shares []*WorkspaceShares) {
	for from, s := range shares {
		all, told := s.Told()
		for to := range shares {
			if to != from && rng.Float64() >= l.lost {
				shares[to].SetPeer(fmt.Sprint("i", from), all, told)
			}
		}
	}
	if l.lie != nil {
		for _, s := range shares {
			all, told := l.lie()
			s.SetPeer("liar", all, told)
		}
	}
}

// A workspace that sends six times its usual beside 23 usual ones, so that the pool is at 1.3 of its room, costs the
// others nothing: they are served at least as before the burst, whether the instances hear
// all, half or none of each other's news.
func TestHotWorkspaceCostsOthersNothing(t *testing.T) {
	usual := shareLoad{instances: 8, workspaces: 24, room: 1.3 * 24 / 29, hot: 6}
	for name, change := range map[string]func(*shareLoad){
		"all news":       func(*shareLoad) {},
		"half of it":     func(l *shareLoad) { l.lost = 0.5 },
		"no news":        func(l *shareLoad) { l.lost = 1 },
		"one instance":   func(l *shareLoad) { l.instances = 1 },
		"many instances": func(l *shareLoad) { l.instances = 40 },
		"a lying instance": func(l *shareLoad) {
			l.lie = func() (float64, []WorkspaceRate) {
				return 1e12, []WorkspaceRate{{Hash: WorkspaceHash("w5"), Recent: 1e12}, {Hash: WorkspaceHash("w6"), Recent: 1e12}}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := usual
			change(&l)
			got := l.play(t)
			assert.Assert(t, got.others >= got.othersBefore)
			assert.Assert(t, got.hot > 0.25*got.others, "the hot workspace must not be starved")
		})
	}
	t.Run("without shares", func(t *testing.T) {
		l := usual
		l.withoutShares = true
		got := l.play(t)
		assert.Assert(t, got.others < got.othersBefore, "the load must exceed the room")
	})
}

// Beside an overload of all, a hot workspace costs the others no more than the part of its requests that is admitted like
// theirs so that it isn't starved, up to twice the standard deviation of the part of 6,000 requests in each of two runs.
func TestHotWorkspaceBesideOverload(t *testing.T) {
	const noise = 0.02
	for name, change := range map[string]func(*shareLoad){
		"a burst of all":                func(l *shareLoad) { l.room = 1.6 },
		"a third of the engines gone":   func(l *shareLoad) { l.room, l.lostEngines = 1, 5 },
		"a hot key":                     func(l *shareLoad) { l.room, l.hotKey = 1, true },
		"a hot key in a burst of all":   func(l *shareLoad) { l.room, l.hotKey = 1.6, true },
		"a burst, half of news is lost": func(l *shareLoad) { l.room, l.lost = 1.6, 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			l := shareLoad{instances: 8, workspaces: 24, hot: 6}
			change(&l)
			withHot := l.play(t)
			l.hot = 1
			without := l.play(t)
			left := float64(l.workspaces) / (float64(l.workspaces-1) + 6*(1-maxExcess))
			assert.Assert(t, withHot.others >= left*without.others-noise)
			assert.Assert(t, withHot.hot > 0.25*withHot.others, "the hot workspace must not be starved")
			l.hot, l.withoutShares = 6, true
			l.play(t)
		})
	}
}

// No request is refused for its workspace while the pool has room, however much the workspace sends, and nothing is told.
func TestNoShareIsLimitedWhilePlacesAreFree(t *testing.T) {
	l := shareLoad{instances: 8, workspaces: 24, room: 0.5, hot: 6}
	got := l.play(t)
	assert.Assert(t, got.hot > 0.99 && got.others > 0.99)
	synctest.Test(t, func(t *testing.T) {
		s := &WorkspaceShares{}
		for range 100 {
			s.Add("w", 5000)
		}
		s.ObserveWait(100*time.Millisecond, time.Second)
		_, told := s.Told()
		assert.Equal(t, len(told), 0)
		s.ObserveWait(600*time.Millisecond, time.Second)
		_, told = s.Told()
		assert.Equal(t, len(told), 1)
		time.Sleep(strainedFor + time.Second)
		_, told = s.Told()
		assert.Equal(t, len(told), 0)
	})
}

// A large workspace that sends its usual isn't limited, nor is one that has no others beside it.
func TestUsualRateIsWithinPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, alone := &WorkspaceShares{}, &WorkspaceShares{}
		for i := range 6000 {
			time.Sleep(10 * time.Millisecond)
			alone.Add("large", 3000)
			s.Add("large", 3000)
			s.Add(fmt.Sprint("w", i%10), 1000)
		}
		assert.Equal(t, s.Excess("large"), 0.0)
		assert.Equal(t, alone.Excess("large"), 0.0)
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			for range 6 {
				s.Add("large", 3000)
			}
			s.Add("w0", 1000)
		}
		assert.Assert(t, s.Excess("large") > 0.5)
		s.Record("large", time.Second, true)
		s.Record("large", 3*time.Second, false)
		status := s.Status()
		assert.Equal(t, len(status), 11)
		largest := status[0]
		assert.Equal(t, largest.Workspace, "large")
		assert.Equal(t, largest.Excess, s.Excess("large"))
		assert.Equal(t, largest.MeanWait, time.Second)
		assert.Equal(t, largest.Admitted+10*largest.Refused, 11)
		assert.Equal(t, s.Excess("w1"), 0.0)
	})
}

// Growth that lasts for three minutes in a pool with room is usual; growth in a strained pool isn't.
func TestCalmGrowthBecomesUsual(t *testing.T) {
	for _, strained := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &WorkspaceShares{}
			grow := func(seconds, factor int) {
				for i := range 100 * seconds {
					time.Sleep(10 * time.Millisecond)
					if strained && factor > 1 {
						s.ObserveWait(time.Second, time.Second)
					}
					for range factor {
						s.Add("growing", 1000)
					}
					for j := range 5 {
						s.Add(fmt.Sprint("w", (i+j)%10), 500)
					}
				}
			}
			grow(120, 1)
			grow(180, 6)
			assert.Equal(t, s.Excess("growing") > 0, strained)
		})
	}
}

// Workspaces that have asked for nothing for minutes don't reduce the part of those that ask.
func TestSilentWorkspacesDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &WorkspaceShares{}
		for i := range 6000 {
			time.Sleep(10 * time.Millisecond)
			s.Add(fmt.Sprint("w", i%50), 1000)
		}
		time.Sleep(4 * time.Minute)
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			s.Add("a", 1000)
			s.Add("b", 1000)
		}
		assert.Equal(t, s.Excess("a"), 0.0)
		for range 10 * 100 {
			time.Sleep(10 * time.Millisecond)
			s.Add("a", 1000)
		}
		assert.Equal(t, s.Excess("a"), 0.0, "nobody else asks")
	})
}

// Clients that were refused together return over the time in which the backlog ends, the more urgent first, and within a
// third of the time left to them if the backlog ends in that time.
func TestReturnsAreSpread(t *testing.T) {
	c := Candidate{PendingPrefill: 128_000}
	const limit = time.Second
	refusal, ok := Admit(&c, 64, limit)
	assert.Assert(t, !ok)
	first, last := refusal.ReturnAfter(limit, 0, 0, 0), refusal.ReturnAfter(limit, 0, 1, 1)
	assert.Equal(t, first, 1250*time.Millisecond)
	assert.Equal(t, last, 3*time.Second)
	assert.Assert(t, refusal.ReturnAfter(limit, 0, 0, 0.99) < refusal.ReturnAfter(limit, 0, 1, 0))
	assert.Equal(t, refusal.ReturnAfter(limit, 6*time.Second, 1, 1), 2*time.Second)
	assert.Equal(t, refusal.ReturnAfter(limit, 3*time.Second, 0, 0), first, "the backlog lasts longer than the caller")
	assert.Assert(t, refusal.ReturnAfter(limit, 3*time.Second, 1, 1) == last)
}
