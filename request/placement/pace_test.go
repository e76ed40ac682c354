package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// paceFleet is a number of instances that tell each other of their streams once per second.
type paceFleet struct {
	mixes []*WorkloadMix
	// loses reports whether the datagram of one instance to another gets lost; nil means that none is.
	loses func(from, to int) bool
}

func newPaceFleet(n int) *paceFleet {
	f := &paceFleet{}
	for range n {
		f.mixes = append(f.mixes, &WorkloadMix{})
	}
	return f
}

// exchange sends the datagrams of one second and has all instances decide.
func (f *paceFleet) exchange() {
	for from, sender := range f.mixes {
		rates, report := sender.LocalRates(), sender.Pace.Report()
		for to, m := range f.mixes {
			if from == to || f.loses != nil && f.loses(from, to) {
				continue
			}
			m.SetPeerRates(fmt.Sprint(from), rates)
			m.Pace.SetPeer(fmt.Sprint(from), report)
		}
	}
	for _, m := range f.mixes {
		m.DecidePace()
	}
}

// run runs the fleet for a number of seconds. In each second an instance begins 2 streams, of which the given part is
// late, and gets delay-tolerant work.
func (f *paceFleet) run(seconds int, late float64, tokens int) {
	for second := range seconds {
		for tenth := range 10 {
			for i, m := range f.mixes {
				if tenth%5 == 0 {
					m.Pace.ObserveBegin()
					if n := second*len(f.mixes) + i; int(float64(n+1)*late) > int(float64(n)*late) {
						m.Pace.ObserveLate()
					}
				}
				m.AddRequest(&Prompt{DelayTolerant: m.Pace.IsSplit(), Movable: true}, tokens/10)
				m.DecidePace()
			}
			time.Sleep(100 * time.Millisecond)
		}
		f.exchange()
	}
}

// splits returns the number of instances that split the servers.
func (f *paceFleet) splits() int {
	n := 0
	for _, m := range f.mixes {
		if m.Pace.IsSplit() {
			n++
		}
	}
	return n
}

// A burst that makes too many streams late splits the servers at all instances, and its end merges them again. Neither
// a few late streams nor a pause between two bursts changes anything.
func TestServersAreSplitWhileStreamsAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPaceFleet(9)
		f.run(60, 0.07, 10_000)
		assert.Equal(t, f.splits(), 0, "service levels bear these")
		f.run(4, 0.3, 30_000)
		assert.Equal(t, f.splits(), 9)
		f.run(20, 0.01, 30_000)
		assert.Equal(t, f.splits(), 9, "the split is what keeps the streams in time")
		f.run(8, 0.01, 5_000)
		f.run(8, 0.01, 30_000)
		assert.Equal(t, f.splits(), 9, "a pause between two bursts")
		f.run(30, 0.01, 5_000)
		assert.Equal(t, f.splits(), 0)
	})
}

// A split in the first second of a burst lasts while the burst does, and ends after it, though the rates of the work were
// still rising then.
func TestSplitAtTheBeginOfABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPaceFleet(9)
		f.run(3, 0.5, 30_000)
		assert.Equal(t, f.splits(), 9)
		f.run(30, 0.01, 25_000)
		assert.Equal(t, f.splits(), 9)
		f.run(30, 0.01, 10_000)
		assert.Equal(t, f.splits(), 0)
	})
}

// With half of the datagrams lost, the instances still decide alike, and none changes back and forth.
func TestPaceWithLostDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPaceFleet(30)
		load := newWorkload(5)
		f.loses = func(_, _ int) bool { return load.rng.Float64() < 0.5 }
		f.run(20, 0.05, 10_000)
		assert.Equal(t, f.splits(), 0)
		f.run(5, 0.4, 20_000)
		assert.Equal(t, f.splits(), 30)
		for range 30 {
			f.run(1, 0.02, 20_000)
			assert.Equal(t, f.splits(), 30)
		}
		f.run(40, 0.02, 4_000)
		assert.Equal(t, f.splits(), 0)
	})
}

// An instance that was restarted follows the others, though its own streams are in time; so does one that an older
// build's reports reach as well. One that is cut off keeps the split while its load lasts.
func TestPaceOfRestartedAndCutOffInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPaceFleet(9)
		f.run(6, 0.4, 20_000)
		assert.Equal(t, f.splits(), 9)
		f.mixes[0] = &WorkloadMix{}
		for i := range 8 {
			f.mixes[0].Pace.SetPeer(fmt.Sprint("old", i), PaceReport{})
		}
		f.loses = func(from, to int) bool { return from == 1 || to == 1 }
		f.run(1, 0, 20_000)
		assert.Equal(t, f.splits(), 9, "the restarted instance follows")
		f.run(60, 0, 20_000)
		assert.Equal(t, f.splits(), 9, "the cut-off instance keeps its state")
		f.run(30, 0, 2_000)
		assert.Equal(t, f.splits(), 0)
	})
}

