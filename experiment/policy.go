package experiment

import (
	"math/rand/v2"
	"time"
)

// Policy chooses a target for each request and decides which targets to eject.
type Policy interface {
	// Choose returns the target for a request, or false to refuse the request.
	Choose(now time.Time, deadline time.Time) (target int, ok bool)
	// RecordStart records that a request was sent to a target and returns an ID
	// for its RecordEnd.
	RecordStart(target int, now time.Time) int64
	// RecordEnd records the end of a request. failed means that the response was
	// an error or did not come by the deadline.
	RecordEnd(target int, requestID int64, now time.Time, latency time.Duration, failed bool)
	// Tick is called every tickInterval and returns the targets that were ejected
	// since the last call. The simulation retries the requests in progress there.
	Tick(now time.Time) []int
	// IsOutOfService reports whether the target gets no requests but trials.
	IsOutOfService(target int, now time.Time) bool
}

// TargetState is what a policy can observe of the targets besides its requests.
type TargetState interface {
	// Outstanding returns the number of requests at a target, including queued ones.
	Outstanding(target int) int
	// Probe reports whether a target passes an active probe. Gray targets always
	// do.
	Probe(target int) bool
}

// PolicyFactory is a policy's name and constructor. New is called once per run.
type PolicyFactory struct {
	Name string
	New  func(s Scenario, t TargetState, random *rand.Rand) Policy
}

// PolicyFactories returns the factories of this project's policy, which comes
// first, and of the baselines.
func PolicyFactories() []PolicyFactory {
	return []PolicyFactory{
		{"cuminwheel", newCuminwheelPolicy},
		{"random", newRandomPolicy},
		{"least_outstanding", newLeastOutstandingPolicy},
		{"consecutive_errors", newConsecutiveErrorsPolicy},
		{"success_rate", newSuccessRatePolicy},
		{"active_probes", newActiveProbesPolicy},
	}
}

// tickInterval is the virtual time between calls of Policy.Tick.
const tickInterval = 20 * time.Millisecond
