package gate

import (
	"slices"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
)

// Under overload, requests that can still meet their soft deadline must be served
// before those that cannot, and then in order of soft deadline. Otherwise every
// request is late. A request that a running request waits for has a short soft
// deadline.
func TestQueueOrderUnderOverload(t *testing.T) {
	now := time.Unix(1000, 0)
	const short, long = 1, 2
	o := queueOrder{now: now, durations: &durations{all: 100 * time.Millisecond, byRoute: map[uint32]routeDurations{short: {mean: 30 * time.Millisecond}, long: {mean: 150 * time.Millisecond}}}}
	requestsDueIn := func(ms ...int) []hopheader.Request {
		var out []hopheader.Request
		for _, m := range ms {
			out = append(out, hopheader.Request{RouteHash: long, Priority: 1, SoftDeadline: now.Add(time.Duration(m) * time.Millisecond)})
		}
		return out
	}
	urgent := requestsDueIn(900)[0]
	urgent.Priority = 0
	call := requestsDueIn(-100)[0]
	call.RouteHash = short
	tests := []struct {
		name    string
		waiting []hopheader.Request
		want    []int
	}{
		{"earliest soft deadline first", requestsDueIn(800, 200, 400), []int{1, 2, 0}},
		{"equal requests in FIFO order", requestsDueIn(300, 300), []int{0, 1}},
		{"requests in time before late ones", requestsDueIn(-500, 100, 700), []int{2, 0, 1}},
		{"short request although it is late", append(requestsDueIn(-500, 700), call), []int{2, 1, 0}},
		{"highest priority before any soft deadline", append(requestsDueIn(150), urgent), []int{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var q queue
			index := map[*waiter]int{}
			for i, r := range test.waiting {
				index[q.push(r)] = i
			}
			var got []int
			for w := q.pop(o, func(hopheader.Request) bool { return true }); w != nil; w = q.pop(o, func(hopheader.Request) bool { return true }) {
				got = append(got, index[w])
			}
			is.Equal(got, test.want)
		})
	}
}

// The estimate must count only the requests ahead: a short request that is served
// first gets a short estimate however much work is queued behind it.
func TestWaitEstimateCountsRequestsAhead(t *testing.T) {
	now := time.Unix(1000, 0)
	const short, long = 1, 2
	o := queueOrder{now: now, durations: &durations{all: 120 * time.Millisecond, byRoute: map[uint32]routeDurations{short: {mean: 30 * time.Millisecond}, long: {mean: 150 * time.Millisecond}}}}
	request := func(routeHash uint32, softDeadline time.Duration) hopheader.Request {
		return hopheader.Request{RouteHash: routeHash, SoftDeadline: now.Add(softDeadline)}
	}
	var q queue
	for range 4 {
		q.push(request(long, 800*time.Millisecond))
	}
	q.push(request(short, 100*time.Millisecond))
	tests := []struct {
		name    string
		request hopheader.Request
		want    time.Duration
	}{
		{"short", request(short, 150*time.Millisecond), (30 + 120) * time.Millisecond / 3},
		{"long", request(long, time.Second), (30 + 4*150 + 120) * time.Millisecond / 3},
		{"unknown route", request(9, time.Second), (30 + 4*150 + 120) * time.Millisecond / 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			work, isNext := q.workAhead(test.request, len(q.waiters), o)
			is.True(!isNext)
			is.Equal(estimateWait(work, o.durations.all, 3), test.want)
		})
	}
}

// A waiter that others have overtaken must be refused as soon as it is not expected
// to get a slot in time, not only when its queue deadline has passed. The others
// keep waiting.
func TestOvertakenWaitersAreRefusedEarly(t *testing.T) {
	now := time.Unix(1000, 0)
	o := queueOrder{now: now, durations: &durations{all: 100 * time.Millisecond, byRoute: map[uint32]routeDurations{}}}
	request := func(softDeadline, wait time.Duration) hopheader.Request {
		return hopheader.Request{SoftDeadline: now.Add(softDeadline), QueueDeadline: now.Add(wait)}
	}
	tests := []struct {
		name    string
		waiting []hopheader.Request
		kept    []bool
	}{
		{"alone", []hopheader.Request{request(-time.Second, time.Millisecond)}, []bool{true}},
		{"enough time", []hopheader.Request{request(time.Second, time.Second), request(2*time.Second, time.Second)}, []bool{true, true}},
		{"late, behind requests in time", []hopheader.Request{request(-time.Second, 150*time.Millisecond), request(time.Second, time.Second), request(time.Second, time.Second), request(time.Second, time.Second), request(time.Second, time.Second)}, []bool{false, true, true, true, true}},
		{"equal requests in FIFO order", []hopheader.Request{request(time.Second, 100*time.Millisecond), request(time.Second, 100*time.Millisecond), request(time.Second, 100*time.Millisecond)}, []bool{true, true, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var q queue
			var pushed []*waiter
			for _, r := range test.waiting {
				pushed = append(pushed, q.push(r))
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

// The average of a route follows its requests. Routes beyond maxRoutes must use no
// further memory; they get the average of all requests.
func TestDurationsPerRouteAreBounded(t *testing.T) {
	is := is.New(t)
	d := newDurations()
	for range 100 {
		d.record(1, 30*time.Millisecond)
		d.record(2, 150*time.Millisecond)
	}
	is.Equal(d.estimate(1).Round(time.Millisecond), 30*time.Millisecond)
	is.Equal(d.estimate(2).Round(time.Millisecond), 150*time.Millisecond)
	is.True(d.isShort(1) && !d.isShort(2) && !d.isShort(3))
	for routeHash := range uint32(2 * maxRoutes) {
		d.record(routeHash, time.Millisecond)
	}
	is.Equal(len(d.byRoute), maxRoutes)
	is.Equal(d.estimate(2*maxRoutes-1), d.all)
}
