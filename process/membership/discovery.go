package membership

import (
	"context"
	"time"
)

const (
	// maxCallers bounds the nodes that are kept to be asked.
	maxCallers = 8
	// minDiscoveryDelay and maxDiscoveryDelay limit the time between two comparisons of a
	// node that knows others and has not discovered the fleet.
	minDiscoveryDelay = 100 * time.Millisecond
	maxDiscoveryDelay = time.Second
)

// recordCaller keeps a node that has called, for discover: a node that has restarted may
// know no other.
func (g *Gossiper) recordCaller(address string) {
	if address == "" || g.view.IsDiscovered() {
		return
	}
	select {
	case g.callers <- address:
	default: // some are known already
	}
}

// discover compares the view with nodes that have called, and with random ones, until the
// view is discovered or ctx ends. Regular comparisons would take seconds. Each one is followed
// by a delay that grows, since nodes that have all restarted call each other.
func (g *Gossiper) discover(ctx context.Context) {
	for delay := minDiscoveryDelay; ctx.Err() == nil; delay = min(maxDiscoveryDelay, 2*delay) {
		select {
		case <-ctx.Done():
		case <-g.view.Discovered():
			return
		case address := <-g.callers:
			g.CompareWith(ctx, address)
			sleep(ctx, delay)
		case <-time.After(delay):
			g.Compare(ctx)
		}
	}
}
