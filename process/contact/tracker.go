package contact

import (
	"sync"
	"time"
)

const (
	// window is how long a result counts. Gossip alone tries a peer each second.
	window = 2500 * time.Millisecond
	// minTried is the number of distinct peers that must have failed. Of three peers in a
	// fleet where a third is down, all are down once in 27 times.
	minTried = 4
	// maxPeers bounds the peers that are remembered.
	maxPeers = 64
)

// Tracker holds the last results of calls to peers. It is safe for concurrent use; its
// zero value is ready for use.
type Tracker struct {
	mu      sync.Mutex
	results map[string]result
}

type result struct {
	reached bool
	at      time.Time
}

// Record records whether a call reached the peer.
func (t *Tracker) Record(peer string, reached bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.results == nil {
		t.results = map[string]result{}
	}
	if _, ok := t.results[peer]; !ok && len(t.results) >= maxPeers {
		t.expire(now)
		if len(t.results) >= maxPeers {
			return
		}
	}
	t.results[peer] = result{reached, now}
}

// expire forgets the results that no longer count. The caller holds mu.
func (t *Tracker) expire(now time.Time) {
	for peer, r := range t.results {
		if now.Sub(r.at) > window {
			delete(t.results, peer)
		}
	}
}

// IsIsolated reports whether the node has tried several peers lately and reached none.
func (t *Tracker) IsIsolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, r := range t.results {
		if r.reached {
			return false
		}
	}
	return len(t.results) >= minTried
}
