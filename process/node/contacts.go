package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
)

const (
	// contactInterval is the mean time between two checks whether the node should be a
	// contact. The first comes so long after the discovery, when nodes that have started
	// together know each other.
	contactInterval = 5 * time.Second
	// askedContacts is the number of contacts that are asked at a time, and recentContacts
	// the number of the latest ones among which they are picked: of those that were killed,
	// none removes its record.
	askedContacts  = 3
	recentContacts = 9
)

// serveAsContact writes the node's record among the contacts once it is a reader of the
// store: each region has a few, and others take their place when they are lost.
func (n *Node) serveAsContact(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-n.view.Discovered():
	}
	for ctx.Err() == nil {
		sleep(ctx, time.Duration((0.5+rand.Float64())*float64(contactInterval)))
		if ctx.Err() != nil || n.isLeaving.Load() || !n.gossiper.IsReader() {
			continue
		}
		if err := n.platform.Registry.JoinContacts(ctx, n.view.Self()); err != nil {
			n.logger.Warn("writing the node's record among the contacts failed", "reason", err)
			continue
		}
		n.isContact.Store(true)
		return
	}
}

// leaveContacts removes the node's record from the contacts if it is there.
func (n *Node) leaveContacts(ctx context.Context, gone membership.Record) {
	if !n.isContact.Load() {
		return
	}
	if err := n.platform.Registry.LeaveContacts(ctx, gone); err != nil {
		n.logger.Warn("removing the node's record from the contacts failed", "reason", err)
	}
}

// askContacts discovers the fleet through a few contacts, while the records of all nodes
// cannot be read.
func (n *Node) askContacts(ctx context.Context) {
	if n.view.IsDiscovered() {
		return
	}
	contacts, err := n.platform.Registry.Contacts(ctx)
	if err != nil {
		n.logger.Warn("reading the contacts from the store failed", "reason", err)
		return
	}
	contacts = contacts[:min(recentContacts, len(contacts))]
	rand.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	var asked sync.WaitGroup
	for _, r := range contacts[:min(askedContacts, len(contacts))] {
		if r.ControlAddress != n.view.Self().ControlAddress {
			asked.Go(func() { n.gossiper.CompareWith(ctx, r.ControlAddress) })
		}
	}
	asked.Wait()
	n.logger.Info("asked contacts for the records of nodes", "contacts", len(contacts), "nodes", len(n.view.Nodes()), "discovered", n.view.IsDiscovered())
}
