package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/request/choice"
)

// directory derives the candidates of all services from the roster. It is
// safe for concurrent use.
type directory struct {
	clock  func() time.Time
	roster *roster.Roster
	budget *byteBudget

	mu         sync.Mutex
	index      choice.Index
	generation int64

	// remoteBytes counts what has crossed paid links.
	remoteBytes atomic.Int64
}

func newDirectory(clock func() time.Time, r *roster.Roster, remoteBytesPerSecond int) *directory {
	return &directory{
		clock:  clock,
		roster: r,
		budget: &byteBudget{perSecond: float64(remoteBytesPerSecond), tokens: float64(remoteBytesPerSecond), seen: clock()},
	}
}

// Index returns the candidates of all services.
func (d *directory) Index() choice.Index {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.roster.Generation() == d.generation {
		return d.index
	}
	changed, generation := d.roster.Changes(d.generation)
	d.index = d.index.With(d.roster.Self(), changed)
	d.generation = generation
	return d.index
}

// GateOf returns the gate address of a node that has not gone.
func (d *directory) GateOf(node string) (string, bool) {
	n, ok := d.roster.Node(node)
	return n.Gate, ok && n.Status != roster.StatusGone
}

// MayUseRemote reports whether the paid links' budget allows a request.
func (d *directory) MayUseRemote(bytes int) bool {
	return d.budget.allows(bytes, d.clock())
}

// SpendRemote takes what has crossed a paid link from the budget.
func (d *directory) SpendRemote(bytes int) {
	d.remoteBytes.Add(int64(bytes))
	d.budget.spend(bytes)
}

// byteBudget is a token bucket of bytes. A budget of 0 sets no bound.
type byteBudget struct {
	mu        sync.Mutex
	perSecond float64
	tokens    float64
	seen      time.Time
}

func (b *byteBudget) allows(bytes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.perSecond == 0 {
		return true
	}
	b.tokens = min(b.perSecond, b.tokens+now.Sub(b.seen).Seconds()*b.perSecond)
	b.seen = now
	return b.tokens >= float64(bytes)
}

func (b *byteBudget) spend(bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens -= float64(bytes)
}
