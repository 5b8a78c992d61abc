package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hop"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// waiter is a request that waits for a slot.
type waiter struct {
	ask     hop.Ask
	arrived int64
	// decided gets the slot's problem, or nil for a slot, exactly once.
	decided chan *outcome.Problem
}

// queue holds the requests that wait for a slot: the most urgent first, and
// among equals the one that came first.
type queue struct {
	waiters  []*waiter
	arrivals int64
}

func (q *queue) push(a hop.Ask) *waiter {
	q.arrivals++
	w := &waiter{ask: a, arrived: q.arrivals, decided: make(chan *outcome.Problem, 1)}
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

// pop takes the next waiter that accept allows.
func (q *queue) pop(accept func(hop.Ask) bool) *waiter {
	var best *waiter
	for _, w := range q.waiters {
		if (best == nil || w.before(best)) && accept(w.ask) {
			best = w
		}
	}
	if best != nil {
		q.remove(best)
	}
	return best
}

func (w *waiter) before(other *waiter) bool {
	if w.ask.Priority != other.ask.Priority {
		return w.ask.Priority < other.ask.Priority
	}
	return w.arrived < other.arrived
}

// ahead counts the waiters that an ask would wait behind.
func (q *queue) ahead(a hop.Ask) int {
	n := 0
	for _, w := range q.waiters {
		if w.ask.Priority <= a.Priority {
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
