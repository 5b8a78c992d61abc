package health

import "time"

// DetectionMode is a service's setting for how fast unhealthy targets are
// detected.
type DetectionMode string

// The detection modes.
const (
	// DetectFast accepts more false ejections for a shorter detection time.
	DetectFast DetectionMode = "fast"
	// DetectBalanced lies between DetectFast and DetectCareful. It is the default.
	DetectBalanced DetectionMode = "balanced"
	// DetectCareful accepts a longer detection time for fewer false ejections.
	DetectCareful DetectionMode = "careful"
)

// DetectorOptions trade a Detector's detection time against false ejections.
type DetectorOptions struct {
	// Threshold is the evidence, in nats, at which a target is unhealthy.
	Threshold float64
	// MinSpan is how long evidence must last, so that one pause of a healthy
	// target does not suffice.
	MinSpan time.Duration
	// StallAge is the age at which one request alone is sufficient evidence.
	StallAge time.Duration
}

// OptionsFor returns the detector options for a service's detection mode.
func OptionsFor(m DetectionMode) DetectorOptions {
	switch m {
	case DetectFast:
		return DetectorOptions{Threshold: 12, MinSpan: 350 * time.Millisecond, StallAge: 800 * time.Millisecond}
	case DetectCareful:
		return DetectorOptions{Threshold: 20, MinSpan: 1000 * time.Millisecond, StallAge: 2500 * time.Millisecond}
	default:
		return DetectorOptions{Threshold: 16, MinSpan: 500 * time.Millisecond, StallAge: 1500 * time.Millisecond}
	}
}
