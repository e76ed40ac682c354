package instance

import (
	"sync"

	"github.com/toucanroute/toucanroute/connection/peer"
	"github.com/toucanroute/toucanroute/process/pool"
	"github.com/toucanroute/toucanroute/version/route"
	"github.com/toucanroute/toucanroute/wire"
)

// poolHomes holds the schedulers of the pools whose home is this instance. A scheduler allocates the slots of the
// pool's backend servers to requests; a grant is the right of a request to use one slot. The home of a pool is the
// instance that runs the pool's scheduler.
//
// Lock order: mu, then the lock of a scheduler.
type poolHomes struct {
	instance   string
	dataCentre string
	// table returns the configuration in force. It never returns nil after the first request was served.
	table func() *route.Table
	// state returns whether a backend server may get new requests.
	state func(server string) pool.ServerState
	// liveInstances returns the number of live instances of this data centre.
	liveInstances func() int
	// possibleHolders returns the other live instances of this data centre that may hold grants.
	possibleHolders func() []string
	// preempt asks the instance that holds a grant to pause the stream of the grant.
	preempt func(holder string, p wire.GrantPreempt)
	// recordAttempt is called after each attempt at a backend server, with true if the server failed.
	recordAttempt func(server string, failed bool)

	mu sync.Mutex
	// schedulers holds the scheduler of each pool for which this instance was asked to act as the home.
	schedulers map[string]*pool.Scheduler
	// shareSchedulers holds, by pool, schedulers that allocate only this instance's share of the pool's slots: the
	// number of slots divided by the number of live instances. They are used while the pool's home can't be reached.
	shareSchedulers map[string]*pool.Scheduler
	// closed holds the pools whose scheduler in schedulers was closed because another instance became the home.
	closed map[string]bool
	// declared holds, by pool, the instances that have declared their grants to the open scheduler.
	declared map[string]map[string]bool
}

// getOrOpen returns this instance's scheduler of a pool and opens one if there is none.
func (h *poolHomes) getOrOpen(name string) *pool.Scheduler {
	h.mu.Lock()
	defer h.mu.Unlock()
	if scheduler := h.schedulers[name]; scheduler != nil {
		return scheduler
	}
	return h.open(name)
}

// open opens a new scheduler of a pool in place of an earlier one. The caller holds mu.
func (h *poolHomes) open(name string) *pool.Scheduler {
	if h.schedulers == nil {
		h.schedulers = map[string]*pool.Scheduler{}
		h.closed = map[string]bool{}
		h.declared = map[string]map[string]bool{}
	}
	scheduler := h.make(name, 0)
	h.schedulers[name] = scheduler
	delete(h.closed, name)
	delete(h.declared, name)
	return scheduler
}

// getOrOpenShare returns the scheduler that allocates this instance's share of a pool's slots, and opens one if there
// is none.
func (h *poolHomes) getOrOpenShare(name string) *pool.Scheduler {
	h.mu.Lock()
	defer h.mu.Unlock()
	if scheduler := h.shareSchedulers[name]; scheduler != nil {
		return scheduler
	}
	scheduler := h.make(name, max(h.liveInstances(), 1))
	if h.shareSchedulers == nil {
		h.shareSchedulers = map[string]*pool.Scheduler{}
	}
	h.shareSchedulers[name] = scheduler
	return scheduler
}

// make returns a configured scheduler that allocates the pool's slots divided by slotDivisor; 0 means all slots. The
// caller holds mu.
func (h *poolHomes) make(name string, slotDivisor int) *pool.Scheduler {
	spec, _ := h.table().Pool(name)
	scheduler := &pool.Scheduler{
		Pool:           name,
		Instance:       h.instance,
		SlotDivisor:    slotDivisor,
		ExpectedTokens: spec.ExpectedTokens,
		Preempt:        h.preempt,
		OnAttemptEnd:   h.recordAttempt,
	}
	h.reconfigureOne(scheduler)
	return scheduler
}

// becomeHome opens the scheduler of a pool when this instance becomes the pool's home. The scheduler grants no slots
// until all instances have declared which grants they hold. A scheduler that was already opened for requests of peers,
// which may learn of the new home earlier, is kept.
func (h *poolHomes) becomeHome(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	scheduler := h.schedulers[name]
	if scheduler == nil || h.closed[name] {
		scheduler = h.open(name)
	}
	var missing []string
	for _, holder := range append(h.possibleHolders(), h.instance) {
		if !h.declared[name][holder] {
			missing = append(missing, holder)
		}
	}
	scheduler.StartRecovery(missing, peer.HeartbeatTimeout)
}

// declareGrants records the grants that a peer declares to the scheduler of a pool.
func (h *poolHomes) declareGrants(from string, declaration wire.GrantsHeld) {
	h.mu.Lock()
	defer h.mu.Unlock()
	scheduler := h.schedulers[declaration.Pool]
	if scheduler == nil || h.closed[declaration.Pool] {
		scheduler = h.open(declaration.Pool)
	}
	if h.declared[declaration.Pool] == nil {
		h.declared[declaration.Pool] = map[string]bool{}
	}
	h.declared[declaration.Pool][from] = true
	scheduler.ReconcileGrants(from, declaration.Grants)
}

// ceaseHome closes the scheduler of a pool when another instance becomes the pool's home. The closed scheduler refuses
// its waiting requests, which then go to the new home.
func (h *poolHomes) ceaseHome(name string) {
	h.mu.Lock()
	scheduler := h.schedulers[name]
	if scheduler != nil {
		h.closed[name] = true
	}
	h.mu.Unlock()
	if scheduler != nil {
		scheduler.Close()
	}
}

// reconfigure applies the configuration in force and the states of the backend servers to all schedulers.
func (h *poolHomes) reconfigure() {
	for _, scheduler := range h.all() {
		h.reconfigureOne(scheduler)
	}
}

// reconfigureOne applies the configuration in force and the states of the backend servers to one scheduler.
func (h *poolHomes) reconfigureOne(scheduler *pool.Scheduler) {
	cfg := h.table().Config()
	var specs []pool.ServerSpec
	for _, s := range h.table().Servers(scheduler.Pool, h.dataCentre) {
		specs = append(specs, pool.ServerSpec{Server: s, State: h.state(s.Name)})
	}
	scheduler.Configure(cfg.Classes, cfg.Workspaces, specs)
}

// all returns the schedulers and the share schedulers of all pools.
func (h *poolHomes) all() []*pool.Scheduler {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []*pool.Scheduler
	for _, scheduler := range h.schedulers {
		list = append(list, scheduler)
	}
	for _, scheduler := range h.shareSchedulers {
		list = append(list, scheduler)
	}
	return list
}

// lookup returns this instance's scheduler of a pool, or nil.
func (h *poolHomes) lookup(name string) *pool.Scheduler {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.schedulers[name]
}

// dropHolder releases the slots of an instance that was lost.
func (h *poolHomes) dropHolder(holder string) {
	for _, scheduler := range h.all() {
		scheduler.DropHolder(holder)
	}
}
