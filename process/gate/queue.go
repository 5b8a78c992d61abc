package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// waiter is a request that waits for a slot.
type waiter struct {
	request hopheader.Request
	// decisions gets the decision, exactly once.
	decisions chan decision
}

// decision is what a waiter gets: a grant, or the problem for which it gets none.
type decision struct {
	grant   grant
	problem *outcome.Problem
}

// queue holds the requests that wait for a slot, in the order of their arrival.
type queue struct {
	waiters []*waiter
}

func (q *queue) push(a hopheader.Request) *waiter {
	w := &waiter{request: a, decisions: make(chan decision, 1)}
	q.waiters = append(q.waiters, w)
	return w
}

// remove takes a waiter out and reports whether it was still there.
func (q *queue) remove(w *waiter) bool {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// queueOrder is the queueOrder in which waiting requests get slots at one moment: the most
// urgent first, and among equals those that can be answered by the time that is
// aimed at, the one whose time comes first at the front. When more work comes
// than the slots can do, some requests are late and the others in time, instead
// of all late. Short requests never go behind for being late: they cost little,
// and those that a running request waits for hold up a slot elsewhere.
type queueOrder struct {
	now       time.Time
	durations *durations
}

// precedes reports whether a request goes precedes another one that has waited
// longer.
func (o queueOrder) precedes(a, other hopheader.Request) bool {
	if a.Priority != other.Priority {
		return a.Priority < other.Priority
	}
	if isLate, isOtherLate := o.isLate(a), o.isLate(other); isLate != isOtherLate {
		return isOtherLate
	}
	return a.SoftDeadline.Before(other.SoftDeadline)
}

func (o queueOrder) isLate(a hopheader.Request) bool {
	return !o.durations.isShort(a.RouteHash) && o.now.Add(o.durations.estimate(a.RouteHash)).After(a.SoftDeadline)
}

// pop takes the next waiter that accept allows.
func (q *queue) pop(o queueOrder, accept func(hopheader.Request) bool) *waiter {
	var best *waiter
	for _, w := range q.waiters {
		if (best == nil || o.precedes(w.request, best.request)) && accept(w.request) {
			best = w
		}
	}
	if best != nil {
		q.remove(best)
	}
	return best
}

// workAhead is how long the waiters that an ask waits behind will hold their
// slots together. arrived is how many waiters came before it. none reports that
// it goes before all.
func (q *queue) workAhead(a hopheader.Request, arrived int, o queueOrder) (work time.Duration, isNext bool) {
	isNext = true
	for i, w := range q.waiters {
		isAhead := i < arrived && !o.precedes(a, w.request) || i > arrived && o.precedes(w.request, a)
		if isAhead {
			work += o.durations.estimate(w.request.RouteHash)
			isNext = false
		}
	}
	return work, isNext
}

// earlyRefusalFactor is by how much the expected wait of a waiter must exceed what it
// may wait, so that it is refused early: the expectation is a mean.
const earlyRefusalFactor = 1.25

// refuseHopeless refuses the waiters that are not expected to get one of the slots
// in time, since more urgent ones have come meanwhile: their entries can still ask
// elsewhere, and callers are not held up for nothing.
func (q *queue) refuseHopeless(o queueOrder, slots int) {
	kept := make([]*waiter, 0, len(q.waiters))
	for i, w := range q.waiters {
		work, isNext := q.workAhead(w.request, i, o)
		wait := estimateWait(work, o.durations.all, slots)
		if isNext || float64(wait) <= earlyRefusalFactor*float64(w.request.QueueDeadline.Sub(o.now)) {
			kept = append(kept, w)
			continue
		}
		w.decisions <- decision{problem: refuseFull(wait, o.now)}
	}
	q.waiters = kept
}

// refuseFull is the refusal of a request that would wait so long for a slot.
func refuseFull(wait time.Duration, now time.Time) *outcome.Problem {
	return outcome.Refused(outcome.CodeTargetFull, "the wait for a slot is about %d ms", wait.Milliseconds()).WithRetryAt(now.Add(wait))
}

// refuseIf refuses every waiter for which refusal returns a problem.
func (q *queue) refuseIf(check func(hopheader.Request) *outcome.Problem) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		p := check(w.request)
		if p == nil {
			kept = append(kept, w)
			continue
		}
		w.decisions <- decision{problem: p}
	}
	q.waiters = kept
}

// estimateWait is how long an ask waits until one of slots is free, behind so
// much waiting work and requests that take so long on average.
func estimateWait(work, mean time.Duration, slots int) time.Duration {
	return (work + mean) / time.Duration(max(1, slots))
}
