package gate

import "time"

// retryBudget bounds how often the target is sent a request that a target has been
// sent before. It grows with the first sends that the gate sees and with time,
// so that the sum over all gates of a service keeps the fleet's bound without
// any message between them.
type retryBudget struct {
	tokens     float64
	refilledAt time.Time
	quota      retryQuota
}

// retryQuota is a gate's part of the fleet's bound.
type retryQuota struct {
	// tokensPerRequest and perSecond are what the budget earns, most what it holds.
	tokensPerRequest float64
	tokensPerSecond  float64
	capacity         float64
}

// Shares of the fleet's bound that the gates use together: of the ratio, and of
// the slack of each window what they hold at its beginning and what they earn
// within it. The rest is for requests that a repeated request makes in its
// turn, which no gate can tell: two in five of the ratio, since a sick service
// has its callers repeat as well.
const (
	ratioShare    = 0.6
	capacityShare = 0.35
	refillShare   = 0.5
	// reservedShare of the most that a budget holds is kept from each rank of
	// less urgent requests.
	reservedShare = 0.1
)

// newRetryQuota returns a gate's part of a bound of ratio repeats for each
// request and slack repeats besides in each window, shared by so many gates.
func newRetryQuota(ratio, slack float64, window time.Duration, gates int) retryQuota {
	part := slack / float64(max(1, gates))
	return retryQuota{
		tokensPerRequest: ratioShare * ratio,
		tokensPerSecond:  refillShare * part / window.Seconds(),
		capacity:         max(1, capacityShare*part),
	}
}

func (b *retryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens += b.quota.tokensPerSecond * now.Sub(b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.tokens = min(b.quota.capacity, b.tokens)
}

// deposit counts a first send.
func (b *retryBudget) deposit(now time.Time) {
	b.refill(now)
	b.tokens = min(b.quota.capacity, b.tokens+b.quota.tokensPerRequest)
}

// canWithdraw reports whether a request of the priority may be sent again; 0 is
// the most urgent.
func (b *retryBudget) canWithdraw(now time.Time, priority int) bool {
	b.refill(now)
	return b.tokens >= min(b.quota.capacity, 1+reservedShare*b.quota.capacity*float64(priority))
}

func (b *retryBudget) withdraw() { b.tokens-- }
