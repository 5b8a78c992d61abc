package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/quota"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/matryer/is"
)

// countingQuotas allows or refuses all requests and counts the calls.
type countingQuotas struct {
	decision       quota.Decision
	taken, refunds int
}

func (q *countingQuotas) Take(context.Context, customer.Customer) quota.Decision {
	q.taken++
	return q.decision
}
func (q *countingQuotas) Peek(customer.Customer) quota.Decision { return q.decision }
func (q *countingQuotas) Refund(string, quota.Decision)         { q.refunds++ }

// Guards against requests that take a token for each attempt, that keep one although no
// target got them, or that reach a gate without one; and against costs for requests
// without a quota.
func TestOneTokenForEachRequest(t *testing.T) {
	limited := customer.Customer{Name: "a", RequestsPerSecond: 5, Burst: 5}
	tests := []struct {
		name           string
		who            customer.Customer
		allowed        bool
		gates          []gateBehaviour
		taken, refunds int
		code           outcome.Code
	}{
		{"answered", limited, true, []gateBehaviour{respondOK("")}, 1, 0, ""},
		{"retried", limited, true, []gateBehaviour{failRequest, respondOK("")}, 1, 0, ""},
		{"refused by the gates", limited, true, []gateBehaviour{refuseWith(outcome.CodeDraining)}, 1, 1, outcome.CodeDraining},
		{"outcome unknown", limited, true, []gateBehaviour{failRequest}, 1, 0, outcome.CodeTargetFailed},
		{"over quota", limited, false, []gateBehaviour{respondOK("")}, 1, 0, outcome.CodeOverQuota},
		{"no customer", customer.Customer{}, false, []gateBehaviour{respondOK("")}, 0, 0, ""},
		{"no quota", customer.Customer{Name: "b"}, false, []gateBehaviour{respondOK("")}, 0, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newGateFleet(t, tt.gates...)
			retryAt := time.Now().Add(time.Second)
			q := &countingQuotas{decision: quota.Decision{Allowed: tt.allowed, RetryAt: retryAt}}
			f.entry.options.Quotas = q
			l, closeListener, err := http1.Listen("127.0.0.1:0", func(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
				c, problem := f.entry.prepareCall(ctx, in)
				is.True(problem == nil)
				resp, _, problem := f.entry.dispatchWithinQuota(ctx, c, tt.who)
				if tt.code == "" {
					is.True(problem == nil)
					return resp
				}
				is.Equal(problem.Code, tt.code)
				return problem.ToResponse("", time.Now())
			}, func() http1.Limits { return limits }, f.entry.options.Logger)
			is.NoErr(err)
			t.Cleanup(closeListener)
			resp := callAt(t, l.Address(), "/read/x")
			is.Equal(q.taken, tt.taken)
			is.Equal(q.refunds, tt.refunds)
			if tt.code == outcome.CodeOverQuota {
				is.Equal(resp.Status, http.StatusTooManyRequests)
				is.True(resp.Header.Get("Retry-After") != "")
				is.Equal(f.bodiesReceived[0].Load(), int64(0))
			}
		})
	}
}
