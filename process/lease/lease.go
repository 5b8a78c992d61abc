package lease

import (
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/version/ledger"
)

// Timing of leases.
const (
	// Term is how long the guardian is bound by a grant.
	Term = 3 * time.Second
	// holderTerm is how long the holder may serve after it asked. The
	// difference to Term covers clocks whose rates differ by up to a fifth.
	holderTerm = 2500 * time.Millisecond
	// RenewInterval is how often the holder asks.
	RenewInterval = 800 * time.Millisecond
)

// Holder keeps the leases of the seats that a node holds. It is safe for
// concurrent use.
type Holder struct {
	node        string
	incarnation int64

	mu     sync.Mutex
	leases map[string]held
}

type held struct {
	epoch   int64
	until   time.Time
	stopped bool
}

// NewHolder returns the leases of a node's process.
func NewHolder(node string, incarnation int64) *Holder {
	return &Holder{node: node, incarnation: incarnation, leases: map[string]held{}}
}

// Holds reports whether the seat names this very process as its holder.
func (h *Holder) Holds(s ledger.Seat) bool {
	return s.Holder == h.node && s.HolderIncarnation == h.incarnation
}

// Renewed records a grant that was asked for at the given time.
func (h *Holder) Renewed(s ledger.Seat, asked time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[s.Key()]
	if l.epoch > s.Epoch || l.epoch == s.Epoch && l.stopped {
		return
	}
	h.leases[s.Key()] = held{epoch: s.Epoch, until: asked.Add(holderTerm)}
}

// MayServe reports whether this process may begin keys of the seat now.
func (h *Holder) MayServe(s ledger.Seat, now time.Time) bool {
	if !h.Holds(s) {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[s.Key()]
	return l.epoch == s.Epoch && !l.stopped && now.Before(l.until)
}

// Until returns the end of the seat's lease.
func (h *Holder) Until(s ledger.Seat) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leases[s.Key()].until
}

// Stop ends the epoch's lease for good. It must be called before the holder
// puts the next epoch into the log.
func (h *Holder) Stop(s ledger.Seat) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.leases[s.Key()] = held{epoch: s.Epoch, stopped: true}
}

// Guardian keeps the grants of the seats that a node guards. It is safe for
// concurrent use.
type Guardian struct {
	node    string
	started time.Time

	mu     sync.Mutex
	grants map[string]grant
}

type grant struct {
	epoch  int64
	until  time.Time
	closed bool
}

// NewGuardian returns the grants of a node whose process started at the given
// time.
func NewGuardian(node string, started time.Time) *Guardian {
	return &Guardian{node: node, started: started, grants: map[string]grant{}}
}

// Guards reports whether the seat names this node as its guardian.
func (g *Guardian) Guards(s ledger.Seat) bool { return s.Guardian == g.node }

// Grant renews the lease of the seat's present epoch and reports whether it
// did. now is the newest state of the seat that this node knows.
func (g *Guardian) Grant(now ledger.Seat, asked ledger.Seat, at time.Time) bool {
	if !g.Guards(now) || now.Epoch != asked.Epoch || now.Holder != asked.Holder ||
		now.HolderIncarnation != asked.HolderIncarnation {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	known := g.grants[now.Key()]
	if known.epoch == now.Epoch && known.closed {
		return false
	}
	g.grants[now.Key()] = grant{epoch: now.Epoch, until: at.Add(Term)}
	return true
}

// IsQuiet reports whether the holder has not renewed for two terms.
func (g *Guardian) IsQuiet(s ledger.Seat, now time.Time) bool {
	return !now.Before(g.end(s).Add(Term))
}

// Close ends the granting of the seat's epoch for good and returns the time
// from which no lease of it is live. It must be called, and that time be past,
// before the guardian puts the next epoch into the log.
func (g *Guardian) Close(s ledger.Seat) time.Time {
	over := g.end(s)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grants[s.Key()] = grant{epoch: s.Epoch, until: over, closed: true}
	return over
}

// end returns when the last grant of the epoch is over. Grants from before the
// process started are not known and end a term after its start.
func (g *Guardian) end(s ledger.Seat) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	unknown := g.started.Add(Term)
	known := g.grants[s.Key()]
	if known.epoch != s.Epoch || known.until.Before(unknown) {
		return unknown
	}
	return known.until
}
