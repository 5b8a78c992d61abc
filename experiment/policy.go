package experiment

import (
	"math/rand/v2"
	"time"
)

// Policy chooses targets for requests and judges the targets.
type Policy interface {
	// Choose returns a target, or false to refuse the request at once.
	Choose(now time.Time, deadline time.Time) (target int, ok bool)
	// Began and Ended tell of work at a target. failed means an error or no
	// answer by the deadline.
	Began(target int, now time.Time) int64
	Ended(target int, work int64, now time.Time, took time.Duration, failed bool)
	// Tick is called every tickInterval and returns targets that were ejected
	// in it. Requests in progress there may be sent elsewhere.
	Tick(now time.Time) []int
	// IsOut reports whether the target gets no work but trials.
	IsOut(target int, now time.Time) bool
}

// View is what a policy may know of the targets.
type View interface {
	// Busy is the number of requests at a target, waiting ones included.
	Busy(target int) int
	// Probe reports whether a target answers an active probe. It always does.
	Probe(target int) bool
}

// Maker makes a policy for a scenario.
type Maker struct {
	Name string
	New  func(s Scenario, v View, random *rand.Rand) Policy
}

// Makers lists this project's policy and the baselines.
func Makers() []Maker {
	return []Maker{
		{"cuminwheel", newGuarded},
		{"random", newRandomPolicy},
		{"least_outstanding", newLeast},
		{"consecutive_errors", newConsecutive},
		{"success_rate", newSuccessRate},
		{"active_probes", newProbing},
	}
}

const tickInterval = 20 * time.Millisecond
