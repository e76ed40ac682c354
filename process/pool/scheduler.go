package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/toucanroute/toucanroute/request/admission"
	"github.com/toucanroute/toucanroute/request/attempt"
	"github.com/toucanroute/toucanroute/request/estimate"
	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/request/prefixcache"
	"github.com/toucanroute/toucanroute/request/queue"
	"github.com/toucanroute/toucanroute/wire"
)

// Reasons of an ErrRefused.
const (
	// ReasonOverload means that the target can't be met because of load.
	ReasonOverload = "overload"
	// ReasonDeadlinePassed means that the time for the target had passed when the request arrived.
	ReasonDeadlinePassed = "late"
	// ReasonRateLimit means that the workspace exceeds its rate limit.
	ReasonRateLimit = "rate_limit"
	// ReasonNoServer means that no backend server of the pool may run the request.
	ReasonNoServer = "no_server"
	// ReasonUnknownClass means that the class isn't in the configuration.
	ReasonUnknownClass = "unknown_class"
	// ReasonSchedulerMoved means that the pool has another home instance now, or that the instance that asked has failed.
	ReasonSchedulerMoved = "moved"
)

const (
	// sweepInterval is the longest time between two sweeps while requests wait. A sweep refuses the requests that can no
	// longer meet their targets and schedules the others.
	sweepInterval = 50 * time.Millisecond
	// preemptDelay is the time by which a stream is preempted before its slot is needed: it covers the pause of the stream
	// and the wait for the next sweep.
	preemptDelay = 2 * sweepInterval
	// arrivalWindow is the averaging window of the arrival rates.
	arrivalWindow = 10 * time.Second
	// maxPrefixes is the largest number of prompt prefixes that a scheduler keeps.
	maxPrefixes = 20_000
	// turnShare is the largest share of the pool's slot time that the turns of all classes together use.
	turnShare = 0.02
	// turnAfterMin and turnAfterMax bound the time without a grant after which a class gets a turn: one of its requests is
	// then served ahead of higher tiers, so that the class doesn't starve.
	turnAfterMin = 2 * time.Second
	turnAfterMax = time.Minute
	// creditAnswers limits the credit of a workspace that has used less than its share while it had no waiting requests,
	// so that it is served ahead of the others for a limited time only. The unit is answers of usual length.
	creditAnswers = 10
	// maxChargeFactor limits the charge for one answer to this multiple of its estimated length, so that a single long
	// answer doesn't keep the workspace from being served.
	maxChargeFactor = 2
	// upperTierAdmitFactor is the factor by which the predicted wait of a request may exceed its slack, the time until its
	// latest start, while a lower tier sends more than minLowerTierRate requests per second.
	upperTierAdmitFactor = 2
	minLowerTierRate     = 0.01
	// minRetryAfter is the shortest retry delay sent with a refusal.
	minRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is the retry delay sent when no server may run the request.
	noServerRetryAfter = time.Second
	// maxReplyDelay is the longest time that a reply with a grant takes to reach its holder.
	maxReplyDelay = 5 * time.Second
	// firstNumberRange bounds the random first request number, so that two schedulers seldom use the same numbers.
	firstNumberRange = 1 << 30
)

