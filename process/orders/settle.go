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
	// DefaultMaxIntentAge is the age above which an open intent is cancelled and its order isn't sent again.
	DefaultMaxIntentAge = 10 * time.Minute
	// DefaultIntentRetention is the age above which the record of a settled intent is deleted.
	DefaultIntentRetention = time.Hour
	// settleInterval is the time between two checks for open intents.
	settleInterval = 5 * time.Second
	// settleConcurrency is the largest number of servers whose open intents are settled concurrently. To settle an intent
	// is to find out whether its order was carried out and to record the outcome: the order is sent again under the same
	// id, which the receiver carries out only once, or is cancelled if the intent is too old or no longer wanted.
	settleConcurrency = 8
	// retryDelay is the time between two checks for open intents after a failure or while the lease isn't held.
	retryDelay = 500 * time.Millisecond
)

// Run settles open intents while the lease is held. It returns when ctx is done.
func (o *Sender) Run(ctx context.Context) {
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

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Settle carries out or cancels the open intents of the data centre, oldest first, and removes old settled intents.
func (o *Sender) Settle(ctx context.Context) error {
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
	for _, items := range o.intentsByServer(list.Items) {
		group.Go(func() error { return o.settleServer(ctx, items, fence) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settledFence = fence
	return nil
}

// storedIntent is an intent with the object in which it is stored.
type storedIntent struct {
	obj    wire.Object
	intent wire.IntentRecord
}

// intentsByServer returns the intents by server name, oldest first. Unreadable ones are logged and left out.
func (o *Sender) intentsByServer(items []wire.Object) map[string][]storedIntent {
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	servers := map[string][]storedIntent{}
	for _, obj := range items {
		intent, err := platform.Decode[wire.IntentRecord](obj)
		if err != nil {
			o.log().Error("intent_unreadable", zap.String("name", obj.Name), zap.Error(err))
			continue
		}
		servers[intent.Server] = append(servers[intent.Server], storedIntent{obj, intent})
	}
	return servers
}

// settleServer settles the intents of one server in order and stops at the first one that stays open. It returns an
// error only if the lease was lost.
func (o *Sender) settleServer(ctx context.Context, items []storedIntent, fence int) error {
	for _, s := range items {
		err := o.settleIntent(ctx, s.obj, s.intent, fence)
		if lease.IsErrNotHeld(err) {
			return err
		}
		if err != nil && !IsErrRefused(err) {
			return nil
		}
	}
	return nil
}

// settleIntent settles an open intent, unless this process is sending an order for its server. It removes an
// intent that was settled long ago.
func (o *Sender) settleIntent(ctx context.Context, obj wire.Object, intent wire.IntentRecord, fence int) error {
	age := time.Since(time.UnixMilli(int64(intent.CreatedMs)))
	if intent.State != wire.IntentRecordStateOpen {
		return o.removeOld(ctx, obj, age)
	}
	if !o.reserveForSettling(intent.Server) {
		return nil
	}
	defer o.unreserve(intent.Server)
	// This process may have settled the intent since it was listed.
	obj, err := o.Objects.Get(ctx, platform.KindIntent, obj.Name)
	if platform.IsErrNotFound(err) {
		return nil
	}
	if err != nil {
		return err
	}
	if intent, err = platform.Decode[wire.IntentRecord](obj); err != nil || intent.State != wire.IntentRecordStateOpen {
		return err
	}
	if age > orDefault(o.MaxIntentAge, DefaultMaxIntentAge) || !o.isWanted(obj.Name, intent) {
		err = o.cancelIntent(ctx, obj, intent, fence)
	} else {
		err = o.execute(ctx, obj, intent, fence, false)
	}
	o.setUnsettled(intent.Server, err != nil && !IsErrRefused(err))
	return err
}

// cancelIntent records that the order of an intent isn't sent again. If the order was sent before, it has arrived by
// now or never will.
func (o *Sender) cancelIntent(ctx context.Context, obj wire.Object, intent wire.IntentRecord, fence int) error {
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

// removeOld deletes a settled intent that is older than IntentRetention.
func (o *Sender) removeOld(ctx context.Context, obj wire.Object, age time.Duration) error {
	if age < orDefault(o.IntentRetention, DefaultIntentRetention) {
		return nil
	}
	err := o.Objects.Delete(ctx, platform.KindIntent, obj.Name, obj.Version)
	if platform.IsErrNotFound(err) {
		return nil
	}
	return err
}

// orDefault returns d, or fallback if d is 0.
func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}
