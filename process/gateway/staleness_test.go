package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Instances that are behind too don't hide that a version is missing.
func TestStalenessLastsWhileOthersAreBehindToo(t *testing.T) {
	var s staleness
	start := time.Unix(0, 0)
	assert.Equal(t, s.observe(5, 7, start), time.Duration(0))
	for i := range 10 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		assert.Equal(t, s.observe(5, 5, at), at.Sub(start))
	}
	assert.Equal(t, s.observe(7, 5, start.Add(time.Second)), time.Duration(0))
	assert.Equal(t, s.observe(7, 7, start.Add(2*time.Second)), time.Duration(0))
}

// An instance that follows changes closely isn't stale, although some instance always knows a newer one.
func TestStalenessStaysShortWhileChangesArrive(t *testing.T) {
	var s staleness
	for i := range 100 {
		at := time.Unix(0, 0).Add(time.Duration(i) * 100 * time.Millisecond)
		assert.Assert(t, s.observe(i, i+2, at) <= 200*time.Millisecond)
	}
}

func TestStalenessBeginsAnewAfterReading(t *testing.T) {
	var s staleness
	start := time.Unix(0, 0)
	s.observe(5, 7, start)
	s.restart(start.Add(time.Second))
	assert.Equal(t, s.observe(5, 7, start.Add(1500*time.Millisecond)), 500*time.Millisecond)
}
