package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

// probeInterval is the time between two calls to a node that did not respond, to learn
// whether it is back.
const probeInterval = 5 * time.Second

// pickPeer returns a random other node, mostly one of the own region. It leaves out nodes
// that do not respond as long as others do.
func (g *Gossiper) pickPeer() (Record, bool) {
	if peer, ok := g.pickAmong(g.reachableNodes()); ok {
		return peer, true
	}
	return g.pickAmong(g.view.Nodes())
}

// reachableNodes returns the nodes that are not known to be down.
func (g *Gossiper) reachableNodes() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	nodes := g.view.Nodes()
	if len(g.unreachable) == 0 {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(r Record) bool {
		_, isDown := g.unreachable[r.ControlAddress]
		return isDown
	})
}

// pickAmong returns a random node other than the own one, mostly one of the own region.
func (g *Gossiper) pickAmong(nodes []Record) (Record, bool) {
	self := g.view.Self()
	var local, remote []Record
	for _, r := range nodes {
		switch {
		case r.ControlAddress == self.ControlAddress:
		case r.Region == self.Region:
			local = append(local, r)
		default:
			remote = append(remote, r)
		}
	}
	peers := local
	if len(local) == 0 || len(remote) > 0 && rand.Float64() < remoteShare {
		peers = remote
	}
	if len(peers) == 0 {
		return Record{}, false
	}
	return peers[rand.IntN(len(peers))], true
}

// recordContact notes whether a node responded.
func (g *Gossiper) recordContact(address string, reached bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, wasDown := g.unreachable[address]
	switch {
	case reached && wasDown:
		delete(g.unreachable, address)
	case !reached:
		g.unreachable[address] = now.Add(probeInterval)
	}
	if reached == wasDown {
		g.treeIsStale = true
	}
}

// probeUnreachable calls one node that did not respond, if it is time to.
func (g *Gossiper) probeUnreachable(ctx context.Context, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for address, at := range g.unreachable {
		if now.Before(at) {
			continue
		}
		if g.view.RegionOf(address) == "" {
			delete(g.unreachable, address)
			continue
		}
		g.unreachable[address] = now.Add(probeInterval)
		go g.check(ctx, address)
		return
	}
}
