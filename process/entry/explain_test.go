package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/process/quota"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/customer"
	"github.com/matryer/is"
)

// dump returns the content of a value, unexported fields and targets of pointers included.
// Functions and channels have no content.
func dump(v reflect.Value, visited map[uintptr]bool) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || visited[v.Pointer()] {
			return "-"
		}
		visited[v.Pointer()] = true
		return dump(v.Elem(), visited)
	case reflect.Interface:
		if v.IsNil() {
			return "-"
		}
		return dump(v.Elem(), visited)
	case reflect.Struct:
		var parts []string
		for i := range v.NumField() {
			parts = append(parts, v.Type().Field(i).Name+":"+dump(v.Field(i), visited))
		}
		return "{" + strings.Join(parts, " ") + "}"
	case reflect.Slice, reflect.Array:
		var parts []string
		for i := range v.Len() {
			parts = append(parts, dump(v.Index(i), visited))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case reflect.Map:
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int {
			return strings.Compare(dump(a, map[uintptr]bool{}), dump(b, map[uintptr]bool{}))
		})
		var parts []string
		for _, k := range keys {
			parts = append(parts, dump(k, map[uintptr]bool{})+"="+dump(v.MapIndex(k), visited))
		}
		return "map[" + strings.Join(parts, " ") + "]"
	case reflect.Func, reflect.Chan, reflect.UnsafePointer:
		return v.Kind().String()
	}
	return fmt.Sprint(v)
}

func stateOf(e *Entry) string {
	visited := map[uintptr]bool{}
	return strings.Join([]string{
		dump(reflect.ValueOf(e.splitPoints), visited), dump(reflect.ValueOf(e.refusals), visited), dump(reflect.ValueOf(e.directory), visited),
		dump(reflect.ValueOf(e.options.Quarantine), visited), dump(reflect.ValueOf(e.options.Quotas), visited),
	}, "\n")
}

// explainedFleet returns a fleet whose configuration has a customer with the key k, a route
// split over two services, of which t has no gate, and the modes. requests counts what the
// gates get.
func explainedFleet(t *testing.T, modes configuration.Modes) (f *gateFleet, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	behave := func(ctx context.Context, in *http1.IncomingRequest, onBody func()) *http1.Response {
		requests.Add(1)
		return respondOK("")(ctx, in, onBody)
	}
	f = newGateFleet(t, behave, behave)
	customers, err := customer.NewDirectory([]customer.Definition{{Customer: customer.Customer{Name: "acme", RequestsPerSecond: 5, Burst: 5}, Keys: []string{"k"}}})
	if err != nil {
		t.Fatal(err)
	}
	route := func(name string, weighted ...configuration.WeightedService) configuration.Route {
		return configuration.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: true, Public: name == "read", Timeout: 1200 * time.Millisecond,
			TargetLatency: 600 * time.Millisecond, MaxAttempts: 2, WeightedServices: weighted,
		}
	}
	c := configuration.New(7, []configuration.Service{{Name: "s"}, {Name: "t"}}, configuration.Limits{MaxBodyBytes: 1000}, []configuration.Route{
		route("read", configuration.WeightedService{Service: "s", Weight: 1}),
		route("split", configuration.WeightedService{Service: "s", Weight: 3}, configuration.WeightedService{Service: "t", Weight: 1}),
	})
	f.entry.options.Configurations = staticConfiguration{c.WithCustomers(customers).WithModes(modes)}
	f.entry.options.Quotas = &countingQuotas{decision: quota.Decision{Allowed: true, Stock: 3, Age: time.Second}}
	return f, requests
}

var explainedModes = []configuration.Modes{{}, {Balancing: configuration.BalancingEven, Scheduling: configuration.SchedulingShared}}

// Guards against an explanation that takes tokens, advances a split, counts a return or
// sends anything to a gate.
func TestExplainChangesNothing(t *testing.T) {
	for _, modes := range explainedModes {
		t.Run(fmt.Sprintf("%+v", modes), func(t *testing.T) {
			is := is.New(t)
			f, requests := explainedFleet(t, modes)
			is.Equal(f.call(t, "/read/a").Status, http.StatusOK)
			e, now := f.entry, time.Now()
			refused := &call{route: configuration.Route{Name: "read", Idempotent: true}, deadline: now.Add(time.Minute), in: &http1.IncomingRequest{ReceivedAt: now}}
			refused.fingerprint = fingerprint.Of("", http.MethodGet, "h", "/read/early", nil)
			e.refusals.record(refused, outcome.CodeTargetFull, now.Add(time.Minute), now)
			e.splitPoints["split"] = 0.25
			before, sent := stateOf(e), requests.Load()
			for range 20 {
				for _, path := range []string{"/read/a", "/read/early", "/split/a", "/none"} {
					for _, key := range []string{"", "k", "wrong"} {
						e.Explain(Inquiry{Host: "h", Path: path, Method: http.MethodGet, Key: key})
						e.Explain(Inquiry{Host: "h", Path: path, Method: http.MethodGet, Key: key, DeadlineMillis: 300, BodyBytes: 9})
					}
				}
			}
			is.Equal(stateOf(e), before)
			is.Equal(requests.Load(), sent)
			// The comparison must notice what a request changes.
			e.nextSplitPoint(configuration.Route{Name: "split", WeightedServices: make([]configuration.WeightedService, 2)})
			is.True(stateOf(e) != before)
		})
	}
}

