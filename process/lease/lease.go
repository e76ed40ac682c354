// Package lease keeps one job of a data centre in the hands of one instance at a time, by conditional updates of an
// object. Each takeover raises the fencing number.
//
// A holder stops at the time at which it sent its last successful renewal, plus duration, minus margin, on its own
// clock. A taker waits duration, margin and the longest time in flight from the moment at which it saw the last change
// itself. So two holders never overlap as long as clocks drift by less than two margins in one duration, and as long as
// nothing is frozen between Check and the send. That rest is closed by the fencing number where the receiver checks it.
//
// Lease has one mutex; no call is made while it is held.
package lease

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/toucanroute/toucanroute/process/pause"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// DefaultDuration is how long a renewal holds.
	DefaultDuration = 6 * time.Second
	// DefaultMargin covers the drift of clocks.
	DefaultMargin = 500 * time.Millisecond
	// DefaultMaxInFlight bounds the time from Check until the receiver has taken an order or never will.
	DefaultMaxInFlight = 2 * time.Second
	// renewalsPerDuration is how often a holder renews within the duration.
	renewalsPerDuration = 3
	// retryDelay passes after a failed call.
	retryDelay = 200 * time.Millisecond
	// pollInterval is how often a candidate reads a lease that another holds.
	pollInterval = time.Second
	// mostDoublings bounds the growth of that delay while the lease can't be read.
	mostDoublings = 4
	// releaseTimeout bounds the release on a graceful stop.
	releaseTimeout = time.Second
)

// ErrNotHeld tells that this process is not, or no longer, in charge of the job.
type ErrNotHeld struct {
	DataCentre string
	Job        string
	// Fence is the last fencing number under which the job was held; 0 is none.
	Fence int
}

func (e ErrNotHeld) Error() string {
	return fmt.Sprintf("lease %s.%s isn't held (last fence %d)", e.DataCentre, e.Job, e.Fence)
}

// IsErrNotHeld tells whether err is an ErrNotHeld.
func IsErrNotHeld(err error) bool {
	var e ErrNotHeld
	return errors.As(err, &e)
}

// Lease is the claim of one instance to one job of a data centre. The exported fields are set before Run.
type Lease struct {
	DataCentre string
	Job        string
	// Holder is the instance's name.
	Holder string
	// RunID names the process; it differs from that of the instance's earlier processes.
	RunID string
	// Duration is longer than twice Margin.
	Duration time.Duration
	Margin   time.Duration
	// MaxInFlight is at least the longest time between Check and the arrival of what is sent after it.
	MaxInFlight time.Duration
	Objects     platform.Store
	Log         *zap.Logger
	// Candidate tells whether the instance should take the lease when it is free; nil is always.
	Candidate func() bool
	// Poll is how often a candidate reads a lease that another holds; 0 is pollInterval.
	Poll time.Duration
	// Now is a monotonic clock that counts suspension; nil is CLOCK_BOOTTIME.
	Now func() time.Duration
	// OnChange is called from Run after the lease was taken or lost; it may be nil.
	OnChange func(fence int, held bool)

	mu sync.Mutex
	// fence is the number under which the lease is or was held.
	fence int
	// until is the end of the holder's right on the Now clock; 0 is not held. It only grows under one fence.
	until time.Duration
	// seen is the last state of the object that was read, and when it was first seen to be so.
	seen      wire.Object
	record    wire.LeaseRecord
	seenSince time.Duration
	// sighted is the highest version of the object that a holder told of, and sightedAt when that was first heard.
	sighted   int
	sightedAt time.Duration
	// unreadable counts the failed reads in a row; it belongs to Run's goroutine.
	unreadable int
	// inFlight is the number of Do calls that are under way; idle is closed when it falls to 0, and nil while it is 0.
	inFlight int
	idle     chan struct{}
	// uncertain is the time on the Now clock until which something that failed in Do may still arrive.
	uncertain time.Duration
}

// BootTime returns the time since boot, suspension included. The runtime's monotonic clock doesn't count suspension.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}

func (l *Lease) name() string { return l.DataCentre + "." + l.Job }

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
	if l.Candidate == nil {
		l.Candidate = func() bool { return true }
	}
	if l.OnChange == nil {
		l.OnChange = func(int, bool) {}
	}
}

// Held returns the fencing number and the end of the right on the Now clock.
func (l *Lease) Held() (fence int, until time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == 0 || l.Now() >= l.until {
		return l.fence, 0, false
	}
	return l.fence, l.until, true
}

// Check returns ErrNotHeld unless the lease is held now. It is called right before each send.
func (l *Lease) Check() error {
	fence, _, ok := l.Held()
	if !ok {
		return ErrNotHeld{DataCentre: l.DataCentre, Job: l.Job, Fence: fence}
	}
	return nil
}

// CheckFence is Check for work that was begun under a fencing number.
func (l *Lease) CheckFence(fence int) error {
	current, _, ok := l.Held()
	if !ok || current != fence {
		return ErrNotHeld{DataCentre: l.DataCentre, Job: l.Job, Fence: current}
	}
	return nil
}

