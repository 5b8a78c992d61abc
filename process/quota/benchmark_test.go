package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/hashicorp/go-hclog"
)

// noNetwork fails all calls.
type noNetwork struct{}

func (noNetwork) Call(context.Context, string, string, any, any) error { return errLost }

var customerCounts = []int{10, 10_000, 280_000}

// homeWithCustomers returns a home that has granted a token of each customer.
func homeWithCustomers(count int) (*Home, []customer.Customer) {
	view := &localNodes{version: 1, nodes: []membership.Record{{ControlAddress: "a"}}}
	h := NewHome("a", view, noNetwork{})
	h.homeFrom = time.Now().Add(-time.Hour)
	customers := make([]customer.Customer, count)
	for i := range customers {
		customers[i] = customer.Customer{Name: fmt.Sprint("customer-", i), RequestsPerSecond: 1e9, Burst: 1e9}
		h.take(TakeRequest{Name: customers[i].Name, Rate: 1e9, Burst: 1e9, Want: 1})
	}
	return h, customers
}

func BenchmarkHomeTake(b *testing.B) {
	for _, count := range customerCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			h, customers := homeWithCustomers(count)
			i := 0
			for b.Loop() {
				h.take(TakeRequest{Name: customers[i].Name, Rate: 1e9, Burst: 1e9, Want: 1})
				i = (i + 7919) % count
			}
		})
	}
}

// BenchmarkClientTake measures a request for which the entry holds a token.
func BenchmarkClientTake(b *testing.B) {
	for _, count := range customerCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			h, customers := homeWithCustomers(count)
			c := NewClient(h, discardMeter{}, hclog.NewNullLogger())
			for _, who := range customers {
				s := c.stockOf(who, time.Now())
				s.usage.at = time.Now()
				s.add(1<<40, time.Now().Add(time.Hour))
			}
			i := 0
			for b.Loop() {
				c.Take(b.Context(), customers[i])
				i = (i + 7919) % count
			}
		})
	}
}

func BenchmarkElect(b *testing.B) {
	for _, count := range []int{104, 6_700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			nodes := make([]membership.Record, count)
			for i := range nodes {
				nodes[i].ControlAddress = fmt.Sprintf("10.0.%d.%d:8145", i/250, i%250)
			}
			for b.Loop() {
				elect(nodes, "customer")
			}
		})
	}
}
