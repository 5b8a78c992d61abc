package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hop"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// waiter is a request that waits for a slot.
type waiter struct {
	ask hop.Ask
	// decided gets the slot's problem, or nil for a slot, exactly once.
	decided chan *outcome.Problem
}

// queue holds the requests that wait for a slot: the most urgent first, and
// among equals those that can be answered by the time that is aimed at, the one
// whose time comes first at the front. Requests that running requests make aim
// at short times, and free the slots of those. When more work comes than slots
// can do, some requests are late and the others in time, instead of all late.
type queue struct {
	// waiters are in the order of their arrival.
	waiters []*waiter
}

func (q *queue) push(a hop.Ask) *waiter {
	w := &waiter{ask: a, decided: make(chan *outcome.Problem, 1)}
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

// pop takes the next waiter that accept allows. A request begun now is expected
// to be answered at done.
func (q *queue) pop(done time.Time, accept func(hop.Ask) bool) *waiter {
	var best *waiter
	for _, w := range q.waiters {
		if (best == nil || goesBefore(w.ask, best.ask, done)) && accept(w.ask) {
			best = w
		}
	}
	if best != nil {
		q.remove(best)
	}
	return best
}

// goesBefore reports whether a request goes before another one that has waited
// longer.
func goesBefore(a, other hop.Ask, done time.Time) bool {
	if a.Priority != other.Priority {
		return a.Priority < other.Priority
	}
	if isLate, isOtherLate := done.After(a.AimAt), done.After(other.AimAt); isLate != isOtherLate {
		return isOtherLate
	}
	return a.AimAt.Before(other.AimAt)
}

// ahead counts the waiters that an ask would wait behind.
func (q *queue) ahead(a hop.Ask, done time.Time) int {
	n := 0
	for _, w := range q.waiters {
		if !goesBefore(a, w.ask, done) {
			n++
		}
	}
	return n
}

// drain refuses every waiter that keep does not allow.
func (q *queue) drain(keep func(hop.Ask) bool, p *outcome.Problem) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if keep(w.ask) {
			kept = append(kept, w)
			continue
		}
		w.decided <- p
	}
	q.waiters = kept
}

// expectedWait is how long an ask waits until one of slots is free, given the
// mean time that a request holds its slot.
func expectedWait(ahead, slots int, serviceTime time.Duration) time.Duration {
	return serviceTime * time.Duration(ahead+1) / time.Duration(max(1, slots))
}
