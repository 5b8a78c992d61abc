package floor

import (
	"sync"
	"time"
)

// Timing of promises.
const (
	// Term is how long a promise holds at the gate that gives it.
	Term = 1500 * time.Millisecond
	// commitTerm is how long after asking an ejection may rest on promises.
	// The difference to Term covers clocks whose rates differ by up to a third.
	commitTerm = 1000 * time.Millisecond
)

// Promises holds the promises that one gate has given for its own targets and
// the bids that it is collecting for. It is safe for concurrent use.
type Promises struct {
	started time.Time

	mu         sync.Mutex
	promised   map[string]time.Time
	collecting map[string]bool
	ejected    map[string]time.Time
}

// NewPromises returns the promises of a gate whose process started at the
// given time.
func NewPromises(started time.Time) *Promises {
	return &Promises{
		started:    started,
		promised:   map[string]time.Time{},
		collecting: map[string]bool{},
		ejected:    map[string]time.Time{},
	}
}

// Promise reports whether the target stays in service for Term from now on. A
// target that is ejected or collected for is not promised.
func (p *Promises) Promise(target string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.collecting[target] || now.Before(p.ejected[target]) {
		return false
	}
	p.promised[target] = now.Add(Term)
	return true
}

// Begin starts a bid to eject target, which needs promises for floorSlots. It
// reports false while the target is promised, while this process is too young
// to know what it has promised, or while another bid for the target runs.
func (p *Promises) Begin(target string, floorSlots int, now time.Time) (*Bid, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case now.Before(p.started.Add(Term)):
		return nil, false
	case now.Before(p.promised[target]):
		return nil, false
	case p.collecting[target]:
		return nil, false
	}
	p.collecting[target] = true
	return &Bid{promises: p, target: target, missing: floorSlots, began: now}, true
}

// Forget drops all that is known of a target that has left.
func (p *Promises) Forget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ejected, target)
	delete(p.promised, target)
}

// Bid collects promises for one ejection. Commit or Abort must be called.
type Bid struct {
	promises *Promises
	target   string
	missing  int
	began    time.Time
}

// Add counts promised slots of siblings.
func (b *Bid) Add(slots int) { b.missing -= slots }

// Commit ejects the target until the given time if the promises suffice and
// still hold, and reports whether it did.
func (b *Bid) Commit(now, until time.Time) bool {
	p := b.promises
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.collecting, b.target)
	if b.missing > 0 || !now.Before(b.began.Add(commitTerm)) {
		return false
	}
	p.ejected[b.target] = until
	return true
}

// Abort ends the bid without an ejection.
func (b *Bid) Abort() {
	b.promises.mu.Lock()
	defer b.promises.mu.Unlock()
	delete(b.promises.collecting, b.target)
}
