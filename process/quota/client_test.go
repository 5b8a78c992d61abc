package quota

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

var limited = customer.Customer{Name: "a", RequestsPerSecond: 10, Burst: 10}

// Guards against costs for requests that no quota concerns, and for calls over the
// network from a node to itself.
func TestNoNeedlessCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(5, 1)
		time.Sleep(time.Minute)
		for _, n := range f.nodes {
			is.True(n.client.Take(t.Context(), customer.Customer{}).Allowed)
			is.True(n.client.Take(t.Context(), customer.Customer{Name: "b"}).Allowed)
			is.Equal(len(n.client.stocks), 0)
		}
		time.Sleep(time.Minute)
		is.Equal(f.calls, 0)
		single := newFleet(1, 1)
		time.Sleep(time.Minute)
		is.True(single.nodes[0].client.Take(t.Context(), limited).Allowed)
		is.Equal(single.calls, 0)
	})
}

// Guards against refusals without a retry time, without their cause in the log, or with
// a line for each of many.
func TestRefusalsAreExplained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1)
		time.Sleep(time.Minute)
		var log strings.Builder
		client := NewClient(f.nodes[0].home, discardMeter{}, hclog.New(&hclog.LoggerOptions{Output: &log, DisableTime: true}))
		for range 20 {
			is.True(client.Take(t.Context(), limited).Allowed)
		}
		var retries []time.Time
		for range 20 {
			d := client.Take(t.Context(), limited)
			is.True(!d.Allowed)
			is.Equal(d.Quota, 10.0)
			is.True(d.Age >= 0)
			retries = append(retries, d.RetryAt)
		}
		for i := range retries[1:] {
			is.True(retries[i+1].Sub(retries[i]) >= 99*time.Millisecond)
		}
		is.Equal(strings.Count(log.String(), "request over quota"), 1)
		for _, field := range []string{"customer=a", "quota=10", "stock=0", "age_ms=0", "reason=over"} {
			is.True(strings.Contains(log.String(), field))
		}
		is.Equal(f.nodes[0].home.Nearest(5), []Usage{{Customer: "a", Quota: 10, Used: 1}})
		time.Sleep(time.Second)
		is.Equal(f.nodes[0].home.Nearest(5), []Usage{{Customer: "a", Quota: 10, Used: 0.5}})
	})
}

// Guards against tokens that a refused request loses, and that a late refund extends.
func TestRefund(t *testing.T) {
	tests := []struct {
		after time.Duration
		stock int
	}{{100 * time.Millisecond, 1}, {tokenTTL, 0}}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 1)
			time.Sleep(time.Minute)
			client := f.nodes[0].client
			d := client.Take(t.Context(), limited)
			time.Sleep(tt.after)
			client.Refund("a", d)
			client.mu.Lock()
			defer client.mu.Unlock()
			is.Equal(client.stocks["a"].count(time.Now()), tt.stock)
		})
	}
}

// Guards against a home that dies and refuses its customers for long: they are served
// again within 2 s. A home that only one link separates from the node that would take
// over is not replaced.
func TestHomeIsReplacedOnlyIfItIsDown(t *testing.T) {
	tests := []struct {
		name string
		// isKilled means that the home is killed; else it is cut off from its entry and
		// the second node.
		isKilled bool
		maxWait  time.Duration
		acts     bool
	}{
		{"home is killed", true, 2 * time.Second, true},
		{"home is reached through others", false, 2 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(20, 3)
				time.Sleep(time.Minute)
				order := elect(f.nodes[0].view.Nodes(), "a")
				byAddress := func(address string) *simNode {
					return f.nodes[slices.IndexFunc(f.nodes, func(n *simNode) bool { return n.record.ControlAddress == address })]
				}
				home, second := byAddress(order[0]), byAddress(order[1])
				entry := f.nodes[slices.IndexFunc(f.nodes, func(n *simNode) bool { return !slices.Contains(order[:], n.record.ControlAddress) })]
				is.True(entry.client.Take(t.Context(), limited).Allowed)
				if tt.isKilled {
					f.kill(home)
				} else {
					f.block([]*simNode{entry, second}, []*simNode{home}, time.Hour)
				}
				time.Sleep(time.Second)
				began := time.Now()
				for !entry.client.Take(t.Context(), limited).Allowed {
				}
				is.True(time.Since(began) <= tt.maxWait)
				for range 20 {
					time.Sleep(200 * time.Millisecond)
					entry.client.Take(t.Context(), limited)
				}
				second.home.mu.Lock()
				a := second.home.accounts["a"]
				acted := a != nil && !a.since.IsZero()
				second.home.mu.Unlock()
				is.Equal(acted, tt.acts)
				time.Sleep(2 * time.Second) // Checks in progress end.
			})
		})
	}
}

// Guards against a read that takes or expires tokens, calls the home or creates a stock.
func TestPeekChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1, 1)
		time.Sleep(time.Minute)
		client := f.nodes[0].client
		is.Equal(client.Peek(limited), Decision{Quota: 10, Age: -1})
		is.Equal(len(client.stocks), 0)
		is.True(client.Take(t.Context(), limited).Allowed)
		synctest.Wait()
		s := client.stocks[limited.Name]
		s.add(2, time.Now().Add(tokenTTL))
		lots, calls := slices.Clone(s.lots), f.calls
		want := s.count(time.Now())
		for range 10 {
			d := client.Peek(limited)
			is.Equal(d.Stock, want)
			is.True(d.Allowed)
		}
		time.Sleep(2 * tokenTTL)
		is.Equal(client.Peek(limited).Stock, 0)
		is.Equal(s.lots, lots) // expired tokens stay in place
		is.Equal(f.calls, calls)
	})
}
