package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
)

const (
	// settleTime is the wait between writing the own record and reading those of
	// the others, so that nodes that start together find each other with one read.
	settleTime = time.Second
	// minRetryDelay and maxRetryDelay limit the mean delay between calls to a
	// store that fails.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// join registers the node's record in the store and reads the records of the
// others. From then on gossip spreads the records. A node that restarts reads the
// store first as well: the others are already registered, and its own former record may
// have departures that must not be overwritten.
func (n *Node) join(ctx context.Context) {
	if !n.settings.Bootstrap {
		asksContacts := false
		// A configuration may have come from a store that is back.
		retryWhen(ctx, n.configuration.Changed, func() bool {
			if n.readNodes(ctx) {
				return true
			}
			// Not after each failure: the whole store may be down.
			if asksContacts = !asksContacts; asksContacts {
				n.askContacts(ctx)
			}
			return false
		})
	}
	retry(ctx, func() bool { return n.writeOwnRecord(ctx) })
	sleep(ctx, settleTime)
	retry(ctx, func() bool { return n.readNodes(ctx) })
	if !n.view.IsDiscovered() {
		sleep(ctx, time.Until(n.startedAt.Add(emptyStorePatience)))
		retry(ctx, func() bool { return n.readNodes(ctx) })
	}
}

// followDiscovery lets the node grant quotas once it has discovered the fleet.
func (n *Node) followDiscovery(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.view.Discovered():
		n.quotas.FollowNodes()
		n.logger.Info("fleet discovered", "nodes", len(n.view.Nodes()), "stored", n.hasReadNodes.Load(), "after_ms", time.Since(n.startedAt).Milliseconds())
	}
}

// maxLoggedRecords bounds the invalid records of one call that are logged.
const maxLoggedRecords = 10

// readNodes merges the records in the store into the view and reports whether the
// store could be read.
func (n *Node) readNodes(ctx context.Context) bool {
	records, invalid, err := n.platform.Registry.Nodes(ctx)
	if err != nil {
		n.logger.Warn("reading node records from the store failed", "reason", err)
		return false
	}
	isFormer := func(r membership.Record) bool {
		return r.ControlAddress == n.view.Self().ControlAddress && r.Incarnation < n.startedAt.UnixMilli()
	}
	if slices.ContainsFunc(records, isFormer) {
		n.wasRegistered.Store(true)
	}
	before := n.view.Version()
	n.view.Merge(records)
	n.hasReadNodes.Store(true)
	// The store may have come back from an older copy, to which the other nodes add their
	// records again.
	if n.settings.Bootstrap || n.wasRegistered.Load() || len(n.view.Nodes()) > 1 || time.Since(n.startedAt) >= emptyStorePatience {
		n.view.SetDiscovered()
	}
	for _, err := range invalid[:min(len(invalid), maxLoggedRecords)] {
		n.logger.Warn("record of a node in the store ignored", "reason", err)
	}
	n.logger.Info("read node records from the store", "nodes", len(records), "malformed", len(invalid), "changed", n.view.Version() != before)
	return true
}

// restoreSpread is the time over which the nodes spread their writes after the
// registry lost records. The platform expects them back within about two seconds.
const restoreSpread = 1500 * time.Millisecond

// restoreRecords writes again, each time that the registry has lost what was written
// in the last seconds, the node's own record and the removals of nodes that left. Each
// removal is written by one node. reverted is closed at the first loss.
func (n *Node) restoreRecords(ctx context.Context, reverted <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reverted:
		}
		reverted = n.platform.Registry.Reverted()
		sleep(ctx, time.Duration(rand.Float64()*float64(restoreSpread)))
		removed := n.view.InheritedRemovals()
		n.logger.Info("the store came back from an older copy; restoring records", "removals", len(removed))
		retry(ctx, func() bool { return n.writeOwnRecord(ctx) })
		for _, r := range removed {
			retry(ctx, func() bool {
				err := n.platform.Registry.Leave(ctx, r)
				if err != nil {
					n.logger.Warn("removing a node's record from the store failed", "node", r.ControlAddress, "reason", err)
				}
				return err == nil
			})
		}
	}
}

// writeOwnRecord writes the node's record, or removes it if the node has left, and
// reports whether that succeeded.
func (n *Node) writeOwnRecord(ctx context.Context) bool {
	self := n.view.Self()
	write := n.platform.Registry.Join
	if self.Gone {
		write = n.platform.Registry.Leave
	}
	err := write(ctx, self)
	if err != nil {
		n.logger.Warn("registering the node in the store failed", "gone", self.Gone, "reason", err)
	}
	return err == nil
}

// retry calls call, with exponential backoff and jitter between the attempts, until
// it succeeds or ctx ends.
func retry(ctx context.Context, call func() bool) {
	retryWhen(ctx, func() <-chan struct{} { return nil }, call)
}

// retryWhen is retry that also calls without a delay when the channel that woken returned
// before the last attempt is closed or delivers a value.
func retryWhen(ctx context.Context, woken func() <-chan struct{}, call func() bool) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		isWoken := woken()
		if call() {
			return
		}
		select {
		case <-ctx.Done():
		case <-isWoken:
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(delay))):
			delay = min(maxRetryDelay, 2*delay)
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
