package lease

import "github.com/toucanroute/toucanroute/wire"

// HolderRun returns the run of the process that held the lease when it was last read; empty is none.
func (l *Lease) HolderRun() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.Released {
		return ""
	}
	return l.record.Run
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
