package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/matryer/is"
)

// maxKeyDelay is how long a change of the keys may take to reach all nodes.
const maxKeyDelay = 3 * time.Second

// draftCustomer returns a customer with the keys.
func draftCustomer(name string, keys ...string) configuration.DraftCustomer {
	return configuration.DraftCustomer{Name: name, Keys: keys}
}

// keyCaller sends requests with a key to one entry, on one connection.
type keyCaller struct {
	t       *testing.T
	address string
	client  *http.Client
	ids     int
}

func newKeyCaller(t *testing.T, v *vm) *keyCaller {
	transport := &http.Transport{MaxConnsPerHost: 1}
	t.Cleanup(transport.CloseIdleConnections)
	return &keyCaller{t: t, address: v.settings.Entry, client: &http.Client{Transport: transport}}
}

// call sends a request whose ID names the customer that targets expect. reused means that
// an earlier request has used the connection.
func (c *keyCaller) call(path, key, customer string) (res *http.Response, reused bool) {
	c.t.Helper()
	ctx := httptrace.WithClientTrace(c.t.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, strings.NewReader("x"))
	if err != nil {
		c.t.Fatal(err)
	}
	c.ids++
	req.Host = "h"
	id := fmt.Sprintf("%s-%d", strings.ReplaceAll(c.address, ".", "-"), c.ids)
	caller.SetHeaders(req.Header, target.RequestID(id, customer), key, time.Second)
	res, err = c.client.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		c.t.Fatal(err)
	}
	res.Body.Close()
	return res, reused
}

// awaitStatusCode calls until the status is the wanted one, and returns how long that took.
// Each call but the first must reuse the connection.
func (c *keyCaller) awaitStatusCode(key, customer string, want int) time.Duration {
	c.t.Helper()
	startedAt := time.Now()
	for time.Since(startedAt) < 2*maxKeyDelay {
		res, _ := c.call("/claim/a", key, customer)
		if res.StatusCode == want {
			return time.Since(startedAt)
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatalf("status %d did not come", want)
	return 0
}

// checkIdentityAudit fails the test if a target got a wrong customer or a key.
func (f *fleet) checkIdentityAudit() {
	f.t.Helper()
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	if n := f.executions.byRequest[target.WrongCustomerID]; n > 0 {
		f.t.Errorf("%d requests reached targets with a wrong customer", n)
	}
	if n := f.executions.byRequest[target.KeyForwardedID]; n > 0 {
		f.t.Errorf("%d requests reached targets with a key", n)
	}
}

// Guards against requests that run without a valid key, against wrong customers at targets
// and against keys that reach them, also while a target sheds and fails requests, so that
// they are retried and hedged.
func TestCustomersOfRequests(t *testing.T) {
	tests := []struct {
		name        string
		customers   []configuration.DraftCustomer
		credentials []caller.Credential
		// unauthorized is the share of the requests that must get 401.
		unauthorized float64
	}{
		{"customers", []configuration.DraftCustomer{draftCustomer("acme", "k1", "k2"), draftCustomer("größer;=&", "k3")},
			[]caller.Credential{{Key: "k1", Customer: "acme"}, {Key: "k2", Customer: "acme"}, {Key: "k3", Customer: "größer;=&"}, {Key: "k4"}, {}}, 0.4},
		{"no customers", nil, []caller.Credential{{Key: "k1"}, {}}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, 3)
			f.publishCustomers(2, test.customers...)
			for _, v := range f.vms {
				f.awaitStatus(v, `"configuration_version":2`)
			}
			var entries []string
			for _, v := range f.vms {
				entries = append(entries, v.settings.Entry)
			}
			f.vms[0].target.SetFaults(target.Faults{ShedShare: 0.3, ResetShare: 0.1})
			l, closeLoad := caller.New(caller.Workload{
				Entries: entries, Host: "h", Paths: []string{"/read/a"}, ClaimPaths: []string{"/claim/a"}, ClaimShare: 0.5, Credentials: test.credentials,
				Rate: 60, Until: time.Now().Add(3 * time.Second), Timeout: 1500 * time.Millisecond, MaxInFlight: 200, Seed: 1,
			})
			defer closeLoad()
			r := l.Run(context.Background())
			f.executions.mu.Lock()
			r = l.Audit(r, f.executions.byRequest)
			f.executions.mu.Unlock()
			if !r.IsCorrect() {
				t.Errorf("%+v", r)
			}
			got := float64(r.Codes[string(outcome.CodeUnauthorized)]) / float64(r.Sent)
			is.True(got >= 0.7*test.unauthorized && got <= 1.3*test.unauthorized)
			is.True(float64(r.Answered) > 0.8*(1-test.unauthorized)*float64(r.Sent))
		})
	}
}

