package gate

import (
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

const (
	shortRoute uint32 = iota + 1
	longRoute
)

// trainedGate returns an open gate that has measured requests of two routes, of
// about 60 ms and 250 ms.
func trainedGate(t *testing.T) *Gate {
	t.Helper()
	g := openGate(t)
	a := announcement("i", 1000, 2)
	a.Slots = 8
	if err := g.Announce(a); err != nil {
		t.Fatal(err)
	}
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		g.target.durations.record(shortRoute, spread(random, 60*time.Millisecond, 0.5))
		g.target.durations.record(longRoute, spread(random, 250*time.Millisecond, 0.5))
	}
	return g
}

// spread returns a log-normal duration with the given mean.
func spread(random *rand.Rand, mean time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
}

func requestOf(route uint32, idempotent bool) hopheader.Request {
	req := requestWithin(0)
	req.RouteHash, req.Idempotent, req.CanRetry = route, idempotent, idempotent
	req.SoftDeadline = time.Now().Add(time.Second)
	return req
}

// start admits a request and watches it. The returned channel gets a value when
// it stalls, which says whether its retry was charged.
func start(t *testing.T, g *Gate, req hopheader.Request) (grant, <-chan bool) {
	t.Helper()
	gr, p := g.admit(t.Context(), req)
	if p != nil {
		t.Fatal(p)
	}
	stalled := make(chan bool, 1)
	g.watchForStall(gr, req, time.Now(), func(charged bool) { stalled <- charged })
	return gr, stalled
}

// A target that never answers must be suspected long before the deadline of its
// request, so that no claim is sent after it. Its retry is charged, once.
func TestSilentTargetIsSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := trainedGate(t)
		startedAt := time.Now()
		gr, stalled := start(t, g, requestOf(shortRoute, true))
		is.True(<-stalled)
		is.True(time.Since(startedAt) < 500*time.Millisecond) // eight times its usual duration
		is.True(g.State().Suspected)
		_, p := g.admit(t.Context(), requestOf(longRoute, false))
		is.True(p != nil)
		before := g.target.breaker
		g.release(gr, resultLost)
		is.Equal(g.target.breaker, before) // one request counts once
	})
}

// A stalled trial must not keep the next one from starting: a healthy target would
// be left without requests.
func TestStalledTrialEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := trainedGate(t)
		g.target.breaker.RecordLost(time.Now())
		time.Sleep(time.Until(g.target.breaker.NextTrialAt()))
		gr, stalled := start(t, g, requestOf(shortRoute, true))
		is.True(gr.isTrial)
		<-stalled
		time.Sleep(time.Until(g.target.breaker.NextTrialAt()))
		next, p := g.admit(t.Context(), requestOf(shortRoute, true))
		is.True(p == nil && next.isTrial)
		g.release(gr, resultInconclusive)
		_, p = g.admit(t.Context(), requestOf(shortRoute, true))
		is.True(p != nil) // the second trial is still in progress
	})
}

// Requests of a healthy target that last long must not make it suspected: a single
// one among successes, the tail of its durations, a burst that slows the whole
// target down, or requests that wait for a slow service.
func TestSlowRequestsAreNoStall(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	tests := []struct {
		name string
		// duration of the request that starts after the given time
		duration func(elapsed time.Duration) time.Duration
		// suspected is the largest share of the time that the target may be
		// suspected
		suspected float64
	}{
		{"long tail", func(time.Duration) time.Duration {
			d := spread(random, 250*time.Millisecond, 0.5)
			if random.Float64() < 0.01 {
				d *= 5
			}
			return d
		}, 0.1},
		{"three times slower for 5 s", func(elapsed time.Duration) time.Duration {
			d := spread(random, 250*time.Millisecond, 0.5)
			if elapsed > 20*time.Second && elapsed < 25*time.Second {
				d *= 3
			}
			return d
		}, 0.1},
		{"twice as slow from now on", func(elapsed time.Duration) time.Duration {
			d := spread(random, 250*time.Millisecond, 0.5)
			if elapsed > 20*time.Second {
				d *= 2
			}
			return d
		}, 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := trainedGate(t)
				startedAt := time.Now()
				const step, total = 10 * time.Millisecond, 60 * time.Second
				suspected := 0
				for elapsed := time.Duration(0); elapsed < total; elapsed = time.Since(startedAt) {
					if random.Float64() < 0.06 { // six requests a second
						req := requestOf(longRoute, true)
						if gr, p := g.admit(t.Context(), req); p == nil {
							g.watchForStall(gr, req, time.Now(), func(bool) {})
							time.AfterFunc(test.duration(elapsed), func() { g.release(gr, resultSuccess) })
						}
					}
					if g.State().Suspected {
						suspected++
					}
					time.Sleep(step)
				}
				is.True(float64(suspected)/float64(total/step) <= test.suspected)
			})
		})
	}
}

