package entry

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// changingConfiguration is a configuration that tests replace.
type changingConfiguration struct {
	mu      sync.Mutex
	current configuration.Configuration
	changed chan struct{}
}

func (c *changingConfiguration) Configuration() configuration.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *changingConfiguration) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *changingConfiguration) set(current configuration.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = current
	close(c.changed)
	c.changed = make(chan struct{})
}

// customersConfiguration returns a configuration of service s with the routes /read/,
// /claim/ and /public/, and with customer acme, which has the keys. Without keys there are
// no customers.
func customersConfiguration(version uint64, keys ...string) configuration.Configuration {
	route := func(name string, idempotent, public bool) configuration.Route {
		return configuration.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Public: public, Timeout: 2 * time.Second,
			TargetLatency: 1500 * time.Millisecond, MaxAttempts: 2, WeightedServices: []configuration.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	c := configuration.New(version, []configuration.Service{{Name: "s"}}, configuration.Limits{},
		[]configuration.Route{route("read", true, false), route("claim", false, false), route("public", true, true)})
	if len(keys) == 0 {
		return c
	}
	d, err := customer.NewDirectory([]customer.Definition{{Customer: customer.Customer{Name: "acme", Priority: 3}, Keys: keys}, {Customer: customer.Customer{Name: "other"}, Keys: []string{"other-key"}}})
	if err != nil {
		panic(err)
	}
	return c.WithCustomers(d)
}

// use makes the entry use a configuration that can change. It must be called before the
// first request.
func (f *gateFleet) use(current configuration.Configuration) *changingConfiguration {
	c := &changingConfiguration{current: current, changed: make(chan struct{})}
	f.entry.options.Configurations = c
	return c
}

// caller sends requests to the entry of a fleet on one connection.
type caller struct {
	t    *testing.T
	pool *http1.Pool
}

func (f *gateFleet) newCaller(t *testing.T) *caller {
	t.Helper()
	l, closeListener, err := http1.Listen("127.0.0.1:0", f.entry.Serve, func() http1.Limits { return limits }, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	pool, closePool := http1.NewPool(l.Address(), time.Second)
	t.Cleanup(func() {
		closePool()
		closeListener()
	})
	return &caller{t, pool}
}

// call sends a request with a key, or with none. reused means that an earlier request has
// used the connection.
func (c *caller) call(path, key string) (resp *http1.Response, reused bool) {
	c.t.Helper()
	conn, err := c.pool.Get(c.t.Context(), time.Minute)
	if err != nil {
		c.t.Fatal(err)
	}
	defer c.pool.Put(conn)
	h := http.Header{"Id": {"1"}, "Customer": {"forged"}}
	if key != "" {
		h.Set("Key", key)
	}
	resp, err = conn.Do(c.t.Context(), http1.Request{Method: http.MethodPost, URI: path, Host: "h", Header: h, Body: []byte("x")},
		func(http.Header) string { return "" }, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, conn.Reused
}

// recordHeaders answers each request and sends its header and hop metadata to the channel.
func recordHeaders(to chan<- received) gateBehaviour {
	return func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		request, _ := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
		to <- received{in.Header.Clone(), request}
		return respondOK("a")(ctx, in, onBody)
	}
}

type received struct {
	header  http.Header
	request hopheader.Request
}

// Guards against requests that run without a valid key, against valid ones that are
// refused, and against a key or a forged customer that leaves the entry.
func TestAuthentication(t *testing.T) {
	tests := []struct {
		name, path, key string
		keys            []string
		status          int
		customer        string
		priority        int
	}{
		{"known key", "/claim/", "k1", []string{"k1"}, 200, "acme", 3},
		{"second key", "/claim/", "k2", []string{"k1", "k2"}, 200, "acme", 3},
		{"unknown key", "/claim/", "k3", []string{"k1"}, 401, "", 0},
		{"no key", "/claim/", "", []string{"k1"}, 401, "", 0},
		{"public route with a key", "/public/", "k1", []string{"k1"}, 200, "", 0},
		{"public route without a key", "/public/", "", []string{"k1"}, 200, "", 0},
		{"public route with an unknown key", "/public/", "k3", []string{"k1"}, 200, "", 0},
		{"no customers, no key", "/claim/", "", nil, 200, "", 0},
		{"no customers, a key", "/claim/", "k1", nil, 200, "", 0},
		{"no route", "/other/", "k3", []string{"k1"}, 404, "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := make(chan received, 1)
			f := newGateFleet(t, recordHeaders(got))
			f.use(customersConfiguration(1, test.keys...))
			resp, _ := f.newCaller(t).call(test.path, test.key)
			is.Equal(resp.Status, test.status)
			if test.status != http.StatusOK {
				is.Equal(f.bodiesReceived[0].Load(), int64(0))
				is.Equal(resp.Header.Get("Retry-After"), "")
				return
			}
			r := <-got
			is.Equal(r.request.Customer, test.customer)
			is.Equal(r.request.CustomerPriority, test.priority)
			is.Equal(r.header.Get("Key"), "")
			is.Equal(r.header.Get("Customer"), "")
		})
	}
}

// The responses must say what callers may do: 401 without Retry-After for a key that is not
// known, 503 while there is no configuration, whatever the key.
func TestUnauthorizedResponse(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, respondOK("a"))
	f.use(customersConfiguration(1, "k1"))
	resp, _ := f.newCaller(t).call("/claim/", "k2")
	is.Equal(resp.Status, http.StatusUnauthorized)
	is.Equal(resp.Header.Get(outcome.HeaderCode), string(outcome.CodeUnauthorized))
	is.Equal(resp.Header.Get(outcome.HeaderOutcome), string(outcome.NotRun))
	f = newGateFleet(t, respondOK("a"))
	f.use(configuration.Configuration{})
	f.entry.startedAt = time.Now().Add(-startupWait)
	resp, _ = f.newCaller(t).call("/claim/", "k2")
	is.Equal(resp.Status, http.StatusServiceUnavailable)
}

