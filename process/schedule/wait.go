package schedule

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// creditShare, times the share of all requests that get a slot, is the share of its
	// cost that a request earns for its customer when it arrives. It is above a quarter,
	// because no customer may be served less than a quarter as often as all customers
	// together. Equal slot time alone would serve a large customer far less than that, and
	// priorities alone the customers of the lowest not at all.
	creditShare = 0.3
	// maxCredit bounds the slot time that a customer can have earned, and so use at once,
	// and how far its tag may lie below the virtual time.
	maxCredit = 500 * time.Millisecond
	// maxLead bounds how far the tag may lie above the virtual time. It exceeds the slot
	// time of nearly all requests.
	maxLead = 2 * time.Second
	// servedWeight is the weight of the newest request in the moving average of the share
	// of requests that get a slot.
	servedWeight = 0.01
)

// Arrive records that a request has arrived, whether or not it is queued. It earns its
// customer a share of its cost. A customer that has earned the cost of a queued request goes
// before all other customers, whatever their priorities, and each request that it is served
// uses up what it has earned. So only customers that are served far less than all together
// ever go first.
func (q *Queue[T]) Arrive(item Item) {
	if item.Customer == "" {
		return
	}
	share := 1.0
	if q.hasServedShare {
		share = q.servedShare
	}
	r := q.rank(item.Rank)
	f, isKnown := r.flows[item.Customer]
	if !isKnown {
		f = r.flow(item.Customer)
		// A customer with few requests would earn its first only after many at each gate.
		// With a different start at each, it gets its share from the service as a whole.
		start := xxhash.Sum64String(item.Customer+strconv.FormatUint(q.Seed, 36)) >> 11
		f.earned = time.Duration(float64(start) / (1 << 53) * float64(item.Cost))
	}
	f.earned = min(max(maxCredit, item.Cost), f.earned+time.Duration(creditShare*share*float64(item.Cost)))
	q.noteOwed(f)
}

// noteOwed adds a flow to those that are owed a request if it has earned one.
func (q *Queue[T]) noteOwed(f *flow[T]) {
	if !f.isOwed && len(f.entries) > 0 && f.customer != "" && f.earned >= f.entries[0].Cost {
		f.isOwed = true
		q.owed = append(q.owed, f)
	}
}

// popOwed removes and returns a request that its customer has earned, or nil. It is not
// charged to the customer's tag.
func (q *Queue[T]) popOwed(now time.Time) *Queued[T] {
	for len(q.owed) > 0 {
		f := q.owed[0]
		q.owed[0] = nil
		q.owed = q.owed[1:]
		f.isOwed = false
		if len(f.entries) == 0 {
			continue
		}
		e := f.first(now)
		if f.earned < e.Cost {
			continue
		}
		f.earned -= e.Cost
		q.Remove(e)
		q.noteOwed(f)
		return e
	}
	return nil
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
	var higher time.Duration
	for _, r := range q.ranks {
		order := r.rank.compare(item.Rank)
		if order < 0 {
			higher += r.work
			continue
		}
		if order > 0 {
			break
		}
		f := r.flows[item.Customer]
		var own time.Duration
		if f != nil {
			e := &Queued[T]{Item: item}
			for _, other := range f.entries {
				if !e.precedes(other, now) {
					own += other.Cost
				}
			}
			if f.hasEarned(own + item.Cost) {
				work = q.callWork() + own
				return work, work == 0
			}
		}
		if r.length > 0 {
			higher += r.workAhead(f, own, item.Cost)
		}
	}
	return higher, higher == 0
}

// hasEarned reports whether the customer has earned the slot time.
func (f *flow[T]) hasEarned(cost time.Duration) bool { return f.customer != "" && f.earned >= cost }

// callWork returns the expected slot time of the queued requests without a customer.
func (q *Queue[T]) callWork() (work time.Duration) {
	for _, r := range q.ranks {
		if r.rank.Customer >= 0 {
			break
		}
		work += r.work
	}
	return work
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
				switch {
				case f.hasEarned(own + e.Cost):
					work = q.callWork() + own
				case !isNext:
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
