package http1

import (
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrBodyMemory means that the bodies in memory have used up their BodyBudget. As an
// error of Conn.Do it shows nothing about the peer.
var ErrBodyMemory = errors.New("the memory for bodies is used up")

// BodyBudget limits the memory of all request and response bodies that a process
// holds at one time. A nil *BodyBudget sets no limit.
//
// A response body whose length was not announced may have no end. While it is being read, it
// gives way to bodies with a length and to shorter ones.
type BodyBudget struct {
	limit int64
	used  atomic.Int64

	mu sync.Mutex
	// preemptible holds the bodies that may have to give way, and what ends their reading.
	preemptible map[*reservation]func()
}

// NewBodyBudget returns a budget of the given number of bytes.
func NewBodyBudget(limit int64) *BodyBudget {
	return &BodyBudget{limit: limit, preemptible: map[*reservation]func(){}}
}

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

// take adds n bytes to those in use, if they fit.
func (b *BodyBudget) take(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// takeFromLongest takes n bytes for a body from the longest one that has to give way to it, if
// that makes room for all of them.
func (b *BodyBudget) takeFromLongest(n int64, to *reservation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var longest *reservation
	for r := range b.preemptible {
		if longest == nil || r.bytes.Load() > longest.bytes.Load() {
			longest = r
		}
	}
	if longest == nil || longest == to || longest.bytes.Load() < n || !to.hasLength && longest.bytes.Load() <= to.bytes.Load()+n {
		return false
	}
	stop := b.preemptible[longest]
	delete(b.preemptible, longest)
	// The bytes are not free in between, so that no other body gets them.
	b.used.Add(n)
	longest.release()
	stop()
	return true
}

// reservation is the part of a budget that one body uses. It may be released while
// the body is still being read, which then fails.
type reservation struct {
	budget *BodyBudget
	// hasLength means that the length of the body was announced.
	hasLength bool
	bytes     atomic.Int64
	released  atomic.Bool
}

func (b *BodyBudget) newReservation(hasLength bool) *reservation {
	return &reservation{budget: b, hasLength: hasLength}
}

// makePreemptible lets the body give way to others until the returned function is called, which
// reports whether it had to. Its reservation is then released and stop called.
func (r *reservation) makePreemptible(stop func()) (end func() (hasGivenWay bool)) {
	if r.budget == nil {
		return func() bool { return false }
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.preemptible[r] = stop
	return func() bool {
		r.budget.mu.Lock()
		defer r.budget.mu.Unlock()
		_, isLeft := r.budget.preemptible[r]
		delete(r.budget.preemptible, r)
		return !isLeft
	}
}

// grow adds n bytes to the reservation, or fails with ErrBodyMemory.
func (r *reservation) grow(n int64) error {
	if r.budget == nil {
		return nil
	}
	if !r.budget.take(n) && !r.budget.takeFromLongest(n, r) {
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

// readBody reads the body of a response whose head has been read. It fails with ErrBodyMemory
// if the body has to give way to another one.
func (c *Conn) readBody(hr *http.Response, maxBytes int64, memory *reservation) ([]byte, error) {
	if hr.Body == http.NoBody {
		return nil, nil
	}
	if hr.ContentLength >= 0 {
		b, err := readAll(io.LimitReader(c.reader, hr.ContentLength), hr.ContentLength, maxBytes, memory)
		if err == nil && int64(len(b)) < hr.ContentLength {
			err = io.ErrUnexpectedEOF
		}
		return b, err
	}
	end := memory.makePreemptible(func() { c.conn.Close() })
	b, err := c.readBodyWithoutLength(hr, maxBytes, memory)
	if end() {
		return nil, ErrBodyMemory
	}
	return b, err
}

// readBodyWithoutLength reads a body that is sent in chunks or ends with the connection.
func (c *Conn) readBodyWithoutLength(hr *http.Response, maxBytes int64, memory *reservation) ([]byte, error) {
	if len(hr.TransferEncoding) == 0 {
		return readAll(c.reader, -1, maxBytes, memory)
	}
	b, err := readAll(httputil.NewChunkedReader(c.reader), -1, maxBytes, memory)
	if err != nil {
		return nil, err
	}
	return b, c.readTrailer()
}

// readTrailer reads the trailer section of a chunked body, whose fields are not passed on.
func (c *Conn) readTrailer() error {
	c.input.remaining = maxResponseHeadBytes
	_, err := c.appendFields(nil)
	return err
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
