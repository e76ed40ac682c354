package place

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func engine(p *Prompt, list []Candidate) int { return Engine(p, list).Index }

// leastLoaded is the baseline: the server with the fewest requests.
func leastLoaded(_ *Prompt, list []Candidate) int {
	best := 0
	for i := range list {
		if list[i].Running < list[best].Running {
			best = i
		}
	}
	return best
}

// Many subjects with long shared prompts at usual load: the shared parts are read a fifth as often as by the baseline, and
// nothing more comes late.
func TestLoadOfManySubjects(t *testing.T) {
	own, base := newModel(18), newModel(18)
	long, short := own.play(newLoad(1), 30, 60, 27, 0, engine)
	baseLong, baseShort := base.play(newLoad(1), 30, 60, 27, 0, leastLoaded)
	t.Logf("read again: %d against %d; late %.3f, %.3f against %.3f, %.3f", own.reread, base.reread,
		late(long, time.Second), late(short, time.Second), late(baseLong, time.Second), late(baseShort, time.Second))
	assert.Assert(t, 5*own.reread < base.reread)
	assert.Assert(t, late(long, time.Second) <= late(baseLong, time.Second)+0.005)
	assert.Assert(t, late(short, time.Second) <= late(baseShort, time.Second)+0.005)
}

// A burst of long prompts at twice the usual rate on half of the servers.
func TestBurstOfLongPrompts(t *testing.T) {
	own, base := newModel(9), newModel(9)
	long, _ := own.play(newLoad(2), 10, 110, 27, 0, engine)
	baseLong, _ := base.play(newLoad(2), 10, 110, 27, 0, leastLoaded)
	t.Logf("late %.3f against %.3f", late(long, time.Second), late(baseLong, time.Second))
	assert.Assert(t, late(long, time.Second) < 0.01)
	assert.Assert(t, late(baseLong, time.Second) > 2*late(long, time.Second))
}

// Events of seven tokens beside long prompts: streams that must keep coming pause too long unless the long prompts have
// servers of their own.
func TestStreamsBesideLongPrompts(t *testing.T) {
	const gap = 150 * time.Millisecond
	apart, mixed := newModel(16), newModel(16)
	long, short := apart.play(newLoad(3), 20, 80, 20, 0.6, engine)
	_, mixedShort := mixed.play(newLoad(3), 20, 80, 20, 0, engine)
	t.Logf("short streams late %.3f, %.3f where mixed; long prompts late %.3f", late(short, gap), late(mixedShort, gap), late(long, time.Second))
	assert.Assert(t, late(short, gap) < 0.02)
	assert.Assert(t, late(mixedShort, gap) > 5*late(short, gap))
	assert.Assert(t, late(long, time.Second) < 0.02)
}

// One subject gets a third of the long prompts: its server isn't drowned.
func TestHotSubject(t *testing.T) {
	m, l := newModel(12), newLoad(4)
	n := 0
	long, _ := m.play(l, 10, 60, 20, 0, func(p *Prompt, list []Candidate) int {
		if n++; p.Tokens == 9190 && n%3 == 0 {
			p.Parts[1].ID = "hot"
		}
		return engine(p, list)
	})
	assert.Assert(t, late(long, time.Second) < 0.01, "late %.3f", late(long, time.Second))
}

// A third of the servers is lost at once: the subjects of the others stay where they are.
func TestLossMovesOnlyWhatWasLost(t *testing.T) {
	var all []Candidate
	for i := range 18 {
		all = append(all, Candidate{Name: fmt.Sprint("s", i), Near: true})
	}
	for i := range 200 {
		p := &Prompt{Parts: []Part{{"base", 2000}, {fmt.Sprint("subject", i), 4000}, {"own", 1}}, Tokens: 6001, Target: time.Second}
		before := all[Engine(p, all).Index].Name
		left := all[6:]
		after := left[Engine(p, left).Index].Name
		lost := before == "s0" || before == "s1" || before == "s2" || before == "s3" || before == "s4" || before == "s5"
		assert.Assert(t, lost || before == after)
	}
}

