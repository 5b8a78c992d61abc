package quota

import "time"

const (
	// contactWindow is the age up to which the result of a call counts.
	contactWindow = time.Second
	// fullContact is the fraction of peers from which a node grants the full rate, so
	// that a few nodes that are down do not reduce it. A node that reaches no more than
	// the rest grants nothing, so that the parts of a partitioned fleet together grant at
	// most the full rate.
	fullContact = 0.9
)

// contact is the last result of a call to a peer.
type contact struct {
	at time.Time
	ok bool
}

// contacts holds the last results of the calls to each peer.
type contacts map[string]contact

// record records the result of a call that started at the given time.
func (c contacts) record(address string, started time.Time, ok bool) {
	if last, known := c[address]; !known || !started.Before(last.at) {
		c[address] = contact{started, ok}
	}
}

// share returns the fraction of the rate that the node may grant: that of the peers
// which it reached among those that it called within the window.
func (c contacts) share(now time.Time) float64 {
	called, reached := 0, 0
	for address, last := range c {
		if now.Sub(last.at) > contactWindow {
			delete(c, address)
			continue
		}
		called++
		if last.ok {
			reached++
		}
	}
	// The node itself is one of its part of the fleet.
	return clampShare(float64(reached+1) / float64(called+1))
}

// clampShare rounds a fraction that is nearly all or nearly nothing.
func clampShare(fraction float64) float64 {
	switch {
	case fraction >= fullContact:
		return 1
	case fraction <= 1-fullContact+1e-9:
		return 0
	}
	return fraction
}

// probeSample returns the indices of up to size of count peers, evenly spread from an
// offset that differs for each round. Peers sorted by location are thus sampled in
// proportion to the size of each location.
func probeSample(count, size, round int) []int {
	size = min(size, count)
	indices := make([]int, 0, size)
	for i := range size {
		// The golden ratio makes the offsets of consecutive rounds cover a stride evenly.
		offset := float64(round) * 0.618033988749895
		offset -= float64(int(offset))
		indices = append(indices, int((float64(i)+offset)*float64(count)/float64(size))%count)
	}
	return indices
}

// hasFailure reports whether the last call to any peer failed.
func (c contacts) hasFailure() bool {
	for _, last := range c {
		if !last.ok {
			return true
		}
	}
	return false
}
