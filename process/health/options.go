package health

import "time"

// Detection names a policy for judging targets.
type Detection string

// The two ends of the dial, and the middle.
const (
	// DetectFast accepts more false ejections for a shorter detection time.
	DetectFast Detection = "fast"
	// DetectBalanced stands between the two.
	DetectBalanced Detection = "balanced"
	// DetectCareful accepts a longer detection time for fewer false ejections.
	DetectCareful Detection = "careful"
)

// Dial sets a Judge between short detection time and few false ejections.
type Dial struct {
	// Threshold is the evidence, in nats, that makes a target suspected.
	Threshold float64
	// MinSpan is how long evidence must last, so that one pause of a healthy
	// target does not suffice.
	MinSpan time.Duration
	// StallAge is the age at which one request alone is evidence enough.
	StallAge time.Duration
}

// DialFor returns the dial for a service's detection setting.
func DialFor(d Detection) Dial {
	switch d {
	case DetectFast:
		return Dial{Threshold: 12, MinSpan: 350 * time.Millisecond, StallAge: 800 * time.Millisecond}
	case DetectCareful:
		return Dial{Threshold: 20, MinSpan: 1000 * time.Millisecond, StallAge: 2500 * time.Millisecond}
	default:
		return Dial{Threshold: 16, MinSpan: 500 * time.Millisecond, StallAge: 1500 * time.Millisecond}
	}
}
