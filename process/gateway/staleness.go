package gateway

import "time"

// staleness tells for how long other instances have known a version that this instance lacks.
type staleness struct {
	// newest is the newest version that was reported.
	newest int
	// awaited is the version that this instance lacks, and since the time at which it was first reported; 0 and zero if it
	// lacks none.
	awaited int
	since   time.Time
	// readAt is the time at which the versions were last read again.
	readAt time.Time
}

// observe records that another instance reported a version while this instance had the version own. It returns for how
// long this instance has lacked some version, and how much of that is since the versions were last read. A version that
// arrives meanwhile ends that time, also if newer ones are known by then; reports of instances that are behind as well
// don't.
func (s *staleness) observe(own, reported int, now time.Time) (lacking, sinceRead time.Duration) {
	s.newest = max(s.newest, reported)
	if own >= s.awaited {
		s.awaited, s.since = 0, time.Time{}
		if s.newest > own {
			s.awaited, s.since = s.newest, now
		}
	}
	if s.awaited == 0 {
		return 0, 0
	}
	lacking = now.Sub(s.since)
	return lacking, min(lacking, now.Sub(s.readAt))
}
