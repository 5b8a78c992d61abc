package gate

import (
	"context"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hop"
	"github.com/cuminwheel/cuminwheel/process/judgement"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// refusal returns why the ask cannot be served at all now, or nil; mu is held.
func (g *Gate) refusal(a hop.Ask, now time.Time) *outcome.Problem {
	switch {
	case a.Service != g.options.Service:
		return outcome.Refused(outcome.CodeNoTarget, "the target beside this node is of service %s", g.options.Service)
	case g.closing:
		return outcome.Refused(outcome.CodeDraining, "the node is leaving")
	case !g.target.known:
		return outcome.Refused(outcome.CodeNoTarget, "no target has announced itself")
	case !g.target.isOpen():
		return outcome.Refused(outcome.CodeDraining, "the target is leaving")
	case !now.Before(a.Deadline):
		return outcome.Refused(outcome.CodeNotInTime, "the deadline has passed")
	case !g.canEnd(a, now):
		return outcome.Refused(outcome.CodeDraining, "the node is leaving")
	case a.Repeat && !a.Paid && !g.budget.canSpend(now, a.Priority):
		return outcome.Refused(outcome.CodeRetryBudget, "too many requests are being sent again")
	}
	return nil
}

// suspected is the refusal of a request that the target may not be given; mu is
// held.
func (g *Gate) suspected() *outcome.Problem {
	return outcome.Refused(outcome.CodeSuspect, "the target failed lately").WithRetryAt(g.target.trust.TrialAt())
}

// leavingShare is how much of the time that a leaving node has left a request may
// take on average, so that nearly none is at work when the node ends.
const leavingShare = 0.5

// canEnd reports whether the request is expected to end while the node lives; mu
// is held.
func (g *Gate) canEnd(a hop.Ask, now time.Time) bool {
	ends := g.options.ShutdownDeadline()
	if ends.IsZero() {
		return true
	}
	return float64(g.target.durations.of(a.Kind)) <= leavingShare*float64(ends.Sub(now))
}

// grant is the right to run one request at the target; end must be called once.
type grant struct {
	began    time.Time
	instance string
	kind     uint32
	trial    bool
}

// admit returns a grant, at once or after a wait.
func (g *Gate) admit(ctx context.Context, a hop.Ask) (grant, *outcome.Problem) {
	g.mu.Lock()
	now := time.Now()
	if p := g.refusal(a, now); p != nil {
		g.mu.Unlock()
		return grant{}, p
	}
	trial := false
	switch g.target.trust.Admit(now, a.Idempotent && a.MayFail) {
	case judgement.Withheld:
		p := g.suspected()
		g.mu.Unlock()
		return grant{}, p
	case judgement.Tried:
		trial = true
	}
	work, isNext := g.queue.workAhead(a, len(g.queue.waiters), g.order(now))
	if g.target.running < g.target.announced.Slots && isNext {
		gr := g.take(a, now, trial)
		g.mu.Unlock()
		return gr, nil
	}
	if trial {
		g.target.trust.TrialEnded()
	}
	wait := expectedWait(work, g.target.durations.all, g.target.announced.Slots)
	if now.Add(wait).After(a.WaitUntil) {
		g.mu.Unlock()
		return grant{}, fullFor(wait, now)
	}
	w := g.queue.push(a)
	g.mu.Unlock()
	return g.await(ctx, w)
}

// await waits for the decision on a queued request.
func (g *Gate) await(ctx context.Context, w *waiter) (grant, *outcome.Problem) {
	timer := time.NewTimer(time.Until(w.ask.WaitUntil))
	defer timer.Stop()
	var p *outcome.Problem
	select {
	case d := <-w.decided:
		return d.grant, d.problem
	case <-timer.C:
		p = outcome.Refused(outcome.CodeFull, "no slot became free in time").WithRetryAt(time.Now().Add(g.meanServiceTime()))
	case <-ctx.Done():
		p = outcome.Refused(outcome.CodeCallerGone, "the caller left")
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if removed {
		return grant{}, p
	}
	d := <-w.decided
	return d.grant, d.problem
}

func (g *Gate) meanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.durations.all
}

// order is the order of the queue; mu is held.
func (g *Gate) order(now time.Time) order { return order{now: now, durations: &g.target.durations} }

// take gives a slot away; mu is held.
func (g *Gate) take(a hop.Ask, now time.Time, trial bool) grant {
	g.target.running++
	switch {
	case a.Paid:
	case a.Repeat:
		g.budget.spend()
	default:
		g.budget.earn(now)
	}
	return grant{began: now, instance: g.target.announced.Instance, kind: a.Kind, trial: trial}
}

// payRepeat pays for sending a failed request to another target, if the budget
// allows it. A sick target takes few requests, so that its gate has a part to
// spare while those of its siblings are used up.
func (g *Gate) payRepeat(a hop.Ask) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.canSpend(time.Now(), a.Priority) {
		return false
	}
	g.budget.spend()
	return true
}

// settle refuses the waiters that cannot be served any more and gives free
// slots to the others; mu is held.
func (g *Gate) settle() {
	now := time.Now()
	g.queue.drain(func(a hop.Ask) *outcome.Problem { return g.refusal(a, now) })
	if g.target.trust.IsSuspect(now) {
		g.queue.drain(func(hop.Ask) *outcome.Problem { return g.suspected() })
	}
	for g.target.running < g.target.announced.Slots {
		w := g.queue.pop(g.order(now), func(a hop.Ask) bool { return g.refusal(a, now) == nil })
		if w == nil {
			return
		}
		w.decided <- decision{grant: g.take(w.ask, now, false)}
	}
	g.queue.dropHopeless(g.order(now), g.target.announced.Slots)
}
