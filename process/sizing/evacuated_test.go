package sizing

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The servers of an evacuated data centre are left alone, and the others make up for them within the bounds.
func TestEvacuatedSiteIsMadeUpElsewhere(t *testing.T) {
	sites := testSites(func(i int, s *PoolSite) { s.Evacuated = i == 1 })
	remaining := WithoutEvacuated(sites)
	assert.Equal(t, len(remaining), 2)
	for i, c := range TargetCounts(remaining, testBounds, false, 0) {
		assert.Assert(t, remaining[i].DataCentre != "b")
		assert.Equal(t, c.Regular+c.Cheap, 12, "the base of 9, times 1.4, within the bounds")
	}
	assert.Equal(t, len(WithoutEvacuated(testSites(func(_ int, s *PoolSite) { s.Evacuated = true }))), 0)
	assert.DeepEqual(t, WithoutEvacuated(testSites(func(int, *PoolSite) {})), testSites(func(int, *PoolSite) {}))
}
