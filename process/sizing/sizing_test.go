package sizing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var bounds = Bounds{Min: 1, Max: 12}

func sites(f func(i int, s *Site)) []Site {
	list := []Site{
		{DataCentre: "a", Base: 6, Regular: 1, Cheap: 8, Price: 1},
		{DataCentre: "b", Base: 6, Regular: 1, Cheap: 8, Price: 0.8},
		{DataCentre: "c", Base: 6, Regular: 1, Cheap: 8, Price: 1.25},
	}
	for i := range list {
		f(i, &list[i])
	}
	return list
}

func TestSteadyLoad(t *testing.T) {
	for _, c := range Counts(sites(func(int, *Site) {}), bounds, false, 0) {
		assert.Equal(t, c, Count{Regular: 1, Cheap: 8})
	}
}

// Regular servers stay until the cheap ones that take their place serve.
func TestCheapOnesAreStarting(t *testing.T) {
	counts := Counts(sites(func(_ int, s *Site) { s.Regular, s.Cheap = 6, 0 }), bounds, false, 0)
	for _, c := range counts {
		assert.Equal(t, c, Count{Regular: 4, Cheap: 8}, "no more than both kinds may be together")
	}
	counts = Counts(sites(func(_ int, s *Site) { s.Regular, s.Cheap = 4, 6 }), bounds, false, 0)
	for _, c := range counts {
		assert.Equal(t, c, Count{Regular: 1, Cheap: 8})
	}
}

// Two data centres lose their cheap servers and none is to be had: the cheapest place gets regular ones for what is missing
// against three quarters of the base, and the order stays the same while they start and serve.
func TestReclaimedAndNoneToBeHad(t *testing.T) {
	lost := func(regular int) []Count {
		return Counts(sites(func(i int, s *Site) {
			if i > 0 {
				s.Cheap, s.CheapMissing = 0, true
			}
			if i == 1 {
				s.Regular = regular
			}
		}), bounds, false, 0)
	}
	first := lost(1)
	assert.Equal(t, first[1].Regular, 5)
	assert.Equal(t, first[2].Regular, 1)
	assert.DeepEqual(t, lost(first[1].Regular), first)
}

func TestBoundsHold(t *testing.T) {
	tight := Bounds{Min: 2, Max: 3}
	for _, c := range Counts(sites(func(_ int, s *Site) { s.Regular, s.Cheap, s.CheapMissing = 0, 0, true }), tight, false, 0) {
		assert.Assert(t, c.Regular >= 1 && c.Regular <= 3)
	}
	one := Counts([]Site{{DataCentre: "a", Base: 1, Regular: 1}}, bounds, false, 0)
	assert.Assert(t, one[0].Regular >= 1)
}

// A burst beside a reclaim: the servers are strained, so that more than the base is ordered, within the bounds.
func TestStrained(t *testing.T) {
	list := sites(func(i int, s *Site) {
		if i == 2 {
			s.Cheap, s.CheapMissing = 0, true
		}
	})
	counts := Counts(list, bounds, true, 0)
	assert.Equal(t, counts[0].Cheap, 10)
	total := 0
	for i, c := range counts {
		total += c.Regular
		cheap := c.Cheap
		if list[i].CheapMissing {
			cheap = list[i].Cheap
		}
		assert.Assert(t, c.Regular+cheap <= bounds.Max)
	}
	assert.Assert(t, total > 3, "regular ones stand in")
}

func TestStrainLastsForAWhile(t *testing.T) {
	var s Strain
	now := time.Unix(0, 0)
	observe := func(wait time.Duration, seconds float64) (strained bool) {
		for range int(seconds * 2) {
			now = now.Add(500 * time.Millisecond)
			strained = s.Observe(wait, now)
		}
		return strained
	}
	assert.Assert(t, !observe(20*time.Millisecond, 10))
	assert.Assert(t, !observe(500*time.Millisecond, 0.5), "one look is no burst")
	assert.Assert(t, observe(800*time.Millisecond, 2))
	assert.Assert(t, observe(10*time.Millisecond, 5))
	assert.Assert(t, !observe(10*time.Millisecond, 8))
}

// A burst goes on while the servers of a data centre that were reclaimed are starting again: regular ones that the work needs
// stay, and are given up once it has ended.
func TestWorkKeepsServers(t *testing.T) {
	list := sites(func(i int, s *Site) {
		if i == 1 {
			s.Cheap, s.CheapMissing, s.Regular = 0, true, 10
		}
	})
	served := func(counts []Count) (n int) {
		for i, c := range counts {
			n += c.Regular + list[i].Cheap
		}
		return n
	}
	idle, busy := Counts(list, bounds, false, 8), Counts(list, bounds, false, 24)
	assert.Assert(t, served(idle) < 24)
	assert.Assert(t, served(busy) >= 24)
	for i, c := range busy {
		assert.Assert(t, c.Regular+list[i].Cheap <= bounds.Max)
	}
	all := sites(func(int, *Site) {})
	assert.DeepEqual(t, Counts(all, bounds, false, 1000), Counts(all, bounds, false, 0))
}
