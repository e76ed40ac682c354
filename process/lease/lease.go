// Package lease grants a job of a data centre to one instance at a time. The lease is an object in the platform's store
// that instances change by conditional updates. Each takeover increments the fencing token.
//
// On the holder's own clock, the lease expires the duration minus the margin after the holder sent its last successful
// renewal. A candidate, an instance that would acquire the lease, waits for the duration, the margin and the maximum
// time in flight, counted from the moment when it first observed the last change of the object. Two holders therefore
// never overlap as long as clocks drift by less than two margins per duration and the process isn't suspended between
// Check and the send. The fencing token covers the latter case if the receiver checks it.
//
// If the store comes back from an older copy, see era.go.
//
// Lease has one mutex, which isn't held during calls to the store or to callbacks.
package lease

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/process/sleep"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// DefaultDuration is the validity of a renewal.
	DefaultDuration = 6 * time.Second
	// DefaultMargin compensates for clock drift between instances.
	DefaultMargin = 500 * time.Millisecond
	// DefaultMaxInFlight is the time after Check by which an order has either reached its receiver or never will.
	DefaultMaxInFlight = 2 * time.Second
	// renewalsPerDuration is the number of renewals that a holder sends per lease duration.
	renewalsPerDuration = 3
	// retryDelay is the delay before a failed call to the store is retried.
	retryDelay = 200 * time.Millisecond
	// pollInterval is the default interval at which a candidate reads a lease that another instance holds.
	pollInterval = time.Second
	// maxRetryDoublings limits the exponential growth of retryDelay while the lease can't be read.
	maxRetryDoublings = 4
	// releaseTimeout limits the release of the lease on a graceful stop.
	releaseTimeout = time.Second
)

// Lease acquires and renews the lease on one job of a data centre for one instance. Set the exported fields before Run.
type Lease struct {
	DataCentre string
	Job        string
	// Holder is the name of this instance.
	Holder string
	// RunID identifies this process. A restarted instance has a new one.
	RunID string
	// Duration is the validity of a renewal. It must be longer than twice Margin.
	Duration time.Duration
	// Margin compensates for clock drift between instances.
	Margin time.Duration
	// MaxInFlight is the longest time between Check and the arrival of a message that is sent after it.
	MaxInFlight time.Duration
	Objects     platform.Store
	Log         *zap.Logger
	// IsCandidate reports whether this instance should acquire the lease when it is free; nil means always.
	IsCandidate func() bool
	// PollInterval is the interval at which a candidate reads a lease that another instance holds; 0 means pollInterval.
	PollInterval time.Duration
	// Now is a monotonic clock that keeps running while the machine is suspended; nil means BootTime.
	Now func() time.Duration
	// OnChange is called from Run after the lease was acquired or lost; it may be nil.
	OnChange func(fence int, held bool)

	mu sync.Mutex
	// fence is the fencing token under which this process holds or last held the lease.
	fence int
	// expiry is the expiry of the held lease on the Now clock; 0 means not held. It never decreases under the same fencing
	// token.
	expiry time.Duration
	// object and record are the lease object as last read or written, and its decoded value.
	object wire.Object
	record wire.LeaseRecord
	// unchangedSince is the time on the Now clock when this process first learned of the present version of the object.
	unchangedSince time.Duration
	// era is the era of the store at the last observation of the object.
	era int
	// announcedVersion is the highest object version that a holder announced to this instance; announcedAt is the time on
	// the Now clock when the announcement arrived.
	announcedVersion int
	announcedAt      time.Duration
	// failedReads is the number of consecutive failed reads. Only Run's goroutine uses it.
	failedReads int
	// inFlight is the number of running Do calls. idle is closed when that number drops to 0, and nil while it is 0.
	inFlight int
	idle     chan struct{}
	// mayArriveUntil is the time on the Now clock until which a message whose send failed in Do may still arrive.
	mayArriveUntil time.Duration
}

// BootTime returns the time since boot, including time in suspend. Go's monotonic clock stops during suspend.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

func (l *Lease) objectName() string { return l.DataCentre + "." + l.Job }

