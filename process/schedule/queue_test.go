package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testEpoch = time.Unix(1000, 0)

// itemOf returns a request of a customer that takes 100 ms and is due in a second.
func itemOf(customer string, customerPriority, routePriority int) Item {
	return Item{
		Customer: customer, Rank: RankOf(customer, customerPriority, routePriority), Cost: 100 * time.Millisecond,
		SoftDeadline: testEpoch.Add(time.Second), QueueDeadline: testEpoch.Add(time.Second),
	}
}

// dueIn returns the item with another soft deadline.
func dueIn(i Item, d time.Duration) Item {
	i.SoftDeadline = testEpoch.Add(d)
	return i
}

// Guards against an order in which a call that a running request waits for, or an urgent
// request, waits behind others, and in which a customer with many requests is served
// before one with few. Within a customer, late requests must not delay those in time.
func TestQueueOrder(t *testing.T) {
	short := dueIn(itemOf("a", 0, 0), -time.Second)
	short.IsShort = true
	tests := []struct {
		name  string
		items []Item
		want  []int
	}{
		{"none", nil, nil},
		{"calls before customers, whatever their priority", []Item{itemOf("a", 0, 0), itemOf("", 0, 5)}, []int{1, 0}},
		{"customer priority before route priority", []Item{itemOf("a", 1, 0), itemOf("b", 0, 5)}, []int{1, 0}},
		{"route priority within a customer priority", []Item{itemOf("a", 1, 1), itemOf("b", 1, 0)}, []int{1, 0}},
		{"customers in turn", []Item{itemOf("a", 0, 0), itemOf("a", 0, 0), itemOf("a", 0, 0), itemOf("b", 0, 0), itemOf("c", 0, 0)}, []int{0, 3, 4, 1, 2}},
		{"by soft deadline within a customer", []Item{dueIn(itemOf("a", 0, 0), 800*time.Millisecond), dueIn(itemOf("a", 0, 0), 200*time.Millisecond)}, []int{1, 0}},
		{"in time before late", []Item{dueIn(itemOf("a", 0, 0), 50*time.Millisecond), dueIn(itemOf("a", 0, 0), 200*time.Millisecond)}, []int{1, 0}},
		{"short requests are never late", []Item{dueIn(itemOf("a", 0, 0), 200*time.Millisecond), short}, []int{1, 0}},
		{"equal requests in order of arrival", []Item{itemOf("a", 0, 0), itemOf("a", 0, 0)}, []int{0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var q Queue[int]
			for i, item := range test.items {
				q.Push(item, i)
			}
			var got []int
			for e := q.Pop(testEpoch); e != nil; e = q.Pop(testEpoch) {
				got = append(got, e.Value)
			}
			is.Equal(got, test.want)
			is.Equal(q.Len(), 0)
		})
	}
}

// A customer that has used its slots for long must wait for others that have used them
// less, also if its requests were granted without being queued. One that returns after a
// pause must not be owed for the time without requests.
func TestSlotTimeIsShared(t *testing.T) {
	is := is.New(t)
	var q Queue[string]
	long := itemOf("long", 0, 0)
	long.Cost = 300 * time.Millisecond
	for range 40 {
		q.Push(long, "long")
		q.Push(itemOf("b", 0, 0), "b")
		q.Push(itemOf("b", 0, 0), "b")
		q.Push(itemOf("b", 0, 0), "b")
	}
	served := map[string]int{}
	for range 80 {
		served[q.Pop(testEpoch).Value]++
	}
	is.Equal(served, map[string]int{"long": 20, "b": 60})
	for range 5 {
		q.Arrive(itemOf("returned", 0, 0))
		q.Push(itemOf("returned", 0, 0), "returned")
	}
	served = map[string]int{}
	for range 9 {
		served[q.Pop(testEpoch).Value]++
	}
	is.True(served["returned"] >= 3 && served["returned"] <= 5)
	is.True(served["b"] >= 2)

	var direct Queue[string]
	direct.Charge(itemOf("a", 0, 0))
	direct.Push(itemOf("a", 0, 0), "a")
	direct.Push(itemOf("b", 0, 0), "b")
	is.Equal(direct.Pop(testEpoch).Value, "b")

	var corrected Queue[string]
	corrected.Charge(itemOf("a", 0, 0))
	corrected.Charge(itemOf("b", 0, 0))
	corrected.Correct(itemOf("a", 0, 0), time.Second)
	corrected.Push(itemOf("a", 0, 0), "a")
	corrected.Push(itemOf("b", 0, 0), "b")
	is.Equal(corrected.Pop(testEpoch).Value, "b")
}

