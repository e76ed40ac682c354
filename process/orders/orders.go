// Package orders sends orders to the ordering interface and to engines for the holder of a data centre's lease.
//
// Each order is written as an intent before it is sent, under the fencing number of the lease, and the lease is checked
// again right before the first byte leaves. A new holder settles the intents that others left open before it decides
// anything: it sends the same id again, which a receiver carries out once, or cancels the record of one that is no
// longer wanted. As a taker waits out the longest time in flight, an order that was sent has arrived by then.
//
// A receiver that checks fencing refuses what an earlier holder sends after the newer one's first order. For a receiver
// that doesn't, one gap remains: a process that is frozen between the check and the write to the socket, or whose bytes
// the network holds back, for longer than two margins and the longest time in flight, and that is thawed afterwards.
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

// Orders sends the orders of one data centre. The exported fields are set before Run.
type Orders struct {
	DataCentre string
	Instance   string
	// RunID names the process and becomes part of the ids of orders.
	RunID   string
	Lease   *lease.Lease
	Objects platform.Store
	Log     *zap.Logger
	// SendServer sends to the ordering interface; it calls the guard right before the first byte leaves.
	SendServer func(ctx context.Context, order wire.ServerOrder, guard func() error) (wire.ServerOrderResult, error)
	// SendEngine sends to the engine of a server in the same way.
	SendEngine func(ctx context.Context, server string, order wire.EngineOrder, guard func() error) (wire.EngineOrderResult, error)
	// Wanted tells whether an intent that was left open should still be carried out; nil is always.
	Wanted func(wire.IntentRecord) bool
	// Loads limits orders that read from the weight store; nil is no limit.
	Loads *rate.Limiter
	// MaxAge and Keep are DefaultMaxAge and DefaultKeep where they are 0.
	MaxAge time.Duration
	Keep   time.Duration

	mu  sync.Mutex
	seq int
	// settled is the fencing number under which all earlier intents were settled.
	settled int
	// active are the servers for which this process is sending an order; one at a time for each.
	active map[string]bool
	// unsettled are the servers with an order whose outcome is unknown.
	unsettled map[string]bool
	// abandoned are the intents that this process gave up before the send, by object name; they may still land.
	abandoned map[string]bool
}

func (o *Orders) log() *zap.Logger {
	if o.Log == nil {
		return zap.NewNop()
	}
	return o.Log
}

// StartServer orders a backend server to start.
func (o *Orders) StartServer(ctx context.Context, server, kind string) error {
	return o.issue(ctx, wire.IntentRecord{
		Receiver: wire.IntentRecordReceiverPlatform, Action: string(wire.ServerOrderActionStart), Server: server, Kind: kind,
	})
}

// StopServer orders a backend server to stop.
func (o *Orders) StopServer(ctx context.Context, server string) error {
	return o.issue(ctx, wire.IntentRecord{
		Receiver: wire.IntentRecordReceiverPlatform, Action: string(wire.ServerOrderActionStop), Server: server,
	})
}

// Engine orders the engine of a server to change what it serves. Orders that load weights wait for the weight store.
func (o *Orders) Engine(ctx context.Context, server string, action wire.EngineOrderAction, target string) error {
	if o.Loads != nil && action != wire.EngineOrderActionSetRole {
		if err := o.Loads.Wait(ctx); err != nil {
			return err
		}
	}
	return o.issue(ctx, wire.IntentRecord{
		Receiver: wire.IntentRecordReceiverEngine, Action: string(action), Server: server, Target: target,
	})
}

// issue writes the intent and sends the order.
func (o *Orders) issue(ctx context.Context, intent wire.IntentRecord) error {
	fence, _, held := o.Lease.Held()
	if !held {
		return o.Lease.Check()
	}
	if !o.begin(intent.Server, fence) {
		return ErrUnsettled{Server: intent.Server, Fence: fence}
	}
	defer o.end(intent.Server)
	intent.Id = o.nextID(fence)
	intent.DataCentre = o.DataCentre
	intent.Fence = fence
	intent.Holder = o.Instance
	intent.State = wire.IntentRecordStateOpen
	intent.CreatedMs = int(time.Now().UnixMilli())
	obj, err := o.write(ctx, o.name(intent), intent)
	if platform.IsErrUnknownOutcome(err) {
		o.abandon(o.name(intent))
	}
	if err != nil {
		return err
	}
	err = o.carryOut(ctx, obj, intent, fence, true)
	o.note(intent.Server, IsErrPending(err))
	return err
}

func (o *Orders) name(intent wire.IntentRecord) string { return o.DataCentre + "." + intent.Id }

