package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// The queued requests of a removed customer must be refused at once, whatever queue they
// are in. Those of other customers, those without one and those that run must not be.
func TestRemovedCustomerLeavesQueue(t *testing.T) {
	for _, test := range []struct {
		name  string
		modes configuration.Modes
	}{{"default scheduling", configuration.Modes{}}, {"shared scheduling", configuration.Modes{Scheduling: configuration.SchedulingShared}}} {
		t.Run(test.name, func(t *testing.T) { testRemovedCustomer(t, test.modes) })
	}
}

func testRemovedCustomer(t *testing.T, modes configuration.Modes) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		g.options.Modes = func() configuration.Modes { return modes }
		admit := func(customer string) (grant, *outcome.Problem) {
			req := requestWithin(5 * time.Second)
			req.Customer = customer
			return g.admit(t.Context(), req)
		}
		running, p := admit("removed")
		is.True(p == nil)
		other, p := admit("kept")
		is.True(p == nil)
		problems := map[string]*outcome.Problem{}
		ended := make(chan struct{}, 3)
		for _, customer := range []string{"removed", "kept", ""} {
			go func() {
				gr, p := admit(customer)
				g.mu.Lock()
				problems[customer] = p
				g.mu.Unlock()
				if p == nil {
					g.release(gr, resultSuccess)
				}
				ended <- struct{}{}
			}()
		}
		synctest.Wait()
		g.RefuseCustomers(func(name string) bool { return name == "removed" || name == "" })
		synctest.Wait()
		is.Equal(len(problems), 1) // the others still wait
		is.Equal(problems["removed"].Code, outcome.CodeUnauthorized)
		is.Equal(problems["removed"].Outcome, outcome.NotRun)
		is.Equal(g.InFlight(), 2)
		g.release(running, resultSuccess)
		g.release(other, resultSuccess)
		for range 3 {
			<-ended
		}
		is.True(problems["kept"] == nil && problems[""] == nil)
		is.Equal(g.InFlight(), 0)
	})
}
