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

// workload is a kind of request in a replayed workload.
type workload struct {
	routeHash     uint32
	ratePerSecond float64
	duration      time.Duration
	softDeadline  time.Duration
	deadline      time.Duration
	// isUsefulWhenLate means that an answer after the aim and before the deadline is
	// worth as much: the request is one that a running request waits for.
	isUsefulWhenLate bool
}

// The load of arlc-mesh scale-2 from 22 s to 30 s, for one gate: claims and the
// calls of requests that run elsewhere, 1.3 times what three slots can do.
var overloadWorkloads = []workload{
	{routeHash: 1, ratePerSecond: 18, duration: 150 * time.Millisecond, softDeadline: time.Second, deadline: 2500 * time.Millisecond},
	{routeHash: 2, ratePerSecond: 30, duration: 38 * time.Millisecond, softDeadline: 150 * time.Millisecond, deadline: 500 * time.Millisecond, isUsefulWhenLate: true},
}

// replayStats is what became of a load.
type replayStats struct {
	mu sync.Mutex
	// usefulWork is the work of answers that count, asked and served count requests
	// by kind, and heldLongest is the longest time to a refusal, as a share of the
	// aim.
	usefulWork     time.Duration
	requests       map[uint32]int
	served         map[uint32]int
	longestRefusal float64
}

// replay plays a load to an open gate in virtual time. edit changes what gates are
// told.
func replay(t *testing.T, loads []workload, span time.Duration, edit func(*hopheader.Request)) *replayStats {
	r := &replayStats{requests: map[uint32]int{}, served: map[uint32]int{}}
	random := rand.New(rand.NewPCG(1, 2))
	g := newGate()
	a := announcement("i", 1000, 1)
	a.Slots = 3
	if err := g.Announce(a); err != nil {
		t.Fatal(err)
	}
	var playing sync.WaitGroup
	for _, l := range loads {
		playing.Add(1)
		source := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		go func() {
			defer playing.Done()
			for until := time.Now().Add(span); time.Now().Before(until); {
				time.Sleep(time.Duration(source.ExpFloat64() / l.ratePerSecond * float64(time.Second)))
				takes := time.Duration(float64(l.duration) * (0.5 + source.Float64()))
				playing.Add(1)
				go func() {
					defer playing.Done()
					r.sendOne(t, g, l, takes, edit)
				}()
			}
		}()
	}
	playing.Wait()
	return r
}

func (r *replayStats) sendOne(t *testing.T, g *Gate, l workload, takes time.Duration, edit func(*hopheader.Request)) {
	began := time.Now()
	a := hopheader.Request{
		Service: "s", RouteHash: l.routeHash, Priority: 1, SoftDeadline: began.Add(l.softDeadline), Deadline: began.Add(l.deadline),
		QueueDeadline: began.Add(max(l.softDeadline*7/10, l.deadline/2)),
	}
	edit(&a)
	gr, p := g.admit(t.Context(), a)
	r.mu.Lock()
	r.requests[l.routeHash]++
	if p != nil {
		r.longestRefusal = max(r.longestRefusal, float64(time.Since(began))/float64(l.deadline))
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	time.Sleep(takes)
	g.release(gr, resultSuccess)
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := l.softDeadline
	if l.isUsefulWhenLate {
		counts = l.deadline
	}
	if time.Since(began) <= counts {
		r.served[l.routeHash]++
		r.usefulWork += takes
	}
}

// Under 1.3 times the load that the slots can do, at least 95% of their time goes
// into answers that are in time, nearly every short request that another one waits
// for is served, and nobody is refused when the time is over. With waiting by
// arrival the same load fails both bounds.
func TestOverload(t *testing.T) {
	const span = 20 * time.Second
	tests := []struct {
		name   string
		edit   func(*hopheader.Request)
		isFIFO bool
	}{
		{"by kind and aim", func(*hopheader.Request) {}, false},
		{"by arrival", func(a *hopheader.Request) { a.RouteHash, a.SoftDeadline = 0, time.Now() }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := replay(t, overloadWorkloads, span, test.edit)
				use := float64(r.usefulWork) / float64(3*span)
				calls := float64(r.served[2]) / float64(r.requests[2])
				t.Logf("in time %.3f of the slots; calls %.3f, claims %.3f served in time; longest refusal %.2f of the deadline",
					use, calls, float64(r.served[1])/float64(r.requests[1]), r.longestRefusal)
				is.Equal(use >= 0.95 && calls >= 0.95, !test.isFIFO)
				if !test.isFIFO {
					is.True(r.longestRefusal <= 0.5)
				}
			})
		})
	}
}
