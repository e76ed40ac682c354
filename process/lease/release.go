package lease

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// release marks the stored lease as released, so that the next holder needn't wait for its expiry.
func (l *Lease) release(ctx context.Context) {
	l.mu.Lock()
	wasHeld := l.expiry != 0
	object, record := l.object, l.record
	l.expiry = 0
	l.mu.Unlock()
	if !wasHeld {
		return
	}
	l.OnChange(record.Fence, false)
	if !l.awaitInFlight() {
		l.Log.Warn("lease_not_released", l.logFields(zap.Int("fence", record.Fence))...)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	record.Released = true
	obj, err := l.write(ctx, object, record)
	var conflict platform.ErrConflict
	if errors.As(err, &conflict) && l.isOwnRenewal(conflict.Current, record.Fence) {
		obj, err = l.write(ctx, conflict.Current, record)
	}
	if err != nil {
		l.Log.Warn("lease_release_failed", l.logFields(zap.Int("fence", record.Fence), zap.Error(err))...)
		return
	}
	l.setObserved(obj, record)
	l.Log.Info("lease_released", l.logFields(zap.Int("fence", record.Fence))...)
}

// isOwnRenewal reports whether the stored object is a renewal by this process whose response was lost because the
// process was stopped.
func (l *Lease) isOwnRenewal(stored wire.Object, fence int) bool {
	record, err := platform.Decode[wire.LeaseRecord](stored)
	return err == nil && l.isOwn(record) && record.Fence == fence && !record.Released
}
