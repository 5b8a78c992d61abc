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
	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
)

type stubHeaders struct{}

func (stubHeaders) ParseCallerHeaders(h http.Header, _ time.Time) metadata.CallerRequest {
	return metadata.CallerRequest{ID: h.Get("Id"), Key: h.Get("Key")}
}
func (stubHeaders) RemoveCallerIdentity(h http.Header) {
	h.Del("Key")
	h.Del("Customer")
}
func (stubHeaders) ResponseRequestID(http.Header) string { return "" }

type discardMeter struct{}

func (discardMeter) RecordEntryRequest(string, outcome.Code, time.Duration) {}
func (discardMeter) RecordGateAttempt(string, outcome.Code)                 {}
func (discardMeter) RecordEvenChoice(string, float64, time.Duration)        {}
func (discardMeter) RecordOverruledChoice(string, outcome.Code)             {}

type staticNodes []membership.Record

func (staticNodes) Version() uint64              { return 1 }
func (n staticNodes) Nodes() []membership.Record { return n }

type staticConfiguration struct{ current configuration.Configuration }

func (c staticConfiguration) Configuration() configuration.Configuration { return c.current }
func (staticConfiguration) Changed() <-chan struct{}                     { return nil }

// gateBehaviour is how a fake gate handles a request. It calls onBody when it
// has read the request's body; until then the request cannot have run.
type gateBehaviour func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response

func gateResponse(status int, p *outcome.Problem, body string) *http1.Response {
	resp := &http1.Response{Status: status, Header: http.Header{}, Body: []byte(body)}
	hopheader.Response{State: hopheader.GateState{Accepting: true, Slots: 3}, Problem: p}.Inject(resp.Header, time.Now())
	return resp
}

func respondOK(body string) gateBehaviour {
	return func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		if _, err := in.ReadBody(ctx); err == nil {
			onBody()
		}
		return gateResponse(http.StatusOK, nil, body)
	}
}

func refuseWith(code outcome.Code) gateBehaviour {
	return func(context.Context, *http1.IncomingRequest, func()) *http1.Response {
		return gateResponse(http.StatusServiceUnavailable, outcome.Refused(code, "test"), "")
	}
}

func failRequest(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
	if _, err := in.ReadBody(ctx); err == nil {
		onBody()
	}
	return gateResponse(http.StatusBadGateway, outcome.Failed(outcome.CodeTargetFailed, "test"), "")
}

// failAndChargeRetry fails a request and charges the retry to the gate's
// budget.
func failAndChargeRetry(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
	resp := failRequest(ctx, in, onBody)
	hopheader.Response{State: hopheader.GateState{Accepting: true, Slots: 3}, Problem: outcome.Failed(outcome.CodeTargetFailed, "test"), RetryCharged: true}.Inject(resp.Header, time.Now())
	return resp
}

// respondToFirstOrCharged has no retry budget: it serves first attempts and
// retries that another gate has charged, and refuses all other retries.
func respondToFirstOrCharged(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
	request, err := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
	if err != nil || request.IsRetry && !request.RetryCharged {
		return refuseWith(outcome.CodeRetryBudget)(ctx, in, onBody)
	}
	return respondOK("paid")(ctx, in, onBody)
}

// dropConnection reads the body and closes the connection without a response.
func dropConnection(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
	if _, err := in.ReadBody(ctx); err == nil {
		onBody()
	}
	return &http1.Response{Abort: true}
}

// neverGrant neither requests the body nor responds.
func neverGrant(ctx context.Context, _ *http1.IncomingRequest, _ func()) *http1.Response {
	<-ctx.Done()
	return &http1.Response{Abort: true}
}

// neverRespond reads the body and does not respond.
func neverRespond(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
	if _, err := in.ReadBody(ctx); err == nil {
		onBody()
	}
	<-ctx.Done()
	return &http1.Response{Abort: true}
}

// stallAndCharge reads the body, reports a stall, whose retry it charges to its
// budget, and does not respond.
func stallAndCharge(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
	if _, err := in.ReadBody(ctx); err == nil {
		onBody()
	}
	h := http.Header{}
	hopheader.Response{State: hopheader.GateState{Accepting: true, Suspected: true, Slots: 3}, RetryCharged: true}.Inject(h, time.Now())
	if err := in.SendInterim(h); err != nil {
		return &http1.Response{Abort: true}
	}
	<-ctx.Done()
	return &http1.Response{Abort: true}
}

var limits = http1.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second}

// gateFleet is an entry with fake gates.
type gateFleet struct {
	entry *Entry
	// bodiesReceived counts the request bodies that each gate has read.
	bodiesReceived []atomic.Int64
}

// newGateFleet starts a gate for each behaviour. The first one is in the
// entry's data centre, the others are in another one of the same region.
func newGateFleet(t *testing.T, behaviours ...gateBehaviour) *gateFleet {
	t.Helper()
	f := &gateFleet{bodiesReceived: make([]atomic.Int64, len(behaviours))}
	var nodes staticNodes
	for i, behave := range behaviours {
		l, closeListener, err := http1.Listen("127.0.0.1:0", func(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
			return behave(ctx, in, func() { f.bodiesReceived[i].Add(1) })
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
func newEntry(t *testing.T, nodes staticNodes) *Entry {
	t.Helper()
	route := func(name string, idempotent bool) configuration.Route {
		return configuration.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: 1200 * time.Millisecond,
			TargetLatency: 600 * time.Millisecond, MaxAttempts: 2, WeightedServices: []configuration.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	c := configuration.New(3, []configuration.Service{{Name: "s"}}, configuration.Limits{},
		[]configuration.Route{route("read", true), route("claim", false)})
	e, closeEntry := New(Options{
		Service: "caller", DataCentre: "here", Region: "r", Nodes: nodes, Configurations: staticConfiguration{c},
		Headers: stubHeaders{}, Logger: hclog.NewNullLogger(), Meter: discardMeter{}, Quarantine: quarantine.NewTable(hclog.NewNullLogger()),
		ShutdownDeadline: func() time.Time { return time.Time{} },
	})
	t.Cleanup(closeEntry)
	return e
}

// call sends a request through a listener, as a caller does.
func (f *gateFleet) call(t *testing.T, path string) *http1.Response {
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
	resp, err := conn.Do(t.Context(), http1.Request{Method: http.MethodPost, URI: path, Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte("x")},
		func(http.Header) string { return "" }, nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp
}