// A customer whose requests have held slots for very long, as at a target that stalled,
// must not be starved for as long afterwards.
func TestLeadIsBounded(t *testing.T) {
	is := is.New(t)
	var q Queue[string]
	q.Charge(itemOf("a", 0, 0))
	q.Correct(itemOf("a", 0, 0), time.Minute)
	for range 25 {
		q.Push(itemOf("a", 0, 0), "a")
		q.Push(itemOf("b", 0, 0), "b")
	}
	served := map[string]int{}
	for range 25 {
		served[q.Pop(testEpoch).Value]++
	}
	is.True(served["b"] >= 15)
	is.True(served["a"] >= 2)
}

// A full queue must drop requests of the customer that has the most, and calls of targets
// only if there is nothing else.
func TestVictimIsOfLargestCustomer(t *testing.T) {
	tests := []struct {
		name  string
		items []Item
		want  int
	}{
		{"empty", nil, -1},
		{"calls alone", []Item{itemOf("", 0, 0), dueIn(itemOf("", 0, 0), 2*time.Second)}, 1},
		{"customers before calls", []Item{itemOf("", 0, 0), itemOf("", 0, 0), itemOf("a", 0, 0)}, 2},
		{"the largest", []Item{itemOf("a", 0, 0), itemOf("b", 0, 0), itemOf("b", 0, 0)}, 2},
		{"the largest over all ranks", []Item{itemOf("a", 0, 0), itemOf("a", 0, 0), itemOf("b", 0, 0), itemOf("b", 0, 2), itemOf("b", 0, 1)}, 3},
		{"of the largest, the last in its order", []Item{dueIn(itemOf("a", 0, 0), 9*time.Second), dueIn(itemOf("a", 0, 0), 5*time.Second)}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var q Queue[int]
			for i, item := range test.items {
				q.Push(item, i)
			}
			got := -1
			if e := q.Victim(testEpoch); e != nil {
				got = e.Value
			}
			is.Equal(got, test.want)
		})
	}
}

// The wait of a customer with one request must not grow with the requests that another
// one has queued, since it would then be refused on account of them.
func TestWorkAheadIsFair(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	work, isNext := q.WorkAhead(itemOf("b", 0, 0), testEpoch)
	is.Equal(work, time.Duration(0))
	is.True(isNext)
	for i := range 50 {
		q.Push(itemOf("a", 0, 0), i)
	}
	work, isNext = q.WorkAhead(itemOf("b", 0, 0), testEpoch)
	is.Equal(work, 100*time.Millisecond)
	is.True(!isNext)
	work, _ = q.WorkAhead(itemOf("a", 0, 0), testEpoch)
	is.Equal(work, 5*time.Second)
	work, _ = q.WorkAhead(itemOf("c", 1, 0), testEpoch)
	is.Equal(work, 5*time.Second)
	work, isNext = q.WorkAhead(itemOf("", 0, 0), testEpoch)
	is.Equal(work, time.Duration(0))
	is.True(isNext)
}

