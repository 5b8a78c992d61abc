package soak

import "github.com/cuminwheel/cuminwheel/standin/target"

// checkNotices records a violation for requests that reached targets in spite of what
// these had named. A node that restarts is excused for what it had heard of its target.
func (f *fleet) checkNotices(events []event, executions map[string]int) {
	if n := executions[target.OverLimitID]; n > 0 {
		f.recordViolation("requests beyond a target's limit: %d", n)
	}
	restarts := 0
	for _, e := range events {
		switch e.kind {
		case faultKill, faultTerminate, faultKillAll:
			restarts++
		}
	}
	if n := executions[target.AfterLeaveID]; n > maxPerRestart*restarts {
		f.recordViolation("requests at targets that had named their leave: %d after %d restarts", n, restarts)
	}
}

// maxPerRestart is how many requests a gate that has restarted may send to its target
// before it learns again what that has named, one for each slot.
const maxPerRestart = 3
