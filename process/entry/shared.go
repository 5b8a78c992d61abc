package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cuminwheel/cuminwheel/process/refusal"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// sharedState is the progress of a request under the shared scheduling. Its zero value is
// that of the default scheduling.
type sharedState struct {
	// mayHold means that the callers of the route do not return when they are refused.
	mayHold bool
	// isHeld means that the request is held; heldRounds counts its rounds since then.
	isHeld     bool
	heldRounds int
	// reason is why the rounds ended, or "".
	reason refusal.Reason
}

// recallRefusal looks up an earlier refusal of the request. An early return gets its refusal
// again; a return in time gets the soft deadline of its first attempt.
func (e *Entry) recallRefusal(s *dispatchState) *outcome.Problem {
	c, now := s.call, time.Now()
	earlier, ok := e.refusals.recall(c.fingerprint, now)
	callersRetry, work := e.refusals.expectations(c, now)
	s.shared.mayHold = !callersRetry
	if !ok {
		return nil
	}
	isEarly := isEarlyReturn(earlier, now)
	e.options.Meter.RecordReturn(e.refusals.label(c.route.Name), isEarly)
	if isEarly {
		at := e.refusals.recordAgain(c, earlier, now)
		s.shared.reason = refusal.ReasonEarlyReturn
		e.recordRefused(s, earlier.Code, at, now)
		return refuseEarlyReturn(earlier, at)
	}
	c.returnSoftDeadline = refusal.SoftDeadlineOfReturn(now, earlier.SoftDeadline, work, c.targetLatency())
	return nil
}

// isEarlyReturn reports whether a request that was refused before returns before its retry time.
func isEarlyReturn(earlier refusal.Refusal, now time.Time) bool {
	return now.Before(earlier.RetryAt.Add(-promiseTolerance))
}

func refuseEarlyReturn(earlier refusal.Refusal, retryAt time.Time) *outcome.Problem {
	return outcome.Refused(earlier.Code, "the request returned before its retry time").WithPromise(retryAt)
}

// usesRefusalPolicy reports whether the refusal policy decides on further rounds. A request
// that a target may have run, or that has a target's error response, is not refused, so that
// the default rule applies to it.
func (s *dispatchState) usesRefusalPolicy() bool {
	return s.call.modes.IsShared() && s.lastUnknown == nil && s.errorResponse == nil
}

// passes returns the passes of the next round.
func (s *dispatchState) passes() []selectionPass {
	if s.shared.isHeld {
		return heldPasses
	}
	return selectionPasses
}

// attemptLimit returns the highest number of gate attempts.
func (s *dispatchState) attemptLimit() int {
	if s.shared.isHeld {
		return maxGateAttempts + maxHeldAttempts
	}
	return maxGateAttempts
}

// continuesWithoutBudget reports whether the request goes on after gates refused its retry
// for lack of budget: budget comes back before the deadline of a request that may be held.
func (s *dispatchState) continuesWithoutBudget() bool {
	goesOn := s.shared.mayHold && s.usesRefusalPolicy() && s.response == nil && s.inFlight == 0 &&
		s.lastProblem != nil && s.lastProblem.Code == outcome.CodeRetryBudget && s.targetAttempts < s.call.route.MaxAttempts
	if goesOn {
		s.retryBudgetRefusals = 0
	}
	return goesOn
}

// defersLastAttempt reports whether a request that was shed keeps its last attempt for now:
// its caller would not return, and most gates are unavailable, as far as they are known. A gate
// reports itself as full for a second after its target has shed a request. While
// all targets shed, requests would otherwise use up both attempts within milliseconds, and the
// retry budget with them. The first attempts of other requests find the end of it. In its last
// round a request has nothing to keep the attempt for.
func (s *dispatchState) defersLastAttempt(candidates []*candidate, snapshots []snapshot, now time.Time) bool {
	if !s.shared.mayHold || s.targetAttempts == 0 || s.targetAttempts+1 < s.call.route.MaxAttempts || s.shared.heldRounds >= refusal.MaxHeldRounds {
		return false
	}
	known, unavailable := 0, 0
	for i, snap := range snapshots {
		isUnavailable := snap.notAccepting || snap.suspected || snap.load >= 1 || s.capacityAt[candidates[i]].After(now)
		switch {
		case snap.unreachable || isUnavailable:
			known++
			unavailable++
		case snap.stateAge < stateTTL:
			known++
		}
	}
	return unavailable >= min(2, len(snapshots)) && 2*unavailable >= known
}

