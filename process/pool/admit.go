package pool

import (
	"time"

	"github.com/toucanroute/toucanroute/request/admission"
	"github.com/toucanroute/toucanroute/request/estimate"
	"github.com/toucanroute/toucanroute/request/queue"
	"github.com/toucanroute/toucanroute/wire"
)

// admit makes a waiter of a request, or refuses it where it can't make its class's target.
func (h *Home) admit(holder string, ask wire.GrantAsk, now time.Time) (*waiter, error) {
	w := h.newWaiter(holder, ask, now)
	if w.class == nil {
		w.class = &classInfo{}
		return nil, h.refusal(w, ReasonNoClass, noServerRetry)
	}
	h.queue.Demand(ask.Class, w.class.Tier, now)
	if h.closed {
		return nil, h.refusal(w, ReasonMoved, 0)
	}
	resumed := ask.Resume != ""
	if !resumed {
		if ok, after := h.limits.Allow(ask.Workspace, now); !ok {
			return nil, h.refusal(w, ReasonRateLimit, after)
		}
	}
	h.arrival(w.class.Tier).Add(1, now)
	if !h.anyServer(w) {
		return nil, h.refusal(w, ReasonNoServer, noServerRetry)
	}
	if resumed || w.item.Latest.IsZero() {
		return w, nil
	}
	wait := h.load(w, now, true).Wait()
	if slack := w.item.Latest.Sub(now); wait > slack {
		return nil, h.refusal(w, ReasonOverload, h.load(w, now, false).Wait()-slack)
	}
	return w, nil
}

func (h *Home) newWaiter(holder string, ask wire.GrantAsk, now time.Time) *waiter {
	h.number++
	w := &waiter{ask: ask, holder: holder, class: h.classes[ask.Class], result: make(chan outcome, 1)}
	w.item = queue.Item{
		Number:    h.number,
		Class:     ask.Class,
		Workspace: ask.Workspace,
		Since:     now,
		Tokens:    float64(ask.Tokens),
	}
	if w.class == nil {
		return w
	}
	w.item.Tier = w.class.Tier
	if w.item.Tokens <= 0 {
		w.item.Tokens = h.service.Tokens(ask.Class)
	}
	h.setTarget(w, now)
	return w
}

// setTarget sets the time of the first token that meets the class's target, and the latest start for it.
func (h *Home) setTarget(w *waiter, now time.Time) {
	if w.class.TtftMs <= 0 || w.ask.Resume != "" {
		return
	}
	arrived := now.Add(-time.Duration(w.ask.WaitedMs) * time.Millisecond)
	target := time.Duration(w.class.TtftMs) * time.Millisecond
	w.deadline = arrived.Add(target)
	w.item.Latest = w.deadline.Add(-min(h.service.FirstToken(w.ask.Class), target))
}

func (h *Home) arrival(tier int) *estimate.Rate {
	r := h.arrivals[tier]
	if r == nil {
		r = &estimate.Rate{Window: arrivalWindow}
		h.arrivals[tier] = r
	}
	return r
}

// anyServer tells whether some serving server may take the request, now or later.
func (h *Home) anyServer(w *waiter) bool {
	for _, s := range h.servers {
		if h.mayServe(s, w) {
			return true
		}
	}
	return false
}

// load returns what the request finds at the pool; with preempt, grants of lower tiers that
// may be paused count as coming.
func (h *Home) load(w *waiter, now time.Time, preempt bool) admission.Load {
	l := admission.Load{Coming: h.coming, Ahead: h.queue.Ahead(&w.item, now)}
	for _, s := range h.servers {
		if !h.mayServe(s, w) {
			continue
		}
		l.Free += s.Free()
		l.Rate += s.rate
	}
	l.Free = max(0, l.Free-h.headroom(w.item.Tier, now))
	for tier, r := range h.arrivals {
		if tier < w.item.Tier {
			l.Higher += r.PerSecond(now)
		}
	}
	if !preempt {
		return l
	}
	for tier, n := range h.preemptible {
		if tier > w.item.Tier {
			l.Coming += n
		}
	}
	return l
}

// headroom returns the number of free slots that the tier leaves to the tiers above it. Grants that
// may be paused for them count as ready.
func (h *Home) headroom(tier int, now time.Time) int {
	var higher, rate float64
	slots, ready := 0, 0
	for t, r := range h.arrivals {
		if t < tier {
			higher += r.PerSecond(now)
		}
	}
	if higher <= 0 {
		return 0
	}
	for _, s := range h.servers {
		if s.serving() {
			slots += s.Slots
			rate += s.rate
		}
	}
	for t, n := range h.preemptible {
		if t >= tier {
			ready += n
		}
	}
	return max(0, admission.Headroom(higher, rate, h.slackAbove(tier), slots)-ready)
}

// slackAbove returns the shortest time that a class of a higher tier may wait for a slot.
func (h *Home) slackAbove(tier int) time.Duration {
	slack := time.Duration(-1)
	for _, c := range h.classes {
		if c.Tier >= tier || c.TtftMs <= 0 {
			continue
		}
		target := time.Duration(c.TtftMs) * time.Millisecond
		s := max(0, target-h.service.FirstToken(c.Name))
		if slack < 0 || s < slack {
			slack = s
		}
	}
	return max(0, slack)
}

// refusal notes a refusal of a request that didn't join the queue.
func (h *Home) refusal(w *waiter, reason string, after time.Duration) error {
	e := w.event(EventRefused)
	e.Reason = reason
	h.trace(e)
	return ErrRefused{Reason: reason, RetryAfter: retryAfter(reason, after)}
}

func retryAfter(reason string, after time.Duration) time.Duration {
	if reason == ReasonMoved {
		return 0
	}
	return max(after, retryAfterMin).Round(time.Millisecond)
}

// refuse ends a waiting request with a refusal.
func (h *Home) refuse(w *waiter, reason string, after time.Duration) {
	if !h.drop(w) {
		return
	}
	w.result <- outcome{err: h.refusal(w, reason, after)}
}
