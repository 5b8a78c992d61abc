package quota

import (
	"time"

	"github.com/cuminwheel/cuminwheel/request/field"
)

const (
	// extraBurst, in tokens, is added to each customer's burst. It makes up for tokens
	// that expire unused at several nodes, and uses half of the 20 requests by which the
	// quota rule may be exceeded.
	extraBurst = 10
	// promiseHorizon limits how far ahead retry times are promised.
	promiseHorizon = 5 * time.Second
)

// bucket is the token bucket of one customer at its home.
type bucket struct {
	level float64
	// at is the time up to which the bucket has been filled.
	at time.Time
	// promised is the last retry time that was promised to a caller.
	promised time.Time
}

// fill adds the tokens since the last call. share is the part of the rate and of the
// burst that the node may grant.
func (b *bucket) fill(now time.Time, rate, burst, share float64) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += rate * share * elapsed.Seconds()
		b.at = now
	}
	b.level = min(b.level, share*(burst+extraBurst))
}

// take removes up to want whole tokens and returns their number.
func (b *bucket) take(want int) int {
	granted := max(0, min(want, int(b.level)))
	b.level -= float64(granted)
	return granted
}

// promise returns the first of count retry times that are 1/rate apart and later than
// those promised before. With a count of 0 it promises nothing. Promises beyond the horizon start again at the next token, so
// that no caller waits for more than the horizon.
func (b *bucket) promise(now time.Time, rate float64, count int) time.Time {
	interval := field.Seconds(1 / rate)
	next := now.Add(time.Duration(max(0, 1-b.level) * float64(interval)))
	if after := b.promised.Add(interval); after.After(next) && after.Before(now.Add(promiseHorizon)) {
		next = after
	}
	if count > 0 {
		b.promised = next.Add(field.Seconds(float64(count-1) / rate))
	}
	return next
}