func (o *Orders) nextID(fence int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.seq++
	return fmt.Sprintf("%08d-%s-%06d", fence, o.RunID, o.seq)
}

// begin claims a server for one order. It fails while another is under way or unsettled.
func (o *Orders) begin(server string, fence int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.settled != fence || o.active[server] || o.unsettled[server] {
		return false
	}
	return o.activate(server)
}

// beginSettling claims a server for the settlement of its orders.
func (o *Orders) beginSettling(server string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.activate(server)
}

func (o *Orders) activate(server string) bool {
	if o.active[server] {
		return false
	}
	if o.active == nil {
		o.active = map[string]bool{}
		o.unsettled = map[string]bool{}
	}
	o.active[server] = true
	return true
}

func (o *Orders) end(server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.active, server)
}

// note remembers whether a server has an order with an unknown outcome.
func (o *Orders) note(server string, pending bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if pending {
		o.unsettled[server] = true
		return
	}
	delete(o.unsettled, server)
}

func (o *Orders) abandon(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.abandoned == nil {
		o.abandoned = map[string]bool{}
	}
	o.abandoned[name] = true
}

// isWanted tells whether an open intent should still be carried out.
func (o *Orders) isWanted(name string, intent wire.IntentRecord) bool {
	o.mu.Lock()
	abandoned := o.abandoned[name]
	o.mu.Unlock()
	return !abandoned && (o.Wanted == nil || o.Wanted(intent))
}

func (o *Orders) isSettled(fence int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.settled == fence
}

// write creates the intent. A lost answer is read back; an intent that lands later is settled as one left open.
func (o *Orders) write(ctx context.Context, name string, intent wire.IntentRecord) (wire.Object, error) {
	obj, err := o.Objects.Create(ctx, platform.KindIntent, name, intent)
	if !platform.IsErrUnknownOutcome(err) {
		return obj, err
	}
	obj, failed := o.Objects.Get(ctx, platform.KindIntent, name)
	if failed != nil {
		return obj, errors.Join(err, failed)
	}
	return obj, nil
}

// carryOut sends the order of an intent and records the result. An order that may have been sent before stays open
// until its receiver answers.
func (o *Orders) carryOut(ctx context.Context, obj wire.Object, intent wire.IntentRecord, fence int, first bool) error {
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
	case platform.IsErrUnknownOutcome(err), lease.IsErrNotHeld(err), !first:
		o.logOrder("order_pending", intent, zap.Error(err))
		return ErrPending{ID: intent.Id, Cause: err}
	default:
		intent.State = wire.IntentRecordStateCancelled
		intent.Reason = err.Error()
	}
	o.logOrder("order_"+string(intent.State), intent, zap.Error(err))
	o.record(ctx, obj, intent)
	return err
}

// send returns the receiver's reason to refuse, which is empty where it accepted.
func (o *Orders) send(ctx context.Context, intent wire.IntentRecord, fence int) (reason string, err error) {
	guard := func() error { return o.Lease.CheckFence(fence) }
	if intent.Receiver == wire.IntentRecordReceiverEngine {
		order := wire.EngineOrder{Id: intent.Id, Action: wire.EngineOrderAction(intent.Action), Target: intent.Target, Fence: fence}
		result, err := o.SendEngine(ctx, intent.Server, order, guard)
		if err != nil || result.Accepted {
			return "", err
		}
		return orElse(result.Reason, "refused"), nil
	}
	order := wire.ServerOrder{
		Id: intent.Id, DataCentre: o.DataCentre, Action: wire.ServerOrderAction(intent.Action), Server: intent.Server,
		Kind: wire.ServerOrderKind(intent.Kind), Fence: fence, Holder: o.Instance,
	}
	result, err := o.SendServer(ctx, order, guard)
	if err != nil || result.Accepted {
		return "", err
	}
	return orElse(string(result.Reason), "refused"), nil
}

func orElse(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// record writes the result; where that fails the intent stays open and is settled later by the same id.
func (o *Orders) record(ctx context.Context, obj wire.Object, intent wire.IntentRecord) {
	if _, err := o.Objects.Update(ctx, platform.KindIntent, obj.Name, obj.Version, intent); err != nil {
		o.logOrder("order_not_recorded", intent, zap.Error(err))
	}
}

func (o *Orders) logOrder(event string, intent wire.IntentRecord, more ...zap.Field) {
	o.log().Info(event, append([]zap.Field{
		zap.String("order", intent.Id), zap.String("action", intent.Action), zap.String("server", intent.Server),
		zap.Int("fence", intent.Fence), zap.String("holder", o.Instance),
	}, more...)...)
}