// A cut-off instance that sees no stream late doesn't split; a single late stream is no evidence.
func TestPaceNeedsEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &WorkloadMix{}
		for range 20 {
			m.Pace.ObserveBegin()
			m.Pace.ObserveLate()
			time.Sleep(time.Second)
			m.DecidePace()
		}
		assert.Assert(t, !m.Pace.IsSplit())
	})
}

// An instance that has had no request for the pool yet has no vote, and neither has one of an older build.
func TestOnlyDecidingInstancesVote(t *testing.T) {
	m, silent := &WorkloadMix{}, &WorkloadMix{}
	for i := range 5 {
		m.Pace.SetPeer(fmt.Sprint("silent", i), silent.Pace.Report())
	}
	for i := range minFollowed {
		m.Pace.SetPeer(fmt.Sprint("split", i), PaceReport{Groups: PaceSplit})
	}
	m.DecidePace()
	assert.Assert(t, m.Pace.IsSplit())
}

// Instances to which no requests come any more keep no others from a split: they have no vote.
func TestIdleInstancesDoNotEndASplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPaceFleet(30)
		f.run(3, 0, 10_000)
		time.Sleep(2 * peerRatesTTL)
		for _, m := range f.mixes {
			assert.Equal(t, m.Pace.Report().Groups, PaceUnknown)
		}
	})
}

// Six of thirty instances that still get requests end a split together; the last decisions of the others don't undo it.
func TestMergeBesideIdleInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newPaceFleet(30)
		all.run(8, 0.4, 20_000)
		assert.Equal(t, all.splits(), 30)
		active := &paceFleet{mixes: all.mixes[:6]}
		for range 40 {
			for i, idle := range all.mixes[6:] {
				rates, report := idle.LocalRates(), idle.Pace.Report()
				for _, m := range active.mixes {
					m.SetPeerRates(fmt.Sprint("idle", i), rates)
					m.Pace.SetPeer(fmt.Sprint("idle", i), report)
				}
			}
			active.run(1, 0, 1_000)
		}
		assert.Equal(t, active.splits(), 0)
	})
}

// An instance that follows the others into a split when most of its work is gone keeps what it knows of the work, so that
// the split ends.
func TestFollowedSplitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPaceFleet(9)
		f.run(8, 0.4, 40_000)
		assert.Equal(t, f.splits(), 9)
		m := f.mixes[0]
		follow := func(groups PaceGroups, seconds int) {
			for range seconds {
				for i := range 8 {
					m.Pace.SetPeer(fmt.Sprint(i+1), PaceReport{Groups: groups})
				}
				m.AddRequest(&Prompt{Movable: true}, 2_000)
				m.DecidePace()
				time.Sleep(time.Second)
			}
		}
		follow(PaceMixed, 8)
		assert.Assert(t, !m.Pace.IsSplit())
		follow(PaceSplit, 8)
		f.mixes = f.mixes[:1]
		f.run(20, 0, 2_000)
		assert.Assert(t, !m.Pace.IsSplit())
	})
}

// Streams that are late without long prompts, as by a slow network, don't split the servers.
func TestNoSplitWithoutDelayTolerantWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPaceFleet(9)
		f.run(20, 0.5, 0)
		assert.Equal(t, f.splits(), 0)
		work := 0.8 * minSplitWork / 9
		f.run(20, 0.5, int(work))
		assert.Equal(t, f.splits(), 0)
	})
}

// What another instance tells can neither split the servers alone nor keep them from a split.
func TestPaceWithALyingInstance(t *testing.T) {
	for name, lie := range map[string]PaceReport{
		"all late":   {Began: 0, Late: 1e9, Groups: PaceMixed},
		"many late":  {Began: 1e9, Late: 1e9, Groups: PaceMixed},
		"many began": {Began: 1e9, Groups: PaceSplit},
		"negative":   {Began: -1e9, Late: -1e9, Groups: PaceMixed},
		"no group":   {Began: 1e9, Late: 1e9, Groups: 7},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newPaceFleet(60)
				run := func(seconds int, late float64) {
					for range seconds {
						for _, m := range f.mixes {
							m.Pace.SetPeer("liar", lie)
						}
						f.run(1, late, 10_000)
					}
				}
				run(12, 0)
				assert.Equal(t, f.splits(), 0)
				run(6, 0.5)
				assert.Equal(t, f.splits(), 60)
			})
		})
	}
}

// The share of the servers for delay-tolerant work counts what a split moves there from its first moment on.
func TestShareAtTheBeginOfASplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &WorkloadMix{}
		for range 100 {
			m.AddRequest(&Prompt{Movable: true, MaxOutput: 50}, 60_000)
			m.AddRequest(&Prompt{MaxOutput: 280}, 500)
			time.Sleep(50 * time.Millisecond)
		}
		rates := m.LocalRates()
		assert.Assert(t, rates.LatencySensitive > rates.Movable && rates.Movable > 500_000, "the mixed servers serve all of it: %+v", rates)
		assert.Equal(t, m.DelayTolerantShare(20), 0.75)
	})
}

