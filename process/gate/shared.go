package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/process/schedule"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

const (
	// queuePerSlot is how many requests may wait for each slot. Requests wait at most about
	// a second and hold a slot for 40 ms or more, so that hardly any behind would get one.
	queuePerSlot = 32
	// sweepInterval is the time between two searches for hopeless waiters. A search is
	// linear in the length of the queue, and the slots of a gate become free hundreds of
	// times a second.
	sweepInterval = 20 * time.Millisecond
)

// applyMode moves the waiters to the queue of the scheduling that the active configuration
// names. The caller holds mu.
func (g *Gate) applyMode() {
	if !g.isShared() {
		for _, e := range g.shared.All() {
			g.shared.Remove(e)
			e.Value.queued = nil
			g.queue.waiters = append(g.queue.waiters, e.Value)
		}
		return
	}
	for _, w := range g.queue.waiters {
		w.queued = g.shared.Push(g.item(w.request), w)
	}
	g.queue.waiters = nil
}

// item describes a request to the shared queue. The caller holds mu.
func (g *Gate) item(req hopheader.Request) schedule.Item {
	d := &g.target.durations
	return schedule.Item{
		Customer: req.Customer, Rank: schedule.RankOf(req.Customer, req.CustomerPriority, req.Priority),
		Cost: d.estimate(req.RouteHash), IsShort: d.isShort(req.RouteHash),
		SoftDeadline: req.SoftDeadline, QueueDeadline: req.QueueDeadline,
	}
}

// queueLength returns the number of waiters. The caller holds mu.
func (g *Gate) queueLength() int { return len(g.queue.waiters) + g.shared.Len() }

// removeWaiter removes a waiter and reports whether it was still queued. The caller holds
// mu.
func (g *Gate) removeWaiter(w *waiter) bool {
	if w.queued != nil {
		return g.shared.Remove(w.queued)
	}
	return g.queue.remove(w)
}

// recordExpiry records that a waiter got no slot before its queue deadline, and returns
// when to retry. The caller holds mu.
func (g *Gate) recordExpiry(w *waiter, now time.Time) time.Time {
	if w.queued == nil {
		return now.Add(g.target.durations.all)
	}
	g.shared.RecordDecision(w.queued.Item, false)
	work, isNext := g.shared.WorkAhead(w.queued.Item, now)
	return g.promiseRetry(g.sharedWait(work, isNext, now), now)
}

// admitShared is admit with the shared scheduling, for a request that the target may run:
// it returns a grant, a waiter or a problem. The caller holds mu.
func (g *Gate) admitShared(req hopheader.Request, now time.Time, isTrial bool) (grant, *waiter, *outcome.Problem) {
	item := g.item(req)
	g.shared.Arrive(item)
	limiter := &g.target.restrictions.limiter
	if g.shared.Len() == 0 && g.hasFreeSlot(now) && limiter.canAdmit(now, g.target.inFlight) {
		g.shared.Charge(item)
		return g.takeSharedSlot(req, item, now, isTrial), nil, nil
	}
	if isTrial {
		g.target.breaker.EndTrial()
	}
	if nextAt := limiter.nextAt(now, g.shared.Len()); nextAt.After(req.QueueDeadline) {
		return grant{}, nil, refuseLimited(nextAt)
	}
	work, isNext := g.shared.WorkAhead(item, now)
	wait := g.sharedWait(work, isNext, now)
	if now.Add(wait).After(req.QueueDeadline) {
		g.shared.RecordDecision(item, false)
		p := refuseFull(wait, now)
		if req.QueueDeadline.After(now) {
			p = p.WithRetryAt(g.promiseRetry(wait, now))
		}
		return grant{}, nil, p
	}
	w := newWaiter(req)
	w.queued = g.shared.Push(item, w)
	if g.shared.Len() > queuePerSlot*g.target.announced.Slots {
		g.refuseQueued(g.shared.Victim(now), now)
	}
	g.dispatchShared(now)
	return grant{}, w, nil
}

// takeSharedSlot is takeSlot for a request that the shared queue has charged.
func (g *Gate) takeSharedSlot(req hopheader.Request, item schedule.Item, now time.Time, isTrial bool) grant {
	g.shared.RecordDecision(item, true)
	gr := g.takeSlot(req, now, isTrial)
	gr.item = &item
	return gr
}

