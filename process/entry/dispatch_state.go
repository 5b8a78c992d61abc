package entry

import (
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// journey is what has become of a request so far. One goroutine uses it.
type journey struct {
	call *call
	// asked counts gates that were asked, sent those that were sent the request
	// and failed it.
	asked int
	sent  int
	// open counts the asks without a result yet.
	open    int
	results chan result
	// lostAt holds the gates that failed the request or had no retry left; they
	// are not asked again.
	lostAt map[*candidate]bool
	// last is the last problem, unsure the last whose outcome is unknown.
	last   *outcome.Problem
	unsure *outcome.Problem
	// paid counts the repeats that gates have paid for and that are not used yet.
	paid int
	// roomAt is when gates that were full expect room for the request.
	roomAt map[*candidate]time.Time
	// retryAt is the earliest time at which a gate expects room.
	retryAt time.Time
	// budgetRefusals counts gates that had no retry left.
	budgetRefusals int
	answer         *http1.Response
	// errored is a target's answer that is an error, kept while another target
	// may still give a better one.
	errored *http1.Response
}

// result is what became of one ask.
type result struct {
	from    *candidate
	answer  *http1.Response
	problem *outcome.Problem
	// paid means that the ask used a paid repeat, paysRepeat that its gate pays
	// for one.
	paid       bool
	paysRepeat bool
	// slow means that there is no result yet, and that the request may be sent
	// to another target as well.
	slow bool
}

// targetLatency is the time within which the answer is worth most.
func (c *call) targetLatency() time.Duration {
	if c.route.TargetLatency > 0 {
		return min(c.route.TargetLatency, c.deadline.Sub(c.in.ReceivedAt))
	}
	return c.deadline.Sub(c.in.ReceivedAt)
}

// await waits for a result and reports whether no further gate may be asked.
func (j *journey) await() (done bool) {
	r := <-j.results
	if r.slow {
		return false
	}
	return !j.take(r)
}

// take records a result and reports whether another gate may be asked.
func (j *journey) take(r result) (goesOn bool) {
	j.open--
	if r.paysRepeat {
		j.paid++
	}
	if r.paid && r.problem != nil && r.problem.Outcome == outcome.NotRun && r.problem.Code != outcome.CodeShed {
		// No target was sent the request.
		j.paid++
	}
	if r.problem == nil && r.answer.Status >= http.StatusInternalServerError && j.call.route.Idempotent {
		j.errored = r.answer
		j.lostAt[r.from] = true
		j.sent++
		return j.sent+j.open < j.call.route.MaxAttempts
	}
	if r.problem == nil {
		j.answer = r.answer
		return false
	}
	if r.problem.Outcome == outcome.Unknown || r.problem.Code == outcome.CodeRetryBudget {
		j.lostAt[r.from] = true
	}
	if r.problem.Code == outcome.CodeTargetFull {
		j.roomAt[r.from] = r.problem.RetryAt
	}
	return j.goesOn(r.problem)
}

// isRepeat reports whether the ask that has just begun sends the request once
// more, and usesPaid whether a gate has paid for that.
func (j *journey) isRepeat() bool { return j.sent > 0 || j.open > 1 }
func (j *journey) usesPaid() bool { return j.isRepeat() && j.paid > 0 }

// mayFail reports whether the request can be lost to one target and still be
// sent to another.
func (j *journey) mayFail() bool {
	return j.call.route.Idempotent && j.sent+j.open+1 < j.call.route.MaxAttempts
}

// goesOn records a problem and reports whether another gate may be asked.
func (j *journey) goesOn(p *outcome.Problem) bool {
	j.last = p
	if !p.RetryAt.IsZero() && (j.retryAt.IsZero() || p.RetryAt.Before(j.retryAt)) {
		j.retryAt = p.RetryAt
	}
	if p.Code == outcome.CodeShed || p.Code == outcome.CodeMisdirected {
		j.sent++
	}
	if p.Outcome == outcome.Unknown {
		j.sent++
		j.unsure = p
		if !j.call.route.Idempotent {
			return false
		}
	}
	if p.Code == outcome.CodeRetryBudget {
		j.budgetRefusals++
	}
	return j.sent+j.open < j.call.route.MaxAttempts && j.budgetRefusals < maxBudgetRefusals
}

// conclude returns the problem that the caller gets, or nil after an answer. A
// refusal by the last gate does not undo that an earlier target may have run
// the request.
func (j *journey) conclude() *outcome.Problem {
	now := time.Now()
	switch {
	case j.unsure != nil:
		return j.unsure
	case j.last != nil:
		retryAt := j.retryAt
		if latest := now.Add(maxRetryAfter); retryAt.After(latest) {
			retryAt = latest
		}
		if !retryAt.IsZero() {
			return j.last.WithRetryAt(retryAt)
		}
		return j.last.WithRetryAt(now.Add(notReadyRetry))
	case !now.Before(j.call.deadline):
		return outcome.Refused(outcome.CodeDeadlineExceeded, "the deadline has passed")
	}
	return outcome.Refused(outcome.CodeNoTarget, "service %s has no target that can be reached", j.call.service).
		WithRetryAt(now.Add(time.Second))
}
