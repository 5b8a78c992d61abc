package gate

import (
	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// RefuseCustomers refuses the queued requests of the customers for which isRemoved returns
// true. Entries do the same for single keys, but a gate may learn of the removal first, and
// an entry cannot tell whether a read in another region is still queued. Requests that run
// are not interrupted.
func (g *Gate) RefuseCustomers(isRemoved func(name string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	problemOf := func(req hopheader.Request) *outcome.Problem {
		if req.Customer == "" || !isRemoved(req.Customer) {
			return nil
		}
		return outcome.Refused(outcome.CodeUnauthorized, "the customer has been removed")
	}
	g.queue.refuseIf(problemOf)
	for _, e := range g.shared.All() {
		if p := problemOf(e.Value.request); p != nil {
			g.shared.Remove(e)
			e.Value.decisions <- decision{problem: p}
		}
	}
}
