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
	lacking, _ := s.observe(5, 7, start)
	assert.Equal(t, lacking, time.Duration(0))
	for i := range 10 {
		at := start.Add(time.Duration(i) * 50 * time.Millisecond)
		lacking, _ = s.observe(5, 5, at)
		assert.Equal(t, lacking, at.Sub(start))
	}
	lacking, _ = s.observe(7, 5, start.Add(time.Second))
	assert.Equal(t, lacking, time.Duration(0))
	lacking, _ = s.observe(7, 7, start.Add(2*time.Second))
	assert.Equal(t, lacking, time.Duration(0))
}

// An instance that follows changes closely isn't stale, although some instance always knows a newer one.
func TestStalenessStaysShortWhileChangesArrive(t *testing.T) {
	var s staleness
	for i := range 100 {
		at := time.Unix(0, 0).Add(time.Duration(i) * 100 * time.Millisecond)
		lacking, _ := s.observe(i, i+2, at)
		assert.Assert(t, lacking <= 200*time.Millisecond)
	}
}

func TestStalenessSinceTheLastReading(t *testing.T) {
	var s staleness
	start := time.Unix(0, 0)
	s.observe(5, 7, start)
	s.readAt = start.Add(time.Second)
	lacking, sinceRead := s.observe(5, 7, start.Add(1500*time.Millisecond))
	assert.Equal(t, lacking, 1500*time.Millisecond)
	assert.Equal(t, sinceRead, 500*time.Millisecond)
}
