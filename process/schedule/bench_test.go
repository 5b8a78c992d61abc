package schedule

import (
	"fmt"
	"testing"
	"time"
)

// queueOf returns a queue with one request of each of the given number of customers, and
// their items.
func queueOf(customers int) (*Queue[int], []Item) {
	q := &Queue[int]{}
	items := make([]Item, customers)
	for i := range items {
		items[i] = itemOf(fmt.Sprintf("customer-%d", i), 0, 0)
		q.Push(items[i], i)
	}
	return q, items
}

// BenchmarkQueue measures a push and a pop, each with the given number of customers in the
// queue.
func BenchmarkQueue(b *testing.B) {
	for _, customers := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("push/%d", customers), func(b *testing.B) {
			q, items := queueOf(customers)
			b.ReportAllocs()
			added := make([]*Queued[int], 0, 1000)
			for i := 0; b.Loop(); i++ {
				added = append(added, q.Push(items[i%customers], i))
				if len(added) == cap(added) {
					b.StopTimer()
					for _, e := range added {
						q.Remove(e)
					}
					added = added[:0]
					b.StartTimer()
				}
			}
		})
		b.Run(fmt.Sprintf("push_and_pop/%d", customers), func(b *testing.B) {
			q, items := queueOf(customers)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Push(items[i%customers], i)
				q.Pop(testEpoch)
			}
		})
		b.Run(fmt.Sprintf("work_ahead/%d", customers), func(b *testing.B) {
			q, items := queueOf(customers)
			for i := 0; b.Loop(); i++ {
				q.WorkAhead(items[i%customers], testEpoch)
			}
		})
	}
}

// BenchmarkHopeless measures the search for hopeless requests, which a gate makes at most
// each 20 ms, with the given number of customers in the queue.
func BenchmarkHopeless(b *testing.B) {
	for _, customers := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprint(customers), func(b *testing.B) {
			q, _ := queueOf(customers)
			for b.Loop() {
				q.Hopeless(testEpoch, func(time.Duration, bool) time.Duration { return 0 })
			}
		})
	}
}

// BenchmarkShedding measures the decision about one request and the record of its end. It
// does not depend on the number of customers.
func BenchmarkShedding(b *testing.B) {
	var s Shedding
	now := testEpoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		if !s.CanStart(now, i%15) {
			continue
		}
		number := s.Start(now)
		if i%20 == 0 {
			s.RecordRefusal(number, now)
			continue
		}
		s.RecordRun(number)
	}
}
