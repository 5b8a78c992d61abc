package soak

import (
	"slices"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/target"
)

// The quota rule: in each window, the requests of a customer that run are at most
// (rate x window + burst) x quotaTolerance + quotaSlack.
const (
	quotaWindow    = 5 * time.Second
	quotaTolerance = 1.1
	quotaSlack     = 20
)

// quotaOf returns the quota of a customer in a window, the highest of the publications in
// force at nodes in touch. ok is false if there is none.
func (h history) quotaOf(name string, from, to time.Time) (limit float64, ok bool) {
	for _, p := range h.inForce(from, to) {
		for _, c := range p.customers {
			if c.Name != name {
				continue
			}
			if c.RequestsPerSecond == 0 {
				return 0, false
			}
			limit = max(limit, (c.RequestsPerSecond*quotaWindow.Seconds()+c.Burst)*quotaTolerance+quotaSlack)
		}
	}
	return limit, limit > 0
}

// countQuotaExcess returns, for each customer that exceeded its quota, by how many requests
// it did so in the worst window. A request counts once, at its first run, since a retry
// takes no token. The rule holds under all faults, so that no node is excused.
func (h history) countQuotaExcess(runs []run) map[string]int {
	runs = slices.Clone(runs)
	slices.SortFunc(runs, func(a, b run) int { return a.at.Compare(b.at) })
	ranBefore := map[string]bool{}
	windows := map[string][]time.Time{}
	excess := map[string]int{}
	for _, r := range runs {
		if ranBefore[r.id] {
			continue
		}
		ranBefore[r.id] = true
		name := target.Customer(r.id)
		window := append(windows[name], r.at)
		for r.at.Sub(window[0]) >= quotaWindow {
			window = window[1:]
		}
		windows[name] = window
		limit, ok := h.quotaOf(name, r.at.Add(-quotaWindow), r.at)
		if over := len(window) - int(limit); ok && over > 0 {
			excess[name] = max(excess[name], over)
		}
	}
	return excess
}
