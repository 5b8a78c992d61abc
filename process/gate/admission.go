package gate

import (
	"context"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/process/health"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// checkAdmissible returns why the ask cannot be served at all now, or nil; mu is held.
func (g *Gate) checkAdmissible(a hopheader.Request, now time.Time) *outcome.Problem {
	switch {
	case a.Service != g.options.Service:
		return outcome.Refused(outcome.CodeNoTarget, "the target beside this node is of service %s", g.options.Service)
	case g.isDraining:
		return outcome.Refused(outcome.CodeDraining, "the node is leaving")
	case !g.target.isKnown:
		return outcome.Refused(outcome.CodeNoTarget, "no target has announced itself")
	case !g.target.isOpen():
		return outcome.Refused(outcome.CodeDraining, "the target is leaving")
	case !now.Before(a.Deadline):
		return outcome.Refused(outcome.CodeDeadlineExceeded, "the deadline has passed")
	case !g.canFinish(a, now):
		return outcome.Refused(outcome.CodeDraining, "the node is leaving")
	case a.IsRetry && !a.RetryCharged && !g.retryBudget.canWithdraw(now, a.Priority):
		return outcome.Refused(outcome.CodeRetryBudget, "too many requests are being sent again")
	}
	return nil
}

// refuseSuspected is the refusal of a request that the target may not be given; mu is
// held.
func (g *Gate) refuseSuspected() *outcome.Problem {
	return outcome.Refused(outcome.CodeTargetSuspected, "the target failed lately").WithRetryAt(g.target.breaker.NextTrialAt())
}

// shutdownTimeShare is how much of the time that a leaving node has left a request may
// take on average, so that nearly none is at work when the node ends.
const shutdownTimeShare = 0.5

// canFinish reports whether the request is expected to end while the node lives; mu
// is held.
func (g *Gate) canFinish(a hopheader.Request, now time.Time) bool {
	ends := g.options.ShutdownDeadline()
	if ends.IsZero() {
		return true
	}
	return float64(g.target.durations.estimate(a.RouteHash)) <= shutdownTimeShare*float64(ends.Sub(now))
}

// grant is the right to run one request at the target; end must be called once.
type grant struct {
	startedAt time.Time
	instance  string
	routeHash uint32
	isTrial   bool
}

// admit returns a grant, at once or after a wait.
func (g *Gate) admit(ctx context.Context, a hopheader.Request) (grant, *outcome.Problem) {
	g.mu.Lock()
	now := time.Now()
	if p := g.checkAdmissible(a, now); p != nil {
		g.mu.Unlock()
		return grant{}, p
	}
	isTrial := false
	switch g.target.breaker.Admit(now, a.Idempotent && a.CanRetry) {
	case health.Denied:
		p := g.refuseSuspected()
		g.mu.Unlock()
		return grant{}, p
	case health.AdmittedAsTrial:
		isTrial = true
	}
	work, isNext := g.queue.workAhead(a, len(g.queue.waiters), g.queueOrder(now))
	if g.target.inFlight < g.target.announced.Slots && isNext {
		gr := g.takeSlot(a, now, isTrial)
		g.mu.Unlock()
		return gr, nil
	}
	if isTrial {
		g.target.breaker.EndTrial()
	}
	wait := estimateWait(work, g.target.durations.all, g.target.announced.Slots)
	if now.Add(wait).After(a.QueueDeadline) {
		g.mu.Unlock()
		return grant{}, refuseFull(wait, now)
	}
	w := g.queue.push(a)
	g.mu.Unlock()
	return g.awaitDecision(ctx, w)
}

// awaitDecision waits for the decision on a queued request.
func (g *Gate) awaitDecision(ctx context.Context, w *waiter) (grant, *outcome.Problem) {
	timer := time.NewTimer(time.Until(w.request.QueueDeadline))
	defer timer.Stop()
	var p *outcome.Problem
	select {
	case d := <-w.decisions:
		return d.grant, d.problem
	case <-timer.C:
		p = outcome.Refused(outcome.CodeTargetFull, "no slot became free in time").WithRetryAt(time.Now().Add(g.meanServiceTime()))
	case <-ctx.Done():
		p = outcome.Refused(outcome.CodeCallerDisconnected, "the caller left")
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if removed {
		return grant{}, p
	}
	d := <-w.decisions
	return d.grant, d.problem
}

func (g *Gate) meanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.durations.all
}

// queueOrder is the queueOrder of the queue; mu is held.
func (g *Gate) queueOrder(now time.Time) queueOrder {
	return queueOrder{now: now, durations: &g.target.durations}
}

// takeSlot gives a slot away; mu is held.
func (g *Gate) takeSlot(a hopheader.Request, now time.Time, trial bool) grant {
	g.target.inFlight++
	switch {
	case a.RetryCharged:
	case a.IsRetry:
		g.retryBudget.withdraw()
	default:
		g.retryBudget.deposit(now)
	}
	return grant{startedAt: now, instance: g.target.announced.Instance, routeHash: a.RouteHash, isTrial: trial}
}

// chargeRetry pays for sending a failed request to another target, if the budget
// allows it. A sick target takes few requests, so that its gate has a part to
// spare while those of its siblings are used up.
func (g *Gate) chargeRetry(a hopheader.Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.retryBudget.canWithdraw(time.Now(), a.Priority) {
		return false
	}
	g.retryBudget.withdraw()
	return true
}

// dispatchWaiters refuses the waiters that cannot be served any more and gives free
// slots to the others; mu is held.
func (g *Gate) dispatchWaiters() {
	now := time.Now()
	g.queue.refuseIf(func(a hopheader.Request) *outcome.Problem { return g.checkAdmissible(a, now) })
	if g.target.breaker.IsSuspected(now) {
		g.queue.refuseIf(func(hopheader.Request) *outcome.Problem { return g.refuseSuspected() })
	}
	for g.target.inFlight < g.target.announced.Slots {
		w := g.queue.pop(g.queueOrder(now), func(a hopheader.Request) bool { return g.checkAdmissible(a, now) == nil })
		if w == nil {
			return
		}
		w.decisions <- decision{grant: g.takeSlot(w.request, now, false)}
	}
	g.queue.refuseHopeless(g.queueOrder(now), g.target.announced.Slots)
}
