package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
)

// Options say what to run.
type Options struct {
	// Program is the path of the cuminwheel program.
	Program  string
	Seed     uint64
	Nodes    int
	Duration time.Duration
	// BasePort is the first of 20 ports for each node, and 20 more.
	BasePort int
	// LogDir is a directory for the processes' output.
	LogDir string
	// Rate is in requests a second.
	Rate float64
	Out  io.Writer
}

// Report says what was seen.
type Report struct {
	Seed   uint64        `json:"seed"`
	Events int           `json:"events"`
	Caller caller.Report `json:"caller"`
	// AfterFaults is what callers saw when all faults were over.
	AfterFaults caller.Report `json:"after"`
	// Violations names the promises that were broken.
	Violations []string `json:"broken"`
}

// Times of a run.
const (
	// startTimeout bounds the start of the fleet, settleTimeout its recovery
	// after the last fault.
	startTimeout     = 20 * time.Second
	settleTimeout    = 15 * time.Second
	grace            = 4 * time.Second
	drainTime        = time.Second
	recoveryLoadTime = 2 * time.Second
	pollInterval     = 200 * time.Millisecond
	callerTimeout    = 1500 * time.Millisecond
	// minServedShare is the share of requests that must be served once all faults
	// are over.
	minServedShare = 0.95
)

// fleet is what runs.
type fleet struct {
	options        Options
	store          *process
	nodes          []*process
	targets        []*process
	gateProxies    []*proxy // in front of each node's gate
	controlProxies []*proxy // in front of each node's control calls
	storeProxies   []*proxy // between each node and the store

	// publishMu lets one version be written after the other, as operators do:
	// the store keeps what was written last.
	publishMu sync.Mutex

	mu         sync.Mutex
	version    uint64
	violations []string
}

// Run runs the faults of a seed and returns what was seen.
func Run(ctx context.Context, o Options) (Report, error) {
	f := &fleet{options: o}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return Report{}, err
	}
	events := generateSchedule(o.Seed, o.Nodes, o.Duration)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go f.watchVersions(watchCtx)
	r := Report{Seed: o.Seed, Events: len(events)}
	report, generator := f.sendLoad(ctx, o.Duration, func() { f.injectFaults(ctx, events) })
	f.restoreFleet()
	if err := f.waitUntilConverged(ctx, settleTimeout); err != nil {
		f.recordViolation("recovery: %v", err)
	}
	recovery, recoveryGenerator := f.sendLoad(ctx, recoveryLoadTime, func() {})
	stopWatch()
	f.stop()
	executions, err := caller.ReadExecutions(f.executionFiles())
	if err != nil {
		return r, err
	}
	r.Caller, r.AfterFaults = generator.Audit(report, executions), recoveryGenerator.Audit(recovery, executions)
	f.checkReport(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Violations = f.violations
	return r, nil
}

func (f *fleet) checkReport(r Report) {
	for name, n := range map[string]int{
		"claims ran twice": r.Caller.Duplicated + r.AfterFaults.Duplicated, "answers without a run": r.Caller.AnsweredWithoutRun + r.AfterFaults.AnsweredWithoutRun,
		"refusals of what ran":        r.Caller.FalseNotRun + r.AfterFaults.FalseNotRun,
		"answers short or foreign":    r.Caller.Invalid + r.AfterFaults.Invalid,
		"runs after a target drained": r.Caller.StartedAfterDrain,
	} {
		if n > 0 {
			f.recordViolation("%s: %d", name, n)
		}
	}
	if float64(r.AfterFaults.Answered) < minServedShare*float64(r.AfterFaults.Sent) {
		f.recordViolation("recovery: %d of %d requests served after the faults", r.AfterFaults.Answered, r.AfterFaults.Sent)
	}
}

func (f *fleet) recordViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// Ports of a node, from its first.
const (
	portEntry = iota
	portGate
	portControl
	portAdmin
	portReady
	portMetrics
	portTarget
	portGateLink
	portControlLink
	portStoreLink
	portsPerNode = 20
)

func (f *fleet) address(node, port int) string {
	return "127.0.0.1:" + strconv.Itoa(f.options.BasePort+node*portsPerNode+port)
}

