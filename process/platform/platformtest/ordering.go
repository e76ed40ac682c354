package platformtest

import (
	"context"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// ExecutedOrder is an order that the fake has carried out, with the time.
type ExecutedOrder struct {
	Order wire.ServerOrder
	At    time.Time
}

// Ordering is an in-memory ordering interface. The fields must be set before the first call.
type Ordering struct {
	// ChecksFencingTokens makes the fake refuse orders with a fencing token below the highest one received.
	ChecksFencingTokens bool
	// ChooseFault returns the fault of each order; nil means no faults. Fault.Before is the delay between the guard and
	// the arrival.
	ChooseFault func(wire.ServerOrder) Fault
	// CheapUnavailable makes the fake refuse to start servers of the cheap kind while it returns true; it may be nil.
	CheapUnavailable func() bool

	mu sync.Mutex
	// highestFence is the highest fencing token received.
	highestFence int
	// results holds the result of each accepted order by the order's ID.
	results map[string]wire.ServerOrderResult
	// executed holds the orders that were carried out, oldest first.
	executed []ExecutedOrder
	// states holds the state of each server by its name.
	states map[string]wire.ServerState
}

// Send receives an order, with the semantics of platform.Ordering.Send.
func (o *Ordering) Send(ctx context.Context, order wire.ServerOrder, guard func() error) (wire.ServerOrderResult, error) {
	var fault Fault
	if o.ChooseFault != nil {
		fault = o.ChooseFault(order)
	}
	if guard != nil {
		if err := guard(); err != nil {
			return wire.ServerOrderResult{}, platform.ErrUnavailable{Call: "order_send", Cause: platform.ErrNotSent{Cause: err}}
		}
	}
	if fault.Outcome == OutcomeUnavailable {
		return wire.ServerOrderResult{}, platform.ErrUnavailable{Call: "order_send", Cause: errInjected}
	}
	// An order that was sent arrives, even if the context of the sender has ended.
	time.Sleep(fault.Before)
	unknown := platform.ErrUnknownOutcome{Call: "order_send", Cause: errInjected}
	if fault.Outcome == OutcomeWriteLost {
		return wire.ServerOrderResult{}, unknown
	}
	result := o.execute(order)
	if err := sleep(ctx, fault.After); err != nil || fault.Outcome == OutcomeResponseLost {
		return wire.ServerOrderResult{}, unknown
	}
	return result, nil
}

// execute carries out an order once and returns the stored result for a repeated order.
func (o *Ordering) execute(order wire.ServerOrder) wire.ServerOrderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.results[order.Id]; ok {
		o.highestFence = max(o.highestFence, order.Fence)
		return known
	}
	result := wire.ServerOrderResult{Id: order.Id, Accepted: true}
	if o.ChecksFencingTokens && order.Fence < o.highestFence {
		return wire.ServerOrderResult{Id: order.Id, Reason: wire.ServerOrderResultReasonOldFence, HighestFence: o.highestFence}
	}
	o.highestFence = max(o.highestFence, order.Fence)
	cheap := order.Kind == wire.ServerOrderKindCheap && order.Action == wire.ServerOrderActionStart
	if cheap && o.CheapUnavailable != nil && o.CheapUnavailable() {
		return wire.ServerOrderResult{Id: order.Id, Reason: wire.ServerOrderResultReasonUnavailable}
	}
	if o.results == nil {
		o.results = map[string]wire.ServerOrderResult{}
	}
	o.results[order.Id] = result
	o.executed = append(o.executed, ExecutedOrder{Order: order, At: time.Now()})
	state := wire.ServerStateStateRunning
	if order.Action == wire.ServerOrderActionStop {
		state = wire.ServerStateStateStopped
	}
	o.setState(order.Server, order.DataCentre, string(order.Kind), state)
	return result
}

// SetState sets the state of a server without an order, for example after a reclaim.
func (o *Ordering) SetState(server, dataCentre, kind string, state wire.ServerStateState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setState(server, dataCentre, kind, state)
}

// setState sets the state of a server; an empty kind keeps the present one. The caller holds mu.
func (o *Ordering) setState(server, dataCentre, kind string, state wire.ServerStateState) {
	if o.states == nil {
		o.states = map[string]wire.ServerState{}
	}
	s := o.states[server]
	s.Server, s.DataCentre, s.State = server, dataCentre, state
	if kind != "" {
		s.Kind = wire.ServerStateKind(kind)
	}
	o.states[server] = s
}

// Servers returns the states of the servers of a data centre.
func (o *Ordering) Servers(_ context.Context, dataCentre string) (wire.ServerStates, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var states wire.ServerStates
	for _, s := range o.states {
		if s.DataCentre == dataCentre {
			states.Servers = append(states.Servers, s)
		}
	}
	return states, nil
}

// ExecutedOrders returns the orders that were carried out, oldest first.
func (o *Ordering) ExecutedOrders() []ExecutedOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]ExecutedOrder(nil), o.executed...)
}
