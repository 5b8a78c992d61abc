package entry

import (
	"time"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// The functions in this file determine which gates a request may try. Dispatching and
// Explain share them; they change no state.

// refuseQuarantined returns the refusal of a quarantined request, or nil if it may run.
func (s *dispatchState) refuseQuarantined(until time.Time, isTrialDue bool) *outcome.Problem {
	if until.IsZero() || isTrialDue && s.gateAttempts == 0 {
		return nil
	}
	return outcome.Refused(outcome.CodeQuarantined, "the request has crashed several targets").WithRetryAt(until)
}

// exclusions reports, by index, the gates that the request must not try in a pass.
func (s *dispatchState) exclusions(p selectionPass, candidates []*candidate, snapshots []snapshot, attempted map[int]bool, now time.Time) func(int) bool {
	latest := now.Add(p.queueTimeout(s.call.targetLatency(), s.call.deadline.Sub(now)))
	return func(i int) bool {
		return attempted[i] || s.excluded[candidates[i]] || s.capacityAt[candidates[i]].After(latest) || snapshots[i].admitsAt.After(latest)
	}
}

// traits returns what the selection depends on.
func (s *dispatchState) traits() requestTraits {
	return requestTraits{canRetry: s.canRetry(), nonIdempotent: !s.call.route.Idempotent}
}

// isNotElected reports, by index, the gates that may not run the trial of a quarantined
// request. Of the elected gates, it leaves the first that is reachable.
func isNotElected(candidates []*candidate, snapshots []snapshot, request fingerprint.Fingerprint, round uint64) func(int) bool {
	addresses := make([]string, len(candidates))
	for i, c := range candidates {
		addresses[i] = c.address
	}
	elected := -1
	for _, i := range quarantine.ElectGates(addresses, request, round) {
		if !snapshots[i].unreachable {
			elected = i
			break
		}
	}
	return func(i int) bool { return i != elected }
}
