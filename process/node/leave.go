package node

import (
	"context"
	"time"
)

const (
	// callerTime is how long callers may still come after the node has said
	// that it leaves: the platform asks each second and believes two misses.
	callerTime = 3 * time.Second
	// leaveCheck is how often the node looks whether its work has ended.
	leaveCheck = 50 * time.Millisecond
	// endMargin before the deadline is left for closing, on a VM that may have
	// used its processor time.
	endMargin = 500 * time.Millisecond
	// endTime is given to requests that have to end with what there is.
	endTime = 200 * time.Millisecond
	// storeMargin bounds what a leaving node spends on its record in the store.
	storeMargin = time.Second
)

// leave ends the node gracefully. Callers are served until they stay away, and
// each answer ends its connection; meanwhile the gate takes work that ends in
// time, so that its target is missing no longer than the restart takes; the
// target beside the node may make requests while it works.
func (n *Node) leave(ctx context.Context) {
	began := time.Now()
	n.ExtendLeaveDeadline(began.Add(n.settings.Grace))
	n.leaving.Store(true)
	n.logger.Info("node leaving", "requests", n.callers.InFlight(), "gate_requests", n.entries.InFlight(), "target_left", n.gate.IsTargetLeaving())
	n.callers.Drain()
	if n.gate.IsTargetLeaving() {
		n.run(func() { n.sayGoodbye(ctx) })
	}
	isQuiet := func() bool { return n.callers.InFlight() == 0 && n.entries.InFlight() == 0 && n.gate.InFlight() == 0 }
	pause(ctx, time.Until(began.Add(callerTime)))
	// Callers that come later still, since too few other nodes are ready, could
	// not be answered before the deadline.
	n.callers.Stop()
	n.gate.Drain()
	for time.Now().Before(n.leaveBy()) && ctx.Err() == nil && !isQuiet() {
		pause(ctx, leaveCheck)
	}
	if !isQuiet() {
		// An answer that waits for a slower one on its connection is not lost.
		n.callers.CancelRequests()
		n.entries.CancelRequests()
		for until := time.Now().Add(endTime); time.Now().Before(until) && !isQuiet(); {
			pause(ctx, leaveCheck)
		}
	}
	n.logger.Info("node stopped", "after_ms", time.Since(began).Milliseconds(),
		"requests_left", n.callers.InFlight(), "gate_requests_left", n.entries.InFlight())
	n.stop()
}

// ExtendLeaveDeadline moves the time by which a leaving node has ended. It never moves back:
// the platform counts the grace time from its last SIGTERM.
func (n *Node) ExtendLeaveDeadline(deadline time.Time) {
	for {
		old := n.deadline.Load()
		if old != nil && !deadline.After(*old) || n.deadline.CompareAndSwap(old, &deadline) {
			return
		}
	}
}

// leaveBy returns when requests in progress have to end.
func (n *Node) leaveBy() time.Time { return n.deadline.Load().Add(-endMargin) }

// endsAt returns leaveBy, or zero if the node is not leaving.
func (n *Node) endsAt() time.Time {
	if n.deadline.Load() == nil {
		return time.Time{}
	}
	return n.leaveBy()
}

// sayGoodbye tells the fleet that the node will not come back.
func (n *Node) sayGoodbye(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeMargin)
	defer cancel()
	gone := n.roster.Leave()
	n.spread.PushAndWait(ctx, gone)
	if err := n.platform.Registry.Leave(ctx, gone); err != nil {
		n.logger.Warn("the node's record stays in the store", "reason", err)
	}
}
