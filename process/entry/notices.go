package entry

import (
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
)

const (
	// noticeTTL is how long a notice is remembered after a gate last reported it.
	noticeTTL = time.Minute
	// maxNotices bounds the gates whose notices are remembered.
	maxNotices = 8192
)

// notices remembers, by gate address, what targets have said about themselves. It
// outlives the candidates, because a gate that restarts gets a new candidate and has
// to be told again. It is safe for concurrent use.
type notices struct {
	mu     sync.Mutex
	byGate map[string]heldNotice
}

type heldNotice struct {
	notice    hopheader.Notice
	expiresAt time.Time
}

func newNotices() *notices { return &notices{byGate: map[string]heldNotice{}} }

// record stores what a gate has reported. A gate that has not heard from its target
// leaves what is known of the same incarnation as it is.
func (b *notices) record(gate string, n hopheader.Notice, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.byGate[gate]
	switch {
	case n.IsKnown && n.IsRestrictive():
		if !ok && len(b.byGate) >= maxNotices {
			b.makeRoom(now)
		}
		b.byGate[gate] = heldNotice{n, now.Add(noticeTTL)}
	case !ok:
	case n.IsKnown && held.notice.Leaving:
		// The report is of a later incarnation or from before the leave.
		held.notice.HasLimit = false
		b.byGate[gate] = held
	case n.IsKnown, n.Incarnation != 0 && n.Incarnation != held.notice.Incarnation:
		delete(b.byGate, gate)
	}
}

// makeRoom removes the notices that have expired, or any one. The caller holds mu.
func (b *notices) makeRoom(now time.Time) {
	for gate, held := range b.byGate {
		if now.After(held.expiresAt) {
			delete(b.byGate, gate)
		}
	}
	for gate := range b.byGate {
		if len(b.byGate) < maxNotices {
			return
		}
		delete(b.byGate, gate)
	}
}

// recall returns what is remembered of a gate's target; IsKnown is false if nothing is.
func (b *notices) recall(gate string, now time.Time) hopheader.Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, ok := b.byGate[gate]
	if !ok {
		return hopheader.Notice{}
	}
	if now.After(held.expiresAt) {
		delete(b.byGate, gate)
		return hopheader.Notice{}
	}
	return held.notice
}
