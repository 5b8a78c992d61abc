package field

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// Guards against values out of range that a check lets through, and against errors that do
// not name the field.
func TestChecker(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	tests := []struct {
		name  string
		check func(*Checker)
		ok    bool
	}{
		{"address", func(c *Checker) { c.Address("f", "10.0.0.1:7620") }, true},
		{"IPv6 address", func(c *Checker) { c.Address("f", "[::1]:65535") }, true},
		{"port above 65535", func(c *Checker) { c.Address("f", "10.0.0.1:70000") }, false},
		{"negative port", func(c *Checker) { c.Address("f", "10.0.0.1:-1") }, false},
		{"port zero", func(c *Checker) { c.Address("f", "10.0.0.1:0") }, false},
		{"host name", func(c *Checker) { c.Address("f", "node:7620") }, false},
		{"empty name", func(c *Checker) { c.Name("f", "") }, false},
		{"empty label", func(c *Checker) { c.Label("f", "") }, true},
		{"control character", func(c *Checker) { c.Label("f", "a\r\nb") }, false},
		{"not UTF-8", func(c *Checker) { c.Label("f", "\xff") }, false},
		{"long name", func(c *Checker) { c.Name("f", strings.Repeat("x", MaxNameBytes+1)) }, false},
		{"number", func(c *Checker) { c.Int("f", 5, 1, 5) }, true},
		{"number above its range", func(c *Checker) { c.Int("f", math.MaxInt64, 1, 5) }, false},
		{"NaN", func(c *Checker) { c.Float("f", math.NaN(), 0, 1) }, false},
		{"infinity", func(c *Checker) { c.Float("f", math.Inf(1), 0, math.MaxFloat64) }, false},
		{"duration", func(c *Checker) { c.Duration("f", MaxDuration) }, true},
		{"negative duration", func(c *Checker) { c.Duration("f", -1) }, false},
		{"clock ahead", func(c *Checker) { c.StartTime("f", now.UnixMilli()+1000, now, time.Second) }, true},
		{"too far ahead", func(c *Checker) { c.StartTime("f", now.UnixMilli()+1001, now, time.Second) }, false},
		{"largest time", func(c *Checker) { c.StartTime("f", math.MaxInt64, now, time.Second) }, false},
		{"time before 1970", func(c *Checker) { c.StartTime("f", math.MinInt64, now, time.Second) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var c Checker
			test.check(&c)
			c.Int("later", 1, 2, 3) // the first error stays
			var e *Error
			is.True(errors.As(c.Err(), &e))
			is.Equal(e.Field == "later", test.ok)
			is.True(len(e.Error()) < 256)
		})
	}
}

// Guards against conversions that wrap to a negative duration.
func TestConversionsSaturate(t *testing.T) {
	is := is.New(t)
	for _, n := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64 / int64(time.Millisecond), math.MaxInt64} {
		is.True(Millis(n) >= 0 && Millis(n) <= MaxDuration)
	}
	for _, n := range []float64{math.NaN(), math.Inf(-1), -1, 1e-300, 1e300, math.Inf(1)} {
		is.True(Seconds(n) >= 0 && Seconds(n) <= MaxDuration)
	}
	is.Equal(Millis(1500), 1500*time.Millisecond)
	is.Equal(Seconds(1.5), 1500*time.Millisecond)
}
