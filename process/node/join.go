package node

import (
	"context"
	"math/rand/v2"
	"time"
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
// store first as well, since the others are already registered.
func (n *Node) join(ctx context.Context) {
	if !n.settings.Bootstrap {
		n.readNodes(ctx)
	}
	retry(ctx, func() bool {
		err := n.platform.Registry.Join(ctx, n.view.Self())
		if err != nil {
			n.logger.Warn("registering the node in the store failed", "reason", err)
		}
		return err == nil
	})
	sleep(ctx, settleTime)
	retry(ctx, func() bool { return n.readNodes(ctx) })
}

// readNodes merges the records in the store into the view and reports whether the
// store could be read.
func (n *Node) readNodes(ctx context.Context) bool {
	records, malformed, err := n.platform.Registry.Nodes(ctx)
	if err != nil {
		n.logger.Warn("reading node records from the store failed", "reason", err)
		return false
	}
	before := n.view.Version()
	n.view.Merge(records)
	n.hasReadNodes.Store(true)
	n.logger.Info("read node records from the store", "nodes", len(records), "malformed", malformed, "changed", n.view.Version() != before)
	return true
}

// retry calls call, with exponential backoff and jitter between the attempts, until
// it succeeds or ctx ends.
func retry(ctx context.Context, call func() bool) {
	delay := minRetryDelay
	for ctx.Err() == nil && !call() {
		sleep(ctx, time.Duration((0.5+rand.Float64())*float64(delay)))
		delay = min(maxRetryDelay, 2*delay)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
