package lease

import "github.com/toucanroute/toucanroute/wire"

// HeldVersion returns the version of the lease object while this process holds the lease, otherwise 0.
func (l *Lease) HeldVersion() int {
	_, _, held := l.Held()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !held {
		return 0
	}
	return l.object.Version
}

// ObserveVersion records the version of the lease object that its holder announced to this instance. The lease expires
// relative to the time when the holder sent its last renewal, which is before it announced that version. A candidate
// may therefore count its waiting time from the arrival of the announcement. Version 0 is ignored. The field Now must
// be set before the first call.
func (l *Lease) ObserveVersion(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version <= l.announcedVersion {
		return
	}
	l.announcedVersion, l.announcedAt = version, l.Now()
}

// Status returns the state of the lease as this instance last observed it.
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
