// Package orders sends orders to the ordering interface and to engines on behalf of the holder of a data centre's
// lease.
//
// Each order is first stored as an intent, a record of the order with the fencing token of the lease. The lease is
// checked again right before the first byte of the order is sent. An intent is open until the outcome of its order is
// recorded. A new holder settles the intents that earlier holders left open before it sends any order of its own. To
// settle an intent, it sends the order again under the same id, which a receiver carries out only once, or cancels the
// intent if the order is no longer wanted. An instance that takes over the lease first waits for the longest time in
// flight, so an order sent by the earlier holder has arrived by then.
//
// A receiver that checks fencing tokens refuses orders of an earlier holder after the first order of a newer one. With
// a receiver that doesn't, an order can still arrive late in one case: the sending process is suspended between the
// check and the write to the socket, or the network delays its packets, for longer than two lease margins plus the
// longest time in flight.
package orders

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/toucanroute/toucanroute/process/lease"
	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// Sender sends the orders of one data centre. The exported fields must be set before Run.
type Sender struct {
	DataCentre string
	Instance   string
	// RunID identifies this process; a restarted instance has a new one. It is part of the order ids.
	RunID   string
	Lease   *lease.Lease
	Objects platform.Store
	Log     *zap.Logger
	// SendServerOrder sends an order to the ordering interface. Right before the first byte is sent, it calls
	// checkLease. If that returns an error, it sends nothing and returns the error.
	SendServerOrder func(ctx context.Context, order wire.ServerOrder, checkLease func() error) (wire.ServerOrderResult, error)
	// SendEngineOrder sends an order to the engine of a server. It calls checkLease as SendServerOrder does.
	SendEngineOrder func(ctx context.Context, server string, order wire.EngineOrder, checkLease func() error) (wire.EngineOrderResult, error)
	// IsWanted reports whether an intent that was left open should still be carried out; nil means always.
	IsWanted func(wire.IntentRecord) bool
	// WeightLoadLimiter limits the rate of orders that make an engine load model weights from the weight store; nil means no
	// limit.
	WeightLoadLimiter *rate.Limiter
	// MaxIntentAge and IntentRetention override DefaultMaxIntentAge and DefaultIntentRetention unless they are 0.
	MaxIntentAge    time.Duration
	IntentRetention time.Duration

	mu sync.Mutex
	// lastSeq is the sequence number of the last order of this process.
	lastSeq int
	// settledFence is the fencing token under which this process last settled the intents of earlier holders; 0 if it
	// never did.
	settledFence int
	// activeServers holds the servers for which this process is sending an order; at most one order at a time is sent for
	// each.
	activeServers map[string]bool
	// unsettledServers holds the servers with an order whose outcome is unknown. They get no new orders until it is
	// settled.
	unsettledServers map[string]bool
	// abandoned holds the object names of the intents that this process gave up before it sent the order, because
	// the outcome of their creation is unknown. They may still be created.
	abandoned map[string]bool
}

func (o *Sender) log() *zap.Logger {
	if o.Log == nil {
		return zap.NewNop()
	}
	return o.Log
}

// StartServer sends the order to start a backend server.
func (o *Sender) StartServer(ctx context.Context, server, kind string) error {
	return o.issue(ctx, wire.IntentRecord{
		Receiver: wire.IntentRecordReceiverPlatform, Action: string(wire.ServerOrderActionStart), Server: server, Kind: kind,
	})
}

// StopServer sends the order to stop a backend server.
func (o *Sender) StopServer(ctx context.Context, server string) error {
	return o.issue(ctx, wire.IntentRecord{
		Receiver: wire.IntentRecordReceiverPlatform, Action: string(wire.ServerOrderActionStop), Server: server,
	})
}

