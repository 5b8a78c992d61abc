package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
)

type plainHeaders struct{}

func (plainHeaders) Caller(h http.Header, _ time.Time) metadata.CallerRequest {
	return metadata.CallerRequest{ID: h.Get("Id")}
}
func (plainHeaders) AnswerID(http.Header) string { return "" }

type noMeter struct{}

func (noMeter) RecordEntryRequest(string, outcome.Code, time.Duration) {}
func (noMeter) RecordGateAttempt(string, outcome.Code)                 {}

type fixedNodes []membership.Record

func (fixedNodes) Version() uint64              { return 1 }
func (n fixedNodes) Nodes() []membership.Record { return n }

type fixedConfiguration struct{ held configuration.Configuration }

func (c fixedConfiguration) Configuration() configuration.Configuration { return c.held }
func (fixedConfiguration) Changed() <-chan struct{}                     { return nil }

// conduct is what a fake gate does with a request. got tells whether the gate
// asked for the request's end, without which nothing can run.
type conduct func(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response

func reply(status int, p *outcome.Problem, body string) *http1.Response {
	a := &http1.Response{Status: status, Header: http.Header{}, Body: []byte(body)}
	hopheader.Response{State: hopheader.GateState{Accepting: true, Slots: 3}, Problem: p}.Inject(a.Header, time.Now())
	return a
}

func serves(body string) conduct {
	return func(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response {
		if _, err := in.ReadBody(ctx); err == nil {
			got()
		}
		return reply(http.StatusOK, nil, body)
	}
}

func refuses(code outcome.Code) conduct {
	return func(context.Context, *http1.IncomingRequest, func()) *http1.Response {
		return reply(http.StatusServiceUnavailable, outcome.Refused(code, "test"), "")
	}
}

func fails(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response {
	if _, err := in.ReadBody(ctx); err == nil {
		got()
	}
	return reply(http.StatusBadGateway, outcome.Failed(outcome.CodeTargetFailed, "test"), "")
}

// failsPaid fails a request and pays for its repeat.
func failsPaid(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response {
	a := fails(ctx, in, got)
	hopheader.Response{State: hopheader.GateState{Accepting: true, Slots: 3}, Problem: outcome.Failed(outcome.CodeTargetFailed, "test"), RetryCharged: true}.Inject(a.Header, time.Now())
	return a
}

// servesPaid has no repeat to spare.
func servesPaid(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response {
	ask, err := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
	if err != nil || ask.IsRetry && !ask.RetryCharged {
		return refuses(outcome.CodeRetryBudget)(ctx, in, got)
	}
	return serves("paid")(ctx, in, got)
}

func dies(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response {
	if _, err := in.ReadBody(ctx); err == nil {
		got()
	}
	return &http1.Response{Abort: true}
}

func silent(ctx context.Context, _ *http1.IncomingRequest, _ func()) *http1.Response {
	<-ctx.Done()
	return &http1.Response{Abort: true}
}

func stalls(ctx context.Context, in *http1.IncomingRequest, got func()) *http1.Response {
	if _, err := in.ReadBody(ctx); err == nil {
		got()
	}
	<-ctx.Done()
	return &http1.Response{Abort: true}
}

var limits = http1.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}

// fleet is an entry before fake gates; ran counts the requests whose end each
// gate got.
type fleet struct {
	entry *Entry
	ran   []atomic.Int64
}

// newFleet makes the first gate the nearest.
func newFleet(t *testing.T, conducts ...conduct) *fleet {
	t.Helper()
	f := &fleet{ran: make([]atomic.Int64, len(conducts))}
	var nodes fixedNodes
	for i, c := range conducts {
		l, closeListener, err := http1.Listen("127.0.0.1:0", func(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
			return c(ctx, in, func() { f.ran[i].Add(1) })
		}, func() http1.Limits { return limits }, hclog.NewNullLogger())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(closeListener)
		r := membership.Record{ControlAddress: l.Address(), GateAddress: l.Address(), Service: "s", DataCentre: "here", Region: "r"}
		if i > 0 {
			r.DataCentre = "there"
		}
		nodes = append(nodes, r)
	}
	f.entry = newEntry(t, nodes)
	return f
}

// newEntry returns an entry that knows the nodes and the routes /read/ and
// /claim/ to their service.
func newEntry(t *testing.T, nodes fixedNodes) *Entry {
	t.Helper()
	route := func(name string, idempotent bool) configuration.Route {
		return configuration.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: 1200 * time.Millisecond,
			TargetLatency: 600 * time.Millisecond, MaxAttempts: 2, Parts: []configuration.Part{{Service: "s", Weight: 1}},
		}
	}
	c := configuration.New(3, []configuration.Service{{Name: "s"}}, configuration.Limits{},
		[]configuration.Route{route("read", true), route("claim", false)})
	e, closeEntry := New(Options{
		Service: "caller", DataCentre: "here", Region: "r", Nodes: nodes, Configurations: fixedConfiguration{c},
		Headers: plainHeaders{}, Logger: hclog.NewNullLogger(), Meter: noMeter{},
		EndsAt: func() time.Time { return time.Time{} },
	})
	t.Cleanup(closeEntry)
	return e
}

// call sends a request through a listener, as a caller does.
func (f *fleet) call(t *testing.T, path string) *http1.Response {
	t.Helper()
	l, closeListener, err := http1.Listen("127.0.0.1:0", f.entry.Serve, func() http1.Limits { return limits }, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer closeListener()
	return callAt(t, l.Address(), path)
}

// callAt sends a request to an address.
func callAt(t *testing.T, address, path string) *http1.Response {
	t.Helper()
	pool, closePool := http1.NewPool(address, time.Second)
	defer closePool()
	conn, err := pool.Get(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Put(conn)
	a, err := conn.Do(t.Context(), http1.Request{Method: http.MethodPost, URI: path, Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte("x")},
		func(http.Header) string { return "" }, nil)
	if err != nil {
		t.Fatal(err)
	}
	return a
}
