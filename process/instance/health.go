package instance

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/toucanroute/toucanroute/connection/engine"
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/request/attempt"
	"github.com/toucanroute/toucanroute/wire"
)

// Parameters of the health checks.
const (
	// healthInterval is the time between two health checks of a backend server.
	healthInterval = 500 * time.Millisecond
	// healthWorkers is the maximum number of concurrent health checks.
	healthWorkers = 32
	// suspectAfter is the number of consecutive failed checks after which a backend server is suspect.
	suspectAfter = 2
)

// healthChecker reads the load reports and cache events of the backend servers of the pools whose home is this
// instance. A backend server that does not respond, or whose circuit breaker is open, is suspect and gets no new
// requests.
//
// Lock order: healthChecker.mu, then the lock of a breaker.
type healthChecker struct {
	log     *zap.Logger
	reports engine.ReportClient
	// servers returns the backend servers to check.
	servers func() []wire.Server
	// home returns the scheduler of a pool if this instance runs one, or nil.
	home func(pool string) *pool.Scheduler
	// report passes each load report of a backend server on to the scheduler of its pool.
	report func(s wire.Server, r wire.LoadReport)
	// notifyChange tells the schedulers that a backend server has become suspect or has recovered.
	notifyChange func()
	// isModelPool reports whether a pool's backend servers are inference engines.
	isModelPool func(pool string) bool

	mu sync.Mutex
	// failedChecks holds the number of consecutive failed checks of each backend server.
	failedChecks map[string]int
	// breakers holds the circuit breaker of each backend server at which an attempt has failed.
	breakers map[string]*attempt.Breaker
	// lastEventSeq holds the sequence number of the newest cache event of each engine.
	lastEventSeq map[string]int
}

// run checks all backend servers at each healthInterval until ctx ends.
func (h *healthChecker) run(ctx context.Context) {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		h.probeBreakers()
		var g errgroup.Group
		g.SetLimit(healthWorkers)
		for _, s := range h.servers() {
			g.Go(func() error { h.check(ctx, s); return nil })
		}
		_ = g.Wait()
	}
}

// check reads the load report of one backend server and, if the server is an engine, its cache events.
func (h *healthChecker) check(ctx context.Context, s wire.Server) {
	report, err := h.reports.Load(ctx, s.Address)
	if ctx.Err() != nil {
		return
	}
	h.recordCheck(s.Name, err)
	if err != nil {
		return
	}
	report.Server = s.Name
	h.report(s, report)
	scheduler := h.home(s.Pool)
	if scheduler != nil && h.isModelPool(s.Pool) {
		h.forwardCacheEvents(ctx, s, scheduler)
	}
}

// recordCheck counts the consecutive failed checks of a backend server, where err is the error of the newest check, and
// notifies the schedulers when the server becomes suspect or recovers.
func (h *healthChecker) recordCheck(server string, err error) {
	h.mu.Lock()
	if h.failedChecks == nil {
		h.failedChecks = map[string]int{}
	}
	failedBefore := h.failedChecks[server]
	if err == nil {
		delete(h.failedChecks, server)
	} else {
		h.failedChecks[server] = failedBefore + 1
	}
	h.mu.Unlock()
	if err != nil && failedBefore+1 == suspectAfter {
		h.log.Warn("server_suspect", zap.String("server", server), zap.Error(err))
		h.notifyChange()
	}
	if err == nil && failedBefore >= suspectAfter {
		h.log.Info("server_recovered", zap.String("server", server))
		h.notifyChange()
	}
}

// forwardCacheEvents passes the new cache events of an engine to the scheduler of its pool.
func (h *healthChecker) forwardCacheEvents(ctx context.Context, s wire.Server, scheduler *pool.Scheduler) {
	h.mu.Lock()
	if h.lastEventSeq == nil {
		h.lastEventSeq = map[string]int{}
	}
	from := h.lastEventSeq[s.Name]
	h.mu.Unlock()
	list, err := h.reports.CacheEvents(ctx, s.Address, from)
	if err != nil || len(list.Events) == 0 {
		return
	}
	h.mu.Lock()
	h.lastEventSeq[s.Name] = list.Events[len(list.Events)-1].Seq
	h.mu.Unlock()
	scheduler.CacheEvents(s.Name, list.Events)
}

// isSuspect reports whether a backend server does not respond or has an open circuit breaker.
func (h *healthChecker) isSuspect(server string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failedChecks[server] >= suspectAfter {
		return true
	}
	breaker := h.breakers[server]
	return breaker != nil && breaker.State() == attempt.BreakerOpen
}

// recordAttempt records the result of an attempt at a backend server in its circuit breaker.
func (h *healthChecker) recordAttempt(server string, failed bool) {
	h.mu.Lock()
	breaker := h.breakers[server]
	if breaker == nil && failed {
		if h.breakers == nil {
			h.breakers = map[string]*attempt.Breaker{}
		}
		breaker = &attempt.Breaker{}
		h.breakers[server] = breaker
	}
	h.mu.Unlock()
	if breaker == nil {
		return
	}
	stateBefore := breaker.State()
	if failed {
		breaker.Failure()
	} else {
		breaker.Success()
	}
	if breaker.State() == stateBefore {
		return
	}
	h.log.Info("breaker_changed", zap.String("server", server), zap.Bool("open", breaker.State() == attempt.BreakerOpen))
	h.notifyChange()
}

// probeBreakers lets requests go again to the backend servers whose circuit breakers have been open long enough.
func (h *healthChecker) probeBreakers() {
	notifyChange := false
	h.mu.Lock()
	for _, breaker := range h.breakers {
		if breaker.State() == attempt.BreakerOpen && breaker.Allow() {
			notifyChange = true
		}
	}
	h.mu.Unlock()
	if notifyChange {
		h.notifyChange()
	}
}
