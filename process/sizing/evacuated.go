package sizing

// WithoutEvacuated returns the sites that aren't evacuated. Nothing is ordered for the others: their servers get no requests,
// and are kept for the end of the evacuation. Their base is added to that of the remaining sites, in proportion, so that
// these do the same work. That of a site whose servers are still cold after an evacuation is added too, so that what makes up
// for it isn't released before they take its work. It answers an evacuation of one or more data centres, and its end.
func WithoutEvacuated(sites []PoolSite) []PoolSite {
	remaining := make([]PoolSite, 0, len(sites))
	base, lost, returning := 0, 0, 0
	for _, s := range sites {
		if s.Evacuated {
			lost += s.BaseServers
			continue
		}
		if s.Returning {
			returning += s.BaseServers
		} else {
			base += s.BaseServers
		}
		remaining = append(remaining, s)
	}
	if base == 0 {
		base, returning = returning, 0
		for i := range remaining {
			remaining[i].Returning = false
		}
	}
	for i := range remaining {
		if remaining[i].Returning {
			continue
		}
		// The parts are rounded up.
		remaining[i].BaseServers += ((lost+returning)*remaining[i].BaseServers + base - 1) / base
	}
	return remaining
}