// After the node itself was paused, a response that is waiting to be read must not
// count as a stall.
func TestPausedNodeSeesNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := trainedGate(t)
		gr, stalled := start(t, g, requestOf(shortRoute, true))
		// The timer fires late, as it does when the process was stopped.
		gr.run.stallTimer.Reset(3 * time.Second)
		time.Sleep(3*time.Second + maxTimerDelay/2)
		g.release(gr, resultSuccess) // the response was there all the while
		time.Sleep(time.Second)
		is.Equal(len(stalled), 0)
		is.True(!g.State().Suspected)
	})
}

// A request of a route that the target has not run yet counts as stalled when it
// misses the route's target latency. The first measurements are uncertain, so that
// the limit starts wide.
func TestStallLimit(t *testing.T) {
	tests := []struct {
		name     string
		measured []time.Duration
		want     time.Duration
	}{
		{"none", nil, 800 * time.Millisecond},
		{"one", []time.Duration{100 * time.Millisecond}, 700 * time.Millisecond},
		{"fast ones", repeat(2*time.Millisecond, 100), 100 * time.Millisecond},
		{"equal ones", repeat(100*time.Millisecond, 100), 202 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d := newDurations()
			for _, m := range test.measured {
				d.record(longRoute, m)
			}
			is.Equal(d.stallLimit(longRoute, 800*time.Millisecond), test.want)
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = d
	}
	return out
}

// openGrantedRequest offers a request with a body to the gate over a connection, and reads
// the grant without sending the body.
func openGrantedRequest(t *testing.T, g *Gate, softDeadline, deadline time.Duration) {
	t.Helper()
	is := is.New(t)
	l, closeListener, err := http1.Listen("127.0.0.1:0", g.Serve, func() http1.Limits {
		return http1.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	}, hclog.NewNullLogger())
	is.NoErr(err)
	t.Cleanup(closeListener)
	conn, err := net.Dial("tcp", l.Address())
	is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	now := time.Now()
	h := http.Header{}
	hopheader.Request{Service: "s", SoftDeadline: now.Add(softDeadline), Deadline: now.Add(deadline), QueueDeadline: now}.Inject(h, now)
	var request strings.Builder
	request.WriteString("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n")
	is.NoErr(h.Write(&request))
	_, err = io.WriteString(conn, request.String()+"\r\n")
	is.NoErr(err)
	granted := make([]byte, 12)
	_, err = io.ReadFull(conn, granted)
	is.NoErr(err)
	is.Equal(string(granted), "HTTP/1.1 100")
}

// An entry that takes long to send the body of a granted request must not make the
// target suspected, which does not have the request yet.
func TestWaitForBodyIsNoStall(t *testing.T) {
	is := is.New(t)
	g := openGate(t)
	openGrantedRequest(t, g, 20*time.Millisecond, 5*time.Second)
	time.Sleep(200 * time.Millisecond) // ten times the limit of the route
	is.Equal(g.InFlight(), 1)
	is.True(!g.State().Suspected)
}

// Guards against a slot that is held for minutes, since the connection on which the entry was
// granted it has fallen silent.
func TestSlotOfSilentEntryIsReleased(t *testing.T) {
	is := is.New(t)
	g := openGate(t)
	openGrantedRequest(t, g, 20*time.Millisecond, 300*time.Millisecond)
	is.Equal(g.InFlight(), 1)
	time.Sleep(600 * time.Millisecond)
	is.Equal(g.InFlight(), 0)
}
