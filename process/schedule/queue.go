package schedule

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Rank orders requests before fairness among customers; lower ones go first.
type Rank struct {
	// Customer is the priority of the customer, and -1 for requests without a customer.
	// These are mostly calls of targets: a request that has got a slot elsewhere waits for
	// them, and fails with the first refusal.
	Customer int
	// Route is the priority of the route.
	Route int
}

// RankOf returns the rank of a request. An empty name means that it has no customer.
func RankOf(customer string, customerPriority, routePriority int) Rank {
	if customer == "" {
		return Rank{Customer: -1, Route: routePriority}
	}
	return Rank{Customer: max(0, customerPriority), Route: routePriority}
}

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Customer, other.Customer), cmp.Compare(r.Route, other.Route))
}

// Item describes a request to the queue.
type Item struct {
	Customer string
	Rank     Rank
	// Cost is the expected time in a slot.
	Cost time.Duration
	// IsShort means that the request never counts as late, since it costs little.
	IsShort       bool
	SoftDeadline  time.Time
	QueueDeadline time.Time
}

// isLate reports whether the request is expected to miss its soft deadline.
func (i *Item) isLate(now time.Time) bool {
	return !i.IsShort && now.Add(i.Cost).After(i.SoftDeadline)
}

// Queued is a request in a Queue.
type Queued[T any] struct {
	Item
	Value T
	flow  *flow[T]
}

// precedes reports whether the request goes before another one of its customer that was
// queued earlier: those that can meet their soft deadline first, then by soft deadline.
func (e *Queued[T]) precedes(other *Queued[T], now time.Time) bool {
	if isLate, isOtherLate := e.isLate(now), other.isLate(now); isLate != isOtherLate {
		return isOtherLate
	}
	return e.SoftDeadline.Before(other.SoftDeadline)
}

// Queue holds the requests that wait for a slot. Requests of a lower rank go first. Within
// a rank it is fair among customers by start-time fair queueing: each customer has a tag,
// the slot time that it has used, and the lowest tag goes first. A customer that comes
// back after a pause starts at the tag which is being served, so that it is not owed for
// the time without requests. Push and Pop cost the logarithm of the number of customers
// in the queue, and are linear in the queued requests of one customer. Customers that are
// served far less than all together go before ranks and tags, see Arrive.
type Queue[T any] struct {
	// Seed differs between the queues of a service, see Arrive.
	Seed  uint64
	ranks []*rankQueue[T]
	// owed holds flows that have earned a request, the first one first. They may have lost
	// their requests since.
	owed []*flow[T]
	// customers holds the customers with queued requests, byLength those with a name, the
	// one with the most requests first.
	customers map[string]*customerState[T]
	byLength  lengthHeap[T]
	length    int
	// servedShare is the moving average of the share of requests that get a slot.
	servedShare    float64
	hasServedShare bool
}

// customerState holds the queued requests of one customer.
type customerState[T any] struct {
	name   string
	length int
	flows  []*flow[T]
	index  int
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.length }

// LengthByRank returns the number of queued requests of each rank.
func (q *Queue[T]) LengthByRank() map[Rank]int {
	lengths := make(map[Rank]int, len(q.ranks))
	for _, r := range q.ranks {
		lengths[r.rank] = r.length
	}
	return lengths
}

// Push adds a request.
func (q *Queue[T]) Push(item Item, value T) *Queued[T] {
	f := q.rank(item.Rank).activate(item.Customer)
	e := &Queued[T]{Item: item, Value: value, flow: f}
	f.entries = append(f.entries, e)
	f.work += item.Cost
	f.rank.work += item.Cost
	f.rank.length++
	q.length++
	c := q.customers[item.Customer]
	if c == nil {
		c = &customerState[T]{name: item.Customer, index: -1}
		if q.customers == nil {
			q.customers = map[string]*customerState[T]{}
		}
		q.customers[item.Customer] = c
	}
	if !slices.Contains(c.flows, f) {
		c.flows = append(c.flows, f)
	}
	c.length++
	q.fixLength(c)
	q.noteOwed(f)
	return e
}

// fixLength restores the order of byLength after the length of a customer has changed.
func (q *Queue[T]) fixLength(c *customerState[T]) {
	switch {
	case c.name == "":
	case c.index < 0:
		heap.Push(&q.byLength, c)
	case c.length == 0:
		heap.Remove(&q.byLength, c.index)
	default:
		heap.Fix(&q.byLength, c.index)
	}
	if c.length == 0 {
		delete(q.customers, c.name)
	}
}