// pacedLoad is the load of a pool with streams that may pause for 250 ms and requests that bear longer pauses.
type pacedLoad struct {
	// engines is the number of engines, and chunkTokens the largest number of prompt tokens in one of their steps.
	engines, chunkTokens int
	// digests, drafts and chats are requests per second; digests and drafts are burst times as many from second 5 to 15.
	digests, drafts, chats, burst float64
}

// replayPace replays the load for 20 s. It returns the part of the chats from second 3 on that paused for too long, and
// whether the servers were ever split; with canSplit unset they stay mixed.
func replayPace(l pacedLoad, canSplit bool) (late float64, wasSplit bool) {
	const maxGap = 250 * time.Millisecond
	m, mix, load := newModel(l.engines), &WorkloadMix{}, newWorkload(11)
	for _, e := range m.engines {
		e.tokensPerMs, e.chunkTokens, e.eventTokens, e.pairTime = 80, l.chunkTokens, 6, 150*time.Microsecond
	}
	// length draws the length of the part that a prompt has to itself, which varies much.
	length := func(mean float64) int { return int(min(mean*math.Exp(0.7*load.rng.NormFloat64()-0.25), 4*mean)) }
	var chats, watched []*modelRun
	counted := map[*modelRun]bool{}
	for m.now < 20*time.Second {
		factor := 1.0
		if m.now > 5*time.Second && m.now < 15*time.Second {
			factor = l.burst
		}
		digests, drafts := l.digests*factor, l.drafts*factor
		pause := time.Duration(load.rng.ExpFloat64() / (digests + drafts + l.chats) * float64(time.Second))
		time.Sleep(pause)
		m.advance(m.now + pause)
		kind := load.rng.Float64() * (digests + drafts + l.chats)
		var p *Prompt
		switch own := 0; {
		case kind < digests:
			own = length(2890)
			p = &Prompt{Parts: []Part{{fmt.Sprint("d", load.rng.IntN(280)), 6300}, {"own", own}}, Tokens: 6300 + own, MaxOutput: 54, Movable: true, FirstEventTarget: 1200 * time.Millisecond}
		case kind < digests+drafts:
			own = length(1800)
			p = &Prompt{Parts: []Part{{fmt.Sprint("r", load.rng.IntN(200)), 568}, {"own", own}}, Tokens: 568 + own, MaxOutput: 24, Movable: true, FirstEventTarget: time.Second}
		default:
			own = length(543)
			p = &Prompt{Parts: []Part{{fmt.Sprint("c", load.rng.IntN(200)), 172}, {"own", own}}, Tokens: 172 + own, MaxOutput: 282, FirstEventTarget: time.Second}
		}
		share := 0.0
		if canSplit {
			mix.DecidePace()
		}
		if mix.Pace.IsSplit() {
			share, wasSplit, p.DelayTolerant = mix.DelayTolerantShare(l.engines), true, p.Movable
		}
		list, indices := m.candidates(share)
		mix.AddRequest(p, p.Tokens-p.SharedTokens())
		r := m.place(indices[ChooseEngine(p, list).Index], p)
		if !p.Movable {
			watched = append(watched, r)
			if m.now > 3*time.Second {
				chats = append(chats, r)
			}
		}
		for _, w := range watched {
			if w.firstEventAt > 0 && w.firstEventAt <= m.now && !counted[w] {
				counted[w] = true
				mix.Pace.ObserveBegin()
			}
		}
		watched = slices.DeleteFunc(watched, func(w *modelRun) bool {
			if w.maxGap > maxGap {
				mix.Pace.ObserveLate()
			}
			return w.maxGap > maxGap || w.remainingSteps <= 0
		})
	}
	m.advance(m.now + 10*time.Second)
	for _, r := range chats {
		if r.maxGap > maxGap {
			late++
		}
	}
	return late / float64(len(chats)), wasSplit
}

// Bursts of long prompts beside streams that may pause for 250 ms, on 60 engines.
func TestStreamsKeepTheirPaceBesideBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := pacedLoad{engines: 60, chunkTokens: 4096, digests: 201, drafts: 315, chats: 102, burst: 2}
		late, wasSplit := replayPace(l, true)
		lateMixed, _ := replayPace(l, false)
		t.Logf("late %.3f, with mixed servers %.3f", late, lateMixed)
		assert.Assert(t, wasSplit)
		assert.Assert(t, late < maxLateStreams)
		assert.Assert(t, lateMixed > 2*maxLateStreams)
	})
}

// The same classes on 18 engines whose steps are too short to harm the streams: the servers stay mixed, so that no prompt
// leaves its cached parts.
func TestHarmlessLoadStaysMixed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		late, wasSplit := replayPace(pacedLoad{engines: 18, chunkTokens: 2048, digests: 60, drafts: 66, chats: 27, burst: 1.5}, true)
		t.Logf("late %.3f", late)
		assert.Assert(t, !wasSplit)
		assert.Assert(t, late < maxLateStreams)
	})
}
