package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/node"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// counter counts the runs of each request, over all targets.
type counter struct {
	mu  sync.Mutex
	ran map[string]int
}

func (c *counter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range strings.Fields(string(p)) {
		c.ran[id]++
	}
	return len(p), nil
}

// vm is a node with the target beside it.
type vm struct {
	settings settings.Settings
	target   *target.Server
	announce *target.Announcer
	leave    func(context.Context)
	node     *node.Node
}

// fleet is a store, and VMs with nodes and targets of one service.
type fleet struct {
	t     *testing.T
	store *store.Server
	at    string
	ran   *counter
	vms   []*vm
}

// hosts counts the VMs of all tests; each has a loopback address of its own, so
// that no two listen on one port.
var hosts atomic.Int64

func newFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: store.New(), ran: &counter{ran: map[string]int{}}}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.at = strings.TrimPrefix(server.URL, "http://")
	for range vms {
		f.addVM()
	}
	return f
}

// startFleet returns a fleet whose nodes know each other and version 1, and whose
// gates are open.
func startFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	f := newFleet(t, vms)
	f.publish(1)
	for _, v := range f.vms {
		f.awaitStatus(v, fmt.Sprintf(`"nodes":%d,"gate_open":true`, vms))
	}
	return f
}

func (f *fleet) addVM() *vm {
	t := f.t
	n := hosts.Add(1)
	at := func(port int) string { return fmt.Sprintf("127.77.%d.%d:%d", n/250, 1+n%250, 7000+port) }
	s := settings.Settings{
		Entry: at(0), Gate: at(1), Control: at(2), Ready: at(3), Admin: at(4), Metrics: at(5), Region: "r", DataCentre: "d", Service: "s", Store: f.at, Grace: 6 * time.Second,
		RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second,
	}
	v := &vm{}
	v.target = target.New(fmt.Sprintf("i%d", len(f.vms)), "s", 3, 10*time.Millisecond, f.ran)
	server := httptest.NewServer(v.target.Handler())
	t.Cleanup(server.Close)
	s.Target = strings.TrimPrefix(server.URL, "http://")
	v.settings = s
	v.announce = &target.Announcer{
		Admin: s.Admin, Instance: v.target.Instance, Service: "s", Address: s.Target, Slots: 3, Born: time.Now(),
	}
	f.startNode(v)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go v.announce.Run(ctx)
	f.vms = append(f.vms, v)
	return v
}

func (f *fleet) startNode(v *vm) {
	client, closeClient := platform.NewStore(f.at)
	n, leave, err := node.Start(v.settings, node.Platform{
		Headers: platform.Headers{}, DecodeConfiguration: platform.DecodeConfiguration,
		ConfigurationSource: platform.NewConfigurations(client), Registry: platform.NewMeeting(client),
		NewAnnouncementHandler: func(g *gate.Gate, l hclog.Logger) http.Handler { return platform.AnnouncementHandler(g, l) },
		ReadyPath:              platform.ReadyPath, AnnouncementPath: platform.AnnouncementPath,
	}, hclog.NewNullLogger())
	if err != nil {
		f.t.Fatal(err)
	}
	v.node = n
	left := sync.OnceFunc(func() { closeClient() })
	v.leave = func(ctx context.Context) {
		leave(ctx)
		left()
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		v.leave(ctx)
	})
}

func (f *fleet) publish(version uint64) {
	d := configuration.Draft{
		Version: version, Services: []configuration.DraftService{{Name: "s"}},
		Routes: []configuration.DraftRoute{
			{Name: "read", Host: "h", Prefix: "/read/", TimeoutMillis: 1500, TargetLatencyMillis: 800, MaxAttempts: 2, Parts: []configuration.DraftPart{{Service: "s", Weight: 1}}},
			{Name: "claim", Host: "h", Prefix: "/claim/", NeverRepeat: true, TimeoutMillis: 1500, TargetLatencyMillis: 800, MaxAttempts: 2, Parts: []configuration.DraftPart{{Service: "s", Weight: 1}}},
		},
	}
	b, err := platform.EncodeConfiguration(d)
	if err != nil {
		f.t.Fatal(err)
	}
	client, closeClient := platform.NewStore(f.at)
	defer closeClient()
	if err := client.Put(f.t.Context(), platform.ConfigurationTopic, platform.ConfigurationKey, b); err != nil {
		f.t.Fatal(err)
	}
}