func (l *Lease) setDefaults() {
	if l.Duration == 0 {
		l.Duration = DefaultDuration
		l.Margin = DefaultMargin
		l.MaxInFlight = DefaultMaxInFlight
	}
	if l.Now == nil {
		l.Now = BootTime
	}
	if l.Log == nil {
		l.Log = zap.NewNop()
	}
	if l.IsCandidate == nil {
		l.IsCandidate = func() bool { return true }
	}
	if l.OnChange == nil {
		l.OnChange = func(int, bool) {}
	}
}

// Held returns the fencing token, the expiry of the lease on the Now clock, and whether the lease is held.
func (l *Lease) Held() (fence int, expiry time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expiry == 0 || l.Now() >= l.expiry {
		return l.fence, 0, false
	}
	return l.fence, l.expiry, true
}

// Check returns ErrNotHeld unless the lease is held. Call it immediately before each send.
func (l *Lease) Check() error {
	fence, _, ok := l.Held()
	if !ok {
		return ErrNotHeld{DataCentre: l.DataCentre, Job: l.Job, Fence: fence}
	}
	return nil
}

// CheckFence returns ErrNotHeld unless the lease is still held under the given fencing token.
func (l *Lease) CheckFence(fence int) error {
	current, _, ok := l.Held()
	if !ok || current != fence {
		return ErrNotHeld{DataCentre: l.DataCentre, Job: l.Job, Fence: current}
	}
	return nil
}

// Do calls send if the lease is held under the fencing token. A graceful release waits until send has returned.
func (l *Lease) Do(fence int, send func() error) error {
	l.mu.Lock()
	if l.inFlight == 0 {
		l.idle = make(chan struct{})
	}
	l.inFlight++
	l.mu.Unlock()
	defer l.sendDone()
	if err := l.CheckFence(fence); err != nil {
		return err
	}
	err := send()
	if err != nil {
		l.mu.Lock()
		l.mayArriveUntil = l.Now() + l.MaxInFlight
		l.mu.Unlock()
	}
	return err
}

// sendDone records that a Do call has ended.
func (l *Lease) sendDone() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.inFlight == 0 {
		close(l.idle)
		l.idle = nil
	}
}

// awaitInFlight waits until no message sent through Do can still arrive. It returns false if a send call is still
// running after MaxInFlight.
func (l *Lease) awaitInFlight() bool {
	l.mu.Lock()
	idle := l.idle
	l.mu.Unlock()
	if idle != nil {
		t := time.NewTimer(l.MaxInFlight)
		defer t.Stop()
		select {
		case <-idle:
		case <-t.C:
			return false
		}
	}
	time.Sleep(l.inFlightRemaining())
	return true
}

// inFlightRemaining returns the remaining time in which a message whose send failed in Do may still arrive. While a Do
// call is running, it returns at least retryDelay.
func (l *Lease) inFlightRemaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight > 0 {
		return max(retryDelay, l.mayArriveUntil-l.Now())
	}
	return max(0, l.mayArriveUntil-l.Now())
}

// Run acquires and renews the lease until ctx is done, then releases it.
func (l *Lease) Run(ctx context.Context) {
	l.setDefaults()
	for ctx.Err() == nil {
		wait := l.step(ctx)
		sleep.For(ctx, wait)
	}
	l.release(context.WithoutCancel(ctx))
}

// step renews the lease if it is held, otherwise tries to acquire it. It returns the delay before the next step.
func (l *Lease) step(ctx context.Context) time.Duration {
	if _, _, held := l.Held(); held {
		return l.renew(ctx)
	}
	l.expire()
	if !l.IsCandidate() {
		return pollInterval
	}
	poll := l.PollInterval
	if poll == 0 {
		poll = pollInterval
	}
	if err := l.readObject(ctx); err != nil {
		l.Log.Warn("lease_unreadable", l.logFields(zap.Error(err))...)
		l.failedReads++
		return min(retryDelay<<min(l.failedReads-1, maxRetryDoublings), pollInterval)
	}
	l.failedReads = 0
	if wait := max(l.takeoverWait(), l.inFlightRemaining()); wait > 0 {
		return min(wait, poll)
	}
	return l.acquire(ctx)
}

