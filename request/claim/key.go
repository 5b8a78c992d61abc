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
	// AdmitBeforeTenure means that an earlier holder may have run the key.
	AdmitBeforeTenure
)

// Admits judges a key by its time of issue. since is when the holder's tenure
// began by its own clock, and bound is how far any two clocks may be apart.
//
// An earlier holder's clock may have been ahead by bound, and it admitted keys
// up to bound ahead of its clock, so that keys up to twice the bound after
// since may have run there. That is told before a key is called too early:
// only then has a key that is too early certainly not run.
func Admits(k Key, since, now time.Time, bound time.Duration) Admission {
	switch {
	case k.issued.Before(now.Add(-Window)):
		return AdmitTooOld
	case !k.issued.After(since.Add(2 * bound)):
		return AdmitBeforeTenure
	case k.issued.After(now.Add(bound)):
		return AdmitTooEarly
	}
	return AdmitRun
}
