package http1

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrBodyMemory means that the bodies in memory have used up their BodyBudget. As an
// error of Conn.Do it shows nothing about the peer.
var ErrBodyMemory = errors.New("the memory for bodies is used up")

// BodyBudget limits the memory of all request and response bodies that a process
// holds at one time. A nil *BodyBudget sets no limit.
type BodyBudget struct {
	limit int64
	used  atomic.Int64
}

// NewBodyBudget returns a budget of the given number of bytes.
func NewBodyBudget(limit int64) *BodyBudget { return &BodyBudget{limit: limit} }

// Used returns the number of bytes in use.
func (b *BodyBudget) Used() int64 { return b.used.Load() }

// Fits reports whether a body of n bytes fits beside those in memory.
func (b *BodyBudget) Fits(n int64) bool { return b == nil || b.used.Load()+n <= b.limit }

// maxBodyShare is the share of a budget that one response may use.
const maxBodyShare = 0.5

// maxBytes returns the longest response body.
func (b *BodyBudget) maxBytes() int64 {
	if b == nil {
		return maxResponseBytes
	}
	return min(maxResponseBytes, int64(maxBodyShare*float64(b.limit)))
}

// reservation is the part of a budget that one body uses. It may be released while
// the body is still being read, which then fails.
type reservation struct {
	budget   *BodyBudget
	bytes    atomic.Int64
	released atomic.Bool
}

func (b *BodyBudget) newReservation() *reservation { return &reservation{budget: b} }

// grow adds n bytes to the reservation, or fails with ErrBodyMemory.
func (r *reservation) grow(n int64) error {
	if r.budget == nil {
		return nil
	}
	if r.budget.used.Add(n) > r.budget.limit {
		r.budget.used.Add(-n)
		return ErrBodyMemory
	}
	r.bytes.Add(n)
	if r.released.Load() {
		r.release()
		return ErrBodyMemory
	}
	return nil
}

// release returns the reserved bytes to the budget. Further calls do nothing.
func (r *reservation) release() {
	if r != nil && r.budget != nil {
		r.released.Store(true)
		r.budget.used.Add(-r.bytes.Swap(0))
	}
}

// minBodyBuffer is the initial size of the buffer of a body of unknown length.
const minBodyBuffer = 512

// readAll reads a body of at most maxBytes and reserves the memory for it. length
// is the announced length, or negative. It fails with errBodyTooLarge or
// ErrBodyMemory.
func readAll(body io.Reader, length, maxBytes int64, r *reservation) ([]byte, error) {
	if body == http.NoBody {
		return nil, nil
	}
	if length > maxBytes {
		return nil, errBodyTooLarge
	}
	size := int64(minBodyBuffer)
	if length >= 0 {
		// A peer may announce more than it sends.
		size = min(length+1, 1<<20)
	}
	var b []byte
	for {
		if int64(len(b)) == int64(cap(b)) {
			size = max(size, 2*int64(cap(b)))
			if err := r.grow(size - int64(cap(b))); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, size), b...)
		}
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > maxBytes:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}