// Guards against an explanation that rebuilds the directory, which opens and closes
// connection pools, or that shows the nodes from before a change.
func TestExplainWithChangedNodes(t *testing.T) {
	for _, modes := range explainedModes {
		t.Run(fmt.Sprintf("%+v", modes), func(t *testing.T) {
			is := is.New(t)
			f, _ := explainedFleet(t, modes)
			nodes := &changingNodes{version: 1, nodes: f.entry.directory.nodes.Nodes()}
			f.entry.directory.nodes = nodes
			is.Equal(f.call(t, "/read/a").Status, http.StatusOK)
			other := membership.Record{ControlAddress: "127.0.0.1:1", GateAddress: "127.0.0.1:1", Service: "s", DataCentre: "far", Region: "other"}
			nodes.nodes, nodes.version = append([]membership.Record{other}, nodes.nodes[:1]...), 2
			before := stateOf(f.entry)
			peeked := f.entry.Explain(Inquiry{Host: "h", Path: "/read/a", Method: http.MethodGet}).Services[0].Candidates
			is.Equal(stateOf(f.entry), before)
			f.entry.directory.candidates("s")
			rebuilt := f.entry.Explain(Inquiry{Host: "h", Path: "/read/a", Method: http.MethodGet}).Services[0].Candidates
			is.Equal(len(peeked), 2)
			for i := range peeked {
				is.Equal(peeked[i].Gate, rebuilt[i].Gate)
				is.Equal(peeked[i].Tier, rebuilt[i].Tier)
				is.Equal(peeked[i].Passes, rebuilt[i].Passes)
				is.Equal(peeked[i].Slots, rebuilt[i].Slots)
			}
		})
	}
}

// Guards against an explanation that differs from what a request gets, or shows the key.
func TestExplain(t *testing.T) {
	tests := []struct {
		name    string
		inquiry Inquiry
		status  int
		code    outcome.Code
		shares  []float64
	}{
		{"public", Inquiry{Path: "/read/a"}, 0, "", []float64{1}},
		{"with key", Inquiry{Path: "/split/a?x=1", Key: "k"}, 0, "", []float64{0.75, 0.25}},
		{"without key", Inquiry{Path: "/split/a"}, http.StatusUnauthorized, outcome.CodeUnauthorized, nil},
		{"unknown key", Inquiry{Path: "/split/a", Key: "hidden"}, http.StatusUnauthorized, outcome.CodeUnauthorized, nil},
		{"no route", Inquiry{Path: "/none"}, http.StatusNotFound, outcome.CodeNoRoute, nil},
		{"large body", Inquiry{Path: "/read/a", BodyBytes: 1001}, http.StatusRequestEntityTooLarge, outcome.CodeBodyTooLarge, nil},
	}
	for _, modes := range explainedModes {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%s/%+v", tt.name, modes), func(t *testing.T) {
				is := is.New(t)
				f, _ := explainedFleet(t, modes)
				tt.inquiry.Host, tt.inquiry.Method = "h:80", http.MethodGet
				x := f.entry.Explain(tt.inquiry)
				is.Equal(x.ConfigurationVersion, uint64(7))
				text, err := json.Marshal(x)
				is.NoErr(err)
				is.True(!strings.Contains(string(text), "hidden")) // the key must not be shown
				if tt.code != "" {
					is.Equal(x.Refusal.Code, tt.code)
					is.Equal(x.Refusal.Status, tt.status)
					is.Equal(len(x.Services), 0)
					return
				}
				is.True(x.Refusal == nil)
				var shares []float64
				for _, s := range x.Services {
					shares = append(shares, s.Share)
				}
				is.Equal(shares, tt.shares)
				s := x.Services[0]
				is.Equal(len(s.Candidates), 2)
				is.Equal(len(s.Passes), len(selectionPasses))
				is.True(s.Passes[0].Gate != "")
				is.True(slices.Contains(s.Candidates[0].Passes, 1))
				is.Equal(s.Candidates[0].CostMillis != nil, modes.IsEven())
				is.Equal(s.Candidates[0].Cost != nil, !modes.IsEven())
				if tt.inquiry.Key == "k" {
					is.Equal(x.Customer.Name, "acme")
					is.Equal(*x.Customer.Tokens, 3)
					is.Equal(x.Services[1].Refusal.Code, outcome.CodeNoTarget)
					is.True(x.Services[1].Refusal.RetryAfter != "")
				}
			})
		}
	}
}
