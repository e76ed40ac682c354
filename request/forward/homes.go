package forward

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/toucanroute/toucanroute/version/hostroute"
)

// headerRelayEvacuated lists the data centres, separated by commas, that are evacuated as the instance knows which relays a
// request. The other instance may have learned of fewer.
const headerRelayEvacuated = "X-Relay-Evacuated"

// HomeDataCentres returns the data centres that a request may reach whose route and workspace name homes, which are regions
// or data centres; nil if neither names any. Where both do, both bind. The argument regions holds the region of each data
// centre of the deployment. Homes that name no data centre leave none, so that the request is refused.
func HomeDataCentres(regions map[string]string, homes ...[]string) map[string]bool {
	var admitted map[string]bool
	for _, names := range homes {
		if len(names) == 0 {
			continue
		}
		here := map[string]bool{}
		for dc, region := range regions {
			if (admitted == nil || admitted[dc]) && (slices.Contains(names, dc) || region != "" && slices.Contains(names, region)) {
				here[dc] = true
			}
		}
		admitted = here
	}
	return admitted
}

// restrict finds the data centres that the request may reach: the homes of its route and workspace, and for a relayed
// request none that the first instance knows as evacuated. The workspace is nil if the route needs no key.
func (c *call) restrict(owner *hostroute.Workspace) {
	homes := [][]string{c.route.Homes}
	if owner != nil {
		homes = append(homes, owner.Homes)
	}
	evacuated := ""
	if c.isRelayed {
		evacuated = c.r.Header.Get(headerRelayEvacuated)
		c.r.Header.Del(headerRelayEvacuated)
	}
	hasHomes := func(names []string) bool { return len(names) > 0 }
	if c.f.Regions == nil || evacuated == "" && !slices.ContainsFunc(homes, hasHomes) {
		return
	}
	regions := c.f.Regions()
	c.homes = HomeDataCentres(regions, homes...)
	c.dataCentres = c.homes
	if evacuated == "" {
		return
	}
	if c.dataCentres = maps.Clone(c.homes); c.dataCentres == nil {
		c.dataCentres = map[string]bool{}
		for dc := range regions {
			c.dataCentres[dc] = true
		}
	}
	for name := range strings.SplitSeq(evacuated, ",") {
		delete(c.dataCentres, name)
	}
}

// skippedInstances returns the addresses of the instances to which the request isn't relayed: those that were tried and
// those outside its homes. The function may be called from another goroutine.
func (c *call) skippedInstances(tried map[string]bool) map[string]bool {
	if c.homes == nil || c.f.InstancesOutside == nil {
		return tried
	}
	skip := maps.Clone(tried)
	for _, address := range c.f.InstancesOutside(c.homes) {
		skip[address] = true
	}
	return skip
}

// tellEvacuated adds the evacuated data centres to the headers of a relayed request.
func (c *call) tellEvacuated(h http.Header) {
	h.Del(headerRelayEvacuated)
	if c.f.Evacuated == nil {
		return
	}
	if names := c.f.Evacuated(); len(names) > 0 {
		h.Set(headerRelayEvacuated, strings.Join(names, ","))
	}
}
