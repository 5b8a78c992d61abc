package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/refusal"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/matryer/is"
)

func (discardMeter) RecordHeld()                {}
func (discardMeter) RecordReleased()            {}
func (discardMeter) RecordRefused(string, bool) {}
func (discardMeter) RecordReturn(string, bool)  {}

// setModes changes the scheduling of the fleet's configuration. If isPublic is set, the
// routes are public and the configuration has customers, so that callers are assumed not to
// return.
func (f *gateFleet) setModes(t *testing.T, scheduling configuration.Scheduling, isPublic bool) {
	t.Helper()
	previous := f.entry.options.Configurations.Configuration()
	var routes []configuration.Route
	for _, path := range []string{"/read/", "/claim/"} {
		r, _ := previous.RouteFor("h", path)
		r.Public = isPublic
		routes = append(routes, r)
	}
	c := configuration.New(3, []configuration.Service{{Name: "s"}}, configuration.Limits{}, routes).WithModes(configuration.Modes{Scheduling: scheduling})
	if isPublic {
		d, err := customer.NewDirectory([]customer.Definition{{Customer: customer.Customer{Name: "x"}, Keys: []string{"k"}}})
		if err != nil {
			t.Fatal(err)
		}
		c = c.WithCustomers(d)
	}
	f.entry.options.Configurations = staticConfiguration{c}
}

// scriptedGate refuses requests with a code until a time, and serves them from then on. It
// records the metadata of each attempt.
type scriptedGate struct {
	code       outcome.Code
	servesAt   time.Time
	capacityIn time.Duration
	suspected  bool

	mu       sync.Mutex
	attempts []hopheader.Request
}

func (g *scriptedGate) serve(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
	request, err := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
	if err != nil {
		return &http1.Response{Abort: true}
	}
	g.mu.Lock()
	g.attempts = append(g.attempts, request)
	g.mu.Unlock()
	if now := time.Now(); now.Before(g.servesAt) {
		p := outcome.Refused(g.code, "test")
		if g.capacityIn > 0 {
			p = p.WithRetryAt(now.Add(g.capacityIn))
		}
		resp := gateResponse(http.StatusServiceUnavailable, p, "")
		hopheader.Response{State: hopheader.GateState{Accepting: true, Suspected: g.suspected, Slots: 3}, Problem: p}.Inject(resp.Header, now)
		return resp
	}
	return respondOK("a")(ctx, in, onBody)
}

func (g *scriptedGate) seen() []hopheader.Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]hopheader.Request(nil), g.attempts...)
}

func retryAfter(t *testing.T, resp *http1.Response) time.Duration {
	t.Helper()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(seconds * float64(time.Second))
}

// claimFingerprint is that of the request that gateFleet.call sends to /claim/.
var claimFingerprint = fingerprint.Of("", http.MethodPost, "h", "/claim/", []byte("x"))

// A deployment whose configuration does not use the shared scheduling must be served as
// before it existed: rounds for 0.3 of the target latency, the Retry-After that gates named
// up to 2 s, and no memory of refused requests.
func TestDefaultSchedulingIsUnchanged(t *testing.T) {
	tests := []struct {
		name       string
		scheduling configuration.Scheduling
		capacityIn time.Duration
		least      time.Duration
		attempts   int
		retryAfter time.Duration
	}{
		{"no mode, no time named", "", 0, 180 * time.Millisecond, 4, 500 * time.Millisecond},
		{"no mode, capacity too late", "", 5 * time.Second, 180 * time.Millisecond, 1, 2 * time.Second},
		{"deadline, no time named", configuration.SchedulingDeadline, 0, 180 * time.Millisecond, 4, 500 * time.Millisecond},
		{"deadline, capacity too late", configuration.SchedulingDeadline, 5 * time.Second, 180 * time.Millisecond, 1, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := &scriptedGate{code: outcome.CodeTargetFull, servesAt: time.Now().Add(time.Minute), capacityIn: test.capacityIn}
			f := newGateFleet(t, g.serve)
			f.setModes(t, test.scheduling, true)
			for range 2 { // the second request is an immediate return
				startedAt, before := time.Now(), len(g.seen())
				resp := f.call(t, "/claim/")
				took := time.Since(startedAt)
				is.Equal(resp.Status, http.StatusServiceUnavailable)
				is.True(took >= test.least && took < 2*test.least)
				is.True(retryAfter(t, resp) <= test.retryAfter && retryAfter(t, resp) > test.retryAfter-20*time.Millisecond)
				attempts := g.seen()[before:]
				is.True(len(attempts) >= test.attempts) // each request reaches the gate
				for _, a := range attempts {
					soft := a.SoftDeadline.Sub(startedAt)
					is.True(soft >= 590*time.Millisecond && soft < 650*time.Millisecond)
				}
				_, isKnown := f.entry.refusals.recall(claimFingerprint, time.Now())
				is.True(!isKnown)
			}
		})
	}
}

