package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/request/choice"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

// Bounds of one request's attempts.
const (
	maxAttempts  = 4
	refusedPause = 250 * time.Millisecond
)

// dispatch sends the request to one gate after another until one gives its
// outcome.
func (e *Entry) dispatch(ctx context.Context, c *call) (*relay.Answer, *outcome.Problem) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	answer, problem := e.attempts(ctx, c)
	if answer == nil || answer.Rest == nil {
		cancel()
		return answer, problem
	}
	answer.OnClose(cancel)
	return answer, nil
}

func (e *Entry) attempts(ctx context.Context, c *call) (*relay.Answer, *outcome.Problem) {
	var tried choice.Tried
	var last *outcome.Problem
	mayHaveRun := false
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		pick, ok := e.choose(c, tried)
		if !ok {
			break
		}
		tried = append(tried, pick.Candidate)
		e.logger.Info("chose", "request", c.id, "service", c.service.Name, "gate", pick.Candidate.Address,
			"tier", pick.Candidate.Tier, "weighed", pick.Weighed, "reason", pick.Reason,
			"attempt", attempt, "deadline", c.deadline)
		e.meter.Attempt(pick.Candidate.Tier, attempt > 1)
		answer, problem := e.attempt(ctx, c, pick.Candidate, attempt)
		if problem == nil {
			return answer, nil
		}
		last = problem
		mayHaveRun = mayHaveRun || problem.Outcome == outcome.Unknown
		if ctx.Err() != nil || !e.mayRetry(c, problem) {
			break
		}
	}
	return nil, conclude(last, mayHaveRun, c, e.clock())
}

// conclude returns the problem that the caller gets. A refusal by the last
// gate does not undo that an earlier one may have run the request.
func conclude(last *outcome.Problem, mayHaveRun bool, c *call, now time.Time) *outcome.Problem {
	if last == nil {
		return outcome.Refused(outcome.CodeNoTarget, http.StatusServiceUnavailable,
			"service %s has no target that can be reached", c.service.Name).WithRetryAt(now.Add(time.Second))
	}
	if mayHaveRun && last.Outcome == outcome.NotRun {
		return outcome.Failed(outcome.CodeTargetFailed, http.StatusBadGateway,
			"a target failed during the request and no other took it").WithRetryAt(last.RetryAt)
	}
	return last
}

func (e *Entry) choose(c *call, tried choice.Tried) (choice.Pick, bool) {
	set, ok := e.nodes.Index().Set(c.service.Name)
	if !ok {
		return choice.Pick{}, false
	}
	remote := e.nodes.MayUseRemote(len(c.body))
	e.mu.Lock()
	defer e.mu.Unlock()
	return set.Choose(e.clock(), e.random, tried, remote)
}

// attempt sends the request to one gate and records how that went.
func (e *Entry) attempt(ctx context.Context, c *call, to *choice.Candidate, attempt int) (*relay.Answer, *outcome.Problem) {
	began := e.clock()
	to.Begin()
	sending, stop := e.moveOnHalfway(ctx, c, attempt)
	answer, err := e.client.Send(sending, to.Address, c.toGate(attempt))
	stop()
	now := e.clock()
	if err != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			to.Cancelled()
		} else {
			to.Failed(now)
		}
		if errors.Is(context.Cause(sending), errMovedOn) {
			return nil, errMovedOn
		}
		return nil, relay.ProblemOf(ctx, err, "gate", outcome.CodeGateLost)
	}
	if to.Tier == choice.TierRemote {
		e.nodes.SpendRemote(len(c.body) + answer.Len())
	}
	problem := outcome.FromHeader(answer.Header, answer.Status, now)
	switch {
	case problem == nil:
		to.Answered(now.Sub(began))
		return answer, nil
	case problem.Outcome == outcome.NotRun:
		to.Refused(retryTime(problem, now))
	default:
		to.Failed(now)
	}
	answer.Close()
	problem.Detail = "the gate at " + to.Address + " reported " + string(problem.Code)
	return nil, problem
}

// errMovedOn ends an attempt in favour of another, which is paid for already.
var errMovedOn = outcome.Failed(outcome.CodeSlowGate, http.StatusGatewayTimeout,
	"the gate gave no answer in half of the time that was left")

// moveOnHalfway returns a context for one attempt at an idempotent request that
// ends when half of the time is over and the budget allows a retry: a gate
// whose VM is frozen takes connections and never answers. stop keeps the
// context from ending so.
func (e *Entry) moveOnHalfway(ctx context.Context, c *call, attempt int) (sending context.Context, stop func()) {
	if !c.isIdempotent() || attempt == maxAttempts {
		return ctx, func() {}
	}
	sending, cancel := context.WithCancelCause(ctx)
	half := c.deadline.Sub(e.clock()) / 2
	timer := time.AfterFunc(half, func() {
		if e.budget.spend() {
			cancel(errMovedOn)
		}
	})
	return sending, func() { timer.Stop() }
}

func retryTime(p *outcome.Problem, now time.Time) time.Time {
	if p.RetryAt.IsZero() {
		return now.Add(refusedPause)
	}
	return p.RetryAt
}

// mayRetry decides on another attempt after a problem.
func (e *Entry) mayRetry(c *call, p *outcome.Problem) bool {
	switch p.Code {
	case outcome.CodeBadRequest, outcome.CodeBodyTooLarge:
		return false
	case outcome.CodeNoTarget, outcome.CodeLeaving, outcome.CodeSlowGate:
		// The gate was not loaded by the attempt, or the retry is paid for.
		return true
	}
	if p.Outcome == outcome.NotRun || c.isIdempotent() {
		return e.budget.spend()
	}
	return false
}
