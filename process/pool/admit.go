package pool

import (
	"time"

	"github.com/toucanroute/toucanroute/request/estimate"
	"github.com/toucanroute/toucanroute/request/pick"
	"github.com/toucanroute/toucanroute/request/queue"
	"github.com/toucanroute/toucanroute/wire"
)

// admit returns a waiter for the request, or a refusal if the request can't meet the target of its class.
func (sched *Scheduler) admit(holder string, ask wire.GrantAsk, now time.Time) (*waiter, error) {
	w := sched.newWaiter(holder, ask, now)
	if w.class == nil {
		w.class = &classInfo{}
		return nil, sched.newRefusal(w, ReasonUnknownClass, noServerRetryAfter)
	}
	sched.queue.RecordDemand(ask.Class, w.class.Tier, now)
	if sched.closed {
		return nil, sched.newRefusal(w, ReasonSchedulerMoved, 0)
	}
	resumed := ask.Resume != ""
	if !resumed {
		if ok, after := sched.rateLimits.Allow(ask.Workspace, now); !ok {
			return nil, sched.newRefusal(w, ReasonRateLimit, after)
		}
	}
	sched.arrivalRate(tierKind{tier: w.class.Tier, cheap: w.class.CheapAllowed}).Add(1, now)
	if !sched.hasEligibleServer(w) {
		return nil, sched.newRefusal(w, ReasonNoServer, noServerRetryAfter)
	}
	if resumed || w.item.LatestStart.IsZero() {
		return w, nil
	}
	slack := w.item.LatestStart.Sub(now)
	if slack < 0 {
		return nil, sched.newRefusal(w, ReasonDeadlinePassed, 0)
	}
	if sched.load(w, now, true).Wait() > slack*sched.admitFactor(w, now) {
		return nil, sched.overloadRefusal(w, now)
	}
	return w, nil
}

// admitFactor returns the factor by which the predicted wait of a request may exceed its slack, the time until its
// latest start. The factor is 1 for the lowest tier that sends requests. It is larger for the tiers above: if their
// requests were refused, a slot that becomes free sooner than predicted would go to a lower tier.
func (sched *Scheduler) admitFactor(w *waiter, now time.Time) time.Duration {
	for key, rate := range sched.arrivalRates {
		if key.tier > w.class.Tier && rate.PerSecond(now) > minLowerTierRate {
			return upperTierAdmitFactor
		}
	}
	return 1
}

// newWaiter returns a waiter with the next request number. Its class is nil if the class is unknown.
func (sched *Scheduler) newWaiter(holder string, ask wire.GrantAsk, now time.Time) *waiter {
	sched.lastNumber++
	w := &waiter{ask: ask, holder: holder, class: sched.classes[ask.Class], result: make(chan outcome, 1)}
	w.item = queue.Item{
		Number:          sched.lastNumber,
		Class:           ask.Class,
		Workspace:       ask.Workspace,
		JoinedAt:        now,
		EstimatedTokens: float64(ask.Tokens),
	}
	if w.class == nil {
		return w
	}
	w.item.CheapAllowed = w.class.CheapAllowed
	w.item.Resumed = ask.Resume != ""
	w.item.Tier = w.class.Tier
	if w.item.EstimatedTokens <= 0 {
		w.item.EstimatedTokens = sched.serviceStats.AnswerTokens(ask.Class)
	}
	sched.setTarget(w, now)
	return w
}

// setTarget sets the deadline of the first token from the target of the class, and the latest start that meets it. A
// class without a target and a resumed stream have no deadline.
func (sched *Scheduler) setTarget(w *waiter, now time.Time) {
	if w.class.TtftMs <= 0 || w.ask.Resume != "" {
		return
	}
	arrived := now.Add(-time.Duration(w.ask.WaitedMs) * time.Millisecond)
	target := time.Duration(w.class.TtftMs) * time.Millisecond
	w.firstTokenDeadline = arrived.Add(target)
	w.item.LatestStart = w.firstTokenDeadline.Add(-min(sched.serviceStats.FirstToken(w.ask.Class), target))
}

// arrivalRate returns the arrival rate of a tier and kind, and creates it if there is none.
func (sched *Scheduler) arrivalRate(key tierKind) *estimate.Rate {
	rate := sched.arrivalRates[key]
	if rate == nil {
		rate = &estimate.Rate{Window: arrivalWindow}
		sched.arrivalRates[key] = rate
	}
	return rate
}

// hasEligibleServer reports whether some serving backend server may run the request, now or later.
func (sched *Scheduler) hasEligibleServer(w *waiter) bool {
	for _, s := range sched.servers {
		if sched.mayServe(s, w) {
			return true
		}
	}
	return false
}

// overloadRefusal records a refusal of the request because of load and returns it as an error.
func (sched *Scheduler) overloadRefusal(w *waiter, now time.Time) error {
	l := sched.load(w, now, false)
	e := w.newEvent(EventRefused)
	e.Reason, e.RequestsAhead, e.LatestStart = ReasonOverload, l.RequestsAhead, w.item.LatestStart
	e.TooSlowServers, e.Recovering = sched.tooSlowServers(w, now), sched.isRecovering(now)
	sched.trace(e)
	return ErrRefused{Reason: ReasonOverload, RetryAfter: retryAfter(ReasonOverload, l.Wait()-w.item.LatestStart.Sub(now))}
}

// newRefusal records a refusal for a reason other than load and returns it as an error.
func (sched *Scheduler) newRefusal(w *waiter, reason string, after time.Duration) error {
	e := w.newEvent(EventRefused)
	e.Reason = reason
	sched.trace(e)
	return ErrRefused{Reason: reason, RetryAfter: retryAfter(reason, after)}
}

// retryAfter rounds the retry delay and raises it to minRetryAfter. It is 0 for ReasonSchedulerMoved, since the
// scheduler on the new home instance can be asked immediately.
func retryAfter(reason string, after time.Duration) time.Duration {
	if reason == ReasonSchedulerMoved {
		return 0
	}
	return max(after, minRetryAfter).Round(time.Millisecond)
}

// refuse removes a waiting request from the queue and refuses it.
func (sched *Scheduler) refuse(w *waiter, reason string, after time.Duration) {
	if !sched.dequeue(w) {
		return
	}
	w.result <- outcome{err: sched.newRefusal(w, reason, after)}
}

// refuseOverload removes a waiting request that can no longer meet its target and refuses it because of load.
func (sched *Scheduler) refuseOverload(w *waiter, now time.Time) {
	if sched.dequeue(w) {
		w.result <- outcome{err: sched.overloadRefusal(w, now)}
	}
}

// tooSlowServers returns the names of the stragglers on which the request would miss its targets.
func (sched *Scheduler) tooSlowServers(w *waiter, now time.Time) []string {
	if sched.OnEvent == nil {
		return nil
	}
	var names []string
	required := sched.requirements(w, now)
	for _, s := range sched.servers {
		if pick.TooSlow(&s.Server, required) {
			names = append(names, s.Name)
		}
	}
	return names
}
