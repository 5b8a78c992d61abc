package entry

import (
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// dispatchState is the progress of one request. Only the dispatching goroutine
// uses it; attempts get copies and deliver to results.
type dispatchState struct {
	call *call
	// gateAttempts counts the attempts at gates, targetAttempts those in which
	// a target was sent the request and did not serve it.
	gateAttempts   int
	targetAttempts int
	// inFlight counts the attempts that have no result yet.
	inFlight int
	results  chan result
	// excluded holds the gates that failed the request or had no retry budget
	// left; they are not tried again.
	excluded map[*candidate]bool
	// lastProblem is the last problem, lastUnknown the last one after which the
	// target may have run the request.
	lastProblem *outcome.Problem
	lastUnknown *outcome.Problem
	// chargedRetries counts the retries that gates have charged to their
	// budgets and that are not used yet.
	chargedRetries int
	// capacityAt is when gates that were full expect capacity for the request.
	capacityAt map[*candidate]time.Time
	// retryAt is the earliest time at which a gate suggested a retry.
	retryAt time.Time
	// retryBudgetRefusals counts the refusals of a retry for lack of budget.
	retryBudgetRefusals int
	response            *http1.Response
	// errorResponse is a target's 5xx response, kept while another target may still
	// give a better one.
	errorResponse *http1.Response
	// shared is the part of the state that only the shared scheduling uses.
	shared sharedState
}

// result is the result of one attempt, or the notice that it should be hedged.
type result struct {
	gate     *candidate
	response *http1.Response
	problem  *outcome.Problem
	// usedChargedRetry means that the attempt was a retry that an earlier gate
	// had charged to its budget, retryCharged that this gate charged one.
	usedChargedRetry bool
	retryCharged     bool
	// hedgeDue means that the attempt goes on without a result yet, and that
	// the request may also be sent to another target.
	hedgeDue bool
}

// targetLatency returns the time from the request's arrival within which an
// response has its full value.
func (c *call) targetLatency() time.Duration {
	if c.route.TargetLatency > 0 {
		return min(c.route.TargetLatency, c.deadline.Sub(c.in.ReceivedAt))
	}
	return c.deadline.Sub(c.in.ReceivedAt)
}

// softDeadline returns when the response is wanted.
func (c *call) softDeadline() time.Time {
	if !c.returnSoftDeadline.IsZero() {
		return c.returnSoftDeadline
	}
	return c.in.ReceivedAt.Add(c.targetLatency())
}

// awaitResult waits for a result or a hedge notice. done means that no further
// gate may be tried.
func (s *dispatchState) awaitResult() (done bool) {
	r := <-s.results
	if r.hedgeDue {
		if r.retryCharged {
			s.chargedRetries++
		}
		return false
	}
	return !s.recordResult(r)
}

// recordResult records a result and reports whether another gate may be tried.
func (s *dispatchState) recordResult(r result) (canContinue bool) {
	s.inFlight--
	if r.retryCharged {
		s.chargedRetries++
	}
	if r.usedChargedRetry && r.problem != nil && r.problem.Outcome == outcome.NotRun && r.problem.Code != outcome.CodeShed {
		// No target was sent the request, so that the charged retry is still
		// unused.
		s.chargedRetries++
	}
	if r.problem == nil && r.response.Status >= http.StatusInternalServerError && s.call.route.Idempotent {
		s.errorResponse = r.response
		s.excluded[r.gate] = true
		s.targetAttempts++
		return s.targetAttempts+s.inFlight < s.call.route.MaxAttempts
	}
	if r.problem == nil {
		s.response = r.response
		return false
	}
	switch {
	case r.problem.Code == outcome.CodeRetryBudget && s.shared.mayHold:
		s.capacityAt[r.gate] = time.Now().Add(retryBudgetPause)
	case r.problem.Outcome == outcome.Unknown || r.problem.Code == outcome.CodeRetryBudget:
		s.excluded[r.gate] = true
	}
	if r.problem.Code == outcome.CodeTargetFull || r.problem.Code == outcome.CodeTargetLimited {
		s.capacityAt[r.gate] = r.problem.RetryAt
	}
	return s.recordProblem(r.problem)
}

// isRetry reports whether the attempt that has just begun sends the request
// again, after a failure or as a hedge.
func (s *dispatchState) isRetry() bool { return s.targetAttempts > 0 || s.inFlight > 1 }

// usesChargedRetry reports whether the attempt that has just begun is a retry that
// a gate has already charged to its budget.
func (s *dispatchState) usesChargedRetry() bool { return s.isRetry() && s.chargedRetries > 0 }

// canRetry reports whether the request, if the next attempt fails it, can still
// be sent to another target.
func (s *dispatchState) canRetry() bool {
	return s.call.route.Idempotent && s.targetAttempts+s.inFlight+1 < s.call.route.MaxAttempts
}

// recordProblem records a problem and reports whether another gate may be
// tried.
func (s *dispatchState) recordProblem(p *outcome.Problem) bool {
	s.lastProblem = p
	if !p.RetryAt.IsZero() && (s.retryAt.IsZero() || p.RetryAt.Before(s.retryAt)) {
		s.retryAt = p.RetryAt
	}
	if p.Code == outcome.CodeShed || p.Code == outcome.CodeMisdirected {
		s.targetAttempts++
	}
	if p.Outcome == outcome.Unknown {
		s.targetAttempts++
		s.lastUnknown = p
		if !s.call.route.Idempotent {
			return false
		}
	}
	if p.Code == outcome.CodeRetryBudget {
		s.retryBudgetRefusals++
	}
	if p.Code == outcome.CodeDeadlineExceeded {
		// Another target would need as long.
		return false
	}
	return p.Code != outcome.CodeQuarantined && p.Code != outcome.CodeUnauthorized && s.targetAttempts+s.inFlight < s.call.route.MaxAttempts && s.retryBudgetRefusals < maxRetryBudgetRefusals
}

// finalProblem returns the problem to report to the caller when there is no
// response. An unknown outcome takes precedence: a refusal by the last gate does
// not rule out that an earlier target has run the request.
func (s *dispatchState) finalProblem() *outcome.Problem {
	now := time.Now()
	switch {
	case s.lastUnknown != nil:
		return s.lastUnknown
	case s.lastProblem != nil && (s.lastProblem.Code == outcome.CodeQuarantined || s.lastProblem.Code == outcome.CodeUnauthorized):
		return s.lastProblem
	case s.lastProblem != nil:
		retryAt := s.retryAt
		if latest := now.Add(maxRetryAfter); retryAt.After(latest) {
			retryAt = latest
		}
		if !retryAt.IsZero() {
			return s.lastProblem.WithRetryAt(retryAt)
		}
		return s.lastProblem.WithRetryAt(now.Add(defaultRetryAfter))
	case !now.Before(s.call.deadline):
		return outcome.Refused(outcome.CodeDeadlineExceeded, "the deadline has passed")
	}
	return outcome.Refused(outcome.CodeNoTarget, "service %s has no target that can be reached", s.call.service).
		WithRetryAt(now.Add(time.Second))
}
