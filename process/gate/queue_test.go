package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
)

// When more work comes than can be done by the time that is aimed at, requests
// that can still be in time go before those that cannot, and of those the ones
// with the nearest aim; a request that another one's run waits for aims at a
// short time.
func TestQueueOrderUnderOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	const short, long = 1, 2
	o := queueOrder{now: now, durations: &durations{all: 100 * time.Millisecond, byRoute: map[uint32]time.Duration{short: 30 * time.Millisecond, long: 150 * time.Millisecond}}}
	aims := func(ms ...int) []hopheader.Request {
		var out []hopheader.Request
		for _, m := range ms {
			out = append(out, hopheader.Request{RouteHash: long, Priority: 1, SoftDeadline: now.Add(time.Duration(m) * time.Millisecond)})
		}
		return out
	}
	urgent := aims(900)[0]
	urgent.Priority = 0
	call := aims(-100)[0]
	call.RouteHash = short
	tests := []struct {
		name    string
		waiting []hopheader.Request
		want    []int
	}{
		{"the nearest aim first", aims(800, 200, 400), []int{1, 2, 0}},
		{"equal ones by arrival", aims(300, 300), []int{0, 1}},
		{"those in time before late ones", aims(-500, 100, 700), []int{2, 0, 1}},
		{"a short one, though it is late", append(aims(-500, 700), call), []int{2, 1, 0}},
		{"the most urgent first, whatever its aim", append(aims(150), urgent), []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var q queue
			index := map[*waiter]int{}
			for i, a := range test.waiting {
				index[q.push(a)] = i
			}
			var got []int
			for w := q.pop(o, func(hopheader.Request) bool { return true }); w != nil; w = q.pop(o, func(hopheader.Request) bool { return true }) {
				got = append(got, index[w])
			}
			is.Equal(got, test.want)
		})
	}
}

// A request that is short and goes first is told a short wait, whatever waits
// behind it.
func TestEstimateWait(t *testing.T) {
	now := time.Unix(1000, 0)
	const short, long = 1, 2
	o := queueOrder{now: now, durations: &durations{all: 120 * time.Millisecond, byRoute: map[uint32]time.Duration{short: 30 * time.Millisecond, long: 150 * time.Millisecond}}}
	ask := func(kind uint32, aim time.Duration) hopheader.Request {
		return hopheader.Request{RouteHash: kind, SoftDeadline: now.Add(aim)}
	}
	var q queue
	for range 4 {
		q.push(ask(long, 800*time.Millisecond))
	}
	q.push(ask(short, 100*time.Millisecond))
	tests := []struct {
		name string
		ask  hopheader.Request
		want time.Duration
	}{
		{"short", ask(short, 150*time.Millisecond), (30 + 120) * time.Millisecond / 3},
		{"long", ask(long, time.Second), (30 + 4*150 + 120) * time.Millisecond / 3},
		{"unknown kind", ask(9, time.Second), (30 + 4*150 + 120) * time.Millisecond / 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			work, isNext := q.workAhead(test.ask, len(q.waiters), o)
			is.True(!isNext)
			is.Equal(estimateWait(work, o.durations.all, 3), test.want)
		})
	}
}

// A waiter that others have gone before is refused when it is not expected to get
// a slot in time, not when its time is over; the rest goes on waiting.
func TestRefuseHopeless(t *testing.T) {
	now := time.Unix(1000, 0)
	o := queueOrder{now: now, durations: &durations{all: 100 * time.Millisecond, byRoute: map[uint32]time.Duration{}}}
	ask := func(aim, wait time.Duration) hopheader.Request {
		return hopheader.Request{SoftDeadline: now.Add(aim), QueueDeadline: now.Add(wait)}
	}
	tests := []struct {
		name    string
		waiting []hopheader.Request
		kept    []bool
	}{
		{"alone", []hopheader.Request{ask(-time.Second, time.Millisecond)}, []bool{true}},
		{"enough time", []hopheader.Request{ask(time.Second, time.Second), ask(2*time.Second, time.Second)}, []bool{true, true}},
		{"late, behind those in time", []hopheader.Request{ask(-time.Second, 150*time.Millisecond), ask(time.Second, time.Second), ask(time.Second, time.Second), ask(time.Second, time.Second), ask(time.Second, time.Second)}, []bool{false, true, true, true, true}},
		{"equal ones by arrival", []hopheader.Request{ask(time.Second, 100*time.Millisecond), ask(time.Second, 100*time.Millisecond), ask(time.Second, 100*time.Millisecond)}, []bool{true, true, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var q queue
			var pushed []*waiter
			for _, a := range test.waiting {
				pushed = append(pushed, q.push(a))
			}
			q.refuseHopeless(o, 2)
			for i, w := range pushed {
				is.Equal(slices.Contains(q.waiters, w), test.kept[i])
				if !test.kept[i] {
					p := (<-w.decisions).problem
					is.Equal(p.Code, outcome.CodeTargetFull)
					is.True(p.RetryAt.After(now))
				}
			}
		})
	}
}

// The mean of a kind follows what its requests take; kinds beyond the bound count
// as the mean of all.
func TestDurations(t *testing.T) {
	is := is.New(t)
	d := newDurations()
	for range 100 {
		d.record(1, 30*time.Millisecond)
		d.record(2, 150*time.Millisecond)
	}
	is.Equal(d.estimate(1).Round(time.Millisecond), 30*time.Millisecond)
	is.Equal(d.estimate(2).Round(time.Millisecond), 150*time.Millisecond)
	is.True(d.isShort(1) && !d.isShort(2) && !d.isShort(3))
	for kind := range uint32(2 * maxRoutes) {
		d.record(kind, time.Millisecond)
	}
	is.Equal(len(d.byRoute), maxRoutes)
	is.Equal(d.estimate(2*maxRoutes-1), d.all)
}