func (f *fleet) storeAddress() string { return f.address(f.options.Nodes, 0) }

func (f *fleet) serviceOf(node int) string { return []string{"tablero", "reparto"}[node%2] }

func (f *fleet) executionFile(node int) string {
	return filepath.Join(f.options.LogDir, fmt.Sprintf("ran%d", node))
}

func (f *fleet) executionFiles() []string {
	var files []string
	for i := range f.options.Nodes {
		files = append(files, f.executionFile(i))
	}
	return files
}

func (f *fleet) newProcess(name string, args ...string) *process {
	return &process{program: f.options.Program, args: args, logPath: filepath.Join(f.options.LogDir, name+".txt")}
}

func (f *fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.options.LogDir, 0o755); err != nil {
		return err
	}
	f.store = f.newProcess("store", "standin", "store", "--listen", f.storeAddress())
	if err := f.store.start(); err != nil {
		return err
	}
	for i := range f.options.Nodes {
		if err := f.startVM(i); err != nil {
			return err
		}
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	return f.waitUntilConverged(ctx, startTimeout)
}

func (f *fleet) startVM(i int) error {
	for _, p := range []struct {
		list           *[]*proxy
		listen, target string
	}{
		{&f.gateProxies, f.address(i, portGateLink), f.address(i, portGate)},
		{&f.controlProxies, f.address(i, portControlLink), f.address(i, portControl)},
		{&f.storeProxies, f.address(i, portStoreLink), f.storeAddress()},
	} {
		px, _, err := newProxy(p.listen, p.target)
		if err != nil {
			return err
		}
		*p.list = append(*p.list, px)
	}
	f.nodes = append(f.nodes, f.newProcess(fmt.Sprintf("node%d", i), "node",
		"--entry", f.address(i, portEntry), "--gate", f.address(i, portGate), "--control", f.address(i, portControl),
		"--reached-gate", f.address(i, portGateLink), "--reached-control", f.address(i, portControlLink),
		"--admin", f.address(i, portAdmin), "--ready", f.address(i, portReady), "--metrics", f.address(i, portMetrics),
		"--target", f.address(i, portTarget), "--service", f.serviceOf(i), "--store", f.address(i, portStoreLink),
		"--region", fmt.Sprintf("r%d", i/4), "--data-centre", fmt.Sprintf("d%d", i/2), "--grace", grace.String()))
	f.targets = append(f.targets, f.newProcess(fmt.Sprintf("target%d", i), "standin", "target",
		"--listen", f.address(i, portTarget), "--admin", f.address(i, portAdmin), "--service", f.serviceOf(i),
		"--drain", drainTime.String(), "--ran-file", f.executionFile(i)))
	if err := f.nodes[i].start(); err != nil {
		return err
	}
	return f.targets[i].start()
}

// publish writes the next version, past all faults of links.
func (f *fleet) publish(ctx context.Context) error {
	f.publishMu.Lock()
	defer f.publishMu.Unlock()
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	weightedServices := func(service string) []configuration.DraftWeightedService {
		return []configuration.DraftWeightedService{{Service: service, Weight: 1}}
	}
	encoded, err := platform.EncodeConfiguration(configuration.Draft{
		Version:  version,
		Services: []configuration.DraftService{{Name: "tablero"}, {Name: "reparto"}},
		Routes: []configuration.DraftRoute{
			{Name: "board", Host: "roster.example", Prefix: "/board/", TimeoutMillis: 1500, TargetLatencyMillis: 800, Priority: 2, MaxAttempts: 2, WeightedServices: weightedServices("tablero")},
			{Name: "claim", Host: "roster.example", Prefix: "/claims/", NonIdempotent: true, TimeoutMillis: 1500, TargetLatencyMillis: 800, MaxAttempts: 2, WeightedServices: weightedServices("reparto")},
			{Name: "check", Host: "roster.example", Prefix: "/check/", TimeoutMillis: 1000, TargetLatencyMillis: 300, Priority: 1, MaxAttempts: 2, WeightedServices: weightedServices("reparto")},
		},
	})
	if err != nil {
		return err
	}
	client, closeClient := platform.NewStore(f.storeAddress())
	defer closeClient()
	for until := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		err := client.Put(ctx, platform.ConfigurationTopic, platform.ConfigurationKey, encoded)
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			return err
		}
	}
}