// sharedWait returns the expected wait behind an amount of work. The caller holds mu.
func (g *Gate) sharedWait(work time.Duration, isNext bool, now time.Time) time.Duration {
	delay := g.trialDelay(now)
	if delay > 0 && isNext {
		return delay
	}
	return delay + estimateWait(work, g.target.durations.all, g.slotLimit())
}

// refuseQueued refuses a waiter as full. The caller holds mu.
func (g *Gate) refuseQueued(e *schedule.Queued[*waiter], now time.Time) {
	work, isNext := g.shared.WorkAhead(e.Item, now)
	g.shared.Remove(e)
	g.shared.RecordDecision(e.Item, false)
	wait := g.sharedWait(work, isNext, now)
	e.Value.decisions <- decision{problem: refuseFull(wait, now).WithRetryAt(g.promiseRetry(wait, now))}
}

// promiseRetry returns the retry time of a request that is refused as full; wait is the
// expected wait for a slot. Requests that were not allowed to wait at all need none: their
// entries ask again at once with a longer wait, and a promise to them would delay those to
// callers. The caller holds mu.
func (g *Gate) promiseRetry(wait time.Duration, now time.Time) time.Time {
	slots := g.slotLimit()
	if g.target.shedding.IsShedding() {
		// Nothing is known of the capacity after the shedding; before it, all slots worked.
		slots = g.target.announced.Slots
	}
	return g.promises.Next(now, now.Add(wait), g.target.durations.all/time.Duration(max(1, slots)))
}

// withShedRetry adds the retry time to a refusal by the target itself, with the shared
// scheduling.
func (g *Gate) withShedRetry(p *outcome.Problem) *outcome.Problem {
	if p == nil || p.Code != outcome.CodeShed || !g.isShared() {
		return p
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return p.WithRetryAt(g.promiseRetry(g.sharedWait(0, true, now), now))
}

// dispatchShared is dispatchWaiters with the shared scheduling. The caller holds mu.
func (g *Gate) dispatchShared(now time.Time) {
	g.refuseInadmissible(now)
	for g.hasFreeSlot(now) && g.target.restrictions.limiter.canAdmit(now, g.target.inFlight) {
		e := g.shared.Pop(now)
		if e == nil {
			break
		}
		if p := g.checkAdmissible(e.Value.request, now); p != nil {
			g.shared.Correct(e.Item, 0)
			e.Value.decisions <- decision{problem: p}
			continue
		}
		e.Value.decisions <- decision{grant: g.takeSharedSlot(e.Value.request, e.Item, now, false)}
	}
	if now.Sub(g.sweptAt) >= sweepInterval {
		g.sweptAt = now
		for _, e := range g.shared.Hopeless(now, func(work time.Duration, isNext bool) time.Duration {
			return g.hopelessWait(work, isNext, now)
		}) {
			g.refuseQueued(e, now)
		}
	}
	g.wakeForLimits(now)
}

// hopelessWait is the least wait that a queued request expects behind an amount of work. A
// request that goes next is kept unless the target gets no request in time. The caller
// holds mu.
func (g *Gate) hopelessWait(work time.Duration, isNext bool, now time.Time) time.Duration {
	delay := g.trialDelay(now)
	if isNext {
		return delay
	}
	return delay + time.Duration(float64(estimateWait(work, g.target.durations.all, g.slotLimit()))/earlyRefusalFactor)
}

// refuseInadmissible refuses the queued requests that the gate can no longer serve. The
// queue is searched only when the state of the gate or of the target concerns all of them;
// the rest is checked when a request gets its slot. The caller holds mu.
func (g *Gate) refuseInadmissible(now time.Time) {
	isSuspected := g.target.breaker.IsSuspected(now)
	isClosed := !g.isOpen(now) || !g.options.ShutdownDeadline().IsZero()
	if !isClosed && !isSuspected {
		return
	}
	for _, e := range g.shared.All() {
		p := g.checkAdmissible(e.Value.request, now)
		if p == nil && isSuspected {
			p = g.refuseSuspected()
		}
		if p != nil {
			g.shared.Remove(e)
			e.Value.decisions <- decision{problem: p}
		}
	}
}
