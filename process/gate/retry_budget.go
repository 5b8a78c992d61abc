package gate

import "time"

// retryBudget is a token bucket that limits the retries which a gate admits or
// charges. First attempts that the gate admits and elapsed time add tokens, so
// that the gates of a service together stay within the fleet-wide retry limit
// without any messages between them.
type retryBudget struct {
	tokens     float64
	refilledAt time.Time
	quota      retryQuota
}

// retryQuota is a gate's share of the fleet-wide retry limit.
type retryQuota struct {
	// tokensPerRequest is added for each first attempt and tokensPerSecond with
	// time, up to capacity.
	tokensPerRequest float64
	tokensPerSecond  float64
	capacity         float64
}

// Shares of the fleet-wide retry limit that all gates of a service use together.
// They use ratioShare of the ratio. Of the slack per window they hold capacityShare
// at the start of the window and earn refillShare within it. The rest is left for
// requests that a retried request makes in turn, which a gate cannot distinguish
// from first attempts: two fifths of the ratio, since the callers of an unhealthy
// service retry as well.
const (
	ratioShare    = 0.6
	capacityShare = 0.35
	refillShare   = 0.5
	// reservedShare is the share of the capacity that is withheld from requests
	// for each rank below the most urgent priority.
	reservedShare = 0.1
)

// newRetryQuota returns the share of one of the given number of gates in a limit
// of ratio retries per request plus slack retries per window. If their number is not known
// (0), the gate has no part of the slack.
func newRetryQuota(ratio, slack float64, window time.Duration, gates int) retryQuota {
	share := 0.0
	if gates > 0 {
		share = slack / float64(gates)
	}
	return retryQuota{
		tokensPerRequest: ratioShare * ratio,
		tokensPerSecond:  refillShare * share / window.Seconds(),
		capacity:         max(1, capacityShare*share),
	}
}

// refill adds the tokens for the time since the last refill.
func (b *retryBudget) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens += b.quota.tokensPerSecond * now.Sub(b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.tokens = min(b.quota.capacity, b.tokens)
}

// deposit adds the tokens for a first attempt.
func (b *retryBudget) deposit(now time.Time) {
	b.refill(now)
	b.tokens = min(b.quota.capacity, b.tokens+b.quota.tokensPerRequest)
}

// canWithdraw reports whether a request of the given priority may be retried; 0
// is the most urgent.
func (b *retryBudget) canWithdraw(now time.Time, priority int) bool {
	b.refill(now)
	return b.tokens >= min(b.quota.capacity, 1+reservedShare*b.quota.capacity*float64(priority))
}

// withdraw takes the token for one retry.
func (b *retryBudget) withdraw() { b.tokens-- }