// sendLoad sends requests for a while and runs during beside it.
func (f *fleet) sendLoad(ctx context.Context, duration time.Duration, background func()) (caller.Report, *caller.Generator) {
	var entries []string
	for i := range f.options.Nodes {
		entries = append(entries, f.address(i, portEntry))
	}
	generator, closeGenerator := caller.New(caller.Workload{
		Entries: entries, Host: "roster.example", Paths: []string{"/board/today", "/check/slot"}, ClaimPaths: []string{"/claims/new"},
		ClaimShare: 0.4, Rate: f.options.Rate, Until: time.Now().Add(duration), Timeout: callerTimeout, MaxInFlight: 500,
		Seed: f.options.Seed*2 + uint64(duration.Milliseconds()),
	})
	defer closeGenerator()
	done := make(chan struct{})
	go func() {
		background()
		close(done)
	}()
	r := generator.Run(ctx)
	<-done
	return r, generator
}

// status is the part of a node's status that is checked.
type status struct {
	Ready                bool   `json:"ready"`
	ConfigurationVersion uint64 `json:"configuration_version"`
	Nodes                int    `json:"nodes"`
	GateOpen             bool   `json:"gate_open"`
	StartedMillis        int64  `json:"started_ms"`
}

func (f *fleet) fetchStatus(ctx context.Context, node int) (status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var s status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address(node, portMetrics)+"/status", nil)
	if err != nil {
		return s, err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	return s, json.NewDecoder(res.Body).Decode(&s)
}

// waitUntilConverged waits until all nodes are ready, know all others and the newest
// configuration, and their gates are open.
func (f *fleet) waitUntilConverged(ctx context.Context, timeout time.Duration) error {
	var pending []string
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(pollInterval) {
		pending = nil
		for i := range f.nodes {
			s, err := f.fetchStatus(ctx, i)
			isConverged := err == nil && s.Ready && s.GateOpen && s.Nodes >= len(f.nodes) && s.ConfigurationVersion == f.version
			if !isConverged {
				pending = append(pending, fmt.Sprintf("node %d: %+v %v", i, s, err))
			}
		}
		if pending == nil {
			return nil
		}
	}
	return errors.Errorf("the fleet is not whole: %s", strings.Join(pending, "; "))
}

// watchVersions checks that no process's configuration ever reverts.
func (f *fleet) watchVersions(ctx context.Context) {
	previous := make([]status, len(f.nodes))
	for ctx.Err() == nil {
		for i := range f.nodes {
			s, err := f.fetchStatus(ctx, i)
			if err != nil {
				continue
			}
			if s.StartedMillis == previous[i].StartedMillis && s.ConfigurationVersion < previous[i].ConfigurationVersion {
				f.recordViolation("node %d went back from version %d to %d", i, previous[i].ConfigurationVersion, s.ConfigurationVersion)
			}
			previous[i] = s
		}
		time.Sleep(pollInterval)
	}
}

// restoreFleet ends all faults and starts what has ended.
func (f *fleet) restoreFleet() {
	for _, list := range [][]*proxy{f.gateProxies, f.controlProxies, f.storeProxies} {
		for _, p := range list {
			// Connections from which bytes were dropped stay silent; the nodes
			// have to find out.
			p.setMode(modePass)
		}
	}
	f.setFaults(f.storeAddress(), `{}`)
	for i := range f.nodes {
		f.setFaults(f.address(i, portTarget), `{}`)
		for _, p := range []*process{f.nodes[i], f.targets[i]} {
			p.signal(syscall.SIGCONT)
			f.restartIfExited(p)
		}
	}
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	all := append(append([]*process{}, f.nodes...), f.targets...)
	if f.store != nil {
		all = append(all, f.store)
	}
	for _, p := range all {
		if p.exited != nil {
			p.signal(syscall.SIGCONT)
			p.signal(syscall.SIGKILL)
			p.waitOrKill(time.Second)
		}
	}
	for _, list := range [][]*proxy{f.gateProxies, f.controlProxies, f.storeProxies} {
		for _, p := range list {
			p.close()
		}
	}
}
