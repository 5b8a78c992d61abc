package node_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/process/node"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
)

// executionCounter counts how often each request was executed, over all targets.
type executionCounter struct {
	mu        sync.Mutex
	byRequest map[string]int
}

func (c *executionCounter) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range strings.Fields(string(p)) {
		c.byRequest[id]++
	}
	return len(p), nil
}

// vm is a node with the target beside it.
type vm struct {
	settings  settings.Settings
	target    *target.Server
	announcer *target.Announcer
	leave     func(context.Context)
	node      *node.Node
	// storeAddress replaces that of the fleet; it takes effect when the node starts again.
	storeAddress string
}

// fleet is a store, and VMs with nodes and targets of one service.
type fleet struct {
	t            *testing.T
	store        *store.Server
	storeAddress string
	executions   *executionCounter
	vms          []*vm
	// scheduling replaces that of the configuration, unless it is empty.
	scheduling configuration.Scheduling
}

// vmCount is the number of VMs of all tests so far. Each VM has a loopback address
// of its own, since all listen on the same ports.
var vmCount atomic.Int64

// loopbackNetwork is the network of the VMs' addresses. It follows from the process
// ID, so that test runs on one machine do not use each other's addresses.
var loopbackNetwork = fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%256)

func newFleet(t *testing.T, vms int) *fleet {
	t.Helper()
	f := &fleet{t: t, store: store.New(), executions: &executionCounter{byRequest: map[string]int{}}}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	f.storeAddress = strings.TrimPrefix(server.URL, "http://")
	for range vms {
		f.addVM()
	}
	return f
}

// startFleet returns a fleet whose nodes know each other and configuration version
// 1, and whose gates are open.
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
	v := f.addVMWithTarget(func(v *vm) {
		v.target = target.New(fmt.Sprintf("i%d", len(f.vms)), "s", 3, 10*time.Millisecond, f.executions)
		server := httptest.NewUnstartedServer(v.target.Handler())
		server.Config.ConnContext = target.ConnContext
		server.Start()
		t.Cleanup(server.Close)
		v.settings.Target = strings.TrimPrefix(server.URL, "http://")
	})
	v.announcer = &target.Announcer{
		AdminAddress: v.settings.Admin, Instance: v.target.Instance, Service: "s", Address: v.settings.Target, Slots: 3, StartedAt: time.Now(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go v.announcer.Run(ctx)
	return v
}

// addVMWithTarget adds a VM with a running node. prepare sets the address of its target.
func (f *fleet) addVMWithTarget(prepare func(*vm)) *vm {
	t := f.t
	i := vmCount.Add(1)
	if i > 254 {
		t.Fatal("the tests start more VMs than the network has addresses")
	}
	address := func(port int) string { return fmt.Sprintf("%s.%d:%d", loopbackNetwork, i, 7000+port) }
	s := settings.Settings{
		Entry: address(0), Gate: address(1), Control: address(2), Ready: address(3), Admin: address(4), Metrics: address(5), Region: "r", DataCentre: "d", Service: "s", Store: f.storeAddress, GracePeriod: 6 * time.Second, AnnouncementInterval: target.AnnounceInterval,
		RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second,
	}
	v := &vm{settings: s}
	prepare(v)
	f.startNode(v)
	f.vms = append(f.vms, v)
	return v
}

func (f *fleet) startNode(v *vm) {
	client, closeClient := platform.NewStore(cmp.Or(v.storeAddress, f.storeAddress))
	n, leave, err := node.Start(v.settings, node.Platform{
		Headers: platform.Headers{}, DecodeConfiguration: f.decode,
		ConfigurationSource: platform.NewConfigurationSource(client), Registry: platform.NewNodeRegistry(client),
		NewAnnouncementHandler: func(r node.AnnouncementReceiver, l hclog.Logger) http.Handler {
			return platform.AnnouncementHandler(r, l)
		},
		ReadyPath: platform.ReadyPath, AnnouncementPath: platform.AnnouncementPath,
	}, hclog.NewNullLogger())
	if err != nil {
		f.t.Fatal(err)
	}
	v.node = n
	closeClientOnce := sync.OnceFunc(func() { closeClient() })
	v.leave = func(ctx context.Context) {
		leave(ctx)
		closeClientOnce()
	}
	f.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		v.leave(ctx)
	})
}