// Scheduler schedules one pool in one data centre. It owns the only queue of the pool and the slots of its backend
// servers. Its state is guarded by mu. OnEvent is called with mu held, all other callbacks after mu has been unlocked.
type Scheduler struct {
	// Pool is the name of the pool.
	Pool string
	// Instance is the name of the instance that runs the scheduler.
	Instance string
	// Policy chooses among the eligible backend servers; the zero value means pick.Observed.
	Policy pick.Policy
	// SlotDivisor makes the scheduler use only a part of each server's slots: when a server is configured, the scheduler
	// divides the server's number of slots by SlotDivisor and rounds up. An instance that can't reach the scheduler of
	// the pool runs one of its own, with SlotDivisor set to the number of live instances in its data centre, and so serves
	// requests with its own share of the slots. 0 and 1 mean all slots.
	SlotDivisor int
	// ExpectedTokens is the assumed length of an answer in tokens until answers have been observed.
	ExpectedTokens int
	// Preempt asks another instance to pause the stream of a grant. It must not block; it may be nil.
	Preempt func(holder string, p wire.GrantPreempt)
	// OnAttemptEnd is called at the end of each attempt and reports whether the backend server failed; it may be nil.
	OnAttemptEnd func(server string, failed bool)
	// OnEvent is called with each decision, in order, with the lock held, so it must not call the scheduler; it may be
	// nil.
	OnEvent func(Event)

	mu sync.Mutex
	// closed is set by Close.
	closed bool
	// classes holds the classes by name.
	classes map[string]*classInfo
	// servers and serversByName hold the same servers: the configured ones, and others that still have grants.
	servers       []*server
	serversByName map[string]*server
	queue         queue.Queue
	// waiters holds the waiting requests by request number.
	waiters map[int]*waiter
	grants  map[grantKey]*activeGrant
	// serviceStats estimates service times and answer lengths by class.
	serviceStats admission.ServiceStats
	rateLimits   admission.Limits
	stragglers   attempt.StragglerDetector
	// prefixes holds the servers that probably cache a prompt prefix.
	prefixes prefixcache.Map
	// lastNumber is the number of the last request.
	lastNumber int
	// arrivalRates holds the arrival rates by tier and by whether servers of the cheap kind may run the requests.
	arrivalRates map[tierKind]*estimate.Rate
	// preemptibleCounts counts the grants that may be preempted and haven't been asked to pause, by tier and kind of
	// server.
	preemptibleCounts map[tierKind]int
	// pendingReleases counts the grants that are being paused, by kind of server.
	pendingReleases kindCounts
	// recovering holds the instances that haven't declared their grants yet. New grants are delayed until it is empty, but
	// not after recoveringUntil.
	recovering      map[string]bool
	recoveringUntil time.Time
	sweepTimer      *time.Timer
	// nextSweep is the time of the next sweep; zero means that none is planned.
	nextSweep time.Time
	// callbacks are the callbacks that unlock runs.
	callbacks []func()
	// candidateBuf is the reused result of eligibleServers.
	candidateBuf []*pick.Server
}

// classInfo is a class of the configuration with the kinds of server that may run its requests.
type classInfo struct {
	wire.Class
	// CheapAllowed is set if servers of the cheap kind, which may be reclaimed at short notice, may run its requests.
	CheapAllowed bool
}

// tierKind combines a tier with a kind of server.
type tierKind struct {
	tier  int
	cheap bool
}

// kindCounts holds a count for each kind of server.
type kindCounts struct{ regular, cheap int }

func (k *kindCounts) add(cheap bool, n int) {
	if cheap {
		k.cheap += n
		return
	}
	k.regular += n
}

// waiter is a request that waits for a slot.
type waiter struct {
	item queue.Item
	ask  wire.GrantAsk
	// holder is the instance that asks for the slot.
	holder string
	class  *classInfo
	// firstTokenDeadline is the time by which the first token is due; zero means no target.
	firstTokenDeadline time.Time
	result             chan outcome
}

// outcome is the result for a waiting request: a grant or an error. Exactly one is sent to each.
type outcome struct {
	grant *Grant
	err   error
}

// Acquire waits for a slot. It returns an ErrRefused as soon as the request can no longer meet the target of its class.
// If ctx is done first, it returns the error of ctx, and a slot granted in the meantime is released.
func (sched *Scheduler) Acquire(ctx context.Context, holder string, ask wire.GrantAsk) (*Grant, error) {
	w, err := sched.enqueue(holder, ask)
	if err != nil {
		return nil, err
	}
	select {
	case out := <-w.result:
		return out.grant, out.err
	case <-ctx.Done():
	}
	if !sched.abandon(w) {
		if out := <-w.result; out.grant != nil {
			out.grant.Release(wire.GrantRelease{Pool: sched.Pool})
		}
	}
	return nil, ctx.Err()
}