// OrderEngine sends an order to the engine of a server, such as to load a model. Orders that load weights are
// rate-limited.
func (o *Sender) OrderEngine(ctx context.Context, server string, action wire.EngineOrderAction, target string) error {
	if o.WeightLoadLimiter != nil && action != wire.EngineOrderActionSetRole {
		if err := o.WeightLoadLimiter.Wait(ctx); err != nil {
			return err
		}
	}
	return o.issue(ctx, wire.IntentRecord{
		Receiver: wire.IntentRecordReceiverEngine, Action: string(action), Server: server, Target: target,
	})
}

// issue stores the order as an intent and sends it. It refuses an order for a server whose earlier order isn't settled.
func (o *Sender) issue(ctx context.Context, intent wire.IntentRecord) error {
	fence, _, held := o.Lease.Held()
	if !held {
		return o.Lease.Check()
	}
	if !o.reserve(intent.Server, fence) {
		return ErrUnsettled{Server: intent.Server, Fence: fence}
	}
	defer o.unreserve(intent.Server)
	intent.Id = o.nextID(fence)
	intent.DataCentre = o.DataCentre
	intent.Fence = fence
	intent.Holder = o.Instance
	intent.State = wire.IntentRecordStateOpen
	intent.CreatedMs = int(time.Now().UnixMilli())
	obj, err := o.createIntent(ctx, o.objectName(intent), intent)
	if platform.IsErrUnknownOutcome(err) {
		o.markAbandoned(o.objectName(intent))
	}
	if err != nil {
		return err
	}
	err = o.execute(ctx, obj, intent, fence, true)
	o.setUnsettled(intent.Server, IsErrPending(err))
	return err
}

// objectName returns the name of the object that stores the intent.
func (o *Sender) objectName(intent wire.IntentRecord) string { return o.DataCentre + "." + intent.Id }

// nextID returns a new order id. Later ids sort after earlier ones of the same process.
func (o *Sender) nextID(fence int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastSeq++
	return fmt.Sprintf("%08d-%s-%06d", fence, o.RunID, o.lastSeq)
}

// reserve reserves a server for one order. It returns false while another order for the server is being sent or isn't
// settled, and until the intents of earlier holders have been settled under the fencing token.
func (o *Sender) reserve(server string, fence int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.settledFence != fence || o.activeServers[server] || o.unsettledServers[server] {
		return false
	}
	return o.markActive(server)
}

// reserveForSettling reserves a server for settling its intents. It returns false while an order for it is being sent.
func (o *Sender) reserveForSettling(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.markActive(server)
}

// markActive records that an order is being sent to the server, or returns false if one is already. The caller holds
// mu.
func (o *Sender) markActive(server string) bool {
	if o.activeServers[server] {
		return false
	}
	if o.activeServers == nil {
		o.activeServers = map[string]bool{}
		o.unsettledServers = map[string]bool{}
	}
	o.activeServers[server] = true
	return true
}

// unreserve ends the reservation of a server.
func (o *Sender) unreserve(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.activeServers, server)
}

// setUnsettled records whether the server has an order whose outcome is unknown (pending).
func (o *Sender) setUnsettled(server string, pending bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if pending {
		o.unsettledServers[server] = true
		return
	}
	delete(o.unsettledServers, server)
}

// markAbandoned records that the intent with the object name must be cancelled if it turns out to be stored.
func (o *Sender) markAbandoned(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.abandoned == nil {
		o.abandoned = map[string]bool{}
	}
	o.abandoned[name] = true
}

// isWanted reports whether an open intent should still be carried out.
func (o *Sender) isWanted(name string, intent wire.IntentRecord) bool {
	o.mu.Lock()
	abandoned := o.abandoned[name]
	o.mu.Unlock()
	return !abandoned && (o.IsWanted == nil || o.IsWanted(intent))
}

// isSettled reports whether the intents of earlier holders have been settled under the fencing token.
func (o *Sender) isSettled(fence int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.settledFence == fence
}

