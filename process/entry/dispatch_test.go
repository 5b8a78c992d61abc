package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Guards against running a request twice, and against a 503 for a request that
// may have run, when gates respond, refuse, fail, drop the connection, never grant
// or never respond. The body of a claim, which is not idempotent, must reach one
// gate at most, and a claim may get a 503 only if its body reached none.
func TestDispatchSendsClaimsOnce(t *testing.T) {
	tests := []struct {
		name   string
		gates  []gateBehaviour
		path   string
		status int
		body   string
		bodies []int64
	}{
		{"served nearby", []gateBehaviour{respondOK("a"), respondOK("b")}, "/claim/", 200, "a", []int64{1, 0}},
		{"refused, then served", []gateBehaviour{refuseWith(outcome.CodeTargetFull), respondOK("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"never granted, then served", []gateBehaviour{neverGrant, respondOK("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"all refuse", []gateBehaviour{refuseWith(outcome.CodeTargetSuspected), refuseWith(outcome.CodeTargetFull)}, "/claim/", 503, "", []int64{0, 0}},
		{"claim fails at a target", []gateBehaviour{failRequest, respondOK("b")}, "/claim/", 502, "", []int64{1, 0}},
		{"claim fails with its gate", []gateBehaviour{dropConnection, respondOK("b")}, "/claim/", 502, "", []int64{1, 0}},
		{"claim gets no response", []gateBehaviour{neverRespond, respondOK("b")}, "/claim/", 504, "", []int64{1, 0}},
		{"read fails and is retried", []gateBehaviour{failRequest, respondOK("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"read fails with its gate and is retried", []gateBehaviour{dropConnection, respondOK("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"read gets no response and is hedged", []gateBehaviour{neverRespond, respondOK("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"read stalls and its retry is charged", []gateBehaviour{stallAndCharge, respondToFirstOrCharged}, "/read/", 200, "paid", []int64{1, 1}},
		{"claim stalls", []gateBehaviour{stallAndCharge, respondOK("b")}, "/claim/", 504, "", []int64{1, 0}},
		{"read stops after two failures", []gateBehaviour{failRequest, failRequest, failRequest}, "/read/", 502, "", nil},
		{"read fails, then is refused", []gateBehaviour{failRequest, refuseWith(outcome.CodeRetryBudget)}, "/read/", 502, "", []int64{1, 0}},
		{"read fails and its retry is not charged", []gateBehaviour{failRequest, respondToFirstOrCharged}, "/read/", 502, "", []int64{1, 0}},
		{"read fails and its retry is charged", []gateBehaviour{failAndChargeRetry, respondToFirstOrCharged}, "/read/", 200, "paid", []int64{1, 1}},
		{"charged retry is kept when a gate refuses", []gateBehaviour{failAndChargeRetry, refuseWith(outcome.CodeTargetFull), respondToFirstOrCharged}, "/read/", 200, "paid", []int64{1, 0, 1}},
		{"shed, then served", []gateBehaviour{refuseWith(outcome.CodeShed), respondOK("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"stops after two sheds", []gateBehaviour{refuseWith(outcome.CodeShed), refuseWith(outcome.CodeShed), refuseWith(outcome.CodeShed)}, "/claim/", 503, "", nil},
		{"no gate", nil, "/claim/", 503, "", nil},
		{"no route", []gateBehaviour{respondOK("a")}, "/other/", 404, "", []int64{0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newGateFleet(t, test.gates...)
			resp := f.call(t, test.path)
			is.Equal(resp.Status, test.status)
			if test.body != "" {
				is.Equal(string(resp.Body), test.body)
			}
			for i, want := range test.bodies {
				is.Equal(f.bodiesReceived[i].Load(), want)
			}
			sent := int64(0)
			for i := range f.bodiesReceived {
				sent += f.bodiesReceived[i].Load()
			}
			is.True(sent <= 2) // the route's MaxAttempts
			if test.status == http.StatusServiceUnavailable {
				is.True(resp.Header.Get("Retry-After") != "")
			}
		})
	}
}

// A stalled read must be sent to another target as soon as its gate reports the
// stall. The hedge delay alone is half of the deadline, too late for its target
// latency.
func TestStalledReadIsHedgedAtOnce(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, stallAndCharge, respondToFirstOrCharged)
	startedAt := time.Now()
	is.Equal(f.call(t, "/read/").Status, http.StatusOK)
	is.True(time.Since(startedAt) < 400*time.Millisecond) // the hedge delay is 600 ms
}

type panickingHeaders struct{ stubHeaders }

func (panickingHeaders) ResponseRequestID(http.Header) string { panic("unexpected") }

// An unexpected error in an attempt must not end the process. The claim may have been
// run by then, so that its caller must not be told that it has not.
func TestPanicInAttemptFailsOneRequest(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, respondOK("a"))
	f.entry.options.Headers = panickingHeaders{}
	is.Equal(f.call(t, "/claim/").Status, http.StatusBadGateway)
	is.Equal(f.bodiesReceived[0].Load(), int64(1))
	f.entry.options.Headers = stubHeaders{}
	is.Equal(f.call(t, "/claim/").Status, http.StatusOK)
}

// Two routes of different kinds that share a name must not share their durations at
// the gates: one may take ten times as long as the other.
func TestRouteHashTellsKindsApart(t *testing.T) {
	is := is.New(t)
	read := configuration.Route{Name: "r", Idempotent: true, Prefix: "/a/"}
	claim := configuration.Route{Name: "r", Prefix: "/a/"}
	is.True(routeHash(read) != routeHash(claim))
	read.Prefix = "/b/" // a route that moves keeps its durations
	is.Equal(routeHash(read), routeHash(configuration.Route{Name: "r", Idempotent: true, Prefix: "/a/"}))
}

// A target's 5xx response is kept while another target works on the request. It
// must be returned if the node shuts down in the meantime.
func TestErrorResponseIsReturnedAtShutdown(t *testing.T) {
	is := is.New(t)
	respondError := func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		resp := respondOK("error")(ctx, in, onBody)
		resp.Status = http.StatusInternalServerError
		return resp
	}
	f := newGateFleet(t, respondError, neverRespond)
	l, closeListener, err := http1.Listen("127.0.0.1:0", f.entry.Serve, func() http1.Limits { return limits }, hclog.NewNullLogger())
	is.NoErr(err)
	defer closeListener()
	go func() {
		for f.bodiesReceived[1].Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		l.Stop()
		l.CancelRequests()
	}()
	resp := callAt(t, l.Address(), "/read/")
	is.Equal(resp.Status, http.StatusInternalServerError)
	is.Equal(string(resp.Body), "error")
}

// The body of a request is held back until the gate's grant, unless the request
// is idempotent and the gate is in another region.
func TestBodyIsHeldBackUntilGrant(t *testing.T) {
	tests := []struct {
		name, path, region string
		want               bool
	}{
		{"claim nearby", "/claim/", "r", true},
		{"read nearby", "/read/", "r", true},
		{"claim in another region", "/claim/", "far", true},
		{"read in another region", "/read/", "far", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			awaitedGrant := false
			l, closeListener, err := http1.Listen("127.0.0.1:0", func(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
				awaitedGrant = in.Header.Get("Expect") != ""
				return respondOK("a")(ctx, in, func() {})
			}, func() http1.Limits { return limits }, hclog.NewNullLogger())
			is.NoErr(err)
			defer closeListener()
			f := &gateFleet{entry: newEntry(t, staticNodes{{ControlAddress: "n", GateAddress: l.Address(), Service: "s", DataCentre: "there", Region: test.region}})}
			is.Equal(string(f.call(t, test.path).Body), "a")
			is.Equal(awaitedGrant, test.want)
		})
	}
}

// A request must be tried again at a full gate that expects capacity within the
// time that the request may still queue, and must not be sent in vain to one that
// expects it later.
func TestFullGateIsRetriedWhenItHasCapacity(t *testing.T) {
	tests := []struct {
		name       string
		capacityIn time.Duration
		least      int64
		most       int64
	}{
		{"capacity soon", 50 * time.Millisecond, 2, maxGateAttempts},
		{"capacity too late", 5 * time.Second, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var attempts atomic.Int64
			f := newGateFleet(t, func(context.Context, *http1.IncomingRequest, func()) *http1.Response {
				attempts.Add(1)
				return gateResponse(http.StatusServiceUnavailable, outcome.Refused(outcome.CodeTargetFull, "test").WithRetryAt(time.Now().Add(test.capacityIn)), "")
			})
			startedAt := time.Now()
			resp := f.call(t, "/claim/")
			is.Equal(resp.Status, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
			is.True(attempts.Load() >= test.least && attempts.Load() <= test.most)
			is.True(time.Since(startedAt) < 600*time.Millisecond) // the route's target latency
		})
	}
}

// A leaving node gives targets a deadline before its own shutdown. Otherwise it
// would cut off requests that targets are still running.
func TestDeadlineEndsBeforeShutdown(t *testing.T) {
	for _, test := range []struct {
		name        string
		left        time.Duration
		least, most time.Duration
	}{
		{"the node stays", 0, time.Second, 1200 * time.Millisecond},
		{"the node ends after the request", 5 * time.Second, time.Second, 1200 * time.Millisecond},
		{"the node ends first", 700 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var timeToDeadline time.Duration
			f := newGateFleet(t, func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
				request, err := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
				is.NoErr(err)
				timeToDeadline = request.Deadline.Sub(in.ReceivedAt)
				return respondOK("a")(ctx, in, onBody)
			})
			if test.left > 0 {
				shutdownAt := time.Now().Add(test.left)
				f.entry.options.ShutdownDeadline = func() time.Time { return shutdownAt }
			}
			is.Equal(f.call(t, "/claim/").Status, http.StatusOK)
			is.True(timeToDeadline >= test.least && timeToDeadline <= test.most)
		})
	}
}

// A gate whose attempt is cancelled because a hedge got its response first must
// not be marked unreachable.
func TestSlowGateStaysReachable(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, neverRespond, respondOK("b"))
	is.Equal(string(f.call(t, "/read/").Body), "b")
	for range 100 { // until the cancelled attempt has ended
		if c := f.entry.directory.candidates("s")[0]; c.snapshot(time.Now()).load == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!f.entry.directory.candidates("s")[0].snapshot(time.Now()).unreachable)
}
