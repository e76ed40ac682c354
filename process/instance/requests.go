package instance

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/connection/engine"
	"github.com/toucanroute/toucanroute/connection/service"
	"github.com/toucanroute/toucanroute/process/burn"
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request/attempt"
	"github.com/toucanroute/toucanroute/request/dispatch"
	"github.com/toucanroute/toucanroute/wire"
)

// retryBudgets holds the retry budget of each pool, which limits the retries to a share of the requests.
type retryBudgets struct {
	mu    sync.Mutex
	pools map[string]*attempt.Budget
}

// get returns the retry budget of a pool and creates it on first use.
func (r *retryBudgets) get(name string) *attempt.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pools == nil {
		r.pools = map[string]*attempt.Budget{}
	}
	budget := r.pools[name]
	if budget == nil {
		budget = &attempt.Budget{}
		r.pools[name] = budget
	}
	return budget
}

// buildDispatch creates the dispatcher, which carries out the requests of callers.
func (i *Instance) buildDispatch() {
	engines := &engine.Client{}
	services := &service.Client{}
	i.dispatch = &dispatch.Dispatcher{
		Authorize:    func(ask dispatch.AuthRequest) (dispatch.Authorization, error) { return i.requestRights().resolve(ask) },
		Models:       func(key string) ([]string, error) { return i.requestRights().models(key) },
		Acquire:      i.acquireSlot,
		Address:      i.serverAddress,
		Cheap:        i.isCheap,
		Log:          i.Log,
		TakeRetry:    func(name string) bool { return i.retryBudgets.get(name).AllowRetry() },
		Claim:        i.claims.claim,
		ReleaseClaim: i.claims.release,
		CountUsage:   i.countUsage,
		Observe:      i.requestFinished,
		Quarantine:   &i.quarantine,
		Stream:       engines.Stream,
		Pause:        engines.Pause,
		Cancel:       engines.Cancel,
		Call:         services.Call,
	}
}

// requestRights returns the value that determines the rights of requests under the configuration and keys in force.
func (i *Instance) requestRights() requestRights {
	return requestRights{table: i.table.Load(), keys: i.keys.Load()}
}

// acquireSlot acquires a slot for a request. It also counts the request in the retry budget of its pool, since the
// budget is a share of the requests.
func (i *Instance) acquireSlot(ctx context.Context, request wire.GrantAsk) (*pool.Grant, error) {
	i.retryBudgets.get(request.Pool).CountRequest()
	if i.baseline != nil {
		return i.baseline.Acquire(ctx, request)
	}
	grant, err := i.router.Acquire(ctx, request)
	i.countSlotRequest(grant, err)
	return grant, err
}

// dataCentreOf returns the data centre of a backend server, or an empty string if the server is unknown.
func (i *Instance) dataCentreOf(server string) string {
	s, _ := i.table.Load().Server(server)
	return s.DataCentre
}

// serverAddress returns the address of a backend server.
func (i *Instance) serverAddress(server string) string {
	s, _ := i.table.Load().Server(server)
	return s.Address
}

// isCheap reports whether a backend server is of the cheap kind.
func (i *Instance) isCheap(server string) bool {
	s, _ := i.table.Load().Server(server)
	return s.Kind == wire.ServerKindCheap
}

// firstTokenTarget returns the time to first token that a class targets.
func (i *Instance) firstTokenTarget(class string) time.Duration {
	c, _ := i.table.Load().Class(class)
	return time.Duration(c.TtftMs) * time.Millisecond
}

// requestFinished records the outcome of a finished request in its claim, the metrics, the demand and the service-level
// counts.
func (i *Instance) requestFinished(outcome dispatch.Summary) {
	i.claims.recordOutcome(outcome)
	i.countRequest(outcome)
	if outcome.Workspace == "" || outcome.Result == dispatch.ResultCallerGone {
		return
	}
	class, _ := i.table.Load().Class(outcome.Class)
	i.demandTracker.requestFinished(outcome, class)
	delivered := 0
	if outcome.Result == dispatch.ResultOK {
		delivered = outcome.CompletionTokens
	}
	i.burnRecorder.Record(burn.Result{
		Workspace: outcome.Workspace,
		Class:     outcome.Class,
		Cause:     missCause(outcome, class),
		Tokens:    delivered,
		Wasted:    outcome.WastedTokens,
		Cheap:     outcome.Cheap,
	})
}

// missCause returns the reason why a request missed the targets of its class, or burn.CauseNone if it met them. A late
// first token counts as queueing, slow tokens as a fault of the server, and any other failure on a cheap server as
// an eviction.
func missCause(outcome dispatch.Summary, class wire.Class) burn.Cause {
	switch outcome.Result {
	case dispatch.ResultRefused:
		return burn.CauseRefusal
	case dispatch.ResultOK:
	default:
		if outcome.Cheap {
			return burn.CauseEviction
		}
		return burn.CauseServer
	}
	if outcome.FirstToken > time.Duration(class.TtftMs)*time.Millisecond {
		return burn.CauseQueueing
	}
	if class.TbtMs > 0 && outcome.MeanTokenGap > time.Duration(class.TbtMs)*time.Millisecond {
		return burn.CauseServer
	}
	return burn.CauseNone
}

// grantReply returns the reply to a peer's slot request.
func grantReply(grant *pool.Grant, err error) wire.GrantReply {
	if err == nil {
		return wire.GrantReply{Grant: grant.Number(), Server: grant.Server()}
	}
	var refused pool.ErrRefused
	if errors.As(err, &refused) {
		return wire.GrantReply{Reason: refused.Reason, RetryAfterMs: int(refused.RetryAfter.Milliseconds())}
	}
	return wire.GrantReply{Reason: pool.ReasonSchedulerMoved}
}
