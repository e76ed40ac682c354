package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The lasting speed is that of the moments in which the machine does nothing else; what is momentary counts for less
// than a second.
func TestSpeed(t *testing.T) {
	var s Speed
	now := time.Unix(100, 0)
	assert.Equal(t, s.Lasting(), 0.0)
	assert.Equal(t, s.WorkTime(now), 0.0)
	for _, workTime := range []float64{1.6, 1.6, 4, 1.6, 4} {
		now = now.Add(100 * time.Millisecond)
		s.ObserveWorkTime(workTime, now)
	}
	assert.Equal(t, s.Lasting(), 1/1.6)
	assert.Equal(t, s.WorkTime(now), 2.5)
	// The reports of a second are lost: the moment is forgotten, the lasting speed isn't.
	assert.Assert(t, s.WorkTime(now.Add(time.Second)) < 1.1)
	assert.Equal(t, s.Lasting(), 1/1.6)
	// A single false report, and one that came late, change nothing for long.
	s.ObserveWorkTime(0.01, now.Add(-time.Second))
	s.ObserveWorkTime(0.01, now)
	assert.Equal(t, s.Lasting(), 1/1.6)
	// The server gets fast: two reports are enough. It gets slow: that is known four seconds later, at any rate of reports.
	for range 2 {
		s.ObserveWorkTime(0.6, now)
	}
	assert.Equal(t, s.Lasting(), 1/0.6)
	for _, interval := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond} {
		slow := s
		for at := time.Duration(0); at <= 4*time.Second; at += interval {
			slow.ObserveWorkTime(1.6, now.Add(at))
		}
		assert.Equal(t, slow.Lasting(), 1/1.6)
	}
}

// A machine that is busy with something else for up to three seconds keeps its lasting speed and level, also if many
// reports come in that time, and if they vary by 3% at the edge of a level.
func TestManyReportsKeepLastingSpeed(t *testing.T) {
	for _, perSecond := range []int{2, 20, 200} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 4))
			var s Speed
			interval, start := time.Second/time.Duration(perSecond), time.Unix(100, 0)
			level, changes := 0.0, 0
			for at := time.Duration(0); at < time.Minute; at += interval {
				workTime := 1 / 1.4 * (0.97 + 0.06*rng.Float64())
				if at%(6*time.Second) >= 3*time.Second {
					workTime *= 2.5
				}
				s.ObserveWorkTime(workTime, start.Add(at))
				if at < 2*time.Second {
					level = SpeedLevel(s.Lasting())
					continue
				}
				assert.Assert(t, s.Lasting() > 1.2 && s.Lasting() < 1.6, "%.2f after %v", s.Lasting(), at)
				if newLevel := SpeedLevel(s.Lasting()); newLevel != level {
					level, changes = newLevel, changes+1
				}
			}
			assert.Equal(t, changes, 0)
		})
	}
}

// A report that came a little after the time of the choice counts as new.
func TestWorkTimeOfLaterReport(t *testing.T) {
	var s Speed
	now := time.Unix(100, 0)
	s.ObserveWorkTime(1, now)
	s.ObserveWorkTime(0.5, now.Add(time.Second))
	s.ObserveWorkTime(0.25, now.Add(time.Second))
	s.ObserveWorkTime(4, now.Add(time.Second))
	want := s.WorkTime(now.Add(time.Second))
	assert.Equal(t, s.WorkTime(now), want)
}

// A server that reports three times its speed is judged by its steps.
func TestFalseSpeedIsSeenBySteps(t *testing.T) {
	list := []Candidate{{Speed: 2, WorkTime: 1}, {Speed: 1, WorkTime: 1}, {Speed: 0.6, WorkTime: 1}, {}}
	SetSpeeds(list, []float64{150, 50, 80, 0})
	assert.DeepEqual(t, []float64{list[0].Speed, list[1].Speed, list[2].Speed, list[3].Speed}, []float64{80.0 / 150, 1, 0.6, 1})
	assert.Equal(t, list[3].WorkTime, 1.0)
}

// The same pending prefill is a longer wait on a slow server; what servers that report nothing are expected to need
// doesn't change.
func TestAdmissionCountsSpeed(t *testing.T) {
	const rate, limit = 64, time.Second
	c := Candidate{PendingPrefill: 40000}
	for _, tt := range []struct {
		speed, workTime float64
		admitted        bool
	}{{0, 0, true}, {0.5, 0, true}, {1, 1, true}, {2, 1, true}, {0.5, 1, false}, {2, 4, false}} {
		c.Speed, c.WorkTime = tt.speed, tt.workTime
		_, ok := Admit(&c, rate, limit)
		assert.Equal(t, ok, tt.admitted, "speed %.1f, work time %.1f", tt.speed, tt.workTime)
	}
}