func TestSourceIsTheOwnerBefore(t *testing.T) {
	p := &Prompt{Parts: []Part{{"base", 2000}, {"subject", 4000}, {"own", 1}}, Tokens: 6001}
	all := []Candidate{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	before, ok := Source(p, all)
	assert.Assert(t, ok)
	for i := range 50 {
		grown := append([]Candidate{{Name: fmt.Sprint("new", i), Young: true}}, all...)
		at, ok := Source(p, grown)
		assert.Assert(t, ok && grown[at].Name == all[before].Name, "what is new owns nothing yet")
	}
	_, ok = Source(p, []Candidate{{Name: "a", Young: true}})
	assert.Assert(t, !ok)
}

// A server that fails its requests gets fewer, one that is slow or full too.
func TestWorseServersAreLeft(t *testing.T) {
	for name, worse := range map[string]Candidate{
		"failing": {Name: "worse", Slots: 8, Near: true, Failing: 0.5},
		"slow":    {Name: "worse", Slots: 8, Near: true, Slow: 5, Running: 2, Unread: 8000},
		"full":    {Name: "worse", Slots: 8, Near: true, Running: 8},
		"far":     {Name: "worse", Slots: 8},
	} {
		list := []Candidate{worse, {Name: "good", Slots: 8, Near: true, Running: 2}}
		p := &Prompt{Parts: []Part{{"x", 100}, {"own", 400}}, Tokens: 500, Target: 250 * time.Millisecond}
		assert.Equal(t, Engine(p, list).Index, 1, name)
	}
	list := []Candidate{{Name: "a", Slots: 6, Failing: 0.4}, {Name: "b", Slots: 6, Running: 2}}
	assert.Equal(t, Service("id", list).Index, 1)
}

func TestServiceSpreadsEqualServers(t *testing.T) {
	list := []Candidate{{Name: "a", Slots: 6}, {Name: "b", Slots: 6}, {Name: "c", Slots: 6}}
	seen := map[int]int{}
	for i := range 300 {
		seen[Service(fmt.Sprint("r", i), list).Index]++
	}
	for i := range list {
		assert.Assert(t, seen[i] > 60)
	}
}

func TestPoolByWeight(t *testing.T) {
	seen := map[string]int{}
	for i := range 2000 {
		seen[Pool(fmt.Sprint("r", i), []string{"a", "b"}, []float64{90, 10})]++
	}
	assert.Assert(t, seen["b"] > 140 && seen["b"] < 260, "%d", seen["b"])
	assert.Equal(t, Pool("r", []string{"a"}, []float64{0}), "a")
	for i := range 100 {
		assert.Equal(t, Pool(fmt.Sprint("r", i), []string{"a", "b"}, []float64{0, 1}), "b")
	}
}

func TestChoiceIsAlwaysThere(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(rt, "servers")
		list := make([]Candidate, n)
		for i := range list {
			list[i] = Candidate{
				Name: fmt.Sprint(i), Running: rapid.IntRange(0, 100).Draw(rt, "running"), Slots: rapid.IntRange(0, 64).Draw(rt, "slots"),
				Unread: rapid.IntRange(0, 100000).Draw(rt, "unread"), Failing: rapid.Float64Range(0, 1).Draw(rt, "failing"),
				Patient: rapid.Bool().Draw(rt, "patient"), Near: rapid.Bool().Draw(rt, "near"),
			}
		}
		p := &Prompt{Tokens: rapid.IntRange(0, 50000).Draw(rt, "tokens"), Patient: rapid.Bool().Draw(rt, "patient prompt")}
		for range rapid.IntRange(0, 4).Draw(rt, "parts") {
			p.Parts = append(p.Parts, Part{ID: "x", Tokens: rapid.IntRange(0, 5000).Draw(rt, "part")})
		}
		choice := Engine(p, list)
		assert.Assert(rt, choice.Index >= 0 && choice.Index < n)
		assert.Assert(rt, choice.Cost >= 0)
		assert.Assert(rt, Service("r", list).Index >= 0)
		assert.Assert(rt, p.Shared() <= p.Tokens)
	})
}

func TestMixFollowsSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Mix{}
		assert.Equal(t, m.Share(0), 0.5)
		for range 600 {
			m.Add(&Prompt{Patient: true}, 3000)
			m.Add(&Prompt{}, 2000)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, m.Share(0), 0.5)
		for range 400 {
			m.Add(&Prompt{Patient: true}, 12000)
			m.Add(&Prompt{}, 1000)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, m.Before(10*time.Second), 0.5, "the share before the change")
		assert.Equal(t, m.Share(0), 0.75, "the others keep a quarter")
		time.Sleep(11 * time.Second)
		assert.Equal(t, m.Before(10*time.Second), 0.75)
	})
}

// Work that must keep coming takes most of few servers, as all instances tell it: patient requests get what it leaves, and
// their usual share again once there are servers enough.
func TestHurriedWorkGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &Mix{}
		for range 100 {
			m.Add(&Prompt{Patient: true}, 5000)
			m.Add(&Prompt{MaxOutput: 280}, 500)
			time.Sleep(50 * time.Millisecond)
		}
		own := m.Own()
		assert.Assert(t, own.Hurried > 24_000 && own.Hurried < 28_000, "%f", own.Hurried)
		assert.Equal(t, m.Share(20), 0.75)
		for i := range 20 {
			m.Told(fmt.Sprint("i", i), own)
		}
		assert.Equal(t, m.Servers(), 46)
		assert.Equal(t, m.Share(20), 0.375)
		assert.Equal(t, m.Share(32), 0.625)
		m.Refused(9000)
		m.Told("i0", Rates{Refused: 7000})
		assert.Equal(t, m.All().Refused, 10_000.0)
		time.Sleep(rateBelief + time.Second)
		assert.Equal(t, m.Share(20), 0.75, "what isn't told any more doesn't count")
	})
}
