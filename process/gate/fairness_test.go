package gate

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/matryer/is"
)

// customerLoad is the load of one customer in requests per second.
type customerLoad struct {
	name      string
	perSecond float64
	priority  int
}

// customerCount counts the requests of a customer, and those that were served.
type customerCount struct{ sent, served int }

// replayCustomers sends the loads for the given time to a gate with 5 slots, which serves
// about 33 requests per second. Without customers, all requests count as those of one.
func replayCustomers(t *testing.T, loads []customerLoad, span time.Duration, hasCustomers bool) (map[string]*customerCount, *Gate) {
	g := newSharedGate(t, 5)
	counts := map[string]*customerCount{}
	var mu sync.Mutex
	var senders sync.WaitGroup
	startedAt := time.Now()
	for i, l := range loads {
		count := &customerCount{}
		counts[l.name] = count
		source := rand.New(rand.NewPCG(uint64(i), 7))
		senders.Add(1)
		go func() {
			defer senders.Done()
			for time.Since(startedAt) < span {
				time.Sleep(time.Duration(source.ExpFloat64() / l.perSecond * float64(time.Second)))
				duration := time.Duration((0.5 + source.Float64()) * float64(150*time.Millisecond))
				senders.Add(1)
				go func() {
					defer senders.Done()
					now := time.Now()
					req := hopheader.Request{
						Service: "s", RouteHash: 1, Customer: "one", SoftDeadline: now.Add(time.Second),
						QueueDeadline: now.Add(700 * time.Millisecond), Deadline: now.Add(2500 * time.Millisecond),
					}
					if hasCustomers {
						req.Customer, req.CustomerPriority = l.name, l.priority
					}
					gr, p := g.admit(t.Context(), req)
					mu.Lock()
					count.sent++
					if p == nil {
						count.served++
					}
					mu.Unlock()
					if p == nil {
						time.Sleep(duration)
						g.release(gr, resultSuccess)
					}
				}()
			}
		}()
	}
	senders.Wait()
	return counts, g
}

// Guards against a customer at 8 times its usual rate that takes the slots of the others,
// and against an equal division that starves a large customer. Under overload no customer
// may be served less than a quarter as often as all together, not even
// one of the lowest priority, and those at their usual rate must be served nearly always if
// one hot customer alone is the overload. As the
// control, the same requests as those of one customer must fail the second bound.
func TestCustomersAreServedFairly(t *testing.T) {
	const span = 30 * time.Second
	small := func(n int, perSecond float64) (loads []customerLoad) {
		for i := range n {
			loads = append(loads, customerLoad{fmt.Sprintf("small-%d", i), perSecond, 0})
		}
		return loads
	}
	tests := []struct {
		name         string
		loads        []customerLoad
		hasCustomers bool
		wantUsual    bool
	}{
		{"hot customer", append(small(20, 1), customerLoad{"hot", 60, 0}), true, true},
		{"hot customer, no fairness", append(small(20, 1), customerLoad{"hot", 60, 0}), false, false},
		{"large customer among many", append(small(60, 0.8), customerLoad{"large", 24, 0}), true, false},
		{"three large customers", append(small(40, 0.4), customerLoad{"x", 20, 0}, customerLoad{"y", 15, 0}, customerLoad{"z", 10, 0}), true, true},
		{"overload by a higher priority", []customerLoad{{"first", 25, 0}, {"second", 20, 1}, {"third", 15, 2}, {"fourth", 3, 3}}, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				counts, g := replayCustomers(t, test.loads, span, test.hasCustomers)
				var all, usual customerCount
				for _, l := range test.loads {
					c := counts[l.name]
					all.sent, all.served = all.sent+c.sent, all.served+c.served
					if l.perSecond <= 1 {
						usual.sent, usual.served = usual.sent+c.sent, usual.served+c.served
					} else {
						t.Logf("%s: %d of %d", l.name, c.served, c.sent)
					}
				}
				share := func(c customerCount) float64 { return float64(c.served) / float64(c.sent) }
				least := 1.0
				for _, c := range counts {
					least = min(least, share(*c))
				}
				t.Logf("all %.3f, usual %.3f, least %.3f, served per second %.1f", share(all), share(usual), least, float64(all.served)/span.Seconds())
				is.Equal(usual.sent > 0 && share(usual) >= 0.95, test.wantUsual)
				for i := 1; i < len(test.loads); i++ {
					if before, c := test.loads[i-1], test.loads[i]; before.priority < c.priority {
						is.True(share(*counts[before.name]) >= share(*counts[c.name]))
					}
				}
				is.Equal(g.queueLength(), 0)
				if test.hasCustomers {
					is.True(least >= share(all)/4)
					is.True(float64(all.served)/span.Seconds() >= 0.9*33) // work-conserving
				}
			})
		})
	}
}
