package schedule

import (
	"slices"
	"time"
)

const (
	// creditShare, times the share of all requests that get a slot, is the share of its
	// cost that a request earns for its customer when it arrives. It is above a quarter,
	// because no customer may be served less than a quarter as often as all customers
	// together; equal slot time alone would serve a large customer far less than that.
	creditShare = 0.3
	// maxCredit bounds how far the tag of a customer may lie below the virtual time, and so
	// the slot time that it can use at once.
	maxCredit = 500 * time.Millisecond
	// maxLead bounds how far the tag may lie above the virtual time. It exceeds the slot
	// time of nearly all requests.
	maxLead = 2 * time.Second
	// servedWeight is the weight of the newest request in the moving average of the share
	// of requests that get a slot.
	servedWeight = 0.01
)

// Arrive records that a request has arrived, whether or not it is queued.
func (q *Queue[T]) Arrive(item Item) {
	if item.Customer == "" {
		return
	}
	share := 1.0
	if q.hasServedShare {
		share = q.servedShare
	}
	q.rank(item.Rank).earn(item.Customer, time.Duration(creditShare*share*float64(item.Cost)))
}

// RecordDecision records whether a request has got a slot in the end.
func (q *Queue[T]) RecordDecision(item Item, isServed bool) {
	if item.Customer == "" {
		return
	}
	value := 0.0
	if isServed {
		value = 1
	}
	if !q.hasServedShare {
		q.servedShare, q.hasServedShare = 1, true
	}
	q.servedShare += servedWeight * (value - q.servedShare)
}

// WorkAhead returns about how much slot time others will use before a request that arrives
// now. isNext means that it would go first.
func (q *Queue[T]) WorkAhead(item Item, now time.Time) (work time.Duration, isNext bool) {
	for _, r := range q.ranks {
		switch order := r.rank.compare(item.Rank); {
		case order < 0:
			work += r.work
		case order == 0 && r.length > 0:
			f := r.flows[item.Customer]
			var own time.Duration
			if f != nil {
				e := &Queued[T]{Item: item}
				for _, other := range f.entries {
					if !e.precedes(other, now) {
						own += other.Cost
					}
				}
			}
			work += r.workAhead(f, own, item.Cost)
		}
	}
	return work, work == 0
}

// workAhead returns about how much slot time the requests of the rank use before one of
// the flow, which own work of the same flow precedes. Each other customer gets as much slot
// time as the flow until then, if it has so many requests. f is nil for a customer without
// a flow.
func (r *rankQueue[T]) workAhead(f *flow[T], own, cost time.Duration) time.Duration {
	others, customers, turn := r.work, len(r.active), own
	if f != nil {
		others -= f.work
		if f.index >= 0 {
			customers--
		}
		turn = max(0, turn+f.tag-r.virtual)
	}
	return own + min(others, time.Duration(customers)*turn+min(cost, others/time.Duration(max(1, customers))))
}

// Hopeless returns the requests that are not expected to get a slot before their queue
// deadline. wait returns the expected wait behind an amount of work. Hopeless requests
// remain queued and do not count as work ahead of others of their customer.
func (q *Queue[T]) Hopeless(now time.Time, wait func(work time.Duration, isNext bool) time.Duration) []*Queued[T] {
	var hopeless []*Queued[T]
	var higher time.Duration
	for _, r := range q.ranks {
		for _, f := range r.active {
			entries := slices.Clone(f.entries)
			slices.SortStableFunc(entries, func(a, b *Queued[T]) int {
				switch {
				case a.precedes(b, now):
					return -1
				case b.precedes(a, now):
					return 1
				}
				return 0
			})
			var own time.Duration
			for i, e := range entries {
				isNext := higher == 0 && i == 0 && f.index == 0
				work := higher
				if !isNext {
					work += r.workAhead(f, own, e.Cost)
				}
				if now.Add(wait(work, isNext)).After(e.QueueDeadline) {
					hopeless = append(hopeless, e)
					continue
				}
				own += e.Cost
			}
		}
		higher += r.work
	}
	return hopeless
}
