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

// maxChargedInFlight bounds the paid repeats on their way from gate to gate: each is
// held by a request for a few milliseconds.
const maxChargedInFlight = 5

// In no window do the gates of a service together send more repeats than the
// fleet's bound allows, however repeats and first sends fall to them.
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
			at     time.Time
			repeat bool
		}
		var sends []send
		// Repeats that gates have paid for travel to other gates, which take none
		// of their own part for them.
		paid := 0
		now := time.Unix(1000, 0)
		for range rapid.IntRange(0, 3000).Draw(t, "sends") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond)
			b := &budgets[rapid.IntRange(0, gates-1).Draw(t, "gate")]
			kind := rapid.IntRange(0, 9).Draw(t, "kind")
			if kind == 9 && paid > 0 {
				paid--
				sends = append(sends, send{now, true})
				continue
			}
			if kind == 8 && b.canWithdraw(now, 0) && paid < maxChargedInFlight {
				b.withdraw()
				paid++
				continue
			}
			if kind > 0 {
				if b.canWithdraw(now, rapid.IntRange(0, 3).Draw(t, "priority")) {
					b.withdraw()
					sends = append(sends, send{now, true})
				}
				continue
			}
			b.deposit(now)
			sends = append(sends, send{now, false})
		}
		first, repeats, from := 0.0, 0.0, 0
		for _, s := range sends {
			if s.repeat {
				repeats++
			} else {
				first++
			}
			for ; s.at.Sub(sends[from].at) >= window; from++ {
				if sends[from].repeat {
					repeats--
				} else {
					first--
				}
			}
			// Each gate holds at least one repeat.
			if bound := ratio*first + max(slack, float64(gates)); repeats > bound {
				t.Fatalf("%v repeats of %v requests over %d gates", repeats, first, gates)
			}
		}
	})
}

// A service with few requests can still try sick targets out: its budget grows
// with time.
func TestBudgetRefillsOverTime(t *testing.T) {
	is := is.New(t)
	b := retryBudget{quota: newRetryQuota(0.2, 60, 10*time.Second, 12)}
	now := time.Unix(0, 0)
	is.True(!b.canWithdraw(now, 0))
	is.True(b.canWithdraw(now.Add(10*time.Second), 0))
}

// A gate pays for the repeats of what its target fails, as long as its part
// lasts, and takes a repeat that was paid for when its own part is used up.
func TestChargedRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		g.retryBudget.tokens = 1
		a := requestWithin(0)
		is.True(g.chargeRetry(a))
		is.True(!g.chargeRetry(a))
		a.IsRetry = true
		_, p := g.admit(t.Context(), a)
		is.Equal(p.Code, outcome.CodeRetryBudget)
		a.RetryCharged = true
		_, p = g.admit(t.Context(), a)
		is.True(p == nil)
		is.True(g.retryBudget.tokens >= 0)
	})
}

// Only what an entry will send again is paid for.
func TestCausesRetry(t *testing.T) {
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