// namedCapacity returns the earliest future time at which a gate said that it will have
// capacity, and whether all gates that may still be tried named one.
func (s *dispatchState) namedCapacity(candidates []*candidate, now time.Time) (earliest time.Time, all bool) {
	all = true
	for _, c := range candidates {
		if s.excluded[c] {
			continue
		}
		at := s.capacityAt[c]
		if admitsAt := c.snapshot(now).admitsAt; admitsAt.After(at) {
			at = admitsAt
		}
		switch {
		case !at.After(now):
			all = false
		case earliest.IsZero() || at.Before(earliest):
			earliest = at
		}
	}
	return earliest, all && !earliest.IsZero()
}

// awaitNextRound returns how long the request waits for its next round. ok is false if it is
// refused instead.
func (e *Entry) awaitNextRound(s *dispatchState, candidates []*candidate, now time.Time) (wait time.Duration, ok bool) {
	c := s.call
	callersRetry, work := e.refusals.expectations(c, now)
	s.shared.mayHold = !callersRetry
	v := refusal.Decide(e.situation(s, candidates, refusal.Outlook{CallersRetry: callersRetry, Work: work}, int64(len(c.body)), now))
	if v.Reason != "" {
		s.shared.reason = v.Reason
		return 0, false
	}
	if v.Held {
		if !s.shared.isHeld {
			s.shared.isHeld = true
			e.refusals.held.Add(1)
			e.options.Meter.RecordHeld()
		}
		s.shared.heldRounds++
	}
	return v.NextRoundAt.Sub(now), true
}

// situation returns what the refusal policy decides on after a round without a grant. The
// outlook's work is the expected one.
func (e *Entry) situation(s *dispatchState, candidates []*candidate, o refusal.Outlook, bodyBytes int64, now time.Time) refusal.Situation {
	c := s.call
	earliest, all := s.namedCapacity(candidates, now)
	return refusal.Situation{
		Now: now, ReceivedAt: c.in.ReceivedAt, Deadline: c.deadline, TargetLatency: c.targetLatency(), Work: o.Work, CallersRetry: o.CallersRetry,
		EarliestCapacity: earliest, AllNamed: all, HeldRounds: s.shared.heldRounds,
		CanHold: s.shared.isHeld || e.refusals.held.Load() < maxHeld && bodyBytes <= maxHeldBody, Random: rand.Float64(),
	}
}

// endHold ends the hold of a request whose outcome is certain, and forgets its earlier
// refusals if it got a response.
func (e *Entry) endHold(s *dispatchState) {
	if s.shared.isHeld {
		e.refusals.held.Add(-1)
	}
	if s.response == nil {
		return
	}
	e.refusals.forget(s.call.fingerprint)
	if s.shared.isHeld {
		e.options.Meter.RecordReleased()
	}
}

// promiseRetry sets the retry time of a refusal and remembers it. Problems after which the
// target may have run the request, and those that do not concern the service, stay as they
// are: an equal request, with another key of the customer, need not be refused.
// The end of ctx means that the caller has left, the node shuts down or the deadline has
// passed, so that a return would say nothing about callers.
func (e *Entry) promiseRetry(ctx context.Context, s *dispatchState, p *outcome.Problem) *outcome.Problem {
	c, now := s.call, time.Now()
	if p.Outcome != outcome.NotRun {
		e.refusals.forget(c.fingerprint)
		return p
	}
	if !p.Code.ConcernsService() || ctx.Err() != nil || !now.Before(c.deadline) {
		e.recordRefused(s, p.Code, p.RetryAt, now)
		return p
	}
	earliest, _ := s.namedCapacity(e.directory.candidates(c.service), now)
	if earliest.IsZero() {
		earliest = s.retryAt
	}
	if p.Code == outcome.CodeNoTarget {
		earliest = p.RetryAt
	}
	at := e.refusals.record(c, p.Code, earliest, now)
	e.recordRefused(s, p.Code, at, now)
	return p.WithPromise(at)
}

// recordRefused records a refusal in the metrics and the log.
func (e *Entry) recordRefused(s *dispatchState, code outcome.Code, retryAt, now time.Time) {
	reason := string(s.shared.reason)
	if reason == "" {
		reason = string(code)
	}
	e.options.Meter.RecordRefused(reason, s.shared.isHeld)
	e.options.Logger.Info("request refused", "request", s.call.id, "route", s.call.route.Name, "reason", reason, "code", code,
		"callers_return", !s.shared.mayHold, "held", s.shared.isHeld, "held_rounds", s.shared.heldRounds,
		"waited_ms", now.Sub(s.call.in.ReceivedAt).Milliseconds(), "retry_after_ms", max(0, retryAt.Sub(now).Milliseconds()))
}
