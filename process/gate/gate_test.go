package gate

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
)

// A request that cannot be served must be refused without waiting and must not run.
func TestImmediateRefusals(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*Gate, *hopheader.Request)
		want    outcome.Code
	}{
		{"another service", func(_ *Gate, req *hopheader.Request) { req.Service = "t" }, outcome.CodeNoTarget},
		{"target draining", func(g *Gate, _ *hopheader.Request) {
			a := announcement("i", 1000, 2)
			a.Draining = true
			_ = g.Announce(a)
		}, outcome.CodeDraining},
		{"node leaving", func(g *Gate, _ *hopheader.Request) { g.Drain() }, outcome.CodeDraining},
		{"deadline passed", func(_ *Gate, req *hopheader.Request) { req.Deadline = time.Now() }, outcome.CodeDeadlineExceeded},
		{"retry budget used up", func(g *Gate, req *hopheader.Request) { req.IsRetry, g.retryBudget.tokens = true, 0.5 }, outcome.CodeRetryBudget},
		{"target suspected", func(g *Gate, _ *hopheader.Request) { g.target.breaker.RecordLost(time.Now()) }, outcome.CodeTargetSuspected},
		{"expected wait too long", func(g *Gate, _ *hopheader.Request) { g.target.inFlight = 2 }, outcome.CodeTargetFull},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := openGate(t)
				req := requestWithin(10 * time.Millisecond)
				test.prepare(g, &req)
				startedAt := time.Now()
				_, p := g.admit(t.Context(), req)
				is.True(p != nil)
				is.Equal(p.Code, test.want)
				is.Equal(p.Outcome, outcome.NotRun)
				is.Equal(time.Since(startedAt), time.Duration(0))
			})
		})
	}
}

// The gate of a leaving node must admit only requests that are expected to finish
// before the shutdown. Others would be cut off while they run.
func TestLeavingNodeAdmitsWhatCanFinish(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		left     time.Duration
		want     bool
	}{
		{"short, much time left", 100 * time.Millisecond, 3 * time.Second, true},
		{"long, much time left", 2 * time.Second, 3 * time.Second, false},
		{"short, little time left", 100 * time.Millisecond, 150 * time.Millisecond, false},
		{"shutdown deadline passed", 100 * time.Millisecond, -time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := openGate(t)
				shutdownAt := time.Now().Add(test.left)
				g.options.ShutdownDeadline = func() time.Time { return shutdownAt }
				g.target.durations.record(1, test.duration)
				req := requestWithin(0)
				req.RouteHash = 1
				_, p := g.admit(t.Context(), req)
				is.Equal(p == nil, test.want)
				if p != nil {
					is.Equal(p.Code, outcome.CodeDraining)
				}
			})
		})
	}
}

// takeAllSlots admits a request for each slot of the target.
func takeAllSlots(t *testing.T, g *Gate) []grant {
	t.Helper()
	var held []grant
	for range g.State().Slots {
		gr, p := g.admit(t.Context(), requestWithin(0))
		if p != nil {
			t.Fatal(p)
		}
		held = append(held, gr)
	}
	return held
}

// When the target starts draining, queued requests must be refused at once, and
// slots that become free later must not be granted.
func TestDrainingRefusesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		held := takeAllSlots(t, g)
		refused := make(chan *outcome.Problem, 2)
		for range 2 {
			go func() {
				_, p := g.admit(t.Context(), requestWithin(5*time.Second))
				refused <- p
			}()
		}
		synctest.Wait()
		a := announcement("i", 1000, 2)
		a.Draining = true
		is.NoErr(g.Announce(a))
		for range 2 {
			is.Equal((<-refused).Code, outcome.CodeDraining)
		}
		for _, gr := range held {
			g.release(gr, resultSuccess)
		}
		_, p := g.admit(t.Context(), requestWithin(time.Second))
		is.Equal(p.Code, outcome.CodeDraining)
		is.Equal(g.InFlight(), 0)
	})
}

