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
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Dispatches requests to gates that answer, refuse, fail, drop the connection,
// never grant or never answer. The body of a claim, which is not idempotent,
// reaches one gate at most, and a claim is answered with 503 only if its body
// reached none.
func TestDispatch(t *testing.T) {
	tests := []struct {
		name   string
		gates  []gateBehaviour
		path   string
		status int
		body   string
		bodies []int64
	}{
		{"answered nearby", []gateBehaviour{answerOK("a"), answerOK("b")}, "/claim/", 200, "a", []int64{1, 0}},
		{"refused, then answered", []gateBehaviour{refuseWith(outcome.CodeTargetFull), answerOK("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"never granted, then answered", []gateBehaviour{neverGrant, answerOK("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"all refuse", []gateBehaviour{refuseWith(outcome.CodeTargetSuspected), refuseWith(outcome.CodeTargetFull)}, "/claim/", 503, "", []int64{0, 0}},
		{"claim fails at a target", []gateBehaviour{failRequest, answerOK("b")}, "/claim/", 502, "", []int64{1, 0}},
		{"claim fails with its gate", []gateBehaviour{dropConnection, answerOK("b")}, "/claim/", 502, "", []int64{1, 0}},
		{"claim is never answered", []gateBehaviour{neverAnswer, answerOK("b")}, "/claim/", 504, "", []int64{1, 0}},
		{"read fails and is retried", []gateBehaviour{failRequest, answerOK("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"read fails with its gate and is retried", []gateBehaviour{dropConnection, answerOK("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"read is never answered and is hedged", []gateBehaviour{neverAnswer, answerOK("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"read stops after two failures", []gateBehaviour{failRequest, failRequest, failRequest}, "/read/", 502, "", nil},
		{"read fails, then is refused", []gateBehaviour{failRequest, refuseWith(outcome.CodeRetryBudget)}, "/read/", 502, "", []int64{1, 0}},
		{"read fails and its retry is not charged", []gateBehaviour{failRequest, answerFirstOrCharged}, "/read/", 502, "", []int64{1, 0}},
		{"read fails and its retry is charged", []gateBehaviour{failAndChargeRetry, answerFirstOrCharged}, "/read/", 200, "paid", []int64{1, 1}},
		{"charged retry is kept when a gate refuses", []gateBehaviour{failAndChargeRetry, refuseWith(outcome.CodeTargetFull), answerFirstOrCharged}, "/read/", 200, "paid", []int64{1, 0, 1}},
		{"shed, then answered", []gateBehaviour{refuseWith(outcome.CodeShed), answerOK("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"stops after two sheds", []gateBehaviour{refuseWith(outcome.CodeShed), refuseWith(outcome.CodeShed), refuseWith(outcome.CodeShed)}, "/claim/", 503, "", nil},
		{"no gate", nil, "/claim/", 503, "", nil},
		{"no route", []gateBehaviour{answerOK("a")}, "/other/", 404, "", []int64{0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newGateFleet(t, test.gates...)
			a := f.call(t, test.path)
			is.Equal(a.Status, test.status)
			if test.body != "" {
				is.Equal(string(a.Body), test.body)
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
				is.True(a.Header.Get("Retry-After") != "")
			}
		})
	}
}

// A target's 5xx answer is kept while another target works on the request. It
// must be returned if the node shuts down in the meantime.
func TestErrorAnswerIsReturnedAtShutdown(t *testing.T) {
	is := is.New(t)
	answerError := func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		a := answerOK("error")(ctx, in, onBody)
		a.Status = http.StatusInternalServerError
		return a
	}
	f := newGateFleet(t, answerError, neverAnswer)
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
	a := callAt(t, l.Address(), "/read/")
	is.Equal(a.Status, http.StatusInternalServerError)
	is.Equal(string(a.Body), "error")
}

// The body of a request is held back until the gate's grant, unless the request
// is idempotent and the gate is in another region.
func TestNeedsGrant(t *testing.T) {
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
				return answerOK("a")(ctx, in, func() {})
			}, func() http1.Limits { return limits }, hclog.NewNullLogger())
			is.NoErr(err)
			defer closeListener()
			f := &gateFleet{entry: newEntry(t, staticNodes{{ControlAddress: "n", GateAddress: l.Address(), Service: "s", DataCentre: "there", Region: test.region}})}
			is.Equal(string(f.call(t, test.path).Body), "a")
			is.Equal(awaitedGrant, test.want)
		})
	}
}

// A gate that was full is tried again only if it expects capacity within the
// time that the request may still queue.
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
			a := f.call(t, "/claim/")
			is.Equal(a.Status, http.StatusServiceUnavailable)
			is.True(a.Header.Get("Retry-After") != "")
			is.True(attempts.Load() >= test.least && attempts.Load() <= test.most)
			is.True(time.Since(startedAt) < 600*time.Millisecond) // the route's target latency
		})
	}
}

// A node that is shutting down gives targets a deadline before its own end.
// Otherwise it would cut off requests that targets are still running.
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
			var given time.Duration
			f := newGateFleet(t, func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
				request, err := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
				is.NoErr(err)
				given = request.Deadline.Sub(in.ReceivedAt)
				return answerOK("a")(ctx, in, onBody)
			})
			if test.left > 0 {
				ends := time.Now().Add(test.left)
				f.entry.options.EndsAt = func() time.Time { return ends }
			}
			is.Equal(f.call(t, "/claim/").Status, http.StatusOK)
			is.True(given >= test.least && given <= test.most)
		})
	}
}

// A gate whose attempt is cancelled because a hedge was answered first must not
// be marked unreachable.
func TestSlowGateStaysReachable(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, neverAnswer, answerOK("b"))
	is.Equal(string(f.call(t, "/read/").Body), "b")
	for range 100 { // until the cancelled attempt has ended
		if c := f.entry.directory.candidates("s")[0]; c.snapshot(time.Now()).load == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!f.entry.directory.candidates("s")[0].snapshot(time.Now()).unreachable)
}