// Do calls send if the lease is held under the fencing number. A graceful release waits for it to return.
func (l *Lease) Do(fence int, send func() error) error {
	l.mu.Lock()
	if l.inFlight == 0 {
		l.idle = make(chan struct{})
	}
	l.inFlight++
	l.mu.Unlock()
	defer l.done()
	if err := l.CheckFence(fence); err != nil {
		return err
	}
	err := send()
	if err != nil {
		l.mu.Lock()
		l.uncertain = l.Now() + l.MaxInFlight
		l.mu.Unlock()
	}
	return err
}

func (l *Lease) done() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if l.inFlight == 0 {
		close(l.idle)
		l.idle = nil
	}
}

// awaitArrival waits until nothing that was sent can arrive any more, and tells whether that was so in time.
func (l *Lease) awaitArrival() bool {
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
	time.Sleep(l.untilArrival())
	return true
}

// untilArrival returns the time until what failed in Do can't arrive any more.
func (l *Lease) untilArrival() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight > 0 {
		return max(retryDelay, l.uncertain-l.Now())
	}
	return max(0, l.uncertain-l.Now())
}

// Run takes and renews the lease until ctx ends; then it releases the lease.
func (l *Lease) Run(ctx context.Context) {
	l.setDefaults()
	for ctx.Err() == nil {
		wait := l.step(ctx)
		pause.For(ctx, wait)
	}
	l.release(context.WithoutCancel(ctx))
}

// step does the next thing and returns the time until the following one.
func (l *Lease) step(ctx context.Context) time.Duration {
	if _, _, held := l.Held(); held {
		return l.renew(ctx)
	}
	l.expire()
	if !l.Candidate() {
		return pollInterval
	}
	poll := l.Poll
	if poll == 0 {
		poll = pollInterval
	}
	if err := l.observe(ctx); err != nil {
		l.Log.Warn("lease_unreadable", l.fields(zap.Error(err))...)
		l.unreadable++
		return min(retryDelay<<min(l.unreadable-1, mostDoublings), pollInterval)
	}
	l.unreadable = 0
	if wait := max(l.waitToTake(), l.untilArrival()); wait > 0 {
		return min(wait, poll)
	}
	return l.take(ctx)
}

// expire ends a hold whose time has passed.
func (l *Lease) expire() {
	l.mu.Lock()
	if l.until == 0 {
		l.mu.Unlock()
		return
	}
	fence := l.fence
	l.until = 0
	l.mu.Unlock()
	l.Log.Warn("lease_expired", l.fields(zap.Int("fence", fence))...)
	l.OnChange(fence, false)
}

// observe reads the object and notes since when it has been as it is.
func (l *Lease) observe(ctx context.Context) error {
	obj, err := l.Objects.Get(ctx, platform.KindLease, l.name())
	if platform.IsErrNotFound(err) {
		l.saw(wire.Object{}, wire.LeaseRecord{})
		return nil
	}
	if err != nil {
		return err
	}
	return l.sawObject(obj)
}

func (l *Lease) sawObject(obj wire.Object) error {
	record, err := platform.Decode[wire.LeaseRecord](obj)
	if err != nil {
		return err
	}
	l.saw(obj, record)
	return nil
}

func (l *Lease) saw(obj wire.Object, record wire.LeaseRecord) {
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if obj.Version != l.seen.Version || l.seenSince == 0 {
		l.seenSince = now
		if obj.Version == l.sighted && l.sightedAt != 0 {
			l.seenSince = l.sightedAt
		}
	}
	l.seen = obj
	l.record = record
}

func (l *Lease) mine(record wire.LeaseRecord) bool {
	return record.Holder == l.Holder && record.Run == l.RunID
}

// waitToTake returns how long the lease may not be taken yet.
func (l *Lease) waitToTake() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen.Version == 0 || l.record.Released || l.mine(l.record) {
		return 0
	}
	duration := max(l.Duration, time.Duration(l.record.DurationMs)*time.Millisecond)
	margin := max(l.Margin, time.Duration(l.record.MarginMs)*time.Millisecond)
	inFlight := max(l.MaxInFlight, time.Duration(l.record.InFlightMs)*time.Millisecond)
	return l.seenSince + duration + margin + inFlight - l.Now()
}

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

// take raises the fencing number with this instance as holder.
func (l *Lease) take(ctx context.Context) time.Duration {
	l.mu.Lock()
	seen, previous, since := l.seen, l.record, l.seenSince
	l.mu.Unlock()
	record := l.newRecord(previous.Fence+1, 1)
	sent := l.Now()
	obj, err := l.write(ctx, seen, record)
	if err != nil {
		l.Log.Info("lease_not_taken", l.fields(zap.Error(err))...)
		return retryDelay
	}
	l.saw(obj, record)
	l.mu.Lock()
	l.fence = record.Fence
	l.until = sent + l.Duration - l.Margin
	l.mu.Unlock()
	l.Log.Info("lease_acquired", l.fields(
		zap.Int("fence", record.Fence),
		zap.String("previous", previous.Holder),
		zap.Bool("released", previous.Released),
		zap.Int64("unchanged_ms", (sent-since).Milliseconds()),
	)...)
	l.OnChange(record.Fence, true)
	return l.Duration / renewalsPerDuration
}

