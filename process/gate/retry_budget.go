package gate

import "time"

// budget bounds how often the target is sent a request that a target has been
// sent before. It grows with the first sends that the gate sees and with time,
// so that the sum over all gates of a service keeps the fleet's bound without
// any message between them.
type budget struct {
	tokens float64
	asOf   time.Time
	bound  retryBound
}

// retryBound is a gate's part of the fleet's bound.
type retryBound struct {
	// perRequest and perSecond are what the budget earns, most what it holds.
	perRequest float64
	perSecond  float64
	most       float64
}

// Shares of the fleet's bound that the gates use together: of the ratio, and of
// the slack of each window what they hold at its beginning and what they earn
// within it. The rest is for requests that a repeated request makes in its
// turn, which no gate can tell: two in five of the ratio, since a sick service
// has its callers repeat as well.
const (
	ratioShare = 0.6
	heldShare  = 0.35
	timeShare  = 0.5
	// priorityShare of the most that a budget holds is kept from each rank of
	// less urgent requests.
	priorityShare = 0.1
)

// newRetryBound returns a gate's part of a bound of ratio repeats for each
// request and slack repeats besides in each window, shared by so many gates.
func newRetryBound(ratio, slack float64, window time.Duration, gates int) retryBound {
	part := slack / float64(max(1, gates))
	return retryBound{
		perRequest: ratioShare * ratio,
		perSecond:  timeShare * part / window.Seconds(),
		most:       max(1, heldShare*part),
	}
}

func (b *budget) refill(now time.Time) {
	if !b.asOf.IsZero() && now.After(b.asOf) {
		b.tokens += b.bound.perSecond * now.Sub(b.asOf).Seconds()
	}
	b.asOf = now
	b.tokens = min(b.bound.most, b.tokens)
}

// earn counts a first send.
func (b *budget) earn(now time.Time) {
	b.refill(now)
	b.tokens = min(b.bound.most, b.tokens+b.bound.perRequest)
}

// canSpend reports whether a request of the priority may be sent again; 0 is
// the most urgent.
func (b *budget) canSpend(now time.Time, priority int) bool {
	b.refill(now)
	return b.tokens >= min(b.bound.most, 1+priorityShare*b.bound.most*float64(priority))
}

func (b *budget) spend() { b.tokens-- }
