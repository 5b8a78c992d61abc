package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hop"
	"github.com/cuminwheel/cuminwheel/connection/message"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/request/head"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

type plainHeaders struct{}

func (plainHeaders) Caller(h http.Header, _ time.Time) head.Caller {
	return head.Caller{ID: h.Get("Id")}
}
func (plainHeaders) AnswerID(http.Header) string { return "" }

type noMeter struct{}

func (noMeter) EntryEnded(string, outcome.Code, time.Duration) {}
func (noMeter) EntryAsked(string, outcome.Code)                {}

type fixedNodes []roster.Record

func (fixedNodes) Version() uint64          { return 1 }
func (n fixedNodes) Nodes() []roster.Record { return n }

type fixedConfiguration struct{ held configuration.Configuration }

func (c fixedConfiguration) Configuration() configuration.Configuration { return c.held }
func (fixedConfiguration) Changed() <-chan struct{}                     { return nil }

// laterConfiguration has none until its channel is closed.
type laterConfiguration struct {
	fixedConfiguration
	changed chan struct{}
}

func (c laterConfiguration) Changed() <-chan struct{} { return c.changed }
func (c laterConfiguration) Configuration() configuration.Configuration {
	select {
	case <-c.changed:
		return c.held
	default:
		return configuration.Configuration{}
	}
}

// conduct is what a fake gate does with a request. got tells whether the gate
// asked for the request's end, without which nothing can run.
type conduct func(ctx context.Context, in *message.Incoming, got func()) *message.Answer

func reply(status int, p *outcome.Problem, body string) *message.Answer {
	a := &message.Answer{Status: status, Header: http.Header{}, Body: []byte(body)}
	hop.Reply{State: hop.State{Open: true, Slots: 3}, Problem: p}.Set(a.Header, time.Now())
	return a
}

func serves(body string) conduct {
	return func(ctx context.Context, in *message.Incoming, got func()) *message.Answer {
		if _, err := in.Body(ctx); err == nil {
			got()
		}
		return reply(http.StatusOK, nil, body)
	}
}

func refuses(code outcome.Code) conduct {
	return func(context.Context, *message.Incoming, func()) *message.Answer {
		return reply(http.StatusServiceUnavailable, outcome.Refused(code, "test"), "")
	}
}

func fails(ctx context.Context, in *message.Incoming, got func()) *message.Answer {
	if _, err := in.Body(ctx); err == nil {
		got()
	}
	return reply(http.StatusBadGateway, outcome.Failed(outcome.CodeTargetFailed, "test"), "")
}

// failsPaid fails a request and pays for its repeat.
func failsPaid(ctx context.Context, in *message.Incoming, got func()) *message.Answer {
	a := fails(ctx, in, got)
	hop.Reply{State: hop.State{Open: true, Slots: 3}, Problem: outcome.Failed(outcome.CodeTargetFailed, "test"), PaysRepeat: true}.Set(a.Header, time.Now())
	return a
}

// servesPaid has no repeat to spare.
func servesPaid(ctx context.Context, in *message.Incoming, got func()) *message.Answer {
	ask, err := hop.TakeAsk(in.Header, in.Arrived)
	if err != nil || ask.Repeat && !ask.Paid {
		return refuses(outcome.CodeRetryBudget)(ctx, in, got)
	}
	return serves("paid")(ctx, in, got)
}

func dies(ctx context.Context, in *message.Incoming, got func()) *message.Answer {
	if _, err := in.Body(ctx); err == nil {
		got()
	}
	return &message.Answer{Abort: true}
}

func silent(ctx context.Context, _ *message.Incoming, _ func()) *message.Answer {
	<-ctx.Done()
	return &message.Answer{Abort: true}
}

func stalls(ctx context.Context, in *message.Incoming, got func()) *message.Answer {
	if _, err := in.Body(ctx); err == nil {
		got()
	}
	<-ctx.Done()
	return &message.Answer{Abort: true}
}