// expire marks the lease as not held after its expiry.
func (l *Lease) expire() {
	l.mu.Lock()
	if l.expiry == 0 {
		l.mu.Unlock()
		return
	}
	fence := l.fence
	l.expiry = 0
	l.mu.Unlock()
	l.Log.Warn("lease_expired", l.logFields(zap.Int("fence", fence))...)
	l.OnChange(fence, false)
}

// readObject reads the lease object and stores its state and the time of its last change.
func (l *Lease) readObject(ctx context.Context) error {
	obj, err := l.Objects.Get(ctx, platform.KindLease, l.objectName())
	if platform.IsErrNotFound(err) {
		l.setObserved(wire.Object{}, wire.LeaseRecord{})
		return nil
	}
	if err != nil {
		return err
	}
	return l.updateFromObject(obj)
}

func (l *Lease) updateFromObject(obj wire.Object) error {
	record, err := platform.Decode[wire.LeaseRecord](obj)
	if err != nil {
		return err
	}
	l.setObserved(obj, record)
	return nil
}

// setObserved stores the lease object as read or written. If its version is new, unchangedSince is set to the present
// time, or to the earlier time when the holder announced that version.
func (l *Lease) setObserved(obj wire.Object, record wire.LeaseRecord) {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if eraChanged := l.observeEra(obj); eraChanged || obj.Version != l.object.Version || l.unchangedSince == 0 {
		l.unchangedSince = now
		if obj.Version == l.announcedVersion && l.announcedAt != 0 {
			l.unchangedSince = l.announcedAt
		}
	}
	l.object = obj
	l.record = record
}

// isOwn reports whether this process wrote the record.
func (l *Lease) isOwn(record wire.LeaseRecord) bool {
	return record.Holder == l.Holder && record.Run == l.RunID
}

// takeoverWait returns how long this instance must still wait before it may acquire the lease.
func (l *Lease) takeoverWait() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if free := l.object.Version == 0 || l.record.Released || l.isOwn(l.record); free && !l.isRewound() {
		return 0
	}
	duration := max(l.Duration, time.Duration(l.record.DurationMs)*time.Millisecond)
	margin := max(l.Margin, time.Duration(l.record.MarginMs)*time.Millisecond)
	inFlight := max(l.MaxInFlight, time.Duration(l.record.InFlightMs)*time.Millisecond)
	return l.unchangedSince + duration + margin + inFlight - l.Now()
}

// newRecord returns a lease record with this process as holder.
func (l *Lease) newRecord(fence, renewal int) wire.LeaseRecord {
	return wire.LeaseRecord{
		Holder:     l.Holder,
		Run:        l.RunID,
		Fence:      fence,
		Renewal:    renewal,
		DurationMs: int(l.Duration.Milliseconds()),
		MarginMs:   int(l.Margin.Milliseconds()),
		InFlightMs: int(l.MaxInFlight.Milliseconds()),
	}
}

// acquire acquires the lease: it writes a record with this instance as holder and the next fencing token. It returns
// the delay before the next step.
func (l *Lease) acquire(ctx context.Context) time.Duration {
	l.mu.Lock()
	object, previous, lastChange := l.object, l.record, l.unchangedSince
	l.mu.Unlock()
	era := l.Objects.CurrentEra()
	record := l.newRecord(l.nextFence(previous.Fence, era), 1)
	record.Era = era
	sentAt := l.Now()
	obj, err := l.write(ctx, object, record)
	if err != nil {
		l.Log.Info("lease_not_taken", l.logFields(zap.Error(err))...)
		return retryDelay
	}
	if platform.Era(obj.Version) != era {
		return l.dropRewound(obj, record)
	}
	l.setObserved(obj, record)
	l.mu.Lock()
	l.fence = record.Fence
	l.expiry = sentAt + l.Duration - l.Margin
	l.mu.Unlock()
	l.Log.Info("lease_acquired", l.logFields(
		zap.Int("fence", record.Fence),
		zap.String("previous", previous.Holder),
		zap.Bool("released", previous.Released),
		zap.Int64("unchanged_ms", (sentAt-lastChange).Milliseconds()),
	)...)
	l.OnChange(record.Fence, true)
	return l.Duration / renewalsPerDuration
}