func (f *fleet) publish(version uint64) { f.publishCustomers(version) }

// publishCustomers publishes a configuration with customers.
func (f *fleet) publishCustomers(version uint64, customers ...configuration.DraftCustomer) {
	d := configuration.Draft{
		Customers: customers,
		Version:   version, Services: []configuration.DraftService{{Name: "s"}},
		Routes: []configuration.DraftRoute{
			{Name: "read", Host: "h", Prefix: "/read/", TimeoutMillis: 1500, TargetLatencyMillis: 800, MaxAttempts: 2, WeightedServices: []configuration.DraftWeightedService{{Service: "s", Weight: 1}}},
			{Name: "public", Host: "h", Prefix: "/public/", Public: true, TimeoutMillis: 1500, TargetLatencyMillis: 800, MaxAttempts: 2, WeightedServices: []configuration.DraftWeightedService{{Service: "s", Weight: 1}}},
			{Name: "claim", Host: "h", Prefix: "/claim/", NonIdempotent: true, TimeoutMillis: 1500, TargetLatencyMillis: 800, MaxAttempts: 2, WeightedServices: []configuration.DraftWeightedService{{Service: "s", Weight: 1}}},
		},
	}
	b, err := platform.EncodeConfiguration(d)
	if err != nil {
		f.t.Fatal(err)
	}
	client, closeClient := platform.NewStore(f.storeAddress)
	defer closeClient()
	if err := client.Put(f.t.Context(), platform.ConfigurationTopic, platform.ConfigurationKey, b); err != nil {
		f.t.Fatal(err)
	}
}

// awaitStatus waits until the response of /status contains the text, and fails the
// test after about 10 s.
func (f *fleet) awaitStatus(v *vm, text string) {
	f.t.Helper()
	last := ""
	for range 200 {
		if last = f.status(v); strings.Contains(last, text) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("status does not contain %q; the last one was %s", text, last)
}

// status returns the response of /status, or "" if there is none.
func (f *fleet) status(v *vm) string {
	res, err := http.Get("http://" + v.settings.Metrics + "/status")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	return string(b)
}

// load sends requests to the entries for 3 s and calls during after 1 s.
func (f *fleet) load(entries []*vm, during func()) caller.Report {
	return f.loadFor(3*time.Second, entries, during)
}

// ratePerEntry is in requests per second. At this rate a target has several
// requests at a time, and the load on a machine that runs other work is small.
const ratePerEntry = 30

// loadFor is load for another duration.
func (f *fleet) loadFor(length time.Duration, entries []*vm, during func()) caller.Report {
	return f.loadAt(ratePerEntry, length, entries, during)
}

// loadAt is loadFor at another rate.
func (f *fleet) loadAt(rate float64, length time.Duration, entries []*vm, during func()) caller.Report {
	var addresses []string
	for _, v := range entries {
		addresses = append(addresses, v.settings.Entry)
	}
	l, closeLoad := caller.New(caller.Workload{
		Entries: addresses, Host: "h", Paths: []string{"/read/a"}, ClaimPaths: []string{"/claim/a"}, ClaimShare: 0.5,
		Rate: rate * float64(len(entries)), Until: time.Now().Add(length), Timeout: 1500 * time.Millisecond, MaxInFlight: 200, Seed: 1,
	})
	defer closeLoad()
	done := make(chan caller.Report, 1)
	go func() { done <- l.Run(context.Background()) }()
	time.Sleep(time.Second)
	during()
	r := <-done
	f.executions.mu.Lock()
	defer f.executions.mu.Unlock()
	return l.Audit(r, f.executions.byRequest)
}
