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

// load is a kind of request in a replayed load.
type load struct {
	kind     uint32
	perS     float64
	takes    time.Duration
	aim      time.Duration
	deadline time.Duration
	// lateCounts means that an answer after the aim and before the deadline is
	// worth as much: the request is one that a running request waits for.
	lateCounts bool
}

// The load of arlc-mesh scale-2 from 22 s to 30 s, for one gate: claims and the
// calls of requests that run elsewhere, 1.3 times what three slots can do.
var overload = []load{
	{kind: 1, perS: 18, takes: 150 * time.Millisecond, aim: time.Second, deadline: 2500 * time.Millisecond},
	{kind: 2, perS: 30, takes: 38 * time.Millisecond, aim: 150 * time.Millisecond, deadline: 500 * time.Millisecond, lateCounts: true},
}

// replayed is what became of a load.
type replayed struct {
	mu sync.Mutex
	// inTime is the work of answers that count, asked and served count requests
	// by kind, and heldLongest is the longest time to a refusal, as a share of the
	// aim.
	inTime      time.Duration
	asked       map[uint32]int
	served      map[uint32]int
	heldLongest float64
}

// replay plays a load to an open gate in virtual time. edit changes what gates are
// told.
func replay(t *testing.T, loads []load, span time.Duration, edit func(*hopheader.Request)) *replayed {
	r := &replayed{asked: map[uint32]int{}, served: map[uint32]int{}}
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
				time.Sleep(time.Duration(source.ExpFloat64() / l.perS * float64(time.Second)))
				takes := time.Duration(float64(l.takes) * (0.5 + source.Float64()))
				playing.Add(1)
				go func() {
					defer playing.Done()
					r.one(t, g, l, takes, edit)
				}()
			}
		}()
	}
	playing.Wait()
	return r
}

func (r *replayed) one(t *testing.T, g *Gate, l load, takes time.Duration, edit func(*hopheader.Request)) {
	began := time.Now()
	a := hopheader.Request{
		Service: "s", RouteHash: l.kind, Priority: 1, SoftDeadline: began.Add(l.aim), Deadline: began.Add(l.deadline),
		QueueDeadline: began.Add(max(l.aim*7/10, l.deadline/2)),
	}
	edit(&a)
	gr, p := g.admit(t.Context(), a)
	r.mu.Lock()
	r.asked[l.kind]++
	if p != nil {
		r.heldLongest = max(r.heldLongest, float64(time.Since(began))/float64(l.deadline))
		r.mu.Unlock()
		return
	}
	r.mu.Unlock()
	time.Sleep(takes)
	g.release(gr, resultSuccess)
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := l.aim
	if l.lateCounts {
		counts = l.deadline
	}
	if time.Since(began) <= counts {
		r.served[l.kind]++
		r.inTime += takes
	}
}

// Under 1.3 times the load that the slots can do, at least 95% of their time goes
// into answers that are in time, nearly every short request that another one waits
// for is served, and nobody is refused when the time is over. With waiting by
// arrival the same load fails both bounds.
func TestOverload(t *testing.T) {
	const span = 20 * time.Second
	tests := []struct {
		name    string
		edit    func(*hopheader.Request)
		isNaive bool
	}{
		{"by kind and aim", func(*hopheader.Request) {}, false},
		{"by arrival", func(a *hopheader.Request) { a.RouteHash, a.SoftDeadline = 0, time.Now() }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := replay(t, overload, span, test.edit)
				use := float64(r.inTime) / float64(3*span)
				calls := float64(r.served[2]) / float64(r.asked[2])
				t.Logf("in time %.3f of the slots; calls %.3f, claims %.3f served in time; longest refusal %.2f of the deadline",
					use, calls, float64(r.served[1])/float64(r.asked[1]), r.heldLongest)
				is.Equal(use >= 0.95 && calls >= 0.95, !test.isNaive)
				if !test.isNaive {
					is.True(r.heldLongest <= 0.5)
				}
			})
		})
	}
}
