package floor

import (
	"sync"
	"time"
)

// Ejections holds the pending proposals and the ejections of one gate's own
// targets. It is safe for concurrent use.
type Ejections struct {
	mu sync.Mutex
	// proposed holds the targets with a pending proposal.
	proposed map[string]bool
	// ejectedUntil holds the end of each target's last ejection.
	ejectedUntil map[string]time.Time
}

// NewEjections returns a gate's ejections, with no proposal and no ejected
// target.
func NewEjections() *Ejections {
	return &Ejections{proposed: map[string]bool{}, ejectedUntil: map[string]time.Time{}}
}

// CountsTowardsFloor reports whether the gate may confirm the target as healthy
// capacity to a sibling's proposal: it has no pending proposal and is not
// ejected.
func (e *Ejections) CountsTowardsFloor(target string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.proposed[target] && !now.Before(e.ejectedUntil[target])
}

// Propose starts a proposal to eject target, which needs floorSlots of healthy
// capacity to be confirmed. It must be called before any sibling is queried. It
// reports false while another proposal for the target is pending.
func (e *Ejections) Propose(target string, floorSlots int) (*Proposal, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proposed[target] {
		return nil, false
	}
	e.proposed[target] = true
	return &Proposal{ejections: e, target: target, missingSlots: floorSlots}, true
}

// EndEjection ends the ejection of a target before its time.
func (e *Ejections) EndEjection(target string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.ejectedUntil, target)
}

// Proposal collects the capacity that siblings confirm for one ejection. Only
// replies to queries sent after Propose may be added. Commit or Abort must be
// called.
type Proposal struct {
	ejections    *Ejections
	target       string
	missingSlots int
}

// AddHealthySlots adds slots that siblings confirm as healthy.
func (p *Proposal) AddHealthySlots(slots int) { p.missingSlots -= slots }

// Commit ends the proposal. It ejects the target until the given time if enough
// slots are confirmed, and reports whether it did.
func (p *Proposal) Commit(until time.Time) bool {
	p.ejections.mu.Lock()
	defer p.ejections.mu.Unlock()
	delete(p.ejections.proposed, p.target)
	if p.missingSlots > 0 {
		return false
	}
	p.ejections.ejectedUntil[p.target] = until
	return true
}

// Abort ends the proposal without an ejection.
func (p *Proposal) Abort() {
	p.ejections.mu.Lock()
	defer p.ejections.mu.Unlock()
	delete(p.ejections.proposed, p.target)
}