// write writes the record over the seen object. A lost answer is read back: only if the very record is stored did the
// write succeed.
func (l *Lease) write(ctx context.Context, seen wire.Object, record wire.LeaseRecord) (wire.Object, error) {
	obj, err := l.put(ctx, seen, record)
	if !platform.IsErrUnknownOutcome(err) {
		return obj, err
	}
	read, failed := l.Objects.Get(ctx, platform.KindLease, l.name())
	if failed != nil {
		return wire.Object{}, errors.Join(err, failed)
	}
	stored, failed := platform.Decode[wire.LeaseRecord](read)
	if failed != nil || stored != record {
		return wire.Object{}, err
	}
	return read, nil
}

func (l *Lease) put(ctx context.Context, seen wire.Object, record wire.LeaseRecord) (wire.Object, error) {
	if seen.Version == 0 {
		return l.Objects.Create(ctx, platform.KindLease, l.name(), record)
	}
	return l.Objects.Update(ctx, platform.KindLease, l.name(), seen.Version, record)
}

// renew extends the hold and returns the time until the next renewal.
func (l *Lease) renew(ctx context.Context) time.Duration {
	l.mu.Lock()
	seen, record := l.seen, l.record
	l.mu.Unlock()
	record.Renewal++
	sent := l.Now()
	obj, err := l.write(ctx, seen, record)
	if err == nil {
		l.saw(obj, record)
		l.extend(record.Fence, sent+l.Duration-l.Margin)
		return l.Duration / renewalsPerDuration
	}
	l.Log.Warn("lease_not_renewed", l.fields(zap.Error(err))...)
	l.resolve(ctx, err)
	return l.untilRetry()
}

// extend moves the end of the hold, unless the hold has ended meanwhile.
func (l *Lease) extend(fence int, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == 0 || l.fence != fence {
		return
	}
	l.until = max(l.until, until)
}

// resolve takes in the stored object after a failed renewal: an earlier renewal of this run may have landed late, or
// another may have taken the lease.
func (l *Lease) resolve(ctx context.Context, err error) {
	var conflict platform.ErrConflict
	if errors.As(err, &conflict) && conflict.Current.Version != 0 {
		_ = l.sawObject(conflict.Current)
	} else if observed := l.observe(ctx); observed != nil {
		return
	}
	l.mu.Lock()
	taken := !l.mine(l.record) || l.record.Fence != l.fence || l.record.Released
	fence := l.fence
	held := l.until != 0
	if taken {
		l.until = 0
	}
	holder := l.record.Holder
	l.mu.Unlock()
	if taken && held {
		l.Log.Warn("lease_lost", l.fields(zap.Int("fence", fence), zap.String("to", holder))...)
		l.OnChange(fence, false)
	}
}

// untilRetry returns the delay to the next try, which isn't later than the end of the hold.
func (l *Lease) untilRetry() time.Duration {
	_, until, held := l.Held()
	if !held {
		return 0
	}
	return min(retryDelay, max(until-l.Now(), 0))
}

// release gives the lease up so that the next holder needn't wait.
func (l *Lease) release(ctx context.Context) {
	l.mu.Lock()
	held := l.until != 0
	seen, record := l.seen, l.record
	l.until = 0
	l.mu.Unlock()
	if !held {
		return
	}
	l.OnChange(record.Fence, false)
	if !l.awaitArrival() {
		l.Log.Warn("lease_not_released", l.fields(zap.Int("fence", record.Fence))...)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	record.Released = true
	obj, err := l.write(ctx, seen, record)
	var conflict platform.ErrConflict
	if errors.As(err, &conflict) && l.isOwnRenewal(conflict.Current, record.Fence) {
		obj, err = l.write(ctx, conflict.Current, record)
	}
	if err != nil {
		l.Log.Warn("lease_release_failed", l.fields(zap.Int("fence", record.Fence), zap.Error(err))...)
		return
	}
	l.saw(obj, record)
	l.Log.Info("lease_released", l.fields(zap.Int("fence", record.Fence))...)
}

// isOwnRenewal tells whether the stored object is a renewal of this run that the stop cut off before its answer came.
func (l *Lease) isOwnRenewal(stored wire.Object, fence int) bool {
	record, err := platform.Decode[wire.LeaseRecord](stored)
	return err == nil && l.mine(record) && record.Fence == fence && !record.Released
}

func (l *Lease) fields(more ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.String("data_centre", l.DataCentre), zap.String("job", l.Job), zap.String("holder", l.Holder)}, more...)
}
