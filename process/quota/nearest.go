package quota

import (
	"cmp"
	"slices"
	"time"
)

// Usage tells how much of its quota a customer uses over all nodes.
type Usage struct {
	Customer string  `json:"customer"`
	Quota    float64 `json:"quota"`
	// Used is the part of the bucket that is used up; 1 means that requests are refused.
	Used float64 `json:"used"`
}

// Nearest returns the customers whose home the node is and that are nearest to their
// quota, the nearest first. Customers with a full bucket are left out.
func (h *Home) Nearest(limit int) []Usage {
	now := time.Now()
	share := h.probes.knownShare(now)
	var nearest []Usage
	h.mu.Lock()
	for name, a := range h.accounts {
		if a.since.IsZero() || a.movedUntil.After(now) {
			continue
		}
		b := a.bucket
		b.fill(now, a.rate, a.burst, share)
		if used := 1 - b.level/(a.burst+extraBurst); used > 0 {
			nearest = append(nearest, Usage{Customer: name, Quota: a.rate, Used: used})
		}
	}
	h.mu.Unlock()
	slices.SortFunc(nearest, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Customer, b.Customer))
	})
	return nearest[:min(limit, len(nearest))]
}
