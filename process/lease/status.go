package lease

import "github.com/toucanroute/toucanroute/wire"

// HeldVersion returns the version of the lease's object as this process holds it; 0 is that it doesn't.
func (l *Lease) HeldVersion() int {
	_, _, held := l.Held()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !held {
		return 0
	}
	return l.seen.Version
}

// Sight notes that the lease's object had a version, as its holder told. A holder's right counts from the sending of its last
// renewal, which came before it told of it, so that a taker may wait from then on; 0 is nothing. Now must be set.
func (l *Lease) Sight(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.sighted {
		return
	}
	l.sighted, l.sightedAt = version, l.Now()
}

// Status returns the lease as this instance last saw it.
func (l *Lease) Status() wire.LeaseStatus {
	_, _, held := l.Held()
	l.mu.Lock()
	defer l.mu.Unlock()
	status := wire.LeaseStatus{DataCentre: l.DataCentre, Job: l.Job, Holder: l.record.Holder, Fence: l.record.Fence, HeldHere: held}
	if l.record.Released {
		status.Holder = ""
	}
	return status
}
