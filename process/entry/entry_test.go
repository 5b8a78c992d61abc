package entry

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/request/choice"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// fakeGate answers every attempt in one way and counts them.
type fakeGate struct {
	behave   func(w http.ResponseWriter, r *http.Request)
	attempts atomic.Int64
}

func (g *fakeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.attempts.Add(1)
	g.behave(w, r)
}

func answers(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcome.HeaderOutcome, string(outcome.Answered))
	_, _ = w.Write([]byte("done"))
}

func refuses(code outcome.Code) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		outcome.Refused(code, http.StatusServiceUnavailable, "no").Write(w, r.Header.Get(outcome.HeaderRequestID), time.Now())
	}
}

func fails(w http.ResponseWriter, r *http.Request) {
	outcome.Failed(outcome.CodeTargetFailed, http.StatusBadGateway, "no").Write(w, r.Header.Get(outcome.HeaderRequestID), time.Now())
}

func breaks(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

type fixedNodes struct{ index choice.Index }

func (n fixedNodes) Index() choice.Index                                        { return n.index }
func (fixedNodes) GateOf(string) (string, bool)                                 { return "", false }
func (fixedNodes) MayUseRemote(int) bool                                        { return true }
func (fixedNodes) SpendRemote(int)                                              {}
func (fixedNodes) Attempt(choice.Tier, bool)                                    {}
func (fixedNodes) State() ledger.State                                          { return state() }
func (fixedNodes) IsReady() bool                                                { return true }
func (fixedNodes) Outcome(string, outcome.Outcome, outcome.Code, time.Duration) {}

func state() ledger.State {
	c := configuration.Change{
		Services: []configuration.Service{{Name: "reparto", Routes: []configuration.Route{
			{PathPrefix: "/reparto"},
			{PathPrefix: "/reparto/claims", Methods: []string{"POST"}, NeverRepeat: true},
		}}},
		Customers: []configuration.Customer{{Name: "slow", RequestsPerSecond: 1, Burst: 1}},
	}
	return ledger.State{Version: 1, Configuration: configuration.Configuration{}.With(c, 1, "ana")}
}

// newTestEntry returns an entry before the given gates, the first of which is
// the nearest.
func newTestEntry(t *testing.T, gates ...*fakeGate) *Entry {
	t.Helper()
	self := roster.Node{ID: "node0", Region: "r", DataCentre: "d"}
	places := []roster.Node{
		{ID: "node0", Region: "r", DataCentre: "d"},
		{ID: "node1", Region: "r", DataCentre: "d"},
		{ID: "node2", Region: "r", DataCentre: "other"},
	}
	var nodes []roster.Node
	for i, g := range gates {
		s := httptest.NewServer(g)
		t.Cleanup(s.Close)
		n := places[i]
		n.Gate = strings.TrimPrefix(s.URL, "http://")
		n.Targets = []roster.Target{{Service: "reparto", Slots: 3}}
		nodes = append(nodes, n)
	}
	client, closeClient := relay.NewClient()
	t.Cleanup(closeClient)
	f := fixedNodes{index: choice.Index{}.With(self, nodes)}
	return New(Options{
		Clock: time.Now, Logger: hclog.NewNullLogger(), Client: client, States: f, Nodes: f, Meter: f,
		Self: "node0", Random: rand.New(rand.NewPCG(1, 1)),
	})
}

func TestOutcomes(t *testing.T) {
	const lost = outcome.CodeGateLost
	tests := []struct {
		name   string
		method string
		first  func(http.ResponseWriter, *http.Request)
		second func(http.ResponseWriter, *http.Request)
		want   outcome.Outcome
		code   outcome.Code
		// tries counts the attempts at the first and the second gate.
		tries [2]int64
	}{
		{"answered", "GET", answers, answers, outcome.Answered, "", [2]int64{1, 0}},
		{"not run, so another gate may", "POST", refuses(outcome.CodeNoTarget), answers, outcome.Answered, "", [2]int64{1, 1}},
		{"not run anywhere", "POST", refuses(outcome.CodeNoTarget), refuses(outcome.CodeNotInTime), outcome.NotRun, outcome.CodeNotInTime, [2]int64{1, 1}},
		{"failed, idempotent", "GET", fails, answers, outcome.Answered, "", [2]int64{1, 1}},
		{"failed, not idempotent", "POST", fails, answers, outcome.Unknown, outcome.CodeTargetFailed, [2]int64{1, 0}},
		{"connection broke, not idempotent", "POST", breaks, answers, outcome.Unknown, lost, [2]int64{1, 0}},
		{"failed first, so not called not run", "GET", fails, refuses(outcome.CodeNoTarget), outcome.Unknown, outcome.CodeTargetFailed, [2]int64{1, 1}},
		{"without an outcome", "POST", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }, answers, outcome.Unknown, lost, [2]int64{1, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			gates := []*fakeGate{{behave: test.first}, {behave: test.second}}
			e := newTestEntry(t, gates...)
			w := httptest.NewRecorder()
			e.ServeHTTP(w, httptest.NewRequest(test.method, "/reparto/x", strings.NewReader("body")))
			is.Equal(outcome.Outcome(w.Header().Get(outcome.HeaderOutcome)), test.want)
			is.Equal(outcome.Code(w.Header().Get(outcome.HeaderCode)), test.code)
			is.Equal([2]int64{gates[0].attempts.Load(), gates[1].attempts.Load()}, test.tries)
		})
	}
}