// A key that is removed must be refused on a connection that stays open, and a key that is
// added must be accepted on it.
func TestKeyChangesOnKeptConnection(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, respondOK("a"))
	configurations := f.use(customersConfiguration(1, "k1"))
	c := f.newCaller(t)
	steps := []struct {
		keys   []string
		key    string
		status int
	}{{[]string{"k1"}, "k1", 200}, {[]string{"k2"}, "k1", 401}, {[]string{"k2"}, "k2", 200}, {nil, "", 200}, {[]string{"k1"}, "k1", 200}}
	for i, step := range steps {
		configurations.set(customersConfiguration(uint64(i+2), step.keys...))
		resp, reused := c.call("/claim/", step.key)
		is.Equal(resp.Status, step.status)
		is.Equal(reused, i > 0)
	}
}

// A request that no gate has granted must be refused at once when its key is removed, and
// must not run. One that a gate has granted must run on, and one of a key that stays must
// not notice.
func TestKeyRemovedWhileRequestWaits(t *testing.T) {
	tests := []struct {
		name, path string
		behaviour  func(entered chan<- struct{}, release <-chan struct{}) gateBehaviour
		keysAfter  []string
		status     int
		bodies     int64
	}{
		{"queued at a gate", "/claim/", queueUntil, []string{"k2"}, 401, 0},
		{"queued read", "/read/", queueUntil, []string{"k2"}, 401, 0},
		{"queued, key stays", "/claim/", queueUntil, []string{"k2", "k1"}, 200, 1},
		{"queued, no customers any more", "/claim/", queueUntil, nil, 200, 1},
		{"queued on a public route", "/public/", queueUntil, []string{"k2"}, 200, 1},
		{"granted", "/claim/", runUntil, []string{"k2"}, 200, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			entered, release := make(chan struct{}, 1), make(chan struct{})
			f := newGateFleet(t, test.behaviour(entered, release))
			configurations := f.use(customersConfiguration(1, "k1"))
			c := f.newCaller(t)
			status := make(chan int, 1)
			go func() {
				resp, _ := c.call(test.path, "k1")
				status <- resp.Status
			}()
			<-entered
			changedAt := time.Now()
			configurations.set(customersConfiguration(2, test.keysAfter...))
			if test.status == http.StatusOK {
				time.AfterFunc(100*time.Millisecond, func() { close(release) })
			}
			is.Equal(<-status, test.status)
			if test.status == http.StatusUnauthorized {
				is.True(time.Since(changedAt) < 500*time.Millisecond) // the gate would queue it for longer
				close(release)
				time.Sleep(50 * time.Millisecond) // a gate that grants late must get no body
			}
			is.Equal(f.bodiesReceived[0].Load(), test.bodies)
			is.True(!f.entry.directory.candidates("s")[0].snapshot(time.Now()).unreachable)
		})
	}
}

