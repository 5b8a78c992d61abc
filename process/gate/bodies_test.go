package gate

import (
	"bytes"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Guards against uploads that are granted a slot, use up the memory for bodies while they
// are read and then fail. A request whose announced body does not fit must be refused as
// not run before it is granted anything. The default scheduling, as the control, grants
// it, and reads its body until the memory is used up.
func TestLargeBodyIsRefusedBeforeItIsRead(t *testing.T) {
	const budget = 1 << 20
	tests := []struct {
		name     string
		isShared bool
		held     int64
		length   int
		granted  bool
		want     outcome.Code
	}{
		{"fits", true, 0, 100 << 10, true, ""},
		{"larger than the budget", true, 0, 2 << 20, false, outcome.CodeNoMemory},
		{"does not fit beside others that are about to be read", true, budget - 50<<10, 100 << 10, false, outcome.CodeNoMemory},
		{"default scheduling", false, budget - 50<<10, 100 << 10, true, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			limits := http1.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second, Bodies: http1.NewBodyBudget(budget)}
			target, closeTarget, err := http1.Listen("127.0.0.1:0", func(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
				_, _ = in.ReadBody(ctx)
				return &http1.Response{Status: http.StatusNotFound, Header: http.Header{}}
			}, func() http1.Limits {
				return http1.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			}, hclog.NewNullLogger())
			is.NoErr(err)
			defer closeTarget()
			g := newGate()
			if test.isShared {
				g.options.Modes = sharedModes
			}
			announceAt(t, g, target.Address())
			g.options.Bodies = limits.Bodies
			g.pendingBodies = test.held
			res := uploadThroughGate(t, g, limits, test.length)
			is.Equal(res.granted, test.granted)
			if test.want == "" {
				is.True(res.problem == nil)
				is.Equal(res.status, http.StatusNotFound)
			} else {
				is.Equal(res.problem.Code, test.want)
				is.Equal(res.problem.Outcome, outcome.NotRun)
				is.True(res.problem.RetryAt.After(time.Now()))
			}
			is.Equal(g.State().Outstanding, 0)
			is.Equal(g.pendingBodies, test.held)
		})
	}
}

// uploadResult is what a gate has made of a request.
type uploadResult struct {
	granted bool
	status  int
	problem *outcome.Problem
}

// uploadThroughGate sends a request with a body of n bytes to the gate, as an entry does. The
// connection stays open until the test ends.
func uploadThroughGate(t *testing.T, g *Gate, limits http1.Limits, n int) (r uploadResult) {
	t.Helper()
	is := is.New(t)
	l, closeGate, err := http1.Listen("127.0.0.1:0", g.Serve, func() http1.Limits { return limits }, hclog.NewNullLogger())
	is.NoErr(err)
	t.Cleanup(closeGate)
	pool, closePool := http1.NewPool(l.Address(), time.Second)
	t.Cleanup(closePool)
	conn, err := pool.Get(t.Context(), 0)
	is.NoErr(err)
	t.Cleanup(func() { pool.Put(conn) })
	h := http.Header{}
	now := time.Now()
	hopheader.Request{Service: "s", SoftDeadline: now.Add(time.Second), Deadline: now.Add(5 * time.Second), QueueDeadline: now.Add(time.Second)}.Inject(h, now)
	res, err := conn.Do(t.Context(), http1.Request{
		Method: http.MethodPost, URI: "/", Host: "h", Header: h, Body: bytes.Repeat([]byte("x"), n), ExpectContinue: true,
	}, func(http.Header) string { return "" }, func() { r.granted = true })
	is.NoErr(err)
	meta, err := hopheader.ExtractResponse(res.Header, time.Now())
	is.NoErr(err)
	r.status, r.problem = res.Status, meta.Problem
	return r
}
