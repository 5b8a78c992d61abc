package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// bodyRetryDelay is the time after which a request may be sent again whose body found no
// memory: most requests end within a second.
const bodyRetryDelay = time.Second

// checkBody returns the refusal of a request whose announced body, which has not been read
// yet, does not fit into the memory for bodies; nil if it fits.
func (g *Gate) checkBody(length int64) *outcome.Problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.checkBodyLocked(length)
}

// checkBodyLocked is checkBody for callers that hold mu. Bodies that are being read count
// twice as far as they have arrived, so the check rather refuses too many than too few.
func (g *Gate) checkBodyLocked(length int64) *outcome.Problem {
	if length == 0 || !g.isShared() || g.options.Bodies.Fits(g.pendingBodies+length) {
		return nil
	}
	return outcome.Refused(outcome.CodeNoMemory, "no memory for a body of %d bytes", length).WithRetryAt(time.Now().Add(bodyRetryDelay))
}

// reserveBody checks a body that is about to be read, and counts it until unreserveBody is
// called if it fits.
func (g *Gate) reserveBody(length int64) *outcome.Problem {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.checkBodyLocked(length); p != nil {
		return p
	}
	g.pendingBodies += length
	return nil
}

// unreserveBody ends the count of a body that has been read, or was not sent after all.
func (g *Gate) unreserveBody(length int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pendingBodies -= length
}
