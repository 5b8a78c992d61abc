package floor

import (
	"sync"
	"time"
)

// Ejections holds the bids and ejections of one gate's own targets. It is safe for
// concurrent use.
type Ejections struct {
	mu      sync.Mutex
	bidding map[string]bool
	ejected map[string]time.Time
}

// NewEjections returns a gate's bids, of which there are none yet.
func NewEjections() *Ejections {
	return &Ejections{bidding: map[string]bool{}, ejected: map[string]time.Time{}}
}

// CountsTowardsFloor reports whether the target may be vouched for to a sibling's bid:
// it is neither bid for nor ejected.
func (b *Ejections) CountsTowardsFloor(target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.bidding[target] && !now.Before(b.ejected[target])
}

// Propose raises a bid to eject target, which needs floorSlots to be vouched
// for. It must be called before any sibling is asked. It reports false while
// another bid for the target runs.
func (b *Ejections) Propose(target string, floorSlots int) (*Proposal, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bidding[target] {
		return nil, false
	}
	b.bidding[target] = true
	return &Proposal{bids: b, target: target, missing: floorSlots}, true
}

// EndEjection ends the ejection of a target before its time.
func (b *Ejections) EndEjection(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ejected, target)
}

// Proposal collects the answers of siblings for one ejection. Only answers to
// questions that were asked after Begin may be added. Commit or Abort must be
// called.
type Proposal struct {
	bids    *Ejections
	target  string
	missing int
}

// AddHealthySlots counts slots that siblings vouch for.
func (b *Proposal) AddHealthySlots(slots int) { b.missing -= slots }

// Commit ejects the target until the given time if enough is vouched for, and
// reports whether it did.
func (b *Proposal) Commit(until time.Time) bool {
	b.bids.mu.Lock()
	defer b.bids.mu.Unlock()
	delete(b.bids.bidding, b.target)
	if b.missing > 0 {
		return false
	}
	b.bids.ejected[b.target] = until
	return true
}

// Abort ends the bid without an ejection.
func (b *Proposal) Abort() {
	b.bids.mu.Lock()
	defer b.bids.mu.Unlock()
	delete(b.bids.bidding, b.target)
}
