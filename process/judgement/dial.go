package judgement

import (
	"time"

	"github.com/cuminwheel/cuminwheel/version/configuration"
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
func DialFor(d configuration.Detection) Dial {
	switch d {
	case configuration.DetectFast:
		return Dial{Threshold: 12, MinSpan: 350 * time.Millisecond, StallAge: 800 * time.Millisecond}
	case configuration.DetectCareful:
		return Dial{Threshold: 20, MinSpan: 1000 * time.Millisecond, StallAge: 2500 * time.Millisecond}
	default:
		return Dial{Threshold: 16, MinSpan: 500 * time.Millisecond, StallAge: 1500 * time.Millisecond}
	}
}