// Remove removes a request and reports whether it was still queued.
func (q *Queue[T]) Remove(e *Queued[T]) bool {
	f := e.flow
	if f == nil {
		return false
	}
	i := slices.Index(f.entries, e)
	f.entries = slices.Delete(f.entries, i, i+1)
	e.flow = nil
	f.work -= e.Cost
	f.rank.work -= e.Cost
	f.rank.length--
	q.length--
	c := q.customers[f.customer]
	c.length--
	if len(f.entries) == 0 {
		f.rank.deactivate(f)
		c.flows = slices.DeleteFunc(c.flows, func(other *flow[T]) bool { return other == f })
	}
	q.fixLength(c)
	return true
}

// Pop removes and returns the request that goes next, or nil, and charges its cost to its
// customer.
func (q *Queue[T]) Pop(now time.Time) *Queued[T] {
	for _, r := range q.ranks {
		if r.length == 0 {
			continue
		}
		if r.rank.Customer >= 0 {
			if e := q.popOwed(now); e != nil {
				return e
			}
		}
		f := r.active[0]
		best := f.first(now)
		r.charge(f, best.Cost)
		q.Remove(best)
		return best
	}
	return nil
}

// Charge charges the cost of a request that got a slot without being queued.
func (q *Queue[T]) Charge(item Item) {
	r := q.rank(item.Rank)
	f := r.activate(item.Customer)
	r.charge(f, item.Cost)
	if len(f.entries) == 0 {
		r.deactivate(f)
	}
}

// Correct adds the difference between the time that a request has used its slot and the
// cost that it was charged.
func (q *Queue[T]) Correct(item Item, used time.Duration) {
	r := q.rank(item.Rank)
	r.move(r.flow(item.Customer), used-item.Cost)
}

// Victim returns the request that is dropped from a full queue: the one that would go last
// of the customer with the most requests. Requests without a customer are dropped only if
// there are no others. It is nil if the queue is empty.
func (q *Queue[T]) Victim(now time.Time) *Queued[T] {
	c := q.customers[""]
	if len(q.byLength) > 0 {
		c = q.byLength[0]
	}
	if c == nil {
		return nil
	}
	lowest := c.flows[0]
	for _, f := range c.flows[1:] {
		if f.rank.rank.compare(lowest.rank.rank) > 0 {
			lowest = f
		}
	}
	last := lowest.entries[0]
	for _, e := range lowest.entries[1:] {
		if !e.precedes(last, now) {
			last = e
		}
	}
	return last
}

// All returns the queued requests, in no particular order.
func (q *Queue[T]) All() []*Queued[T] {
	all := make([]*Queued[T], 0, q.length)
	for _, r := range q.ranks {
		for _, f := range r.active {
			all = append(all, f.entries...)
		}
	}
	return all
}

// rank returns the requests of a rank.
func (q *Queue[T]) rank(rank Rank) *rankQueue[T] {
	i, found := slices.BinarySearchFunc(q.ranks, rank, func(r *rankQueue[T], rank Rank) int { return r.rank.compare(rank) })
	if found {
		return q.ranks[i]
	}
	if len(q.ranks) >= maxIdleRanks {
		q.ranks = slices.DeleteFunc(q.ranks, func(r *rankQueue[T]) bool { return r.length == 0 })
		i, _ = slices.BinarySearchFunc(q.ranks, rank, func(r *rankQueue[T], rank Rank) int { return r.rank.compare(rank) })
	}
	r := &rankQueue[T]{rank: rank, flows: map[string]*flow[T]{}}
	q.ranks = slices.Insert(q.ranks, i, r)
	return r
}

// maxIdleRanks is the number of ranks from which those without requests are removed. A
// configuration has only a few priorities.
const maxIdleRanks = 32

// lengthHeap is a heap of customers, the one with the most queued requests first.
type lengthHeap[T any] []*customerState[T]

func (h lengthHeap[T]) Len() int           { return len(h) }
func (h lengthHeap[T]) Less(i, j int) bool { return h[i].length > h[j].length }
func (h lengthHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *lengthHeap[T]) Push(x any) {
	c := x.(*customerState[T])
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *lengthHeap[T]) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	c.index = -1
	return c
}