var limits = message.Limits{HeadBytes: 16 << 10, BodyBytes: 1 << 20, HeadTimeout: time.Second, IdleTimeout: 10 * time.Second}

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
		l, closeListener, err := message.Listen("127.0.0.1:0", func(ctx context.Context, in *message.Incoming) *message.Answer {
			return c(ctx, in, func() { f.ran[i].Add(1) })
		}, func() message.Limits { return limits }, hclog.NewNullLogger())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(closeListener)
		r := roster.Record{Node: l.Address(), Gate: l.Address(), Service: "s", DataCentre: "here", Region: "r"}
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
func (f *fleet) call(t *testing.T, path string) *message.Answer {
	t.Helper()
	l, closeListener, err := message.Listen("127.0.0.1:0", f.entry.Serve, func() message.Limits { return limits }, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer closeListener()
	return callAt(t, l.Address(), path)
}

// callAt sends a request to an address.
func callAt(t *testing.T, address, path string) *message.Answer {
	t.Helper()
	pool, closePool := message.NewPool(address, time.Second)
	defer closePool()
	conn, err := pool.Get(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Put(conn)
	a, err := conn.Do(t.Context(), message.Request{Method: http.MethodPost, URI: path, Host: "h", Header: http.Header{"Id": {"1"}}, Body: []byte("x")},
		func(http.Header) string { return "" }, nil)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

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
		{"refused, then served", []conduct{refuses(outcome.CodeFull), serves("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"silent, then served", []conduct{silent, serves("b")}, "/claim/", 200, "b", []int64{0, 1}},
		{"all refuse", []conduct{refuses(outcome.CodeSuspect), refuses(outcome.CodeFull)}, "/claim/", 503, "", []int64{0, 0}},
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
		{"a paid repeat is kept when a gate refuses", []conduct{failsPaid, refuses(outcome.CodeFull), servesPaid}, "/read/", 200, "paid", []int64{1, 0, 1}},
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
	errs := func(ctx context.Context, in *message.Incoming, got func()) *message.Answer {
		a := serves("error")(ctx, in, got)
		a.Status = http.StatusInternalServerError
		return a
	}
	f := newFleet(t, errs, stalls)
	l, closeListener, err := message.Listen("127.0.0.1:0", f.entry.Serve, func() message.Limits { return limits }, hclog.NewNullLogger())
	is.NoErr(err)
	defer closeListener()
	go func() {
		for f.ran[1].Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		l.Stop()
		l.End()
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
			l, closeListener, err := message.Listen("127.0.0.1:0", func(ctx context.Context, in *message.Incoming) *message.Answer {
				awaited = in.Header.Get("Expect") != ""
				return serves("a")(ctx, in, func() {})
			}, func() message.Limits { return limits }, hclog.NewNullLogger())
			is.NoErr(err)
			defer closeListener()
			f := &fleet{entry: newEntry(t, fixedNodes{{Node: "n", Gate: l.Address(), Service: "s", DataCentre: "there", Region: test.region}})}
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
			f := newFleet(t, func(context.Context, *message.Incoming, func()) *message.Answer {
				asks.Add(1)
				return reply(http.StatusServiceUnavailable, outcome.Refused(outcome.CodeFull, "test").WithRetryAt(time.Now().Add(test.roomIn)), "")
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
			f := newFleet(t, func(ctx context.Context, in *message.Incoming, got func()) *message.Answer {
				ask, err := hop.TakeAsk(in.Header, in.Arrived)
				is.NoErr(err)
				given = ask.Deadline.Sub(in.Arrived)
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

// When no configuration is known, callers are told to come back, not that there
// is no route.
func TestWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, serves("a"))
	f.entry.options.Configurations = fixedConfiguration{}
	f.entry.started = time.Now().Add(-startTime)
	a := f.call(t, "/read/")
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.Equal(a.Header.Get("Retry-After"), "0.500")
}

// Just after a start requests wait for the first configuration; later they are
// told at once to come back.
func TestFirstConfigurationIsAwaited(t *testing.T) {
	tests := []struct {
		name       string
		age, after time.Duration
		status     int
	}{
		{"soon after the start", 0, 100 * time.Millisecond, http.StatusOK},
		{"too late after the start", 0, 2 * startTime, http.StatusServiceUnavailable},
		{"long after the start", 2 * startTime, 100 * time.Millisecond, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, serves("a"))
			later := laterConfiguration{f.entry.options.Configurations.(fixedConfiguration), make(chan struct{})}
			f.entry.options.Configurations = later
			f.entry.started = time.Now().Add(-test.age)
			timer := time.AfterFunc(test.after, func() { close(later.changed) })
			defer timer.Stop()
			is.Equal(f.call(t, "/read/").Status, test.status)
		})
	}
}

// laterNodes are unknown until a time.
type laterNodes struct {
	fixedNodes
	from time.Time
}

func (n laterNodes) Version() uint64 { return uint64(len(n.Nodes())) }
func (n laterNodes) Nodes() []roster.Record {
	if time.Now().Before(n.from) {
		return nil
	}
	return n.fixedNodes
}

// Just after a start requests wait for the nodes of their service as well.
func TestFirstNodesAreAwaited(t *testing.T) {
	tests := []struct {
		name   string
		age    time.Duration
		status int
	}{
		{"soon after the start", 0, http.StatusOK},
		{"long after the start", 2 * startTime, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, serves("a"))
			f.entry.directory.nodes = laterNodes{f.entry.options.Nodes.(fixedNodes), time.Now().Add(80 * time.Millisecond)}
			f.entry.started = time.Now().Add(-test.age)
			is.Equal(f.call(t, "/read/").Status, test.status)
		})
	}
}

// Few requests fall to the parts of a route by their weights.
func TestPointsAreEven(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	r := configuration.Route{Name: "r", Parts: []configuration.Part{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	got := map[string]int{}
	for range 100 {
		got[r.PartFor(f.entry.point(r))]++
	}
	is.True(got["b"] >= 9 && got["b"] <= 11)
}
