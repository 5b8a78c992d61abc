package entry

import (
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// limiter holds a token bucket for each customer that was seen lately.
type limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	sweepAt time.Time
}

type bucket struct {
	tokens float64
	seen   time.Time
}

// limiterMemory is how long an unused bucket is kept. A bucket that refills
// within it is full again anyway.
const limiterMemory = time.Minute

func newLimiter() *limiter { return &limiter{buckets: map[string]*bucket{}} }

// take spends one request of the customer, or returns when the next is allowed.
func (l *limiter) take(c configuration.Customer, now time.Time) (retryAt time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	b, known := l.buckets[c.Name]
	if !known {
		b = &bucket{tokens: c.Burst, seen: now}
		l.buckets[c.Name] = b
	}
	b.tokens = min(c.Burst, b.tokens+now.Sub(b.seen).Seconds()*c.RequestsPerSecond)
	b.seen = now
	if b.tokens >= 1 {
		b.tokens--
		return time.Time{}, true
	}
	wait := (1 - b.tokens) / c.RequestsPerSecond
	return now.Add(time.Duration(wait * float64(time.Second))), false
}

func (l *limiter) sweep(now time.Time) {
	if now.Before(l.sweepAt) {
		return
	}
	l.sweepAt = now.Add(limiterMemory)
	for name, b := range l.buckets {
		if now.Sub(b.seen) > limiterMemory {
			delete(l.buckets, name)
		}
	}
}