// A call of a target is never retried, so that its first refusal fails the request that the
// target is processing. It must be held until a gate grants it a slot, also after the time
// for rounds of the default scheduling (180 ms here).
func TestHeldRequestIsServed(t *testing.T) {
	for _, test := range []struct {
		name      string
		code      outcome.Code
		suspected bool
		path      string
	}{
		{"claim, full", outcome.CodeTargetFull, false, "/claim/"},
		{"claim, suspected", outcome.CodeTargetSuspected, true, "/claim/"},
		{"read, suspected", outcome.CodeTargetSuspected, true, "/read/"},
		{"read, no retry budget", outcome.CodeRetryBudget, true, "/read/"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := &scriptedGate{code: test.code, servesAt: time.Now().Add(500 * time.Millisecond), suspected: test.suspected}
			f := newGateFleet(t, g.serve, g.serve)
			f.setModes(t, configuration.SchedulingShared, true)
			is.Equal(f.call(t, test.path).Status, http.StatusOK)
			is.Equal(f.bodiesReceived[0].Load()+f.bodiesReceived[1].Load(), int64(1))
			is.Equal(f.entry.refusals.held.Load(), int64(0))
		})
	}
}

// A deployment without customers says nothing about its routes. The entry must learn from
// refused requests that did not return that a route's calls have to be held.
func TestEntryLearnsThatCallersDoNotReturn(t *testing.T) {
	for _, test := range []struct {
		name       string
		unreturned int
		status     int
	}{
		{"nothing known", 0, http.StatusServiceUnavailable},
		{"two refused requests did not return", 2, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			g := &scriptedGate{code: outcome.CodeTargetSuspected, servesAt: time.Now().Add(500 * time.Millisecond), suspected: true}
			f := newGateFleet(t, g.serve)
			f.setModes(t, configuration.SchedulingShared, false)
			route, _ := f.entry.options.Configurations.Configuration().RouteFor("h", "/claim/")
			for i := range test.unreturned {
				now := time.Now().Add(-4 * time.Second)
				c := &call{fingerprint: fingerprint.Fingerprint(i), route: route, in: &http1.IncomingRequest{ReceivedAt: now}, deadline: now.Add(4 * time.Second)}
				f.entry.refusals.record(c, outcome.CodeTargetFull, time.Time{}, now)
			}
			is.Equal(f.call(t, "/claim/").Status, test.status)
		})
	}
}

// While all targets shed, a request must not use up its attempts at two of them within
// milliseconds.
func TestHeldRequestKeepsItsLastAttempt(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	servesAt := time.Now().Add(150 * time.Millisecond)
	shed := func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		attempts.Add(1)
		if time.Now().After(servesAt) {
			return respondOK("a")(ctx, in, onBody)
		}
		p := outcome.Refused(outcome.CodeShed, "test")
		resp := gateResponse(http.StatusServiceUnavailable, p, "")
		hopheader.Response{State: hopheader.GateState{Accepting: true, Suspected: true, Slots: 3}, Problem: p}.Inject(resp.Header, time.Now())
		return resp
	}
	f := newGateFleet(t, shed, shed)
	f.setModes(t, configuration.SchedulingShared, true)
	for _, c := range f.entry.directory.candidates("s") {
		c.updateState(hopheader.GateState{Accepting: true, Suspected: true, Slots: 3}, time.Now())
	}
	is.Equal(f.call(t, "/read/").Status, http.StatusOK)
	is.Equal(attempts.Load(), int64(2))
}

// A held request that cannot be served must be refused as not run while its caller can still
// read the refusal, and its messages must be bounded.
func TestHeldRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	is := is.New(t)
	g := &scriptedGate{code: outcome.CodeTargetFull, servesAt: time.Now().Add(time.Minute)}
	f := newGateFleet(t, g.serve, g.serve)
	f.setModes(t, configuration.SchedulingShared, true)
	startedAt := time.Now()
	resp := f.call(t, "/claim/")
	took := time.Since(startedAt)
	is.Equal(resp.Status, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
	is.True(took > 700*time.Millisecond && took < 1100*time.Millisecond) // 1200 ms less the work of 150 ms
	is.True(len(g.seen()) <= maxGateAttempts)
	is.Equal(f.entry.refusals.held.Load(), int64(0))
	f.entry.refusals.held.Store(maxHeld)
	startedAt = time.Now()
	is.Equal(f.call(t, "/claim/other").Status, http.StatusServiceUnavailable)
	is.True(time.Since(startedAt) < 200*time.Millisecond) // no room for a further held request
}

