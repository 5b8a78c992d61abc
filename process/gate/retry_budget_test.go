package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// maxChargedInFlight bounds the charged retries on their way from one gate to
// another. Each is under way for only a few milliseconds.
const maxChargedInFlight = 5

// Guards against retry storms: however first attempts and retries are spread over
// the gates of a service, in no window do they together exceed the fleet-wide retry
// limit.
func TestBudgetsStayWithinFleetLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack, window = 0.2, 60.0, 10 * time.Second
		gates := rapid.IntRange(1, 40).Draw(t, "gates")
		budgets := make([]retryBudget, gates)
		for i := range budgets {
			budgets[i].quota = newRetryQuota(ratio, slack, window, gates)
			budgets[i].tokens = budgets[i].quota.capacity
		}
		type send struct {
			at      time.Time
			isRetry bool
		}
		var sends []send
		// Retries that one gate has charged go to other gates, which do not
		// charge them again.
		charged := 0
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 3000).Draw(t, "sends") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			b := &budgets[rapid.IntRange(0, gates-1).Draw(t, "gate")]
			event := rapid.IntRange(0, 9).Draw(t, "kind")
			if event == 9 && charged > 0 {
				charged--
				sends = append(sends, send{now, true})
				continue
			}
			if event == 8 && b.canWithdraw(now, 0) && charged < maxChargedInFlight {
				b.withdraw()
				charged++
				continue
			}
			if event > 0 {
				if b.canWithdraw(now, rapid.IntRange(0, 3).Draw(t, "priority")) {
					b.withdraw()
					sends = append(sends, send{now, true})
				}
				continue
			}
			b.deposit(now)
			sends = append(sends, send{now, false})
		}
		first, retries, from := 0.0, 0.0, 0
		for _, s := range sends {
			if s.isRetry {
				retries++
			} else {
				first++
			}
			for ; s.at.Sub(sends[from].at) >= window; from++ {
				if sends[from].isRetry {
					retries--
				} else {
					first--
				}
			}
			// Each gate has a capacity of at least one retry.
			if limit := ratio*first + max(slack, float64(gates)); retries > limit {
				t.Fatalf("%v retries of %v first attempts over %d gates", retries, first, gates)
			}
		}
	})
}

// Guards against gates that hold the retry limit of a whole service each (BUDGET) because
// their nodes do not know how many gates there are: 30 of them stay within the slack.
func TestGatesOfAnUnknownFleetShareNoSlack(t *testing.T) {
	is := is.New(t)
	const gates, slack, window = 30, 60.0, 10 * time.Second
	retries := 0
	for range gates {
		b := retryBudget{quota: newRetryQuota(0.2, slack, window, 0)}
		b.tokens = b.quota.capacity
		for now := time.Unix(0, 0); now.Before(time.Unix(10, 0)); now = now.Add(10 * time.Millisecond) {
			if b.canWithdraw(now, 0) {
				b.withdraw()
				retries++
			}
		}
	}
	is.True(retries > 0)
	is.True(retries <= slack)
}

// A service with few requests must still be able to retry after trials of
// unhealthy targets, so its budget grows with time alone.
func TestBudgetRefillsOverTime(t *testing.T) {
	is := is.New(t)
	b := retryBudget{quota: newRetryQuota(0.2, 60, 10*time.Second, 12)}
	now := time.Unix(0, 0)
	is.True(!b.canWithdraw(now, 0))
	is.True(b.canWithdraw(now.Add(10*time.Second), 0))
}

// A gate charges the retries of requests that its target failed until its budget is
// used up, and even then admits a retry that another gate has charged.
func TestChargedRetriesAreAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		g.retryBudget.tokens = 1
		req := requestWithin(0)
		is.True(g.chargeRetry(req))
		is.True(!g.chargeRetry(req))
		req.IsRetry = true
		_, p := g.admit(t.Context(), req)
		is.Equal(p.Code, outcome.CodeRetryBudget)
		req.RetryCharged = true
		_, p = g.admit(t.Context(), req)
		is.True(p == nil)
		is.True(g.retryBudget.tokens >= 0)
	})
}

// Only results after which the entry retries the request may be charged. Otherwise
// the gate's retry budget would be spent on retries that are never sent.
func TestOnlyRetriedResultsAreCharged(t *testing.T) {
	tests := []struct {
		res      result
		canRetry bool
		want     bool
	}{
		{resultSuccess, true, false}, {resultInconclusive, true, false}, {resultShed, false, true},
		{resultError, true, true}, {resultError, false, false}, {resultLost, true, true}, {resultLost, false, false},
	}
	for _, test := range tests {
		is := is.New(t)
		is.Equal(test.res.causesRetry(hopheader.Request{CanRetry: test.canRetry}), test.want)
	}
}