// A queued request that can no longer be served must be refused with the actual
// reason: a gate whose retry budget is used up must not report that it is leaving.
func TestWaitersGetTheRefusalReason(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*Gate)
		want    outcome.Code
	}{
		{"retry budget used up", func(g *Gate) { g.retryBudget.tokens = 0 }, outcome.CodeRetryBudget},
		{"node leaving", func(g *Gate) { g.isDraining = true }, outcome.CodeDraining},
		{"target suspected", func(g *Gate) { g.target.breaker.RecordLost(time.Now()) }, outcome.CodeTargetSuspected},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := openGate(t)
				held := takeAllSlots(t, g)
				refused := make(chan *outcome.Problem, 1)
				go func() {
					req := requestWithin(5 * time.Second)
					req.IsRetry = true
					_, p := g.admit(t.Context(), req)
					refused <- p
				}()
				synctest.Wait()
				g.mu.Lock()
				test.prepare(g)
				g.mu.Unlock()
				g.release(held[0], resultInconclusive)
				is.Equal((<-refused).Code, test.want)
			})
		})
	}
}

// Queued requests must be served by priority and then in order of arrival, so that
// requests that a running request waits for are served first.
func TestQueueServesByPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		held := takeAllSlots(t, g)
		order := make(chan int, 4)
		for i, priority := range []int{2, 1, 2, 0} {
			req := requestWithin(5 * time.Second)
			req.Priority = priority
			go func() {
				gr, p := g.admit(t.Context(), req)
				if p != nil {
					t.Error(p)
					return
				}
				order <- i
				g.release(gr, resultSuccess)
			}()
			synctest.Wait()
		}
		g.release(held[0], resultSuccess)
		synctest.Wait()
		for _, want := range []int{3, 1, 0, 2} {
			is.Equal(<-order, want)
		}
	})
}

// A waiter whose queue deadline passes or whose caller disconnects must leave the
// queue. If one stayed there, a slot granted to it would be lost.
func TestCancelledAndExpiredWaitersLeaveQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		held := takeAllSlots(t, g)
		ctx, cancel := context.WithCancel(t.Context())
		results := make(chan *outcome.Problem, 2)
		go func() {
			_, p := g.admit(ctx, requestWithin(5*time.Second))
			results <- p
		}()
		synctest.Wait()
		cancel()
		is.Equal((<-results).Code, outcome.CodeCallerDisconnected)
		_, p := g.admit(t.Context(), requestWithin(300*time.Millisecond))
		is.Equal(p.Code, outcome.CodeTargetFull)
		for _, gr := range held {
			g.release(gr, resultSuccess)
		}
		is.Equal(g.InFlight(), 0)
		takeAllSlots(t, g)
	})
}

// A suspected target must get only one trial at a time, and no claims (requests that
// are not idempotent) until enough trials have succeeded. Otherwise they would be
// lost at an unhealthy target.
func TestSuspectedTargetGetsSingleTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		gr, p := g.admit(t.Context(), requestWithin(0))
		is.True(p == nil)
		g.release(gr, resultLost)
		is.True(g.State().Suspected)
		time.Sleep(300 * time.Millisecond)
		claim := requestWithin(0)
		claim.Idempotent = false
		_, p = g.admit(t.Context(), claim)
		is.Equal(p.Code, outcome.CodeTargetSuspected)
		is.True(p.RetryAt.After(time.Time{}))
		trial := requestWithin(0)
		trial.CanRetry = true
		gr, p = g.admit(t.Context(), trial)
		is.True(p == nil)
		_, p = g.admit(t.Context(), trial)
		is.Equal(p.Code, outcome.CodeTargetSuspected)
		g.release(gr, resultSuccess)
		_, p = g.admit(t.Context(), claim)
		is.Equal(p.Code, outcome.CodeTargetSuspected) // an unhealthy target still serves some requests
		gr, p = g.admit(t.Context(), trial)           // the next trial may begin at once
		is.True(p == nil)
		g.release(gr, resultSuccess)
		_, p = g.admit(t.Context(), claim)
		is.True(p == nil)
	})
}

