package gate

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
)

// Guards against callers that are refused together and return together: the retry times of
// a full gate must be spaced as its slots become free, 150 ms / 5 here, whether requests
// are refused at once or after they have waited. As the control, the default scheduling
// promises more than that in 100 ms. A request that may not wait at all gets the plain
// time, since its entry asks again at once with a longer wait.
func TestRefusedCallersReturnOneByOne(t *testing.T) {
	tests := []struct {
		name     string
		isShared bool
		wait     time.Duration
		wantMax  int
	}{
		{"shared", true, 20 * time.Millisecond, 4},
		{"default", false, 20 * time.Millisecond, 40},
		{"shared, without a wait", true, 0, 40},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := newSharedGate(t, 5)
				if !test.isShared {
					g.options.Modes = nil
				}
				g.target.durations.all = 150 * time.Millisecond
				var grants []grant
				for range 5 {
					gr, p := g.admit(t.Context(), requestWithin(0))
					is.True(p == nil)
					grants = append(grants, gr)
				}
				var times []time.Time
				for range 40 {
					_, p := g.admit(t.Context(), requestWithin(test.wait))
					times = append(times, p.RetryAt)
					is.True(!p.RetryAt.Before(time.Now()))
				}
				slices.SortFunc(times, time.Time.Compare)
				busiest := 0
				for i, from := range times {
					for n := i; n < len(times) && times[n].Sub(from) < 100*time.Millisecond; n++ {
						busiest = max(busiest, n-i+1)
					}
				}
				is.Equal(busiest, test.wantMax)
				for _, gr := range grants {
					g.release(gr, resultSuccess)
				}
			})
		})
	}
}

// A refusal by the target itself must state when the target gets its next request.
// Otherwise the caller of a request that has used up its attempts is told nothing.
func TestShedRefusalStatesRetryTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newSharedGate(t, 5)
		shed := func() *outcome.Problem { return outcome.Refused(outcome.CodeShed, "test") }
		for range 10 {
			gr, p := g.admit(t.Context(), requestWithin(0))
			is.True(p == nil)
			g.release(gr, resultShed)
		}
		is.Equal(g.withShedRetry(shed()).RetryAt, time.Now().Add(200*time.Millisecond))
		is.True(g.withShedRetry(outcome.Refused(outcome.CodeDraining, "test")).RetryAt.IsZero())
		is.True(g.withShedRetry(nil) == nil)
		g.options.Modes = nil
		is.True(g.withShedRetry(shed()).RetryAt.IsZero())
	})
}