// A removed key must be refused on connections that stay open, an added one accepted,
// within the time that is allowed for both, on each node. Public routes need no key.
func TestKeyRevocationOnKeptConnections(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	f.publishCustomers(2, draftCustomer("acme", "k1"), draftCustomer("zeta", "k2"))
	var callers []*keyCaller
	for _, v := range f.vms {
		f.awaitStatus(v, `"configuration_version":2`)
		c := newKeyCaller(t, v)
		callers = append(callers, c)
		for _, want := range []struct {
			path, key, customer string
			status              int
		}{{"/claim/a", "k1", "acme", 200}, {"/claim/a", "k2", "zeta", 200}, {"/claim/a", "k3", "", 401}, {"/public/a", "k3", "", 200}} {
			res, _ := c.call(want.path, want.key, want.customer)
			is.Equal(res.StatusCode, want.status)
		}
	}
	f.publishCustomers(3, draftCustomer("acme", "k3"), draftCustomer("zeta", "k2"))
	for _, c := range callers {
		took := c.awaitStatusCode("k1", "acme", http.StatusUnauthorized)
		t.Logf("removed key refused after %v", took)
		is.True(took < maxKeyDelay)
		res, reused := c.call("/claim/a", "k3", "acme")
		is.Equal(res.StatusCode, http.StatusOK)
		is.True(reused)
		res, reused = c.call("/claim/a", "k2", "zeta")
		is.Equal(res.StatusCode, http.StatusOK)
		is.True(reused)
	}
	f.checkIdentityAudit()
}

// severableStore is an address of the store of its own, which can be cut off.
type severableStore struct {
	server *httptest.Server
	isCut  atomic.Bool
}

func newSeverableStore(t *testing.T, s *store.Server) *severableStore {
	p := &severableStore{}
	handler := s.Handler()
	p.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.isCut.Load() {
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		p.server.CloseClientConnections()
		p.server.Close()
	})
	return p
}

func (p *severableStore) address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// cut ends the connections to the store and each later request.
func (p *severableStore) cut() {
	p.isCut.Store(true)
	p.server.CloseClientConnections()
}

// A node that cannot reach the store must learn of removed and of added keys from the other
// nodes, in the same time.
func TestKeysAtNodeWithoutStore(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	cutOff := f.vms[0]
	path := newSeverableStore(t, f.store)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cutOff.leave(ctx)
	cutOff.storeAddress = path.address()
	f.startNode(cutOff)
	f.publishCustomers(2, draftCustomer("acme", "k1"))
	for _, v := range f.vms {
		f.awaitStatus(v, `"configuration_version":2,"nodes":3,"gate_open":true`)
	}
	c := newKeyCaller(t, cutOff)
	res, _ := c.call("/claim/a", "k1", "acme")
	is.Equal(res.StatusCode, http.StatusOK)

	path.cut()
	f.publishCustomers(3, draftCustomer("acme", "k2"))
	took := c.awaitStatusCode("k1", "acme", http.StatusUnauthorized)
	t.Logf("removed key refused after %v", took)
	is.True(took < maxKeyDelay)
	res, reused := c.call("/claim/a", "k2", "acme")
	is.Equal(res.StatusCode, http.StatusOK)
	is.True(reused)

	f.publishCustomers(4, draftCustomer("acme", "k2", "k3"))
	took = c.awaitStatusCode("k3", "acme", http.StatusOK)
	t.Logf("added key accepted after %v", took)
	is.True(took < maxKeyDelay)
	f.checkIdentityAudit()
}

// An invalid list of customers must be rejected by all nodes: the active keys stay valid,
// and a later valid version still becomes active.
func TestInvalidCustomersAreRejected(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2)
	f.publishCustomers(2, draftCustomer("acme", "k1"))
	for _, v := range f.vms {
		f.awaitStatus(v, `"configuration_version":2`)
	}
	valid, err := platform.EncodeConfiguration(configuration.Draft{
		Version: 3, Services: []configuration.DraftService{{Name: "s"}},
		Customers: []configuration.DraftCustomer{draftCustomer("acme", "k2"), draftCustomer("zeta", "other")},
	})
	is.NoErr(err)
	client, closeClient := platform.NewStore(f.storeAddress)
	defer closeClient()
	is.NoErr(client.Put(t.Context(), platform.ConfigurationTopic, platform.ConfigurationKey, bytes.Replace(valid, []byte("other"), []byte("k2"), 1)))
	time.Sleep(time.Second)
	for _, v := range f.vms {
		f.awaitStatus(v, `"configuration_version":2`)
		res, _ := newKeyCaller(t, v).call("/claim/a", "k1", "acme")
		is.Equal(res.StatusCode, http.StatusOK)
	}
	f.publishCustomers(4, draftCustomer("acme", "k4"))
	for _, v := range f.vms {
		f.awaitStatus(v, `"configuration_version":4`)
	}
}