// createIntent stores the intent. If the outcome of the write is unknown, it reads the intent back. If the write takes
// effect only after that, the intent is open and is settled later.
func (o *Sender) createIntent(ctx context.Context, name string, intent wire.IntentRecord) (wire.Object, error) {
	obj, err := o.Objects.Create(ctx, platform.KindIntent, name, intent)
	if !platform.IsErrUnknownOutcome(err) {
		return obj, err
	}
	obj, readErr := o.Objects.Get(ctx, platform.KindIntent, name)
	if readErr != nil {
		return obj, errors.Join(err, readErr)
	}
	return obj, nil
}

// execute sends the order of an intent and records the result. firstSend is set if the order can't have been sent
// before; only then may the intent be cancelled if the send fails. An order that was sent before may have arrived, so
// its intent stays open until the receiver has responded.
func (o *Sender) execute(ctx context.Context, obj wire.Object, intent wire.IntentRecord, fence int, firstSend bool) error {
	var reason string
	err := o.Lease.Do(fence, func() error {
		sendCtx, cancel := context.WithTimeout(ctx, o.Lease.MaxInFlight)
		defer cancel()
		var err error
		reason, err = o.send(sendCtx, intent, fence)
		return err
	})
	intent.SettledFence = fence
	switch {
	case err == nil && reason == "":
		intent.State = wire.IntentRecordStateDone
	case err == nil:
		intent.State = wire.IntentRecordStateRefused
		intent.Reason = reason
		err = ErrRefused{ID: intent.Id, Server: intent.Server, Reason: reason}
	case platform.IsErrUnknownOutcome(err), lease.IsErrNotHeld(err), !firstSend:
		o.logOrder("order_pending", intent, zap.Error(err))
		return ErrPending{ID: intent.Id, Cause: err}
	default:
		intent.State = wire.IntentRecordStateCancelled
		intent.Reason = err.Error()
	}
	o.logOrder("order_"+string(intent.State), intent, zap.Error(err))
	o.recordResult(ctx, obj, intent)
	return err
}

// send sends the order and returns the receiver's reason for refusing it, or an empty string if it was accepted.
func (o *Sender) send(ctx context.Context, intent wire.IntentRecord, fence int) (reason string, err error) {
	checkLease := func() error { return o.Lease.CheckFence(fence) }
	if intent.Receiver == wire.IntentRecordReceiverEngine {
		order := wire.EngineOrder{Id: intent.Id, Action: wire.EngineOrderAction(intent.Action), Target: intent.Target, Fence: fence}
		result, err := o.SendEngineOrder(ctx, intent.Server, order, checkLease)
		if err != nil || result.Accepted {
			return "", err
		}
		return firstNonEmpty(result.Reason, "refused"), nil
	}
	order := wire.ServerOrder{
		Id: intent.Id, DataCentre: o.DataCentre, Action: wire.ServerOrderAction(intent.Action), Server: intent.Server,
		Kind: wire.ServerOrderKind(intent.Kind), Fence: fence, Holder: o.Instance,
	}
	result, err := o.SendServerOrder(ctx, order, checkLease)
	if err != nil || result.Accepted {
		return "", err
	}
	return firstNonEmpty(string(result.Reason), "refused"), nil
}

// firstNonEmpty returns s, or fallback if s is empty.
func firstNonEmpty(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// recordResult stores the result. If that fails, the intent stays open and is settled later under the same id.
func (o *Sender) recordResult(ctx context.Context, obj wire.Object, intent wire.IntentRecord) {
	if _, err := o.Objects.Update(ctx, platform.KindIntent, obj.Name, obj.Version, intent); err != nil {
		o.logOrder("order_not_recorded", intent, zap.Error(err))
	}
}

func (o *Sender) logOrder(event string, intent wire.IntentRecord, fields ...zap.Field) {
	o.log().Info(event, append([]zap.Field{
		zap.String("order", intent.Id), zap.String("action", intent.Action), zap.String("server", intent.Server),
		zap.Int("fence", intent.Fence), zap.String("holder", o.Instance),
	}, fields...)...)
}
