package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/process/schedule"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// waiter is a queued request.
type waiter struct {
	request hopheader.Request
	// queued is the waiter's place in the shared queue; nil in the default one.
	queued *schedule.Queued[*waiter]
	// decisions receives exactly one decision, unless the waiter is removed from
	// the queue first.
	decisions chan decision
}

// decision holds a grant, or the problem for which the waiter is refused.
type decision struct {
	grant   grant
	problem *outcome.Problem
}

// queue holds the requests that wait for a slot, in order of arrival.
type queue struct {
	waiters []*waiter
}

func newWaiter(req hopheader.Request) *waiter {
	return &waiter{request: req, decisions: make(chan decision, 1)}
}

func (q *queue) push(req hopheader.Request) *waiter {
	w := newWaiter(req)
	q.waiters = append(q.waiters, w)
	return w
}

// remove deletes a waiter and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	for i, other := range q.waiters {
		if other == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// queueOrder ranks queued requests at one moment: by priority, then those that
// can still meet their soft deadline before those that cannot, then by earliest
// soft deadline. Under overload some requests are then late and the others in
// time, instead of all being late. Short requests are never ranked as late: they
// cost little, and the request that waits for their response may hold a slot
// elsewhere.
type queueOrder struct {
	now       time.Time
	durations *durations
}

// precedes reports whether a request ranks before another one that has waited
// longer.
func (o queueOrder) precedes(req, other hopheader.Request) bool {
	if req.Priority != other.Priority {
		return req.Priority < other.Priority
	}
	if isLate, isOtherLate := o.isLate(req), o.isLate(other); isLate != isOtherLate {
		return isOtherLate
	}
	return req.SoftDeadline.Before(other.SoftDeadline)
}

// isLate reports whether a request is expected to miss its soft deadline and is
// not short.
func (o queueOrder) isLate(req hopheader.Request) bool {
	return !o.durations.isShort(req.RouteHash) && o.now.Add(o.durations.estimate(req.RouteHash)).After(req.SoftDeadline)
}

// pop removes and returns the first waiter in the order that accept allows, or
// nil.
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

// workAhead returns the total expected duration of the queued requests that rank
// before the given one. The first arrived waiters arrived before it. isNext
// reports that no queued request ranks before it.
func (q *queue) workAhead(req hopheader.Request, arrived int, o queueOrder) (work time.Duration, isNext bool) {
	isNext = true
	for i, w := range q.waiters {
		isAhead := i < arrived && !o.precedes(req, w.request) || i > arrived && o.precedes(w.request, req)
		if isAhead {
			work += o.durations.estimate(w.request.RouteHash)
			isNext = false
		}
	}
	return work, isNext
}

// earlyRefusalFactor is how many times the remaining queue time the expected wait
// must be before a waiter is refused early. It is above 1 because the expected
// wait is only a mean.
const earlyRefusalFactor = 1.25

// refuseHopeless refuses the waiters that are no longer expected to get a slot
// before their queue deadline because more urgent requests have arrived since.
// Refused early, their entries can still try other gates, and callers do not wait
// in vain.
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

// refuseFull returns the refusal of a request whose expected wait for a slot is
// too long.
func refuseFull(wait time.Duration, now time.Time) *outcome.Problem {
	return outcome.Refused(outcome.CodeTargetFull, "the wait for a slot is about %d ms", wait.Milliseconds()).WithRetryAt(now.Add(wait))
}

// refuseIf refuses every waiter for which check returns a problem.
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

// estimateWait returns the expected wait until one of the slots is free: work is
// the total duration of the requests ahead in the queue, mean the mean duration of
// all requests.
func estimateWait(work, mean time.Duration, slots int) time.Duration {
	return (work + mean) / time.Duration(max(1, slots))
}
