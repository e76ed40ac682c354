package lease

import (
	"time"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// A store that comes back from an older copy has lost the newest changes of the lease. An instance may then still hold
// a lease of which the store knows nothing, and the stored record may name an earlier holder, or be released, or be
// missing. So a record that was written in an earlier era says nothing about the present holder: a candidate waits for
// the whole takeover time, counted from its first sight of that record in the present era.

// fenceEraBits is the number of bits of a fencing token below the era. Tokens of a later era are higher than all tokens
// of earlier eras, also those that the store has lost.
const fenceEraBits = 20

// nextFence returns the fencing token of the holder after the one with the token previous.
func (l *Lease) nextFence(previous, era int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(previous, l.fence, era<<fenceEraBits) + 1
}

// isRewound reports whether the present record, or its absence, may result from the return of the store from an older
// copy. The caller holds mu.
func (l *Lease) isRewound() bool {
	if l.object.Version == 0 {
		return l.era > 0
	}
	return platform.Era(l.object.Version) > l.record.Era
}

// observeEra records the era in which the record was read or written, and reports whether it is a later one than before.
// The caller holds mu.
func (l *Lease) observeEra(obj wire.Object) bool {
	era := platform.Era(obj.Version)
	if obj.Version == 0 {
		era = l.Objects.CurrentEra()
	}
	changed := l.unchangedSince != 0 && era > l.era
	l.era = max(era, l.era)
	return changed
}

// dropRewound gives up the lease after a write for which the store had come back from an older copy meanwhile: the write
// may have replaced the record of another holder.
func (l *Lease) dropRewound(obj wire.Object, record wire.LeaseRecord) time.Duration {
	l.setObserved(obj, record)
	l.mu.Lock()
	wasHeld := l.expiry != 0
	l.expiry = 0
	fence := l.fence
	l.mu.Unlock()
	l.Log.Warn("lease_rewound", l.logFields(zap.Int("fence", fence), platform.VersionField("version", obj.Version), zap.Bool("held", wasHeld))...)
	if wasHeld {
		l.OnChange(fence, false)
	}
	return retryDelay
}
