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

// What becomes of a request before gates that serve, refuse, fail, die, stall or
// are silent. A claim gets its end to one gate at most, and a 503 only if to
// none.
func TestDispatch(t *testing.T) {
	tests := []struct {
		name   string
		gates  []conduct
		path   string
		status int
		body   string
		ran    []int64
	}{
		{"served nearby", []conduct{serves("a"), serves("b")}, "/claim/", 200, "a", []int64{1, 0}},
		{"refused, then served", []conduct{refuses(outcome.CodeTargetFull), serves("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"silent, then served", []conduct{silent, serves("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"all refuse", []conduct{refuses(outcome.CodeTargetSuspected), refuses(outcome.CodeTargetFull)}, "/claim/", 503, "", []int64{0, 0}},
		{"a claim is lost at a target", []conduct{fails, serves("b")}, "/claim/", 502, "", []int64{1, 0}},
		{"a claim is lost with its gate", []conduct{dies, serves("b")}, "/claim/", 502, "", []int64{1, 0}},
		{"a claim stalls", []conduct{stalls, serves("b")}, "/claim/", 504, "", []int64{1, 0}},
		{"a read is lost and served", []conduct{fails, serves("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"a read is lost with its gate and served", []conduct{dies, serves("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"a read stalls and is served", []conduct{stalls, serves("b")}, "/read/", 200, "b", []int64{1, 1}},
		{"a read is lost twice and no more", []conduct{fails, fails, fails}, "/read/", 502, "", nil},
		{"a read is lost, then refused", []conduct{fails, refuses(outcome.CodeRetryBudget)}, "/read/", 502, "", []int64{1, 0}},
		{"a read is lost and its repeat not paid", []conduct{fails, servesPaid}, "/read/", 502, "", []int64{1, 0}},
		{"a read is lost and its repeat paid", []conduct{failsPaid, servesPaid}, "/read/", 200, "paid", []int64{1, 1}},
		{"a paid repeat is kept when a gate refuses", []conduct{failsPaid, refuses(outcome.CodeTargetFull), servesPaid}, "/read/", 200, "paid", []int64{1, 0, 1}},
		{"shed, then served", []conduct{refuses(outcome.CodeShed), serves("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"shed twice and no more", []conduct{refuses(outcome.CodeShed), refuses(outcome.CodeShed), refuses(outcome.CodeShed)}, "/claim/", 503, "", nil},
		{"no gate", nil, "/claim/", 503, "", nil},
		{"no route", []conduct{serves("a")}, "/other/", 404, "", []int64{0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, test.gates...)
			a := f.call(t, test.path)
			is.Equal(a.Status, test.status)
			if test.body != "" {
				is.Equal(string(a.Body), test.body)
			}
			for i, want := range test.ran {
				is.Equal(f.ran[i].Load(), want)
			}
			sent := int64(0)
			for i := range f.ran {
				sent += f.ran[i].Load()
			}
			is.True(sent <= 2) // the route's attempts
			if test.status == http.StatusServiceUnavailable {
				is.True(a.Header.Get("Retry-After") != "")
			}
		})
	}
}

// When the node ends, a target's answer that was kept while another target works
// on is returned.
func TestKeptAnswerIsReturnedAtTheEnd(t *testing.T) {
	is := is.New(t)
	errs := func(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response {
		a := serves("error")(ctx, in, got)
		a.Status = http.StatusInternalServerError
		return a
	}
	f := newFleet(t, errs, stalls)
	l, closeListener, err := http1.Listen("127.0.0.1:0", f.entry.Serve, func() http1.Limits { return limits }, hclog.NewNullLogger())
	is.NoErr(err)
	defer closeListener()
	go func() {
		for f.ran[1].Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		l.Stop()
		l.CancelRequests()
	}()
	a := callAt(t, l.Address(), "/read/")
	is.Equal(a.Status, http.StatusInternalServerError)
	is.Equal(string(a.Body), "error")
}

// A request waits for a gate's grant before its end is sent, unless it may run
// twice and the gate is in another region.
func TestWhichRequestsAwaitAGrant(t *testing.T) {
	tests := []struct {
		name, path, region string
		want               bool
	}{
		{"claim nearby", "/claim/", "r", true},
		{"read nearby", "/read/", "r", true},
		{"claim far away", "/claim/", "far", true},
		{"read far away", "/read/", "far", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			awaited := false
			l, closeListener, err := http1.Listen("127.0.0.1:0", func(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
				awaited = in.Header.Get("Expect") != ""
				return serves("a")(ctx, in, func() {})
			}, func() http1.Limits { return limits }, hclog.NewNullLogger())
			is.NoErr(err)
			defer closeListener()
			f := &fleet{entry: newEntry(t, fixedNodes{{ControlAddress: "n", GateAddress: l.Address(), Service: "s", DataCentre: "there", Region: test.region}})}
			is.Equal(string(f.call(t, test.path).Body), "a")
			is.Equal(awaited, test.want)
		})
	}
}

// A gate that was full is asked again only if it expects room before the request
// may wait no longer.
func TestFullGateIsAskedWhenItHasRoom(t *testing.T) {
	tests := []struct {
		name   string
		roomIn time.Duration
		least  int64
		most   int64
	}{
		{"room soon", 50 * time.Millisecond, 2, maxAsks},
		{"room too late", 5 * time.Second, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var asks atomic.Int64
			f := newFleet(t, func(context.Context, *http1.IncomingRequest, func()) *http1.Response {
				asks.Add(1)
				return reply(http.StatusServiceUnavailable, outcome.Refused(outcome.CodeTargetFull, "test").WithRetryAt(time.Now().Add(test.roomIn)), "")
			})
			began := time.Now()
			a := f.call(t, "/claim/")
			is.Equal(a.Status, http.StatusServiceUnavailable)
			is.True(a.Header.Get("Retry-After") != "")
			is.True(asks.Load() >= test.least && asks.Load() <= test.most)
			is.True(time.Since(began) < 600*time.Millisecond) // the route's target latency
		})
	}
}

// A leaving node gives targets no more time than it has left itself, so that a
// target ends its work by itself and the node breaks nothing off.
func TestLeavingNodeGivesNoMoreTimeThanItHas(t *testing.T) {
	for _, test := range []struct {
		name        string
		left        time.Duration
		least, most time.Duration
	}{
		{"the node stays", 0, time.Second, 1200 * time.Millisecond},
		{"the node ends later than the request", 5 * time.Second, time.Second, 1200 * time.Millisecond},
		{"the node ends first", 700 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var given time.Duration
			f := newFleet(t, func(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response {
				ask, err := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
				is.NoErr(err)
				given = ask.Deadline.Sub(in.ReceivedAt)
				return serves("a")(ctx, in, got)
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

// A gate that is only slower than another is not taken for one that cannot be
// reached.
func TestSlowerGateIsNotLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, stalls, serves("b"))
	is.Equal(string(f.call(t, "/read/").Body), "b")
	for range 100 { // until the ask that lost has ended
		if c := f.entry.directory.candidates("s")[0]; c.view(time.Now()).load == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!f.entry.directory.candidates("s")[0].view(time.Now()).down)
}
