package floor

import (
	"sync"
	"time"
)

// Bids holds the bids and ejections of one gate's own targets. It is safe for
// concurrent use.
type Bids struct {
	mu      sync.Mutex
	bidding map[string]bool
	ejected map[string]time.Time
}

// NewBids returns a gate's bids, of which there are none yet.
func NewBids() *Bids {
	return &Bids{bidding: map[string]bool{}, ejected: map[string]time.Time{}}
}

// MayVouch reports whether the target may be vouched for to a sibling's bid:
// it is neither bid for nor ejected.
func (b *Bids) MayVouch(target string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.bidding[target] && !now.Before(b.ejected[target])
}

// Begin raises a bid to eject target, which needs floorSlots to be vouched
// for. It must be called before any sibling is asked. It reports false while
// another bid for the target runs.
func (b *Bids) Begin(target string, floorSlots int) (*Bid, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bidding[target] {
		return nil, false
	}
	b.bidding[target] = true
	return &Bid{bids: b, target: target, missing: floorSlots}, true
}

// Return ends the ejection of a target before its time.
func (b *Bids) Return(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.ejected, target)
}

// Bid collects the answers of siblings for one ejection. Only answers to
// questions that were asked after Begin may be added. Commit or Abort must be
// called.
type Bid struct {
	bids    *Bids
	target  string
	missing int
}

// Add counts slots that siblings vouch for.
func (b *Bid) Add(slots int) { b.missing -= slots }

// Commit ejects the target until the given time if enough is vouched for, and
// reports whether it did.
func (b *Bid) Commit(until time.Time) bool {
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
func (b *Bid) Abort() {
	b.bids.mu.Lock()
	defer b.bids.mu.Unlock()
	delete(b.bids.bidding, b.target)
}
