package health

import "time"

// DetectionMode names a policy for judging targets.
type DetectionMode string

// The two ends of the dial, and the middle.
const (
	// DetectFast accepts more false ejections for a shorter detection time.
	DetectFast DetectionMode = "fast"
	// DetectBalanced stands between the two.
	DetectBalanced DetectionMode = "balanced"
	// DetectCareful accepts a longer detection time for fewer false ejections.
	DetectCareful DetectionMode = "careful"
)

// DetectorOptions sets a Judge between short detection time and few false ejections.
type DetectorOptions struct {
	// Threshold is the evidence, in nats, that makes a target suspected.
	Threshold float64
	// MinSpan is how long evidence must last, so that one pause of a healthy
	// target does not suffice.
	MinSpan time.Duration
	// StallAge is the age at which one request alone is evidence enough.
	StallAge time.Duration
}

// OptionsFor returns the dial for a service's detection setting.
func OptionsFor(d DetectionMode) DetectorOptions {
	switch d {
	case DetectFast:
		return DetectorOptions{Threshold: 12, MinSpan: 350 * time.Millisecond, StallAge: 800 * time.Millisecond}
	case DetectCareful:
		return DetectorOptions{Threshold: 20, MinSpan: 1000 * time.Millisecond, StallAge: 2500 * time.Millisecond}
	default:
		return DetectorOptions{Threshold: 16, MinSpan: 500 * time.Millisecond, StallAge: 1500 * time.Millisecond}
	}
}
