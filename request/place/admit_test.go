package place

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// inTime returns the number of runs whose first event came within their target.
func inTime(runs []*modelRun) int {
	n := 0
	for _, r := range runs {
		if r.first != 0 && r.first-r.arrived <= r.prompt.Target {
			n++
		}
	}
	return n
}

// admitted chooses as Engine does and refuses what Admit refuses, at the rate that the runs have shown.
func admitted(m *model, refused *int) func(*Prompt, []Candidate) int {
	reading := &Reading{}
	seen := 0
	return func(p *Prompt, list []Candidate) int {
		for ; seen < len(m.begun); seen++ {
			r := m.begun[seen]
			reading.Observe(r.before, r.first-r.arrived)
		}
		i := Engine(p, list).Index
		limit := p.Target
		if !p.Patient {
			limit *= 3
		}
		if _, ok := Admit(&list[i], reading.Rate(), limit); !ok {
			*refused++
			return -1
		}
		return i
	}
}

// Twice the long prompts that the servers can read, for ten seconds: without admission nearly all come late; with it the
// servers' work is in time, and the streams beside them keep coming.
func TestMoreThanTheServersCanDo(t *testing.T) {
	const gap = 200 * time.Millisecond
	refused := 0
	with, without := newModel(16), newModel(16)
	long, short := with.play(newLoad(5), 10, 700, 100, 0.6, admitted(with, &refused))
	allLong, allShort := without.play(newLoad(5), 10, 700, 100, 0.6, engine)
	t.Logf("in time: %d of %d, refused %d, read again %d; without admission %d of %d; short late %.3f against %.3f",
		inTime(long), len(long), refused, with.reread, inTime(allLong), len(allLong), late(short, gap), late(allShort, gap))
	assert.Assert(t, inTime(long) > 3*inTime(allLong))
	assert.Assert(t, late(short, gap) < 0.05)
	assert.Assert(t, late(allShort, gap) < 0.05, "long prompts stay on their own servers")
	// What is let in is in time but for the few that stood behind prompts far above the mean.
	assert.Assert(t, float64(inTime(long)) > 0.9*float64(len(long)-refused))
}

// The usual load, and a burst that the servers can do: nothing is refused.
func TestNothingIsRefusedWithRoomLeft(t *testing.T) {
	refused := 0
	m := newModel(16)
	m.play(newLoad(6), 10, 110, 30, 0.6, admitted(m, &refused))
	assert.Equal(t, refused, 0)
}

func TestAdmit(t *testing.T) {
	for name, tc := range map[string]struct {
		c    Candidate
		lim  time.Duration
		want bool
	}{
		"idle":           {Candidate{}, time.Second, true},
		"within":         {Candidate{Unread: 40_000, Slots: 64, Running: 20}, time.Second, true},
		"beyond":         {Candidate{Unread: 70_000, Slots: 64, Running: 20}, time.Second, false},
		"others yield":   {Candidate{Unread: 70_000, Slots: 64, Running: 20}, 3 * time.Second, true},
		"no target":      {Candidate{Unread: 900_000}, 0, true},
		"no slot left":   {Candidate{Unread: 20_000, Slots: 64, Running: 90}, time.Second, false},
		"slow, but free": {Candidate{Unread: idleWork}, time.Millisecond, true},
	} {
		refusal, ok := Admit(&tc.c, 64, tc.lim)
		assert.Equal(t, ok, tc.want, name)
		assert.Equal(t, refusal.RetryAfter > tc.lim, !ok, name)
	}
}

// A long prompt goes to servers for streams that must keep coming only where it holds them up for an event at most.
func TestLongPromptsSpillOnlyToIdleServers(t *testing.T) {
	p := &Prompt{Parts: []Part{{"s", 6000}, {"own", 2000}}, Tokens: 8000, Patient: true, Target: time.Second}
	drowned := Candidate{Name: "patient", Patient: true, Unread: 300_000, Near: true}
	assert.Equal(t, Engine(p, []Candidate{drowned, {Name: "idle", Near: true}}).Index, 1)
	assert.Equal(t, Engine(p, []Candidate{drowned, {Name: "streams", Near: true, Running: idleRuns + 1}}).Index, 0)
}

func TestReadingIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Reading{}
		assert.Equal(t, r.Rate(), readRateFirst)
		for range 500 {
			r.Observe(30_000, time.Second)
			r.Observe(100, time.Second)
		}
		assert.Assert(t, r.Rate() > 29 && r.Rate() < 31)
		r.Observe(30_000, time.Hour)
		assert.Assert(t, r.Rate() > 25, "one fault weighs little")
	})
}

// Under twice what the servers can read, prompts of twice the usual length are let in about as often as the others.
func TestLongestPromptsAreNotStarved(t *testing.T) {
	m, l := newModel(16), newLoad(8)
	refused := 0
	choose := admitted(m, &refused)
	var let, asked [2]float64
	m.play(l, 10, 600, 50, 0.6, func(p *Prompt, list []Candidate) int {
		if !p.Patient {
			return choose(p, list)
		}
		long := l.rng.IntN(10) == 0
		kind := 0
		if long {
			kind = 1
			p.Parts[2].Tokens *= 3
			p.Tokens += 2 * 2890
		}
		asked[kind]++
		i := choose(p, list)
		if i >= 0 {
			let[kind]++
		}
		return i
	})
	t.Logf("let in: %.3f of the usual, %.3f of the longest", let[0]/asked[0], let[1]/asked[1])
	assert.Assert(t, let[0]/asked[0] < 0.7, "there is more than can be done")
	assert.Assert(t, let[1]/asked[1] > 0.8*let[0]/asked[0])
}

// What finds no room at its own servers takes that of less urgent requests, as long as there is any.
func TestUrgentRequestsDisplacePatientOnes(t *testing.T) {
	list := []Candidate{
		{Name: "own", Unread: 60_000, Near: true},
		{Name: "a", Patient: true, Unread: 50_000, Near: true},
		{Name: "b", Patient: true, Unread: 55_000, Near: true},
	}
	p := &Prompt{Parts: []Part{{"s", 500}, {"own", 1800}}, Tokens: 2300, Target: 400 * time.Millisecond}
	const urgentWaits = 3
	limit := urgentWaits * p.Target
	own := Engine(p, list)
	assert.Equal(t, own.Index, 0)
	_, ok := Admit(&list[own.Index], readRateFirst, limit)
	assert.Assert(t, !ok)
	other, found := Displace(p, list)
	assert.Assert(t, found && list[other.Index].Patient)
	_, ok = Admit(&list[other.Index], readRateFirst, DisplacedWaits*limit)
	assert.Assert(t, ok)

	list[1].Unread, list[2].Unread = 200_000, 200_000
	other, _ = Displace(p, list)
	_, ok = Admit(&list[other.Index], readRateFirst, DisplacedWaits*limit)
	assert.Assert(t, !ok, "nobody waits without bound")

	_, found = Displace(p, list[:1])
	assert.Assert(t, !found)
	p.Patient = true
	_, found = Displace(p, list)
	assert.Assert(t, !found)
}
