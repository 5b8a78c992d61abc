package node

import (
	"context"

	"github.com/cuminwheel/cuminwheel/version/configuration"
)

// refuseRemovedCustomers makes the gate refuse the queued requests of each customer that a
// new configuration no longer has, until ctx ends.
func (n *Node) refuseRemovedCustomers(ctx context.Context) {
	var before configuration.Configuration
	for {
		changed := n.configuration.Changed()
		current := n.configuration.Configuration()
		// Without customers requests need no key. A customer that this node has never
		// known may be one that the entry has learned of first.
		if was, is := before.Customers(), current.Customers(); was.Len() > 0 && is.Len() > 0 {
			n.gate.RefuseCustomers(func(name string) bool {
				_, wasKnown := was.Named(name)
				_, isKnown := is.Named(name)
				return wasKnown && !isKnown
			})
		}
		before = current
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