// queueUntil grants a request when release is closed.
func queueUntil(entered chan<- struct{}, release <-chan struct{}) gateBehaviour {
	return func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		entered <- struct{}{}
		<-release
		return respondOK("a")(ctx, in, onBody)
	}
}

// runUntil grants a request at once and responds when release is closed.
func runUntil(entered chan<- struct{}, release <-chan struct{}) gateBehaviour {
	return func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		resp := respondOK("a")(ctx, in, onBody)
		entered <- struct{}{}
		<-release
		return resp
	}
}

// A request between two rounds must not be sent to a gate any more when its key is removed.
func TestKeyRemovedBetweenRounds(t *testing.T) {
	is := is.New(t)
	var attempts atomic.Int64
	refused := make(chan struct{}, maxGateAttempts)
	f := newGateFleet(t, func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		attempts.Add(1)
		refused <- struct{}{}
		return refuseWith(outcome.CodeTargetSuspected)(ctx, in, onBody)
	})
	configurations := f.use(customersConfiguration(1, "k1"))
	c := f.newCaller(t)
	status := make(chan int, 1)
	go func() {
		resp, _ := c.call("/claim/", "k1")
		status <- resp.Status
	}()
	<-refused
	configurations.set(customersConfiguration(2, "k2"))
	is.Equal(<-status, http.StatusUnauthorized)
	is.True(attempts.Load() < maxGateAttempts)
}

// Logs must show the customer and never a key, valid or not: they are kept longer and read
// by more people than keys are.
func TestKeyIsNotLogged(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, respondOK("a"))
	configurations := f.use(customersConfiguration(1, "valid-secret"))
	var log bytes.Buffer
	f.entry.options.Logger = hclog.New(&hclog.LoggerOptions{Output: &log, Level: hclog.Trace})
	c := f.newCaller(t)
	for _, key := range []string{"valid-secret", "unknown-secret", ""} {
		c.call("/claim/", key)
	}
	configurations.set(customersConfiguration(2, "another-secret"))
	c.call("/claim/", "valid-secret")
	is.True(strings.Contains(log.String(), "customer=acme"))
	is.True(!strings.Contains(log.String(), "secret"))
	is.Equal(strings.Count(log.String(), "request not authenticated"), 3)
}

// A request that has run, with unknown outcome, must not be reported as not run because
// its key was removed before its retry.
func TestKeyRemovedAfterFailure(t *testing.T) {
	is := is.New(t)
	var configurations *changingConfiguration
	fail := func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		resp := failRequest(ctx, in, onBody)
		configurations.set(customersConfiguration(2, "k2"))
		return resp
	}
	f := newGateFleet(t, fail, respondOK("b"))
	configurations = f.use(customersConfiguration(1, "k1"))
	resp, _ := f.newCaller(t).call("/read/", "k1")
	is.Equal(resp.Status, http.StatusBadGateway)
	is.Equal(f.bodiesReceived[1].Load(), int64(0))
}

// Guards against a 401 for a valid key: the refusal of a request whose key was removed must
// not be given to an equal request of the same customer with another key.
func TestRefusalForRemovedKeyIsNotGivenToOthers(t *testing.T) {
	is := is.New(t)
	entered, release := make(chan struct{}, 4), make(chan struct{})
	f := newGateFleet(t, queueUntil(entered, release))
	shared := configuration.Modes{Scheduling: configuration.SchedulingShared}
	configurations := f.use(customersConfiguration(1, "k1", "k2").WithModes(shared))
	c := f.newCaller(t)
	status := make(chan int, 1)
	go func() {
		resp, _ := c.call("/claim/", "k1")
		status <- resp.Status
	}()
	<-entered
	configurations.set(customersConfiguration(2, "k2").WithModes(shared))
	is.Equal(<-status, http.StatusUnauthorized)
	close(release)
	resp, _ := c.call("/claim/", "k2")
	is.Equal(resp.Status, http.StatusOK)
}
