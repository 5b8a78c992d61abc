package distribution

import (
	"math/bits"
	"time"
)

const (
	// CheckInterval is the longest time between two checks of a node with a parent.
	CheckInterval = time.Second
	// patience is how long no reader may have been heard of before other nodes read the
	// store. It exceeds what a check and its reply take.
	patience = 1100 * time.Millisecond
	// spread is the time in which the number of nodes that read doubles. Nodes of high
	// ranks hear of readers later, by a check for each level of the tree.
	spread = 500 * time.Millisecond
	// maxReadersPerRegion limits the nodes of a region that read the store when no reader
	// is heard of.
	maxReadersPerRegion = 256
	// never is how far off a time is that does not come.
	never = 365 * 24 * time.Hour
)

// Watch knows when a reader of the store was last known to be at work. The zero value
// knows of none.
type Watch struct{ heardAt time.Time }

// WithReader returns a Watch that knows of a reader at work at a time.
func (w Watch) WithReader(at time.Time) Watch {
	if at.After(w.heardAt) {
		w.heardAt = at
	}
	return w
}

// HeardAt returns when a reader was last known to be at work, or the zero time.
func (w Watch) HeardAt() time.Time { return w.heardAt }

// ReadsAt returns from when on the node with a place in the tree reads the store, if it
// hears of no reader until then. For a reader that is the zero time.
func (w Watch) ReadsAt(t Tree) time.Time {
	switch {
	case t.IsReader():
		return time.Time{}
	case t.Rank() >= maxReadersPerRegion:
		return w.heardAt.Add(never)
	}
	doublings := bits.Len(uint(t.Rank() / readersPerRegion))
	return w.heardAt.Add(patience + time.Duration(doublings)*spread)
}
