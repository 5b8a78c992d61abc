package quota

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// checkInterval is the time between two checks of an unreachable home while requests
	// for its customers arrive.
	checkInterval = 250 * time.Millisecond
	// checkMemory is the time without checks after which an outage counts as a new one.
	checkMemory = time.Second
	// relayCount is the number of random nodes that a check asks whether they reach the
	// home.
	relayCount = 2
)

// route tells how a node can be reached.
type route struct {
	// relay is the node through which calls are passed on; empty means directly.
	relay  string
	isDown bool
	// takeoverAt is when another node may grant in the place of one that is down.
	takeoverAt time.Time
}

// outageTable holds the nodes that could not be reached directly.
type outageTable struct {
	home *Home

	mu        sync.Mutex
	byAddress map[string]*outage
}

// outage is the state of a node that could not be reached directly.
type outage struct {
	// since is when neither the node nor a relay to it was reached any more.
	since      time.Time
	relay      string
	checkedAt  time.Time
	isChecking bool
}

// routeTo returns how the node can be reached, and starts a check if one is due.
func (t *outageTable) routeTo(address string, now time.Time) route {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.byAddress[address]
	if !ok {
		return route{}
	}
	if !o.isChecking && now.Sub(o.checkedAt) > checkMemory {
		o.since, o.relay = now, ""
	}
	if !o.isChecking && now.Sub(o.checkedAt) >= checkInterval {
		o.isChecking = true
		go t.check(address, o)
	}
	return route{relay: o.relay, isDown: o.relay == "", takeoverAt: o.since.Add(takeoverDelay)}
}

// recordFailure records that a call to the node, or through its relay, has failed.
func (t *outageTable) recordFailure(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o, ok := t.byAddress[address]
	if !ok {
		o = &outage{since: now}
		t.byAddress[address] = o
	}
	if o.relay != "" {
		o.since, o.relay = now, ""
	}
	if !o.isChecking {
		o.isChecking = true
		go t.check(address, o)
	}
}

// clear deletes the outage of a node that has called this one.
func (t *outageTable) clear(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byAddress, address)
}

// check tries to reach the node directly and through random other nodes.
func (t *outageTable) check(address string, o *outage) {
	isReached := t.home.checkPeer(address)
	relay := ""
	if !isReached {
		relay = t.findRelay(address)
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	o.isChecking, o.checkedAt, o.relay = false, now, relay
	if isReached {
		delete(t.byAddress, address)
	}
	if relay != "" {
		o.since = now
	}
}

// findRelay asks distinct random nodes whether they reach the node and returns one that does.
// A node that is asked twice, or the unreachable one itself, would leave a single broken link
// undetected for so long that the home is replaced.
func (t *outageTable) findRelay(address string) string {
	peers := slices.DeleteFunc(slices.Clone(t.home.peers()), func(peer string) bool { return peer == address })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	peers = peers[:min(relayCount, len(peers))]
	found := make(chan string, relayCount)
	for _, peer := range peers {
		go func() {
			var reply CheckReply
			if !t.home.callWithin(2*callTimeout, peer, methodCheck, CheckRequest{Via: address}, &reply) || !reply.Reached {
				peer = ""
			}
			found <- peer
		}()
	}
	relay := ""
	for range peers {
		if peer := <-found; peer != "" {
			relay = peer
		}
	}
	return relay
}
