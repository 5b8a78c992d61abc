package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Key is a caller's idempotency key.
type Key struct {
	text   string
	issued time.Time
}

// Errors of keys.
var (
	ErrKeyMissing = errors.New("send an Idempotency-Key with this request: a new UUID of version 7 for each claim")
	ErrKeyFormat  = errors.New("the Idempotency-Key must be a UUID of version 7, which holds its time of issue")
)

// Window is how long after its issue a key may still be used.
const Window = 10 * time.Minute

// ParseKey reads an Idempotency-Key header.
func ParseKey(text string) (Key, error) {
	if text == "" {
		return Key{}, ErrKeyMissing
	}
	u, err := uuid.Parse(text)
	if err != nil || u.Version() != 7 {
		return Key{}, ErrKeyFormat
	}
	seconds, nanos := u.Time().UnixTime()
	return Key{text: u.String(), issued: time.Unix(seconds, nanos)}, nil
}

// String returns the key in its canonical form.
func (k Key) String() string { return k.text }

// Issued returns the key's time of issue by the caller's clock.
func (k Key) Issued() time.Time { return k.issued }

// Seat returns which of count seats the key belongs to.
func (k Key) Seat(count int) int {
	return int(xxhash.Sum64String(k.text) % uint64(count))
}

// Admission is what a holder may do with a key by its time of issue alone.
type Admission int

// The admissions.
const (
	// AdmitRun lets the holder begin the key unless it remembers it.
	AdmitRun Admission = iota
	// AdmitTooOld means that the key's memory has expired.
	AdmitTooOld
	// AdmitTooEarly means that the key's time lies in the future.
	AdmitTooEarly
	// AdmitBeforeHolder means that an earlier holder may have run the key.
	AdmitBeforeHolder
)

// Admits judges a key by its time of issue. from is the time from which keys
// belong to this holder, and bound is how far any two clocks may be apart.
//
// A key before from is refused first: only then does a key too far ahead
// certainly not have run at an earlier holder, whose clock may have been
// ahead of this one by the bound.
func Admits(k Key, from, now time.Time, bound time.Duration) Admission {
	switch {
	case k.issued.Before(now.Add(-Window)):
		return AdmitTooOld
	case k.issued.Before(from):
		return AdmitBeforeHolder
	case k.issued.After(now.Add(bound)):
		return AdmitTooEarly
	}
	return AdmitRun
}

// FirstKeyAfter returns the time from which keys may belong to a new holder
// when the earlier holder's lease was over at the given time of this clock.
// The earlier holder's clock may have been ahead by bound, and it admitted keys
// up to bound ahead of its clock.
func FirstKeyAfter(over time.Time, bound time.Duration) time.Time {
	return over.Add(2*bound + time.Millisecond)
}
