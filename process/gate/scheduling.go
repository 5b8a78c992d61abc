package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
)

// isShared reports whether the shared scheduling applies.
func (g *Gate) isShared() bool { return g.options.Modes != nil && g.options.Modes().IsShared() }

// slotLimit returns how many requests the target is expected to run at the same time. The
// caller holds mu.
func (g *Gate) slotLimit() int {
	if g.isShared() && g.target.shedding.IsShedding() {
		return 1
	}
	return g.target.announced.Slots
}

// hasFreeSlot reports whether the target may run another request. The caller holds mu.
func (g *Gate) hasFreeSlot(now time.Time) bool {
	if g.target.inFlight >= g.target.announced.Slots {
		return false
	}
	return !g.isShared() || g.target.shedding.CanStart(now, g.target.inFlight)
}

// nextStartAt returns when a shedding target may get a request although none that runs
// ends, or zero. The caller holds mu.
func (g *Gate) nextStartAt(now time.Time) time.Time {
	if !g.isShared() || g.target.inFlight >= g.target.announced.Slots {
		return time.Time{}
	}
	return g.target.shedding.NextAt(now, g.target.inFlight)
}

// trialDelay returns the time until a shedding target may get its next request; zero if
// it does not shed. The caller holds mu.
func (g *Gate) trialDelay(now time.Time) time.Duration {
	if !g.isShared() {
		return 0
	}
	return max(0, g.target.shedding.TrialAt().Sub(now))
}

// recordForShedding records what the result of a request shows about whether the target
// refuses everything. The caller holds mu; the request no longer counts as running.
func (g *Gate) recordForShedding(gr grant, res result, now time.Time) {
	s := &g.target.shedding
	wasShedding := s.IsShedding()
	switch res {
	case resultShed:
		s.RecordRefusal(gr.number, now)
		if s.IsShedding() {
			// Waiters that cannot wait for the next request to the target are refused now.
			g.sweptAt = time.Time{}
		}
	case resultSuccess, resultError:
		// A target that responds with an error has run the request.
		s.RecordRun(gr.number)
	case resultLost:
		s.RecordLoss(now)
	}
	if s.IsShedding() != wasShedding && g.isShared() {
		g.options.Logger.Info("shedding of the target changed", "instance", gr.instance, "shedding", s.IsShedding(),
			"slots", g.target.announced.Slots, "queued", g.queueLength())
	}
}

// addShedding adapts the state that entries get to a shedding target. It is reported as
// full until its next request is due; then it must look free, although it has refused a
// request lately, since otherwise no entry would send it the request that finds its
// recovery. The caller holds mu.
func (g *Gate) addShedding(s *hopheader.GateState, now time.Time) {
	if trialAt := g.target.shedding.TrialAt(); trialAt.After(now) {
		s.Outstanding += s.Slots
		s.AdmitsAt = latest(s.AdmitsAt, trialAt)
	}
}

// Scheduling is the state of the shared scheduling, for operators.
type Scheduling struct {
	// IsShedding means that the target refuses all requests.
	IsShedding bool
	// QueuedCalls and QueuedOfCustomers are the numbers of requests without a customer and
	// with one that wait for a slot.
	QueuedCalls, QueuedOfCustomers int
}

// Scheduling returns the state of the scheduling.
func (g *Gate) Scheduling() Scheduling {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Scheduling{IsShedding: g.isShared() && g.target.shedding.IsShedding()}
	s.QueuedCalls = len(g.queue.waiters)
	for rank, length := range g.shared.LengthByRank() {
		if rank.Customer < 0 {
			s.QueuedCalls += length
			continue
		}
		s.QueuedOfCustomers += length
	}
	return s
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
