package lease

import (
	"slices"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/version/ledger"
)

// Timing of leases.
const (
	// Term is how long a member is bound by a grant.
	Term = 3 * time.Second
	// holderTerm is how long the holder may serve after it asked. The
	// difference to Term covers clocks whose rates differ by up to a fifth.
	holderTerm = 2500 * time.Millisecond
	// RenewInterval is how often the holder asks. One lost renewal leaves the
	// lease in force.
	RenewInterval = 1100 * time.Millisecond
	// Refused is the run of a grant that was not given.
	Refused = time.Duration(-1)
)

// Granter keeps the grants that one node has given as a member of seats. It is
// safe for concurrent use.
type Granter struct {
	node    string
	started time.Time

	mu     sync.Mutex
	grants map[string]grant
}

type grant struct {
	epoch int64
	to    string
	until time.Time
	// runSince is since when all grants of the seat went to the same candidate.
	runSince time.Time
	// closedAt is when the epoch was closed, or zero.
	closedAt time.Time
}

// NewGranter returns the grants of a node whose process started at the given
// time.
func NewGranter(node string, started time.Time) *Granter {
	return &Granter{node: node, started: started, grants: map[string]grant{}}
}

// Grant lets candidate serve the seat for Term, and returns for how long all
// grants of this process have gone to it, or Refused. s is the newest state of
// the seat that this node knows, epoch the one that the candidate asked under.
func (g *Granter) Grant(s ledger.Seat, epoch int64, candidate string, now time.Time) time.Duration {
	if s.Epoch != epoch || !slices.Contains(s.Members, g.node) || now.Before(g.started.Add(Term)) {
		return Refused
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.grants[s.Key()]
	if !last.closedAt.IsZero() && last.epoch >= epoch {
		return Refused
	}
	next := grant{epoch: epoch, to: candidate, until: now.Add(Term), runSince: now}
	if last.to == candidate {
		next.runSince = last.runSince
	} else if now.Before(last.until) {
		return Refused
	}
	g.grants[s.Key()] = next
	return now.Sub(next.runSince)
}

// Release ends a grant before its time. The candidate has stopped serving.
func (g *Granter) Release(s ledger.Seat, candidate string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.grants[s.Key()]
	if last.to == candidate && now.Before(last.until) {
		last.until = now
		g.grants[s.Key()] = last
	}
}

// Close ends the granting under the seat's epoch for good and returns when the
// last grant that did not go to the candidate by is over. Grants that were
// given stay in force, also against candidates of the next epoch.
func (g *Granter) Close(s ledger.Seat, by string, now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.grants[s.Key()]
	if last.epoch != s.Epoch || last.closedAt.IsZero() {
		last.closedAt = now
	}
	last.epoch = s.Epoch
	g.grants[s.Key()] = last
	over := g.started.Add(Term)
	if last.to != by && last.until.After(over) {
		over = last.until
	}
	return over
}

// IsClosed reports whether the seat's epoch was closed here before the given
// time.
func (g *Granter) IsClosed(s ledger.Seat, before time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.grants[s.Key()]
	return last.epoch == s.Epoch && !last.closedAt.IsZero() && last.closedAt.Before(before)
}

// FreeSince returns since when no grant has been live.
func (g *Granter) FreeSince(s ledger.Seat) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	free := g.started.Add(Term)
	if last := g.grants[s.Key()]; last.until.After(free) {
		return last.until
	}
	return free
}