// enqueue adds a request to the queue or refuses it.
func (sched *Scheduler) enqueue(holder string, ask wire.GrantAsk) (*waiter, error) {
	sched.lock()
	defer sched.unlock()
	now := time.Now()
	w, err := sched.admit(holder, ask, now)
	if err != nil {
		return nil, err
	}
	sched.waiters[w.item.Number] = w
	sched.queue.Push(&w.item)
	sched.trace(w.newEvent(EventQueued))
	sched.schedule(now)
	sched.planSweepFor(&w.item, now)
	return w, nil
}

// abandon removes a request whose caller has given up. It returns false if an outcome has already been sent.
func (sched *Scheduler) abandon(w *waiter) bool {
	sched.lock()
	defer sched.unlock()
	if !sched.dequeue(w) {
		return false
	}
	sched.trace(w.newEvent(EventAbandoned))
	sched.schedule(time.Now())
	return true
}

// dequeue removes a request from the queue. It returns false if the request isn't waiting.
func (sched *Scheduler) dequeue(w *waiter) bool {
	if !sched.queue.Remove(&w.item) {
		return false
	}
	delete(sched.waiters, w.item.Number)
	return true
}

// Status returns the number of waiting requests, of grants, and of slots on serving servers.
func (sched *Scheduler) Status() (waiting, running, slots int) {
	sched.lock()
	defer sched.unlock()
	for _, s := range sched.servers {
		if s.serving() {
			slots += s.Slots
		}
	}
	return sched.queue.Len(), len(sched.grants), slots
}

// Close refuses the waiting requests and all later ones with ReasonSchedulerMoved. Grants stay valid until they are
// released. It is called when another instance becomes the scheduler of the pool.
func (sched *Scheduler) Close() {
	sched.lock()
	defer sched.unlock()
	sched.closed = true
	for _, it := range sched.queue.Items() {
		sched.refuse(sched.waiters[it.Number], ReasonSchedulerMoved, 0)
	}
	sched.sweepTimer.Stop()
}

// lock acquires the lock and initializes the state on first use.
func (sched *Scheduler) lock() {
	sched.mu.Lock()
	if sched.grants == nil {
		sched.init()
	}
}

// unlock releases the lock and then runs the collected callbacks, such as requests to holders to pause a stream.
func (sched *Scheduler) unlock() {
	callbacks := sched.callbacks
	sched.callbacks = nil
	sched.mu.Unlock()
	for _, call := range callbacks {
		call()
	}
}

func (sched *Scheduler) init() {
	sched.classes = make(map[string]*classInfo)
	sched.serversByName = make(map[string]*server)
	sched.waiters = make(map[int]*waiter)
	sched.grants = make(map[grantKey]*activeGrant)
	sched.arrivalRates = make(map[tierKind]*estimate.Rate)
	sched.preemptibleCounts = make(map[tierKind]int)
	sched.queue.TurnAfter = turnAfterMin
	sched.prefixes.Limit = maxPrefixes
	sched.serviceStats.ExpectedTokens = sched.ExpectedTokens
	sched.lastNumber = rand.IntN(firstNumberRange)
	if sched.Policy.Choose == nil {
		sched.Policy = pick.ObservedPolicy()
	}
	sched.sweepTimer = time.AfterFunc(sweepInterval, sched.sweep)
	sched.sweepTimer.Stop()
}

// newEvent returns an event of the request.
func (w *waiter) newEvent(kind EventKind) Event {
	return Event{
		Kind:         kind,
		Request:      w.item.Number,
		Class:        w.item.Class,
		Tier:         w.item.Tier,
		Workspace:    w.item.Workspace,
		Exclude:      w.ask.Exclude,
		Resume:       w.ask.Resume,
		CheapAllowed: w.class.CheapAllowed,
		LatestStart:  w.item.LatestStart,
	}
}