// Whatever is queued, dropped and served, no request may be lost or served twice. Calls go
// before all others, and a request goes before one of a lower rank only if its customer has
// earned it, which is seldom.
func TestQueueKeepsEveryRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		queued := map[int]*Queued[int]{}
		now := testEpoch
		arrived, outOfRank := map[Item]int{}, 0
		for i := range rapid.IntRange(1, 300).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			customer := []string{"", "a", "b", "c", "d"}[rapid.IntRange(0, 4).Draw(t, "customer")]
			item := dueIn(itemOf(customer, rapid.IntRange(0, 2).Draw(t, "priority"), rapid.IntRange(0, 2).Draw(t, "route")), time.Duration(rapid.IntRange(0, 2000).Draw(t, "due"))*time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0, 1:
				q.Arrive(item)
				arrived[Item{Customer: customer, Rank: item.Rank}]++
				queued[i] = q.Push(item, i)
			case 2:
				earned := map[Item]time.Duration{}
				for _, r := range q.ranks {
					for _, f := range r.flows {
						earned[Item{Customer: f.customer, Rank: r.rank}] = f.earned
					}
				}
				e := q.Pop(now)
				if (e == nil) != (len(queued) == 0) {
					t.Fatalf("got %v from %d requests", e, len(queued))
				}
				if e == nil {
					break
				}
				isOutOfRank := false
				for _, other := range queued {
					if other.Rank.compare(e.Rank) >= 0 {
						continue
					}
					isOutOfRank = true
					if other.Customer == "" || earned[Item{Customer: e.Customer, Rank: e.Rank}] < e.Cost {
						t.Fatalf("%+v before %+v", e.Item, other.Item)
					}
				}
				if isOutOfRank {
					outOfRank++
				}
				if queued[e.Value] != e || q.Remove(e) {
					t.Fatalf("served twice: %+v", e)
				}
				delete(queued, e.Value)
				q.Correct(e.Item, time.Duration(rapid.IntRange(0, 300).Draw(t, "used"))*time.Millisecond)
			case 3:
				if e := q.Victim(now); e != nil {
					if queued[e.Value] != e || !q.Remove(e) {
						t.Fatalf("dropped twice: %+v", e)
					}
					delete(queued, e.Value)
				}
			case 4:
				q.Charge(item)
			case 5:
				for _, e := range q.Hopeless(now, func(work time.Duration, _ bool) time.Duration { return work }) {
					if queued[e.Value] != e || !q.Remove(e) {
						t.Fatalf("refused twice: %+v", e)
					}
					delete(queued, e.Value)
				}
			}
			lengths := 0
			for _, n := range q.LengthByRank() {
				lengths += n
			}
			if q.Len() != len(queued) || lengths != len(queued) || len(q.All()) != len(queued) {
				t.Fatalf("%d, %d and %d of %d requests", q.Len(), lengths, len(q.All()), len(queued))
			}
		}
		limit := 0.0
		for _, n := range arrived {
			limit += 1 + creditShare*float64(n)
		}
		if float64(outOfRank) > limit {
			t.Fatalf("%d requests out of rank, at most %v were earned", outOfRank, limit)
		}
		var work time.Duration
		for _, r := range q.ranks {
			work += r.work
		}
		if want := time.Duration(len(queued)) * 100 * time.Millisecond; work != want {
			t.Fatalf("work %v instead of %v", work, want)
		}
	})
}

// The state must follow the customers in the queue, not all that ever sent a request.
func TestQueueForgetsIdleCustomers(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 100_000 {
		item := itemOf(fmt.Sprintf("c%d", i), i%100, 0)
		q.Arrive(item)
		q.Push(item, i)
		q.Pop(testEpoch)
	}
	flows := 0
	for _, r := range q.ranks {
		flows += len(r.flows)
	}
	is.Equal(len(q.customers), 0)
	is.True(len(q.owed) <= maxIdleRanks*2*minSweep)
	is.True(len(q.ranks) <= maxIdleRanks)
	is.True(flows <= maxIdleRanks*2*minSweep)
}
