package orders

import (
	"context"
	"sort"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

const (
	// DefaultMaxAge is the age from which an intent that was left open is cancelled instead of sent again.
	DefaultMaxAge = 10 * time.Minute
	// DefaultKeep is how long a settled intent is kept.
	DefaultKeep = time.Hour
	// settleInterval is how often a holder looks for open intents.
	settleInterval = 5 * time.Second
	// settleConcurrency bounds the servers whose intents are settled at once.
	settleConcurrency = 8
	// retryDelay passes after a failed settlement.
	retryDelay = 500 * time.Millisecond
)

// Run settles open intents for as long as the lease is held, until ctx ends.
func (o *Orders) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := retryDelay
		if fence, _, held := o.Lease.Held(); held {
			if err := o.Settle(ctx); err == nil && o.isSettled(fence) {
				wait = settleInterval
			}
		}
		sleep(ctx, wait)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Settle carries out or cancels the open intents of the data centre, oldest first, and removes old settled ones.
func (o *Orders) Settle(ctx context.Context) error {
	fence, _, held := o.Lease.Held()
	if !held {
		return o.Lease.Check()
	}
	list, err := o.Objects.List(ctx, platform.KindIntent, o.DataCentre+".")
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(settleConcurrency)
	for _, items := range o.byServer(list.Items) {
		group.Go(func() error { return o.settleServer(ctx, items, fence) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settled = fence
	return nil
}

// stored is an intent with its object.
type stored struct {
	obj    wire.Object
	intent wire.IntentRecord
}

// byServer returns the readable intents of each server, oldest first.
func (o *Orders) byServer(items []wire.Object) map[string][]stored {
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	servers := map[string][]stored{}
	for _, obj := range items {
		intent, err := platform.Decode[wire.IntentRecord](obj)
		if err != nil {
			o.log().Error("intent_unreadable", zap.String("name", obj.Name), zap.Error(err))
			continue
		}
		servers[intent.Server] = append(servers[intent.Server], stored{obj, intent})
	}
	return servers
}

// settleServer settles the intents of one server in order and stops at the first that stays open. Its error is only
// that the lease was lost.
func (o *Orders) settleServer(ctx context.Context, items []stored, fence int) error {
	for _, s := range items {
		err := o.settleOne(ctx, s.obj, s.intent, fence)
		if lease.IsErrNotHeld(err) {
			return err
		}
		if err != nil && !IsErrRefused(err) {
			return nil
		}
	}
	return nil
}

// settleOne settles an intent unless this process is sending an order for its server.
func (o *Orders) settleOne(ctx context.Context, obj wire.Object, intent wire.IntentRecord, fence int) error {
	age := time.Since(time.UnixMilli(int64(intent.CreatedMs)))
	if intent.State != wire.IntentRecordStateOpen {
		return o.remove(ctx, obj, age)
	}
	if !o.beginSettling(intent.Server) {
		return nil
	}
	defer o.end(intent.Server)
	var err error
	if age > orDefault(o.MaxAge, DefaultMaxAge) || !o.isWanted(obj.Name, intent) {
		err = o.cancel(ctx, obj, intent, fence)
	} else {
		err = o.carryOut(ctx, obj, intent, fence, false)
	}
	o.note(intent.Server, err != nil && !IsErrRefused(err))
	return err
}

// cancel records that an intent isn't sent again. What was sent of it has arrived or never will.
func (o *Orders) cancel(ctx context.Context, obj wire.Object, intent wire.IntentRecord, fence int) error {
	if err := o.Lease.CheckFence(fence); err != nil {
		return err
	}
	intent.State = wire.IntentRecordStateCancelled
	intent.Reason = "no longer wanted"
	intent.SettledFence = fence
	_, err := o.Objects.Update(ctx, platform.KindIntent, obj.Name, obj.Version, intent)
	if err == nil {
		o.logOrder("order_cancelled", intent)
	}
	return err
}

func (o *Orders) remove(ctx context.Context, obj wire.Object, age time.Duration) error {
	if age < orDefault(o.Keep, DefaultKeep) {
		return nil
	}
	err := o.Objects.Delete(ctx, platform.KindIntent, obj.Name, obj.Version)
	if platform.IsErrNotFound(err) {
		return nil
	}
	return err
}

func orDefault(d, other time.Duration) time.Duration {
	if d == 0 {
		return other
	}
	return d
}