// A request that an earlier incarnation ran must not change what is known of the
// current one.
func TestResultsOfEarlierIncarnationAreIgnored(t *testing.T) {
	is := is.New(t)
	g := openGate(t)
	gr, p := g.admit(t.Context(), requestWithin(0))
	is.True(p == nil)
	is.NoErr(g.Announce(announcement("j", 2000, 1)))
	g.release(gr, resultLost)
	is.True(!g.State().Suspected)
	is.Equal(g.InFlight(), 0)
}

// A target that sheds must not look idle just because it refuses quickly, and must
// not become suspected.
func TestSheddingTargetReportsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		gr, p := g.admit(t.Context(), requestWithin(0))
		is.True(p == nil)
		g.release(gr, resultShed)
		is.Equal(g.State().Outstanding, g.State().Slots)
		is.True(!g.State().Suspected)
		time.Sleep(shedCooldown)
		is.Equal(g.State().Outstanding, 0)
	})
}

// notRunHeaders marks each response as signed, and as not run if it has the header
// field Not-Run.
type notRunHeaders struct{ noHeaders }

func (notRunHeaders) ParseTargetHeaders(_ int, h http.Header) metadata.TargetResponse {
	return metadata.TargetResponse{Signed: true, NotRun: h.Get("Not-Run") != ""}
}

// Each response must be classified by its status and headers. A shed request is not
// lost: if shedding made targets suspected, a service that sheds as a whole would
// be withheld from its callers.
func TestClassifyResponse(t *testing.T) {
	shed := http.Header{"Not-Run": {"1"}}
	tests := []struct {
		name     string
		response http1.Response
		res      result
		code     outcome.Code
	}{
		{"served", http1.Response{Status: 200, Header: http.Header{}}, resultSuccess, ""},
		{"not found", http1.Response{Status: 404, Header: http.Header{}}, resultSuccess, ""},
		{"an error", http1.Response{Status: 500, Header: http.Header{}}, resultError, ""},
		{"shed", http1.Response{Status: 503, Header: shed}, resultShed, outcome.CodeShed},
		{"shed by rate limit", http1.Response{Status: 429, Header: shed}, resultShed, outcome.CodeShed},
		{"bad request without an id", http1.Response{Status: 400, Header: shed}, resultInconclusive, ""},
		{"another target", http1.Response{Status: 421, Header: shed}, resultInconclusive, outcome.CodeMisdirected},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := openGate(t)
			g.options.Headers = notRunHeaders{}
			_, res, p := g.classifyResponse(&test.response, notRunHeaders{}.ParseTargetHeaders(test.response.Status, test.response.Header))
			is.Equal(res, test.res)
			if test.code == "" {
				is.True(p == nil)
				return
			}
			is.Equal(p.Code, test.code)
			is.Equal(p.Outcome, outcome.NotRun)
			is.Equal(g.State().Accepting, test.code != outcome.CodeMisdirected)
		})
	}
}

// Guards against a response that passes on a status which promises that the request has not
// run, although the target does not say so.
func TestStatusWithoutNotExecutedIsNoPromise(t *testing.T) {
	notRun := http.Header{"Not-Run": {"1"}}
	for _, test := range []struct {
		status int
		header http.Header
	}{
		{http.StatusRequestTimeout, http.Header{}}, {http.StatusTooManyRequests, http.Header{}}, {http.StatusServiceUnavailable, http.Header{}},
		{http.StatusOK, notRun},
	} {
		status := test.status
		t.Run(http.StatusText(status), func(t *testing.T) {
			is := is.New(t)
			g := openGate(t)
			response := http1.Response{Status: status, Header: test.header}
			resp, _, p := g.classifyResponse(&response, notRunHeaders{}.ParseTargetHeaders(status, response.Header))
			is.True(resp == nil)
			is.True(p != nil)
			is.Equal(p.Outcome, outcome.Unknown)
			is.Equal(p.Status, http.StatusBadGateway)
		})
	}
}