// Of four equal plain servers the one that reports twice its speed gets at most twice the usual part of the choices, within
// three standard deviations of so many draws.
func TestFalseSpeedOfPlainServer(t *testing.T) {
	list := make([]Candidate, 4)
	for i := range list {
		list[i] = Candidate{Name: fmt.Sprint("s", i), Slots: 6, Running: 3, Speed: 1, WorkTime: 1}
	}
	list[2].Speed = maxSpeed
	const choices = 10000
	chosen := 0
	for id := range choices {
		if ChooseServer(fmt.Sprint(id), list).Index == 2 {
			chosen++
		}
	}
	t.Logf("%d of %d choices", chosen, choices)
	assert.Assert(t, float64(chosen) <= choices*2/4+3*math.Sqrt(choices)/2)
}

// Plain servers of three speeds that report them have shorter waits than if no report were read.
func TestPlainServersOfThreeSpeeds(t *testing.T) {
	fleets := [2]*fleet{}
	for i := range fleets {
		fleets[i] = newFleet(11, 78, 6, 6, false)
		fleets[i].ignoresReports = i == 0
		for j, s := range fleets[i].servers {
			s.speed = []float64{0.6, 1, 1.6}[j%3]
		}
		fleets[i].run(12, 700, chooseServer)
	}
	logFleets(t, fleets[0], fleets[1])
	assert.Assert(t, fleets[1].waitTail() <= fleets[0].waitTail())
}

// referenceEngine is the choice of builds that know no speeds.
func referenceEngine(p *Prompt, list []Candidate) int {
	wait := func(c *Candidate) float64 {
		wait := float64(c.PendingPrefill) + runningRequestCost*float64(c.Running)
		if c.Slots > 0 && c.Running >= c.Slots {
			wait += queuedRequestCost * float64(c.Running-c.Slots+1)
		}
		return wait
	}
	cost := func(c *Candidate, isOwner bool) float64 {
		cost := p.waitCost(wait(c)) + float64(p.Tokens-p.SharedTokens())
		if !isOwner {
			cost += sharedMissFactor * float64(p.SharedTokens())
		}
		if !c.SameDataCentre {
			cost += remoteCost
		}
		return cost * (1 + failureCost*c.FailureRate)
	}
	keyHash := xxhash.Sum64String(p.AffinityKey())
	ranking := make([]int, len(list))
	sum := 0.0
	for i := range list {
		ranking[i] = i
		sum += wait(&list[i])
	}
	slices.SortFunc(ranking, func(a, b int) int {
		if rendezvousHash(keyHash, list[a].Name) > rendezvousHash(keyHash, list[b].Name) {
			return -1
		}
		return 1
	})
	for compared := initialChoices; ; compared *= 2 {
		best, bestCost, near := -1, 0.0, 0
		for rank, i := range ranking {
			if list[i].SameDataCentre {
				near++
			}
			if rank >= compared && (!list[i].SameDataCentre || near > compared) {
				continue
			}
			if c := cost(&list[i], i == ranking[0]); best < 0 || c < bestCost {
				best, bestCost = i, c
			}
		}
		c := &list[best]
		if compared >= len(ranking) || c.FailureRate <= maxFailureRatio && wait(c) <= max(p.harmlessWait(), maxIdlePrefill, hotServerFactor*sum/float64(len(list))) {
			return best
		}
	}
}

// Where no server reports work times and none is slow, the choice is that of builds that know no speeds.
func TestEqualSpeedsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := make([]Candidate, rapid.IntRange(1, 30).Draw(t, "servers"))
		for i := range list {
			list[i] = Candidate{
				Name: fmt.Sprint("s", i), Slots: 8, Running: rapid.IntRange(0, 12).Draw(t, "running"), PendingPrefill: rapid.IntRange(0, 60000).Draw(t, "pending"),
				SameDataCentre: rapid.Bool().Draw(t, "near"), FailureRate: rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "failures"), Speed: rapid.SampledFrom([]float64{0, 1}).Draw(t, "speed"),
			}
		}
		p := &Prompt{Parts: []Part{{fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "key")), 600}, {"own", 900}}, Tokens: 1500, MaxOutput: 200, FirstEventTarget: time.Second}
		assert.Equal(t, ChooseEngine(p, list).Index, referenceEngine(p, list))
	})
}

// waitTail returns the 99th percentile of the waits after the first quarter of the requests.
func (f *fleet) waitTail() time.Duration { return waitTail(f.waits) }

func waitTail(waits []time.Duration) time.Duration {
	mean, ratio := meanAndTail(waits)
	return time.Duration(float64(mean) * ratio)
}

