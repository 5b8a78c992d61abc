package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/matryer/is"
)

// Guards against a refusal that a target sends twice: the second copy arrives while the
// target runs the next attempt of the same request, which must not be reported as not run.
func TestRepeatedRefusalIsNotTakenForTheNextAttempt(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1)
	f.vms[0].target.SetFaults(target.Faults{ShedShare: 0.5, RepeatShare: 1, SlowFactor: 2})
	r := f.load(f.vms, func() {})
	is.True(r.NotRun > 0)
	is.True(r.Answered > 0)
	is.Equal(r.FalseNotRun, 0)
	is.Equal(r.Duplicated, 0)
}

// Guards against false reports to callers when targets, the store or a node fail
// or leave: requests that are executed twice, lost, given the response to another
// request or wrongly reported as not executed, and requests that begin at
// a draining target. At least 80% of the requests must get a response.
func TestFaultsCauseNoFalseReports(t *testing.T) {
	tests := []struct {
		name   string
		during func(*fleet)
	}{
		{"nothing", func(*fleet) {}},
		{"a target resets most requests", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{ResetShare: 0.85}) }},
		{"a target stalls", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{Stall: true}) }},
		{"a target truncates responses", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{Truncate: true}) }},
		{"a target returns the responses to other requests", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{WrongRequestID: true}) }},
		{"a target sends an extra response", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{DuplicateResponse: true}) }},
		{"a target sheds requests", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{ShedShare: 0.9}) }},
		{"a target repeats its refusals", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{ShedShare: 0.5, RepeatShare: 1}) }},
		{"a target ends in the head of responses", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{TruncateHead: true}) }},
		{"the store is unavailable", func(f *fleet) { f.store.SetFaults(store.Faults{Outage: true}) }},
		{"a target leaves", func(f *fleet) { go f.vms[0].announcer.Deregister(context.Background()) }},
		{"a node leaves", func(f *fleet) {
			go f.vms[3].leave(context.Background())
		}},
	}
	// At most two fleets run at a time, since the results depend on getting
	// CPU time when it is needed.
	semaphore := make(chan struct{}, 2)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			is := is.New(t)
			f := startFleet(t, 4)
			r := f.load(f.vms[:3], func() { tt.during(f) })
			is.True(r.IsCorrect())
			is.True(r.Claims > 0)
			if r.Answered < r.Sent*8/10 {
				t.Errorf("%+v", r)
			}
		})
	}
}

// The metrics that operators' dashboards read must be served under their names at
// both the admin and the metrics address.
func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2)
	f.loadFor(200*time.Millisecond, f.vms, func() {})
	for _, address := range []string{f.vms[0].settings.Admin, f.vms[0].settings.Metrics} {
		res, err := http.Get("http://" + address + "/metrics")
		is.NoErr(err)
		b, err := io.ReadAll(res.Body)
		is.NoErr(err)
		res.Body.Close()
		for _, name := range []string{"cuminwheel_requests_total{", "cuminwheel_request_seconds_bucket{", "cuminwheel_asks_total{",
			"cuminwheel_configuration_version 1", "cuminwheel_configuration_behind_seconds 0", "cuminwheel_known_nodes 2"} {
			is.True(strings.Contains(string(b), name))
		}
	}
}

// A node that starts while the store is unavailable gets the configuration and
// the records of the other nodes by gossip.
func TestRestartWithoutStore(t *testing.T) {
	f := newFleet(t, 3)
	f.publish(4)
	for _, v := range f.vms {
		f.awaitStatus(v, `"configuration_version":4,"nodes":3`)
	}
	f.store.SetFaults(store.Faults{Outage: true})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f.vms[0].leave(ctx)
	f.startNode(f.vms[0])
	f.awaitStatus(f.vms[0], `"ready":true,"leaving":false,"configuration_version":4,"nodes":3`)
	f.awaitStatus(f.vms[0], `"gate_open":true`)
	f.store.SetFaults(store.Faults{})
	f.publish(5)
	for _, v := range f.vms {
		f.awaitStatus(v, `"configuration_version":5`)
	}
}

// After all nodes were killed at once, the restarted nodes find each other with
// their first read of the store, which still has their records. Without it callers
// would wait for the second read, after settleTime.
func TestAllRestartTogether(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, v := range f.vms {
		v.leave(ctx)
	}
	start := time.Now()
	for _, v := range f.vms {
		f.startNode(v)
	}
	for _, v := range f.vms {
		f.awaitStatus(v, `"nodes":4`)
	}
	is.True(time.Since(start) < 900*time.Millisecond) // before the second read of the store
}

// The store may come back from a copy some seconds old. The configuration must not
// revert, the operator's next version must become active, the record of a node that
// joined since must be in the store again, and that of a node that left since must
// not.
func TestStoreComesBackFromOlderCopy(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	copiedAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	f.publish(2)
	f.publish(3)
	joined := f.addVM()
	left := f.vms[0]
	is.NoErr(left.announcer.Deregister(t.Context()))
	left.leave(t.Context())
	for _, v := range f.vms[1:] {
		f.awaitStatus(v, `"configuration_version":3,"nodes":3`)
	}
	f.store.SetFaults(store.Faults{RevertMillis: int(time.Since(copiedAt).Milliseconds()) - 50})
	client, closeClient := platform.NewStore(f.storeAddress)
	defer closeClient()
	stored := func() map[string]bool {
		records, _, err := platform.NewNodeRegistry(client).Nodes(t.Context())
		is.NoErr(err)
		addresses := map[string]bool{}
		for _, r := range records {
			addresses[r.ControlAddress] = true
		}
		return addresses
	}
	is.True(stored()[left.settings.Control])
	is.True(!stored()[joined.settings.Control])
	time.Sleep(2 * time.Second) // within which the platform expects entries back
	is.True(stored()[joined.settings.Control])
	is.True(!stored()[left.settings.Control])
	for _, v := range f.vms[1:] {
		f.awaitStatus(v, `"configuration_version":3,"nodes":3`)
	}
	f.publish(4)
	for _, v := range f.vms[1:] {
		f.awaitStatus(v, `"configuration_version":4,"nodes":3`)
	}
}
