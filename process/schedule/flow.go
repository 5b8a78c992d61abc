package schedule

import (
	"container/heap"
	"time"
)

// flow holds the queued requests of one customer in one rank, in order of arrival.
type flow[T any] struct {
	rank     *rankQueue[T]
	customer string
	entries  []*Queued[T]
	// work is the expected slot time of the entries.
	work time.Duration
	// tag is the slot time charged so far, as virtual time of the rank.
	tag time.Duration
	// earned is the slot time that its arrivals have earned, see Arrive. isOwed means that
	// the flow is among Queue.owed.
	earned time.Duration
	isOwed bool
	// sequence orders flows with the same tag.
	sequence int
	// index is the position among the active flows, or -1.
	index int
}

// rankQueue holds the requests of one rank.
type rankQueue[T any] struct {
	rank   Rank
	length int
	work   time.Duration
	// virtual is the tag of the customer that was served last.
	virtual time.Duration
	// flows holds the active flows, which have requests, and the idle ones whose tag is
	// still above virtual.
	flows  map[string]*flow[T]
	active flowHeap[T]
	// nextSequence is that of the next flow that becomes active, nextSweep the number of
	// flows at which the idle ones without significance are removed.
	nextSequence int
	nextSweep    int
}

// minSweep is the number of flows below which idle ones are not removed, so that what
// they have earned is kept.
const minSweep = 1024

// activate returns the flow of a customer, among the active ones.
func (r *rankQueue[T]) activate(customer string) *flow[T] {
	f := r.flow(customer)
	if f.index < 0 {
		f.tag = max(f.tag, r.virtual)
		f.sequence = r.nextSequence
		r.nextSequence++
		heap.Push(&r.active, f)
	}
	return f
}

// flow returns the flow of a customer.
func (r *rankQueue[T]) flow(customer string) *flow[T] {
	if f := r.flows[customer]; f != nil {
		return f
	}
	if len(r.flows) >= max(minSweep, r.nextSweep) {
		for name, f := range r.flows {
			if f.index < 0 && f.tag <= r.virtual {
				delete(r.flows, name)
			}
		}
		r.nextSweep = 2 * len(r.flows)
	}
	f := &flow[T]{rank: r, customer: customer, tag: r.virtual, index: -1}
	r.flows[customer] = f
	return f
}

// deactivate takes a flow without requests from the active ones.
func (r *rankQueue[T]) deactivate(f *flow[T]) { heap.Remove(&r.active, f.index) }

// charge charges a cost to an active flow that is served.
func (r *rankQueue[T]) charge(f *flow[T], cost time.Duration) {
	r.virtual = max(r.virtual, f.tag)
	r.move(f, cost)
	f.earned = max(0, f.earned-cost)
}

// first returns the request of an active flow that goes next.
func (f *flow[T]) first(now time.Time) *Queued[T] {
	best := f.entries[0]
	for _, e := range f.entries[1:] {
		if e.precedes(best, now) {
			best = e
		}
	}
	return best
}

// move changes the tag of a customer. It stays near the virtual time: a customer whose
// requests were refused by the target does not get a burst, and one whose requests stalled
// is not starved for long.
func (r *rankQueue[T]) move(f *flow[T], by time.Duration) {
	f.tag = min(max(r.virtual-maxCredit, f.tag+by), r.virtual+maxLead)
	if f.index >= 0 {
		heap.Fix(&r.active, f.index)
	}
}

// flowHeap is a heap of active flows, the lowest tag first.
type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].sequence < h[j].sequence
}
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