// write replaces the given version of the lease object by the record. If the outcome of the write is unknown, it reads
// the object back: the write succeeded only if exactly this record is stored.
func (l *Lease) write(ctx context.Context, current wire.Object, record wire.LeaseRecord) (wire.Object, error) {
	obj, err := l.put(ctx, current, record)
	if !platform.IsErrUnknownOutcome(err) {
		return obj, err
	}
	storedObject, readErr := l.Objects.Get(ctx, platform.KindLease, l.objectName())
	if readErr != nil {
		return wire.Object{}, errors.Join(err, readErr)
	}
	stored, readErr := platform.Decode[wire.LeaseRecord](storedObject)
	if readErr != nil || stored != record {
		return wire.Object{}, err
	}
	return storedObject, nil
}

// put creates the lease object, or updates it if current has a version.
func (l *Lease) put(ctx context.Context, current wire.Object, record wire.LeaseRecord) (wire.Object, error) {
	if current.Version == 0 {
		return l.Objects.Create(ctx, platform.KindLease, l.objectName(), record)
	}
	return l.Objects.Update(ctx, platform.KindLease, l.objectName(), current.Version, record)
}

// renew extends the lease and returns the delay before the next renewal.
func (l *Lease) renew(ctx context.Context) time.Duration {
	l.mu.Lock()
	object, record := l.object, l.record
	l.mu.Unlock()
	record.Renewal++
	record.Era = l.Objects.CurrentEra()
	sentAt := l.Now()
	obj, err := l.write(ctx, object, record)
	if err == nil && platform.Era(obj.Version) != platform.Era(object.Version) {
		return l.dropRewound(obj, record)
	}
	if err == nil {
		l.setObserved(obj, record)
		l.extend(record.Fence, sentAt+l.Duration-l.Margin)
		return l.Duration / renewalsPerDuration
	}
	l.Log.Warn("lease_not_renewed", l.logFields(zap.Error(err))...)
	l.resolveFailedRenewal(ctx, err)
	return l.renewalRetryDelay()
}

// extend sets a later expiry after a renewal, unless the lease was lost or expired in the meantime.
func (l *Lease) extend(fence int, expiry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expiry == 0 || l.fence != fence {
		return
	}
	l.expiry = max(l.expiry, expiry)
}

// resolveFailedRenewal updates the state from the stored object after a failed renewal: an earlier renewal of this
// process may have been applied late, or another instance may have acquired the lease.
func (l *Lease) resolveFailedRenewal(ctx context.Context, err error) {
	var conflict platform.ErrConflict
	if errors.As(err, &conflict) && conflict.Current.Version != 0 {
		_ = l.updateFromObject(conflict.Current)
	} else if readErr := l.readObject(ctx); readErr != nil {
		return
	}
	l.mu.Lock()
	lost := !l.isOwn(l.record) || l.record.Fence != l.fence || l.record.Released
	fence := l.fence
	wasHeld := l.expiry != 0
	if lost {
		l.expiry = 0
	}
	holder := l.record.Holder
	l.mu.Unlock()
	if lost && wasHeld {
		l.Log.Warn("lease_lost", l.logFields(zap.Int("fence", fence), zap.String("to", holder))...)
		l.OnChange(fence, false)
	}
}

// renewalRetryDelay returns the delay before the next renewal attempt, at most the time until expiry.
func (l *Lease) renewalRetryDelay() time.Duration {
	_, expiry, held := l.Held()
	if !held {
		return 0
	}
	return min(retryDelay, max(expiry-l.Now(), 0))
}

func (l *Lease) logFields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.String("data_centre", l.DataCentre), zap.String("job", l.Job), zap.String("holder", l.Holder)}, more...)
}
