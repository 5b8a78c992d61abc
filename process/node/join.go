package node

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// settleTime lies between writing the own record and reading the others',
	// so that nodes that start together find all of them with one read.
	settleTime = time.Second
	// Pauses between calls to a store that fails.
	firstMeetPause = 200 * time.Millisecond
	lastMeetPause  = 2 * time.Second
)

// meet writes the node's record into the store and reads the others'. From
// then on nodes tell each other. A node that starts again reads first: the
// others were there before it.
func (n *Node) meet(ctx context.Context) {
	if !n.settings.FirstStart {
		n.readNodes(ctx)
	}
	retry(ctx, func() bool {
		err := n.platform.Registry.Join(ctx, n.roster.Self())
		if err != nil {
			n.logger.Warn("joining the fleet failed", "reason", err)
		}
		return err == nil
	})
	pause(ctx, settleTime)
	retry(ctx, func() bool { return n.readNodes(ctx) })
}

// readNodes takes in the records in the store and reports whether it could.
func (n *Node) readNodes(ctx context.Context) bool {
	records, malformed, err := n.platform.Registry.Nodes(ctx)
	if err != nil {
		n.logger.Warn("reading the fleet's nodes failed", "reason", err)
		return false
	}
	before := n.roster.Version()
	n.roster.Merge(records)
	n.met.Store(true)
	n.logger.Info("met the fleet", "nodes", len(records), "malformed", malformed, "changed", n.roster.Version() != before)
	return true
}

// retry repeats a call with growing pauses until it succeeds or ctx ends.
func retry(ctx context.Context, call func() bool) {
	wait := firstMeetPause
	for ctx.Err() == nil && !call() {
		pause(ctx, time.Duration((0.5+rand.Float64())*float64(wait)))
		wait = min(lastMeetPause, 2*wait)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
