package sizing

import (
	"testing"

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
	for _, c := range Counts(sites(func(int, *Site) {}), bounds) {
		assert.Equal(t, c, Count{Regular: 1, Cheap: 8})
	}
}

// Regular servers stay until the cheap ones that take their place serve.
func TestCheapOnesAreStarting(t *testing.T) {
	counts := Counts(sites(func(_ int, s *Site) { s.Regular, s.Cheap = 6, 0 }), bounds)
	for _, c := range counts {
		assert.Equal(t, c, Count{Regular: 4, Cheap: 8}, "no more than both kinds may be together")
	}
	counts = Counts(sites(func(_ int, s *Site) { s.Regular, s.Cheap = 4, 6 }), bounds)
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
		}), bounds)
	}
	first := lost(1)
	assert.Equal(t, first[1].Regular, 5)
	assert.Equal(t, first[2].Regular, 1)
	assert.DeepEqual(t, lost(first[1].Regular), first)
}

func TestBoundsHold(t *testing.T) {
	tight := Bounds{Min: 2, Max: 3}
	for _, c := range Counts(sites(func(_ int, s *Site) { s.Regular, s.Cheap, s.CheapMissing = 0, 0, true }), tight) {
		assert.Assert(t, c.Regular >= 1 && c.Regular <= 3)
	}
	one := Counts([]Site{{DataCentre: "a", Base: 1, Regular: 1}}, bounds)
	assert.Assert(t, one[0].Regular >= 1)
}
