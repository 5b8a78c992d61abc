package experiment

import (
	"math/rand/v2"
	"time"
)

// Policy chooses targets for requests and judges the targets.
type Policy interface {
	// Choose returns a target, or false to refuse the request at once.
	Choose(now time.Time, deadline time.Time) (target int, ok bool)
	// RecordStart and RecordEnd tell of work at a target. failed means an error or no
	// answer by the deadline.
	RecordStart(target int, now time.Time) int64
	RecordEnd(target int, work int64, now time.Time, took time.Duration, failed bool)
	// Tick is called every tickInterval and returns targets that were ejected
	// in it. Requests in progress there may be sent elsewhere.
	Tick(now time.Time) []int
	// IsOutOfService reports whether the target gets no work but trials.
	IsOutOfService(target int, now time.Time) bool
}

// TargetState is what a policy may know of the targets.
type TargetState interface {
	// Outstanding is the number of requests at a target, waiting ones included.
	Outstanding(target int) int
	// Probe reports whether a target answers an active probe. It always does.
	Probe(target int) bool
}

// PolicyFactory makes a policy for a scenario.
type PolicyFactory struct {
	Name string
	New  func(s Scenario, v TargetState, random *rand.Rand) Policy
}

// PolicyFactories lists this project's policy and the baselines.
func PolicyFactories() []PolicyFactory {
	return []PolicyFactory{
		{"cuminwheel", newGuarded},
		{"random", newRandomPolicy},
		{"least_outstanding", newLeast},
		{"consecutive_errors", newConsecutive},
		{"success_rate", newSuccessRate},
		{"active_probes", newProbing},
	}
}

const tickInterval = 20 * time.Millisecond
