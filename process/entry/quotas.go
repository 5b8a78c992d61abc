package entry

import (
	"context"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/quota"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/customer"
)

// Quotas limits the requests of customers over all nodes together.
type Quotas interface {
	// Take takes a token for one request of a customer with a quota.
	Take(ctx context.Context, c customer.Customer) quota.Decision
	// Peek describes the tokens that the node holds for a customer and takes none.
	Peek(c customer.Customer) quota.Decision
	// Refund returns the token of a request that no target got.
	Refund(name string, d quota.Decision)
}

// dispatchWithinQuota dispatches a request if its customer is within the quota. The
// request takes one token however many gates are tried, and returns it if it ends as
// not run. A request without a customer, or of one without a quota, takes none.
func (e *Entry) dispatchWithinQuota(ctx context.Context, c *call, who customer.Customer) (*http1.Response, int, *outcome.Problem) {
	if e.options.Quotas == nil || !who.HasQuota() {
		return e.dispatch(ctx, c)
	}
	waitCtx, cancel := context.WithDeadline(ctx, c.deadline)
	d := e.options.Quotas.Take(waitCtx, who)
	cancel()
	switch {
	case d.HasNoHome:
		return nil, 0, outcome.Refused(outcome.CodeNoQuotaHome, "no node that grants the quota of customer %s was reached", who.Name).WithRetryAt(d.RetryAt)
	case !d.Allowed:
		return nil, 0, outcome.Refused(outcome.CodeOverQuota, "customer %s is over its quota of %g requests per second", who.Name, d.Quota).WithRetryAt(d.RetryAt)
	}
	resp, attempts, problem := e.dispatch(ctx, c)
	if problem != nil && problem.Outcome == outcome.NotRun {
		e.options.Quotas.Refund(who.Name, d)
	}
	return resp, attempts, problem
}
