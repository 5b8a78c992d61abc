package node

import (
	"context"
	"time"
)

const (
	// callerDrainTime is how long callers may still send requests after the node
	// reports that it isn't ready: the platform checks each second and acts on two
	// failed checks.
	callerDrainTime = 3 * time.Second
	// callerDrainShare bounds that time as a share of the grace period: the requests that
	// come last must still be served.
	callerDrainShare = 0.5
	// drainPollInterval is how often a leaving node checks whether requests are in
	// progress.
	drainPollInterval = 50 * time.Millisecond
	// closeMargin is the time before the deadline that is reserved for closing, on
	// a VM that may have used up its CPU quota.
	closeMargin = 500 * time.Millisecond
	// cancelTime is how long the handlers of cancelled requests have to respond.
	cancelTime = 200 * time.Millisecond
	// deregisterTimeout limits the time in which a leaving node spreads that it is
	// gone and removes its record from the store.
	deregisterTimeout = time.Second
)

// leave shuts the node down gracefully. Callers are served until they stop
// sending requests, and each connection is closed with its next response. Meanwhile
// the gate admits requests that can finish in time, so that its target is
// unavailable no longer than the restart takes, and the target beside the node may
// send requests of its own while it runs some.
func (n *Node) leave(ctx context.Context) {
	start := time.Now()
	n.ExtendLeaveDeadline(start.Add(n.settings.GracePeriod))
	n.isLeaving.Store(true)
	n.logger.Info("node leaving", "requests", n.entryListener.InFlight(), "gate_requests", n.gateListener.InFlight(), "target_left", n.gate.IsTargetLeaving())
	n.entryListener.Drain()
	if n.gate.IsTargetLeaving() {
		n.startTask(func() { n.deregister(ctx) })
	}
	isIdle := func() bool {
		return n.entryListener.InFlight() == 0 && n.gateListener.InFlight() == 0 && n.gate.InFlight() == 0
	}
	drainTime := min(callerDrainTime, time.Duration(callerDrainShare*float64(n.settings.GracePeriod)))
	sleep(ctx, time.Until(start.Add(drainTime)))
	// If too few other nodes are ready, callers keep sending requests. These could
	// no longer be served before the deadline.
	n.entryListener.Stop()
	n.gate.Drain()
	for time.Now().Before(n.requestDeadline()) && ctx.Err() == nil && !isIdle() {
		sleep(ctx, drainPollInterval)
	}
	if !isIdle() {
		// Cancelled requests get a response, so that finished responses that wait
		// behind them on a connection are not lost.
		n.entryListener.CancelRequests()
		n.gateListener.CancelRequests()
		for end := time.Now().Add(cancelTime); time.Now().Before(end) && !isIdle(); {
			sleep(ctx, drainPollInterval)
		}
	}
	n.logger.Info("node stopped", "after_ms", time.Since(start).Milliseconds(),
		"requests_left", n.entryListener.InFlight(), "gate_requests_left", n.gateListener.InFlight())
	n.close()
}

// ExtendLeaveDeadline sets the time by which a leaving node must have stopped, if
// it is later than before: the platform counts the grace period from its
// last SIGTERM.
func (n *Node) ExtendLeaveDeadline(deadline time.Time) {
	for {
		old := n.deadline.Load()
		if old != nil && !deadline.After(*old) || n.deadline.CompareAndSwap(old, &deadline) {
			return
		}
	}
}

// requestDeadline returns when the requests in progress of a leaving node must
// have ended.
func (n *Node) requestDeadline() time.Time { return n.deadline.Load().Add(-closeMargin) }

// shutdownDeadline returns requestDeadline, or zero if the node is not leaving.
func (n *Node) shutdownDeadline() time.Time {
	if n.deadline.Load() == nil {
		return time.Time{}
	}
	return n.requestDeadline()
}

// deregister informs other nodes that the node is gone for good and removes its
// record from the store.
func (n *Node) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	gone := n.view.Leave()
	n.gossiper.PushAndWait(ctx, gone)
	if err := n.platform.Registry.Leave(ctx, gone); err != nil {
		n.logger.Warn("removing the node's record from the store failed", "reason", err)
	}
	n.leaveContacts(ctx, gone)
}