// A request whose caller returns must be refused after an eighth of its target latency
// without a prospect, with a Retry-After that the caller waits for, and must be served
// before new requests when it returns. An early return must not cost an attempt.
func TestReturnsAreRefusedEarlyAndGoFirst(t *testing.T) {
	is := is.New(t)
	g := &scriptedGate{code: outcome.CodeTargetSuspected, servesAt: time.Now().Add(300 * time.Millisecond)}
	f := newGateFleet(t, g.serve)
	f.setModes(t, configuration.SchedulingShared, false)
	startedAt := time.Now()
	resp := f.call(t, "/claim/")
	is.Equal(resp.Status, http.StatusServiceUnavailable)
	is.True(time.Since(startedAt) < 75*time.Millisecond+50*time.Millisecond)
	promised := time.Now().Add(retryAfter(t, resp))
	is.True(retryAfter(t, resp) < 400*time.Millisecond) // a third of 1.2 s
	before := len(g.seen())
	resp = f.call(t, "/claim/")
	is.Equal(resp.Status, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
	is.Equal(resp.Header.Get(outcome.HeaderCode), string(outcome.CodeTargetSuspected))
	is.Equal(len(g.seen()), before)
	again := time.Now().Add(retryAfter(t, resp))
	is.True(again.Sub(promised).Abs() < 20*time.Millisecond)
	time.Sleep(time.Until(again.Add(5 * time.Millisecond)))
	returnedAt := time.Now()
	is.Equal(f.call(t, "/claim/").Status, http.StatusOK)
	attempts := g.seen()
	soft := attempts[len(attempts)-1].SoftDeadline
	const targetLatency = 600 * time.Millisecond
	want := refusal.SoftDeadlineOfReturn(returnedAt, startedAt.Add(targetLatency), refusal.ExpectedWork(0, targetLatency), targetLatency)
	is.True(soft.Sub(want).Abs() < 50*time.Millisecond)
	is.True(soft.Before(returnedAt.Add(500 * time.Millisecond)))
	_, isKnown := f.entry.refusals.recall(claimFingerprint, time.Now())
	is.True(!isKnown) // served requests are forgotten
}

// Guards against a request that uses up its attempts while all targets shed, and against one
// that waits although only a single target sheds.
func TestLastAttemptIsDeferred(t *testing.T) {
	now := time.Now()
	ok, old := snapshot{stateAge: time.Millisecond}, snapshot{stateAge: time.Minute}
	bad, shed := snapshot{stateAge: time.Millisecond, suspected: true}, snapshot{stateAge: time.Millisecond, load: 1}
	state := func(change func(*dispatchState)) *dispatchState {
		s := &dispatchState{call: &call{route: configuration.Route{MaxAttempts: 2}}, targetAttempts: 1, capacityAt: map[*candidate]time.Time{}}
		s.shared.mayHold = true
		change(s)
		return s
	}
	same := func(*dispatchState) {}
	for _, test := range []struct {
		name      string
		change    func(*dispatchState)
		snapshots []snapshot
		want      bool
	}{
		{"all shed", same, []snapshot{shed, shed}, true},
		{"all suspected", same, []snapshot{bad, bad}, true},
		{"one of two shed", same, []snapshot{shed, ok}, false},
		{"one shed, the others are not known", same, []snapshot{shed, old, old, old}, false},
		{"two shed, the others are not known", same, []snapshot{shed, shed, old, old, old, old}, true},
		{"two shed, three are well", same, []snapshot{shed, shed, ok, ok, ok}, false},
		{"the only target sheds", same, []snapshot{shed}, true},
		{"the first attempt", func(s *dispatchState) { s.targetAttempts = 0 }, []snapshot{shed, shed}, false},
		{"the last round", func(s *dispatchState) { s.shared.heldRounds = 8 }, []snapshot{shed, shed}, false},
		{"the caller returns", func(s *dispatchState) { s.shared.mayHold = false }, []snapshot{shed, shed}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var candidates []*candidate
			for range test.snapshots {
				candidates = append(candidates, &candidate{})
			}
			is.Equal(state(test.change).defersLastAttempt(candidates, test.snapshots, now), test.want)
		})
	}
}

// Guards against held requests that fill the memory of a small VM.
func TestLargeBodiesAreNotHeld(t *testing.T) {
	for _, test := range []struct {
		name string
		size int
		want bool
	}{{"at the bound", maxHeldBody, true}, {"above it", maxHeldBody + 1, false}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newGateFleet(t, respondOK("a"))
			now := time.Now()
			s := &dispatchState{capacityAt: map[*candidate]time.Time{}, call: &call{
				in: &http1.IncomingRequest{ReceivedAt: now}, deadline: now.Add(time.Second), body: make([]byte, test.size),
				hasCustomers: true, route: configuration.Route{Public: true, MaxAttempts: 2},
			}}
			_, ok := f.entry.awaitNextRound(s, f.entry.directory.candidates("s"), now)
			is.Equal(ok, test.want)
			is.Equal(s.shared.isHeld, test.want)
			f.entry.endHold(s)
			is.Equal(f.entry.refusals.held.Load(), int64(0))
		})
	}
}
