package link

import (
	"context"
	"sync"
	"time"
)

// Bandwidth is a capacity that several connections share. It is safe for concurrent use.
type Bandwidth struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when the bytes that have been accepted so far have passed.
	freeAt time.Time
	total  int64
}

// NewBandwidth returns a capacity in bytes per second.
func NewBandwidth(bytesPerSecond float64) *Bandwidth {
	return &Bandwidth{bytesPerSecond: bytesPerSecond}
}

// windowBytes is what a connection may have on its way before it waits. The bytes of all
// connections leave in the order in which they were accepted, as in the queue of a router.
const windowBytes = 256 << 10

// Wait returns when n bytes have passed, or with the error of ctx when that ends. What has
// been accepted until then takes up capacity nevertheless.
func (b *Bandwidth) Wait(ctx context.Context, n int) error {
	for n > 0 {
		chunk := min(n, windowBytes)
		n -= chunk
		timer := time.NewTimer(time.Until(b.accept(chunk)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
	return nil
}

// accept returns when the next n bytes have passed.
func (b *Bandwidth) accept(n int) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.freeAt.Before(now) {
		b.freeAt = now
	}
	b.freeAt = b.freeAt.Add(time.Duration(float64(n) / b.bytesPerSecond * float64(time.Second)))
	b.total += int64(n)
	return b.freeAt
}

// Total returns the bytes that have been accepted so far.
func (b *Bandwidth) Total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}
