package sizing

// WithoutEvacuated returns the sites that aren't evacuated. Nothing is ordered for the others: their servers get no requests,
// and are kept for the end of the evacuation. Their base is added to that of the remaining sites, in proportion, so that
// these do the same work. It answers an evacuation of one or more data centres.
func WithoutEvacuated(sites []PoolSite) []PoolSite {
	remaining := make([]PoolSite, 0, len(sites))
	base, lost := 0, 0
	for _, s := range sites {
		if s.Evacuated {
			lost += s.BaseServers
			continue
		}
		base += s.BaseServers
		remaining = append(remaining, s)
	}
	for i := range remaining {
		// The parts are rounded up.
		remaining[i].BaseServers += (lost*remaining[i].BaseServers + base - 1) / base
	}
	return remaining
}