// awaitStatus waits until the node's status contains the text.
func (f *fleet) awaitStatus(v *vm, text string) {
	f.t.Helper()
	last := ""
	for range 200 {
		res, err := http.Get("http://" + v.settings.Metrics + "/status")
		if err == nil {
			b := make([]byte, 4096)
			n, _ := res.Body.Read(b)
			res.Body.Close()
			if last = string(b[:n]); strings.Contains(last, text) {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("%q is not in %s", text, last)
}

// load sends requests for a while; during is called in the middle.
func (f *fleet) load(entries []*vm, during func()) caller.Report {
	return f.loadFor(3*time.Second, entries, during)
}

// ratePerEntry is in requests a second: enough for a target to have several at a
// time, and little work for a machine that does other things.
const ratePerEntry = 30

func (f *fleet) loadFor(length time.Duration, entries []*vm, during func()) caller.Report {
	var addresses []string
	for _, v := range entries {
		addresses = append(addresses, v.settings.Entry)
	}
	l, closeLoad := caller.New(caller.Plan{
		Entries: addresses, Host: "h", Paths: []string{"/read/a"}, ClaimPaths: []string{"/claim/a"}, ClaimShare: 0.5,
		Rate: ratePerEntry * float64(len(entries)), Until: time.Now().Add(length), Timeout: 1500 * time.Millisecond, MaxInFlight: 200, Seed: 1,
	})
	defer closeLoad()
	done := make(chan caller.Report, 1)
	go func() { done <- l.Run(context.Background()) }()
	time.Sleep(time.Second)
	during()
	r := <-done
	f.ran.mu.Lock()
	defer f.ran.mu.Unlock()
	return l.Audit(r, f.ran.ran)
}

// What callers are told stays true whatever happens to targets, nodes and the
// store, and most requests are served.
func TestFleet(t *testing.T) {
	tests := []struct {
		name   string
		during func(*fleet)
	}{
		{"nothing", func(*fleet) {}},
		{"a target resets most requests", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{ResetShare: 0.85}) }},
		{"a target stalls", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{Stall: true}) }},
		{"a target cuts answers short", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{Truncate: true}) }},
		{"a target answers others' requests", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{Cross: true}) }},
		{"a target answers twice", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{Extra: true}) }},
		{"a target sheds", func(f *fleet) { f.vms[0].target.SetFaults(target.Faults{ShedShare: 0.9}) }},
		{"the store is away", func(f *fleet) { f.store.SetFaults(store.Faults{Outage: true}) }},
		{"a target leaves", func(f *fleet) { go f.vms[0].announce.Leave(context.Background()) }},
		{"a node leaves", func(f *fleet) {
			go f.vms[3].leave(context.Background())
		}},
	}
	// Two fleets at a time: what is measured needs the processor in time.
	slots := make(chan struct{}, 2)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			is := is.New(t)
			f := startFleet(t, 4)
			r := f.load(f.vms[:3], func() { test.during(f) })
			is.True(r.IsSound())
			is.True(r.Claims > 0)
			if r.Answered < r.Sent*8/10 {
				t.Errorf("%+v", r)
			}
		})
	}
}

// A leaving node answers what it has read and ends its connections; its readiness
// turns at once.
func TestLeavingCutsNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	left := make(chan struct{})
	r := f.load(f.vms[:1], func() {
		go func() {
			f.vms[0].leave(context.Background())
			close(left)
		}()
		time.Sleep(50 * time.Millisecond)
		res, err := http.Get("http://" + f.vms[0].settings.Ready + platform.ReadyPath)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		res.Body.Close()
	})
	is.True(r.IsSound())
	is.Equal(r.NoResponse, 0) // callers came for less than the time that a leaving node gives them
	is.Equal(r.Unknown, 0)
	<-left
}

// Counters and histograms are served at both addresses.
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
			"cuminwheel_configuration_version 1", "cuminwheel_known_nodes 2"} {
			is.True(strings.Contains(string(b), name))
		}
	}
}

// Callers that keep coming to a leaving node, as they do when too few others are
// ready, get answers to all that is read; the rest is refused a connection.
func TestLeavingUnderLoad(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	for _, v := range f.vms { // requests last long
		v.target.SetFaults(target.Faults{SlowFactor: 40})
	}
	left := make(chan struct{})
	r := f.loadFor(5*time.Second, f.vms[:1], func() {
		go func() {
			f.vms[0].leave(context.Background())
			close(left)
		}()
	})
	<-left
	is.True(r.IsSound())
	is.True(r.NoResponse > 0) // they came after the node had gone
	is.Equal(r.Cut, 0)
}

// A second SIGTERM begins the grace time anew: a request that outlasts the first
// grace time is still answered by its target.
func TestSecondSignalExtendsLeaving(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.vms[0].settings.Grace = 4 * time.Second
	f.publish(1)
	for _, v := range f.vms {
		f.awaitStatus(v, `"nodes":2,"gate_open":true`)
		v.target.SetFaults(target.Faults{SlowFactor: 120}) // 0.7 to 1.7 s
	}
	left := make(chan struct{})
	r := f.loadFor(3500*time.Millisecond, f.vms[:1], func() {
		go func() {
			f.vms[0].leave(context.Background())
			close(left)
		}()
		time.Sleep(500 * time.Millisecond)
		f.vms[0].node.ExtendLeaveDeadline(time.Now().Add(6 * time.Second))
		f.vms[0].node.ExtendLeaveDeadline(time.Now()) // it never moves back
	})
	<-left
	is.True(r.IsSound())
	is.Equal(r.Cut, 0)
	is.Equal(r.Unknown, 0) // none was ended by the node
}

// A node that starts while the store is away learns the configuration and the
// fleet from the others.
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

// After all nodes were killed together, callers are served as soon as the nodes
// and their targets are back: the store still tells where the others are.
func TestAllRestartTogether(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, v := range f.vms {
		v.leave(ctx)
	}
	began := time.Now()
	for _, v := range f.vms {
		f.startNode(v)
	}
	for _, v := range f.vms {
		f.awaitStatus(v, `"nodes":4`)
	}
	is.True(time.Since(began) < 900*time.Millisecond) // before the second read of the store
}
