package gate

import (
	"context"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/process/health"
	"github.com/cuminwheel/cuminwheel/process/schedule"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// checkAdmissible returns the problem for which the request cannot be served
// now, or nil. The caller holds mu.
func (g *Gate) checkAdmissible(req hopheader.Request, now time.Time) *outcome.Problem {
	switch {
	case req.Service != g.options.Service:
		return outcome.Refused(outcome.CodeNoTarget, "the target beside this node is of service %s", g.options.Service)
	case g.isDraining:
		return outcome.Refused(outcome.CodeDraining, "the node is leaving")
	case g.isRecovering:
		return outcome.Refused(outcome.CodeNoTarget, "the node has restarted and does not know yet whether its target leaves")
	case !g.target.isKnown:
		return outcome.Refused(outcome.CodeNoTarget, "no target has announced itself")
	case !g.target.isOpen():
		return outcome.Refused(outcome.CodeDraining, "the target is leaving")
	case g.isDoubted(now):
		return outcome.Refused(outcome.CodeNoTarget, "the target may have left before the node restarted")
	case !now.Before(req.Deadline):
		return outcome.Refused(outcome.CodeDeadlineExceeded, "the deadline has passed")
	case req.EntryLeaves && now.Add(g.target.durations.stallLimit(req.RouteHash, g.target.durations.all)).After(req.Deadline):
		return outcome.Refused(outcome.CodeDeadlineExceeded, "the caller's node stops before the target could respond")
	case !g.canFinish(req, now):
		return outcome.Refused(outcome.CodeDraining, "the node is leaving")
	case req.IsRetry && !req.RetryCharged && !g.retryBudget.canWithdraw(now, req.Priority):
		return outcome.Refused(outcome.CodeRetryBudget, "too many requests are being sent again")
	}
	return nil
}

// refuseSuspected returns the refusal of a request that a suspected target may
// not run. The caller holds mu.
func (g *Gate) refuseSuspected() *outcome.Problem {
	return outcome.Refused(outcome.CodeTargetSuspected, "the target failed lately").WithRetryAt(g.target.breaker.NextTrialAt())
}

// shutdownTimeShare is the share of the time left before a leaving node shuts
// down that the mean duration of a request may take. It is below 1 so that
// hardly any request still runs at the shutdown.
const shutdownTimeShare = 0.5

// canFinish reports whether the request is expected to finish before the node
// shuts down. The caller holds mu.
func (g *Gate) canFinish(req hopheader.Request, now time.Time) bool {
	shutdownAt := g.options.ShutdownDeadline()
	if shutdownAt.IsZero() {
		return true
	}
	return float64(g.target.durations.estimate(req.RouteHash)) <= shutdownTimeShare*float64(shutdownAt.Sub(now))
}

// grant is the right to run one request at the target. Each grant must be passed
// to Gate.release exactly once.
type grant struct {
	startedAt time.Time
	instance  string
	// item is what the shared queue has charged for the request; nil with the default
	// scheduling.
	item *schedule.Item
	// identity is that of the target's incarnation.
	identity uint64
	// number counts the requests that the incarnation was granted slots for.
	number    uint64
	routeHash uint32
	isTrial   bool
	isRetry   bool
	run       *run
}

// admit returns a grant for the request or the problem for which it is refused.
// It queues the request if no slot is free and the expected wait ends before the
// queue deadline.
func (g *Gate) admit(ctx context.Context, req hopheader.Request) (grant, *outcome.Problem) {
	g.mu.Lock()
	now := time.Now()
	g.learnNotice(req.Notice, now)
	g.applyMode()
	if p := g.checkAdmissible(req, now); p != nil {
		g.mu.Unlock()
		return grant{}, p
	}
	isTrial := false
	switch g.target.breaker.Admit(now, req.Idempotent && req.CanRetry) {
	case health.Denied:
		p := g.refuseSuspected()
		g.mu.Unlock()
		return grant{}, p
	case health.AdmittedAsTrial:
		isTrial = true
	}
	if g.isShared() {
		gr, w, p := g.admitShared(req, now, isTrial)
		g.mu.Unlock()
		if w == nil {
			return gr, p
		}
		return g.awaitDecision(ctx, w)
	}
	work, isNext := g.queue.workAhead(req, len(g.queue.waiters), g.queueOrder(now))
	if g.target.inFlight < g.target.announced.Slots && isNext && g.target.restrictions.limiter.canAdmit(now, g.target.inFlight) {
		gr := g.takeSlot(req, now, isTrial)
		g.mu.Unlock()
		return gr, nil
	}
	if isTrial {
		g.target.breaker.EndTrial()
	}
	if nextAt := g.target.restrictions.limiter.nextAt(now, len(g.queue.waiters)); nextAt.After(req.QueueDeadline) {
		g.mu.Unlock()
		return grant{}, refuseLimited(nextAt)
	}
	wait := estimateWait(work, g.target.durations.all, g.target.announced.Slots)
	if now.Add(wait).After(req.QueueDeadline) {
		g.mu.Unlock()
		return grant{}, refuseFull(wait, now)
	}
	w := g.queue.push(req)
	g.wakeForLimits(now)
	g.mu.Unlock()
	return g.awaitDecision(ctx, w)
}

// awaitDecision waits until a queued request is granted a slot, is refused,
// reaches its queue deadline or loses its caller.
func (g *Gate) awaitDecision(ctx context.Context, w *waiter) (grant, *outcome.Problem) {
	timer := time.NewTimer(time.Until(w.request.QueueDeadline))
	defer timer.Stop()
	var p *outcome.Problem
	select {
	case d := <-w.decisions:
		return d.grant, d.problem
	case <-timer.C:
		p = outcome.Refused(outcome.CodeTargetFull, "no slot became free in time")
	case <-ctx.Done():
		p = outcome.Refused(outcome.CodeCallerDisconnected, "the caller left")
	}
	g.mu.Lock()
	removed := g.removeWaiter(w)
	if removed && p.Code == outcome.CodeTargetFull {
		p = p.WithRetryAt(g.recordExpiry(w, time.Now()))
	}
	g.mu.Unlock()
	if removed {
		return grant{}, p
	}
	d := <-w.decisions
	return d.grant, d.problem
}

// queueOrder returns the order of the queue at the given time. The caller holds
// mu.
func (g *Gate) queueOrder(now time.Time) queueOrder {
	return queueOrder{now: now, durations: &g.target.durations}
}

// takeSlot assigns a slot to the request and updates the retry budget. The caller
// holds mu.
func (g *Gate) takeSlot(req hopheader.Request, now time.Time, isTrial bool) grant {
	g.target.inFlight++
	g.target.restrictions.limiter.take(now)
	number := g.target.shedding.Start(now)
	switch {
	case req.RetryCharged:
	case req.IsRetry:
		g.retryBudget.withdraw()
	default:
		g.retryBudget.deposit(now)
	}
	return grant{startedAt: now, instance: g.target.announced.Instance, identity: g.target.restrictions.identity, number: number, routeHash: req.RouteHash, isTrial: isTrial, isRetry: req.IsRetry, run: &run{}}
}

// chargeRetry charges the retry of a failed request at another target to this
// gate's budget and reports whether the budget allowed it. An unhealthy target
// gets few requests, so its gate has budget to spare while the budgets of the
// service's other gates are used up.
func (g *Gate) chargeRetry(req hopheader.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.retryBudget.canWithdraw(time.Now(), req.Priority) {
		return false
	}
	g.retryBudget.withdraw()
	return true
}

// dispatchWaiters refuses the queued requests that can no longer be served and
// grants free slots to the others. The caller holds mu.
func (g *Gate) dispatchWaiters() {
	now := time.Now()
	g.applyMode()
	if g.isShared() {
		g.dispatchShared(now)
		return
	}
	g.queue.refuseIf(func(req hopheader.Request) *outcome.Problem { return g.checkAdmissible(req, now) })
	if g.target.breaker.IsSuspected(now) {
		g.queue.refuseIf(func(hopheader.Request) *outcome.Problem { return g.refuseSuspected() })
	}
	for g.target.inFlight < g.target.announced.Slots && g.target.restrictions.limiter.canAdmit(now, g.target.inFlight) {
		w := g.queue.pop(g.queueOrder(now), func(req hopheader.Request) bool { return g.checkAdmissible(req, now) == nil })
		if w == nil {
			return
		}
		w.decisions <- decision{grant: g.takeSlot(w.request, now, false)}
	}
	g.queue.refuseHopeless(g.queueOrder(now), g.target.announced.Slots)
	g.wakeForLimits(now)
}

// wakeForLimits arranges that waiters are dispatched when the target's limits admit the
// next one. The caller holds mu.
func (g *Gate) wakeForLimits(now time.Time) {
	nextAt := latest(g.target.restrictions.limiter.nextAt(now, 0), g.nextStartAt(now))
	if nextAt.IsZero() || g.queueLength() == 0 {
		return
	}
	if g.limitTimer != nil {
		g.limitTimer.Stop()
	}
	g.limitTimer = time.AfterFunc(nextAt.Sub(now), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.dispatchWaiters()
	})
}

// refuseLimited returns the refusal of a request that the target's limit does not admit
// in time.
func refuseLimited(nextAt time.Time) *outcome.Problem {
	return outcome.Refused(outcome.CodeTargetLimited, "the target's request limit is used up").WithRetryAt(nextAt)
}
