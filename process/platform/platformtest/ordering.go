package platformtest

import (
	"context"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/process/platform"
	"github.com/toucanroute/toucanroute/wire"
)

// Carried is an order that the ordering interface has carried out.
type Carried struct {
	Order wire.ServerOrder
	At    time.Time
}

// Ordering is an in-memory ordering interface. The fields are set before the first call.
type Ordering struct {
	// ChecksFencing refuses orders with a fencing number below the highest seen.
	ChecksFencing bool
	// Decide may be nil; Before passes between the guard and the arrival.
	Decide func(wire.ServerOrder) Fault
	// CheapUnavailable refuses starts of the cheap kind while it returns true; it may be nil.
	CheapUnavailable func() bool

	mu      sync.Mutex
	fence   int
	results map[string]wire.ServerOrderResult
	carried []Carried
	states  map[string]wire.ServerState
}

// Send takes an order as platform.Ordering does.
func (o *Ordering) Send(ctx context.Context, order wire.ServerOrder, guard func() error) (wire.ServerOrderResult, error) {
	var fault Fault
	if o.Decide != nil {
		fault = o.Decide(order)
	}
	if guard != nil {
		if err := guard(); err != nil {
			return wire.ServerOrderResult{}, platform.ErrUnavailable{Call: "order_send", Cause: platform.ErrNotSent{Cause: err}}
		}
	}
	if fault.Outcome == OutcomeDown {
		return wire.ServerOrderResult{}, platform.ErrUnavailable{Call: "order_send", Cause: errInjected}
	}
	// What has left arrives, whatever becomes of the sender.
	time.Sleep(fault.Before)
	unknown := platform.ErrUnknownOutcome{Call: "order_send", Cause: errInjected}
	if fault.Outcome == OutcomeWriteLost {
		return wire.ServerOrderResult{}, unknown
	}
	result := o.carryOut(order)
	if err := sleep(ctx, fault.After); err != nil || fault.Outcome == OutcomeAnswerLost {
		return wire.ServerOrderResult{}, unknown
	}
	return result, nil
}

func (o *Ordering) carryOut(order wire.ServerOrder) wire.ServerOrderResult {
	o.mu.Lock()
	defer o.mu.Unlock()
	if known, ok := o.results[order.Id]; ok {
		o.fence = max(o.fence, order.Fence)
		return known
	}
	result := wire.ServerOrderResult{Id: order.Id, Accepted: true}
	if o.ChecksFencing && order.Fence < o.fence {
		return wire.ServerOrderResult{Id: order.Id, Reason: wire.ServerOrderResultReasonOldFence, HighestFence: o.fence}
	}
	o.fence = max(o.fence, order.Fence)
	cheap := order.Kind == wire.ServerOrderKindCheap && order.Action == wire.ServerOrderActionStart
	if cheap && o.CheapUnavailable != nil && o.CheapUnavailable() {
		return wire.ServerOrderResult{Id: order.Id, Reason: wire.ServerOrderResultReasonUnavailable}
	}
	if o.results == nil {
		o.results = map[string]wire.ServerOrderResult{}
	}
	o.results[order.Id] = result
	o.carried = append(o.carried, Carried{Order: order, At: time.Now()})
	state := wire.ServerStateStateRunning
	if order.Action == wire.ServerOrderActionStop {
		state = wire.ServerStateStateStopped
	}
	o.setState(order.Server, order.DataCentre, string(order.Kind), state)
	return result
}

// SetState sets the state of a server as if it had changed by itself.
func (o *Ordering) SetState(server, dataCentre, kind string, state wire.ServerStateState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.setState(server, dataCentre, kind, state)
}

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

// Servers returns the states of a data centre's servers.
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

// Carried returns the orders that were carried out, oldest first.
func (o *Ordering) Carried() []Carried {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Carried(nil), o.carried...)
}