// Whatever a server of any speed reports, the 99th percentile of the waits is no longer than if no report were read, and the
// server gets at most twice the requests of the mean server.
func TestFalseReports(t *testing.T) {
	reports := map[string]func(now time.Duration, workTime float64) float64{
		"lies":         func(time.Duration, float64) float64 { return 0.1 },
		"lies slow":    func(time.Duration, float64) float64 { return 10 },
		"stands still": func(time.Duration, float64) float64 { return 1 },
		"jumps":        func(now time.Duration, _ float64) float64 { return []float64{0.1, 10, 1}[now/loadTick%3] },
	}
	for name, report := range reports {
		for _, server := range []int{0, 1, 2} {
			t.Run(fmt.Sprint(name, "/", server), func(t *testing.T) {
				before, now, honest := newFleet(5, 78, 60, 64, true), newFleet(5, 78, 60, 64, true), newFleet(5, 78, 60, 64, true)
				before.ignoresReports = true
				now.servers[server].report = report
				before.run(6, 700, chooseEngine)
				now.run(6, 700, chooseEngine)
				honest.run(6, 700, chooseEngine)
				logFleets(t, before, now)
				there := [3][]time.Duration{now.servers[server].waits, honest.servers[server].waits, before.servers[server].waits}
				t.Logf("99th percentile of waits %v, if honest %v, if not read %v; of %d, %d and %d requests there %v, %v, %v", now.waitTail(), honest.waitTail(), before.waitTail(),
					len(there[0]), len(there[1]), len(there[2]), waitTail(there[0]), waitTail(there[1]), waitTail(there[2]))
				assert.Check(t, now.waitTail() <= before.waitTail())
				assert.Check(t, len(there[0]) <= 2*len(now.waits)/len(now.servers))
			})
		}
	}
}

// The reports of one server are lost for a second: the waits stay shorter than without any reports.
func TestLostReports(t *testing.T) {
	before, now := newFleet(6, 78, 60, 64, true), newFleet(6, 78, 60, 64, true)
	before.ignoresReports = true
	before.run(6, 700, chooseEngine)
	now.run(3, 700, chooseEngine)
	now.reportsLost = true
	now.run(1, 700, chooseEngine)
	now.reportsLost = false
	now.run(2, 700, chooseEngine)
	assert.Assert(t, now.waitTail() <= before.waitTail())
}

// An instance that hears of no other instance's requests, only of what servers report to it, is no worse off with the
// reports than without.
func TestDeafInstances(t *testing.T) {
	before, now := newFleet(7, 78, 60, 64, true), newFleet(7, 78, 60, 64, true)
	before.ignoresReports, before.deaf, now.deaf = true, 8, 8
	before.run(6, 700, chooseEngine)
	now.run(6, 700, chooseEngine)
	logFleets(t, before, now)
	assert.Assert(t, now.waitTail() <= before.waitTail())
}

// The slow and the fast servers change places: two seconds later the waits are shorter than without reports again.
func TestSpeedsChangePlaces(t *testing.T) {
	run := func(ignoresReports bool) *fleet {
		f := newFleet(8, 78, 60, 64, true)
		f.ignoresReports = ignoresReports
		f.run(4, 700, chooseEngine)
		for _, s := range f.servers {
			s.speed = 0.96 / s.speed
		}
		f.run(2, 700, chooseEngine)
		f.waits = nil
		f.run(4, 700, chooseEngine)
		return f
	}
	before, now := run(true), run(false)
	t.Logf("99th percentile of waits %v, without reports %v", now.waitTail(), before.waitTail())
	assert.Assert(t, now.waitTail() <= before.waitTail())
}

// A server that was five times slower than the others for four seconds gets work again within a second, and at least half
// of the mean in the two seconds after that.
func TestServerGetsFastAgain(t *testing.T) {
	f := newFleet(9, 78, 60, 64, true)
	for _, s := range f.servers {
		s.speed = 1
	}
	f.servers[0].speed = 0.2
	f.run(4, 700, chooseEngine)
	f.servers[0].speed = 1
	sent := len(f.servers[0].waits)
	f.run(1, 700, chooseEngine)
	t.Logf("%d requests in the first second", len(f.servers[0].waits)-sent)
	assert.Assert(t, len(f.servers[0].waits) > sent)
	f.run(2, 700, chooseEngine)
	mean := 0.0
	for _, s := range f.servers {
		mean += (s.busy[5] + s.busy[6]).Seconds() / float64(len(f.servers))
	}
	got := (f.servers[0].busy[5] + f.servers[0].busy[6]).Seconds()
	t.Logf("busy for %.2f s of two, mean %.2f s", got, mean)
	assert.Assert(t, got >= mean/2)
}

// The expected time until a prompt is prefilled is closer to what comes than without speeds, in the median and in the
// 95th percentile.
func TestPredictedFirstEvent(t *testing.T) {
	f := newFleet(10, 78, 60, 64, true)
	f.run(8, 700, chooseEngine)
	score := func(errors []time.Duration) (median, high time.Duration) {
		errors = slices.Sorted(slices.Values(errors[len(errors)/4:]))
		return errors[len(errors)/2], errors[len(errors)*95/100]
	}
	median, high := score(f.errors)
	usualMedian, usualHigh := score(f.usualErrors)
	t.Logf("error in the median %v, 95th percentile %v; without speeds %v, %v", median, high, usualMedian, usualHigh)
	assert.Assert(t, median < usualMedian)
	assert.Assert(t, high < usualHigh)
}
