package field

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxNameBytes bounds names, because they travel with each request.
	MaxNameBytes = 256
	// MaxDuration bounds times that other processes send.
	MaxDuration = 24 * time.Hour
	// MaxCount bounds numbers of requests, slots, tokens and the like.
	MaxCount = 1_000_000
	// MaxRate bounds rates per second, weights and bursts.
	MaxRate = 1e9
	// MaxPriority bounds the ranks of routes and customers.
	MaxPriority = 1_000_000
	// maxQuotedBytes bounds the part of an invalid value that an error repeats.
	maxQuotedBytes = 64
	// maxErrorBytes bounds the text of a decoder's error.
	maxErrorBytes = 256
)

// Error reports an invalid field and how to correct it.
type Error struct {
	Field  string
	Remedy string
}

func (e *Error) Error() string { return e.Field + ": " + e.Remedy }

// Checker checks fields and keeps the error of the first invalid one. Its zero value
// is ready to use.
type Checker struct{ first *Error }

// Err returns an *Error for the first invalid field, or nil.
func (c *Checker) Err() error {
	if c.first == nil {
		return nil
	}
	return c.first
}

// Reject records that the field is invalid.
func (c *Checker) Reject(field, remedy string, args ...any) {
	if c.first == nil {
		c.first = &Error{Field: field, Remedy: fmt.Sprintf(remedy, args...)}
	}
}

// Address checks an IP address with a port from 1 to 65535.
func (c *Checker) Address(field, value string) {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.Reject(field, "%s is no IP address with a port from 1 to %d", Quote(value), math.MaxUint16)
	}
}

// Name checks a name, which must not be empty.
func (c *Checker) Name(field, value string) {
	if value == "" {
		c.Reject(field, "it is empty; a name is expected")
	}
	c.Label(field, value)
}

// Label checks a name that may be empty.
func (c *Checker) Label(field, value string) {
	switch {
	case len(value) > MaxNameBytes:
		c.Reject(field, "it has %d bytes; at most %d are allowed", len(value), MaxNameBytes)
	case !isPrintable(value):
		c.Reject(field, "%s has control characters or is not UTF-8", Quote(value))
	}
}

func isPrintable(s string) bool {
	for _, r := range s {
		if unicode.IsControl(r) {
			return false
		}
	}
	return utf8.ValidString(s)
}

// Int checks that a number lies from lowest to highest.
func (c *Checker) Int(field string, value, lowest, highest int64) {
	if value < lowest || value > highest {
		c.Reject(field, "%d is not a number from %d to %d", value, lowest, highest)
	}
}

// Float checks that a number lies from lowest to highest. NaN lies in no range.
func (c *Checker) Float(field string, value, lowest, highest float64) {
	if !(value >= lowest && value <= highest) {
		c.Reject(field, "%g is not a number from %g to %g", value, lowest, highest)
	}
}

// Duration checks that a duration lies from 0 to MaxDuration.
func (c *Checker) Duration(field string, d time.Duration) {
	if d < 0 || d > MaxDuration {
		c.Reject(field, "%v is not a time from 0 to %v", d, MaxDuration)
	}
}

// StartTime checks the time at which a process started, in Unix ms. It must not be later
// than now by more than the time for which clocks may differ.
func (c *Checker) StartTime(field string, unixMillis int64, now time.Time, skew time.Duration) {
	switch {
	case unixMillis <= 0:
		c.Reject(field, "%d is not a time after 1970 in Unix ms", unixMillis)
	case unixMillis > now.Add(skew).UnixMilli():
		c.Reject(field, "%d is later than now by more than %v; set the start time in Unix ms", unixMillis, skew)
	}
}

// Quote returns a value as it is written in errors: quoted, and cut if it is long.
func Quote(value string) string {
	if len(value) > maxQuotedBytes {
		return fmt.Sprintf("%q... (%d bytes)", value[:maxQuotedBytes], len(value))
	}
	return fmt.Sprintf("%q", value)
}

// Shorten returns the text of a decoder's error as it is logged: without its middle if it
// is long, since such an error may repeat the whole input.
func Shorten(err error) string {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return text
	}
	half := maxErrorBytes / 2
	return strings.ToValidUTF8(text[:half]+" ... "+text[len(text)-half:], "")
}

// Millis returns a number of milliseconds as a duration from 0 to MaxDuration.
func Millis(n int64) time.Duration {
	return time.Duration(min(max(n, 0), MaxDuration.Milliseconds())) * time.Millisecond
}

// Seconds returns a number of seconds as a duration from 0 to MaxDuration. NaN counts as 0.
// A conversion that overflows would have another result on each architecture.
func Seconds(n float64) time.Duration {
	if !(n > 0) {
		return 0
	}
	return time.Duration(min(n, MaxDuration.Seconds()) * float64(time.Second))
}
