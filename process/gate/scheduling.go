package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/process/schedule"
)

// isShared reports whether the shared scheduling applies.
func (g *Gate) isShared() bool { return g.options.Modes != nil && g.options.Modes().IsShared() }

// slotLimit returns how many requests the target may run at the same time. The caller
// holds mu.
func (g *Gate) slotLimit() int {
	if g.isShared() {
		return g.target.limit.Current()
	}
	return g.target.announced.Slots
}

// hasFreeSlot reports whether the target may run another request. The caller holds mu.
func (g *Gate) hasFreeSlot(now time.Time) bool {
	if g.isShared() {
		return g.target.limit.CanStart(now, g.target.inFlight)
	}
	return g.target.inFlight < g.target.announced.Slots
}

// nextStartAt returns when the concurrency limit admits a request although none that runs
// ends, or zero. The caller holds mu.
func (g *Gate) nextStartAt(now time.Time) time.Time {
	if !g.isShared() {
		return time.Time{}
	}
	return g.target.limit.NextAt(now, g.target.inFlight)
}

// trialDelay returns the time until a shedding target may get its next request; zero if
// it does not shed. The caller holds mu.
func (g *Gate) trialDelay(now time.Time) time.Duration {
	if !g.isShared() {
		return 0
	}
	return max(0, g.target.limit.TrialAt().Sub(now))
}

// recordForLimit records what the result of a request shows about the concurrency limit.
// The caller holds mu; the request no longer counts as running.
func (g *Gate) recordForLimit(gr grant, res result, now time.Time) {
	l := &g.target.limit
	wasShedding := l.IsShedding()
	switch res {
	case resultShed:
		l.RecordRefusal(gr.startedAt, now, g.target.inFlight)
		// Waiters that cannot wait for the next request to the target are refused now.
		g.sweptAt = time.Time{}
	case resultSuccess, resultError:
		// A target that responds with an error has run the request.
		l.RecordCompletion(schedule.Completion{
			StartedAt: gr.startedAt, EndedAt: now, RunningAtStart: gr.running, RunningAtEnd: g.target.inFlight + 1,
			Route: gr.routeHash, IsError: res == resultError,
		})
	case resultLost:
		l.RecordLoss(now)
	}
	if l.IsShedding() != wasShedding && g.isShared() {
		g.options.Logger.Info("shedding of the target changed", "instance", gr.instance, "shedding", l.IsShedding(),
			"limit", l.Current(), "slots", g.target.announced.Slots, "queued", g.queueLength())
	}
}

// addLimit adapts the state that entries get to the concurrency limit. A shedding target
// is reported as full until its next request is due; then it must look free, since
// otherwise no entry would send it the request that finds its recovery. The caller holds
// mu.
func (g *Gate) addLimit(s *hopheader.GateState, now time.Time) {
	s.Slots = g.target.limit.Current()
	if trialAt := g.target.limit.TrialAt(); trialAt.After(now) {
		s.Outstanding += s.Slots
		s.AdmitsAt = latest(s.AdmitsAt, trialAt)
	}
}

// Scheduling is the state of the shared scheduling, for operators.
type Scheduling struct {
	// Limit is how many requests the target may run at the same time.
	Limit int
	// IsShedding means that the target refuses all requests.
	IsShedding bool
	// QueuedCalls and QueuedOfCustomers are the numbers of requests without a customer and
	// with one that wait for a slot.
	QueuedCalls, QueuedOfCustomers int
}

// Scheduling returns the state of the scheduling. With the default scheduling, the limit
// is that of the slots.
func (g *Gate) Scheduling() Scheduling {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := Scheduling{Limit: g.slotLimit(), IsShedding: g.isShared() && g.target.limit.IsShedding()}
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
