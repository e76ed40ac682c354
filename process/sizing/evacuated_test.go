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

// What makes up for an evacuated data centre stays until its servers aren't cold any more; its own base is as usual.
func TestReturningSiteIsMadeUpElsewhere(t *testing.T) {
	evacuated := WithoutEvacuated(testSites(func(i int, s *PoolSite) { s.Evacuated = i == 1 }))
	returning := WithoutEvacuated(testSites(func(i int, s *PoolSite) { s.Returning = i == 1 }))
	assert.Equal(t, returning[0].BaseServers, evacuated[0].BaseServers)
	assert.Equal(t, returning[2].BaseServers, evacuated[1].BaseServers)
	assert.Equal(t, returning[1].BaseServers, testSites(func(int, *PoolSite) {})[1].BaseServers)
	all := WithoutEvacuated(testSites(func(_ int, s *PoolSite) { s.Returning = true }))
	for i, s := range testSites(func(int, *PoolSite) {}) {
		assert.Equal(t, all[i].BaseServers, s.BaseServers)
	}
}
