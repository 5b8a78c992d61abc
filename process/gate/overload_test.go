package gate

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/matryer/is"
)

// workload describes the requests of one route in a simulated load.
type workload struct {
	routeHash     uint32
	ratePerSecond float64
	duration      time.Duration
	softDeadline  time.Duration
	deadline      time.Duration
	// isUsefulWhenLate means that a response between the soft deadline and the
	// deadline still counts, because a running request waits for it.
	isUsefulWhenLate bool
}

// overloadWorkloads is the load on one gate in 8 s of a day of high load:
// claims, and the calls of requests that run elsewhere. It is 1.3 times the
// capacity of three slots.
var overloadWorkloads = []workload{
	{routeHash: 1, ratePerSecond: 18, duration: 150 * time.Millisecond, softDeadline: time.Second, deadline: 2500 * time.Millisecond},
	{routeHash: 2, ratePerSecond: 30, duration: 38 * time.Millisecond, softDeadline: 150 * time.Millisecond, deadline: 500 * time.Millisecond, isUsefulWhenLate: true},
}

// replayStats sums up the results of a replay.
type replayStats struct {
	mu sync.Mutex
	// usefulWork is the total duration of the requests with a useful response.
	// requests and served count by route hash. longestRefusal is the longest time
	// to a refusal as a share of the deadline.
	usefulWork     time.Duration
	requests       map[uint32]int
	served         map[uint32]int
	longestRefusal float64
}

// replay sends a load to an open gate in virtual time. edit changes each request
// before it is sent.
func replay(t *testing.T, loads []workload, span time.Duration, edit func(*hopheader.Request)) *replayStats {
	r := &replayStats{requests: map[uint32]int{}, served: map[uint32]int{}}
	random := rand.New(rand.NewPCG(1, 2))
	g := newGate()
	a := announcement("i", 1000, 1)
	a.Slots = 3
	if err := g.Announce(a); err != nil {
		t.Fatal(err)
	}
	var senders sync.WaitGroup
	for _, l := range loads {
		senders.Add(1)
		source := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		go func() {
			defer senders.Done()
			for until := time.Now().Add(span); time.Now().Before(until); {
				time.Sleep(time.Duration(source.ExpFloat64() / l.ratePerSecond * float64(time.Second)))
				duration := time.Duration(float64(l.duration) * (0.5 + source.Float64()))
				senders.Add(1)
				go func() {
					defer senders.Done()
					r.sendOne(t, g, l, duration, edit)
				}()
			}
		}()
	}
	senders.Wait()
	return r
}

// sendOne sends a request of the workload that runs for the given time.
func (r *replayStats) sendOne(t *testing.T, g *Gate, l workload, duration time.Duration, edit func(*hopheader.Request)) {
	startedAt := time.Now()
	req := hopheader.Request{
		Service: "s", RouteHash: l.routeHash, Priority: 1, SoftDeadline: startedAt.Add(l.softDeadline), Deadline: startedAt.Add(l.deadline),
		QueueDeadline: startedAt.Add(max(l.softDeadline*7/10, l.deadline/2)),
	}
	edit(&req)
	gr, p := g.admit(t.Context(), req)
	r.mu.Lock()
	r.requests[l.routeHash]++
	if p != nil {
		r.longestRefusal = max(r.longestRefusal, float64(time.Since(startedAt))/float64(l.deadline))
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	time.Sleep(duration)
	g.release(gr, resultSuccess)
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := l.softDeadline
	if l.isUsefulWhenLate {
		limit = l.deadline
	}
	if time.Since(startedAt) <= limit {
		r.served[l.routeHash]++
		r.usefulWork += duration
	}
}

// Guards against an overloaded gate that wastes its slots on late responses. At 1.3
// times the capacity, at least 95% of the slot time must go into responses in time,
// at least 95% of the short requests that running requests wait for must be served,
// and refusals must come within half the deadline. As a control, the
// same load in FIFO order must miss at least one of the first two bounds; it misses
// that on short requests.
func TestOverloadKeepsResponsesInTime(t *testing.T) {
	const span = 20 * time.Second
	tests := []struct {
		name   string
		edit   func(*hopheader.Request)
		isFIFO bool
	}{
		{"by route and soft deadline", func(*hopheader.Request) {}, false},
		{"in FIFO order", func(req *hopheader.Request) { req.RouteHash, req.SoftDeadline = 0, time.Now() }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := replay(t, overloadWorkloads, span, test.edit)
				usefulShare := float64(r.usefulWork) / float64(3*span)
				calls := float64(r.served[2]) / float64(r.requests[2])
				t.Logf("useful slot time %.3f; calls %.3f, claims %.3f served in time; longest refusal %.2f of the deadline",
					usefulShare, calls, float64(r.served[1])/float64(r.requests[1]), r.longestRefusal)
				is.Equal(usefulShare >= 0.95 && calls >= 0.95, !test.isFIFO)
				if !test.isFIFO {
					is.True(r.longestRefusal <= 0.5)
				}
			})
		})
	}
}
