package quarantine

import (
	"time"

	"github.com/toucanroute/toucanroute/wire"
)

// Status returns the quarantines for operators, ordered by id.
func (t *Table) Status() []wire.QuarantineStatus {
	list := []wire.QuarantineStatus{}
	for _, q := range t.List() {
		status := wire.QuarantineStatus{
			Id: q.ID, Parts: q.Parts, Pool: q.Pool, Revision: q.Revision, Crashes: q.Crashes, Refused: q.Refused, State: wire.QuarantineStatusStateActive,
		}
		left := time.Until(q.Until)
		switch {
		case q.Lifted:
			status.State = wire.QuarantineStatusStateLifted
		case left <= 0:
			status.State = wire.QuarantineStatusStateTrial
		default:
			status.EndsInMs = int(left.Milliseconds())
		}
		list = append(list, status)
	}
	return list
}