// A gate that takes requests and never answers, as on a frozen VM, costs an
// idempotent request half of its time and not its answer.
func TestMovesOnFromSilentGate(t *testing.T) {
	tests := []struct {
		method string
		want   outcome.Outcome
		code   outcome.Code
		tries  int64
	}{
		{"GET", outcome.Answered, "", 1},
		{"POST", outcome.Unknown, outcome.CodeTimeout, 0},
	}
	for _, test := range tests {
		t.Run(test.method, func(t *testing.T) {
			is := is.New(t)
			silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
			second := &fakeGate{behave: answers}
			e := newTestEntry(t, &fakeGate{behave: silent}, second)
			r := httptest.NewRequest(test.method, "/reparto", nil)
			r.Header.Set(outcome.HeaderTimeout, "1000")
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			is.Equal(outcome.Outcome(w.Header().Get(outcome.HeaderOutcome)), test.want)
			is.Equal(outcome.Code(w.Header().Get(outcome.HeaderCode)), test.code)
			is.Equal(second.attempts.Load(), test.tries)
		})
	}
}

// What is wrong with a request is told before any gate sees it.
func TestRefusesBadRequests(t *testing.T) {
	key := "9f1c5a3e-6f0b-4c8e-8a3f-1f2d3c4b5a69"
	tests := []struct {
		name, method, path string
		header             http.Header
		code               outcome.Code
		status             int
	}{
		{"no route", "GET", "/nowhere", nil, outcome.CodeNoRoute, 404},
		{"a longer first segment is another path", "GET", "/repartos", nil, outcome.CodeNoRoute, 404},
		{"method", "GET", "/reparto/claims", nil, outcome.CodeMethod, 405},
		{"claim without a key", "POST", "/reparto/claims/7", nil, outcome.CodeClaimKeyMissing, 400},
		{"claim with a key that holds no time", "POST", "/reparto/claims/7", http.Header{outcome.HeaderKey: {key}}, outcome.CodeClaimKeyFormat, 400},
		{"timeout", "GET", "/reparto", http.Header{outcome.HeaderTimeout: {"soon"}}, outcome.CodeBadRequest, 400},
		{"body", "POST", "/reparto", http.Header{"X-Large": {"1"}}, outcome.CodeBodyTooLarge, 413},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := &fakeGate{behave: answers}
			e := newTestEntry(t, g)
			body := strings.NewReader("x")
			if test.header.Get("X-Large") != "" {
				body = strings.NewReader(strings.Repeat("x", 2<<20))
			}
			r := httptest.NewRequest(test.method, test.path, body)
			for k, v := range test.header {
				r.Header[k] = v
			}
			w := httptest.NewRecorder()
			e.ServeHTTP(w, r)
			is.Equal(outcome.Code(w.Header().Get(outcome.HeaderCode)), test.code)
			is.Equal(w.Code, test.status)
			is.Equal(w.Header().Get(outcome.HeaderOutcome), string(outcome.NotRun))
			is.Equal(g.attempts.Load(), int64(0))
		})
	}
}

func TestCustomerLimit(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(t, &fakeGate{behave: answers})
	codes := []int{}
	for range 2 {
		r := httptest.NewRequest("GET", "/reparto", nil)
		r.Header.Set(outcome.HeaderCustomer, "slow")
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		codes = append(codes, w.Code)
		if w.Code == http.StatusTooManyRequests {
			is.True(w.Header().Get("Retry-After") != "")
		}
	}
	is.Equal(codes, []int{200, 429})
}

// Retries are at most a share of the requests.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget()
	spent := 0
	for range 1000 {
		b.earn()
		if b.spend() {
			spent++
		}
	}
	is.True(spent <= firstRetryToken+100) // a tenth, and what there was at first
	is.True(spent >= 100)
}

// A caller cannot pass as a node.
func TestCallerHeadersAreDropped(t *testing.T) {
	is := is.New(t)
	var got http.Header
	e := newTestEntry(t, &fakeGate{behave: func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		answers(w, r)
	}})
	r := httptest.NewRequest("POST", "/reparto", nil)
	r.Header.Set(outcome.HeaderSeat, "1")
	r.Header.Set("Cuminwheel-Idempotent", "1")
	r.Header.Set(outcome.HeaderRequestID, "forged")
	e.ServeHTTP(httptest.NewRecorder(), r)
	is.Equal(got.Get(outcome.HeaderSeat), "")
	is.Equal(got.Get("Cuminwheel-Idempotent"), "")
	is.True(got.Get(outcome.HeaderRequestID) != "forged")
}

// After a silent holder the other members come first, since one of them may
// have won the seat meanwhile.
func TestHoldersOrder(t *testing.T) {
	is := is.New(t)
	var h holders
	seat := ledger.Seat{Service: "reparto", Members: []string{"a", "b", "c"}}
	is.Equal(h.order(seat), []string{"a", "b", "c"})
	h.found(seat, "c")
	is.Equal(h.order(seat), []string{"c", "a", "b"})
	h.silent(seat, "c")
	is.Equal(h.order(seat), []string{"a", "b", "c"})
	h.found(seat, "gone")
	is.Equal(h.order(seat), []string{"a", "b", "c"}) // no member any more
}
