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
	startTimeout  = 20 * time.Second
	settleTimeout = 15 * time.Second
	grace         = 4 * time.Second
	drainTime     = time.Second
	afterTime     = 2 * time.Second
	pollInterval  = 200 * time.Millisecond
	callerTimeout = 1500 * time.Millisecond
	// servedAfter is the share of requests that must be served once all faults
	// are over.
	servedAfter = 0.95
)

// fleet is what runs.
type fleet struct {
	options  Options
	store    *process
	nodes    []*process
	targets  []*process
	links    []*proxy // in front of each node's gate
	controls []*proxy // in front of each node's control calls
	stores   []*proxy // between each node and the store

	// publishing lets one version be written after the other, as operators do:
	// the store keeps what was written last.
	publishing sync.Mutex

	mu      sync.Mutex
	version uint64
	broken  []string
}

// Run runs the faults of a seed and returns what was seen.
func Run(ctx context.Context, o Options) (Report, error) {
	f := &fleet{options: o}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return Report{}, err
	}
	events := draw(o.Seed, o.Nodes, o.Duration)
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go f.watchVersions(watching)
	r := Report{Seed: o.Seed, Events: len(events)}
	report, load := f.load(ctx, o.Duration, func() { f.inject(ctx, events) })
	f.heal()
	if err := f.awaitFleet(ctx, settleTimeout); err != nil {
		f.breaks("recovery: %v", err)
	}
	after, afterLoad := f.load(ctx, afterTime, func() {})
	stopWatching()
	f.stop()
	ran, err := caller.ReadExecutions(f.ranFiles())
	if err != nil {
		return r, err
	}
	r.Caller, r.AfterFaults = load.Audit(report, ran), afterLoad.Audit(after, ran)
	f.check(r)
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Violations = f.broken
	return r, nil
}

func (f *fleet) check(r Report) {
	for name, n := range map[string]int{
		"claims ran twice": r.Caller.Duplicated + r.AfterFaults.Duplicated, "answers without a run": r.Caller.AnsweredWithoutRun + r.AfterFaults.AnsweredWithoutRun,
		"refusals of what ran":        r.Caller.FalseNotRun + r.AfterFaults.FalseNotRun,
		"answers short or foreign":    r.Caller.Invalid + r.AfterFaults.Invalid,
		"runs after a target drained": r.Caller.StartedAfterDrain,
	} {
		if n > 0 {
			f.breaks("%s: %d", name, n)
		}
	}
	if float64(r.AfterFaults.Answered) < servedAfter*float64(r.AfterFaults.Sent) {
		f.breaks("recovery: %d of %d requests served after the faults", r.AfterFaults.Answered, r.AfterFaults.Sent)
	}
}

func (f *fleet) breaks(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.broken = append(f.broken, fmt.Sprintf(format, args...))
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
	portsOfNode = 20
)

func (f *fleet) at(node, port int) string {
	return "127.0.0.1:" + strconv.Itoa(f.options.BasePort+node*portsOfNode+port)
}

func (f *fleet) storeAt() string { return f.at(f.options.Nodes, 0) }

func (f *fleet) service(node int) string { return []string{"tablero", "reparto"}[node%2] }

func (f *fleet) ranFile(node int) string {
	return filepath.Join(f.options.LogDir, fmt.Sprintf("ran%d", node))
}

func (f *fleet) ranFiles() []string {
	var files []string
	for i := range f.options.Nodes {
		files = append(files, f.ranFile(i))
	}
	return files
}

func (f *fleet) process(name string, args ...string) *process {
	return &process{program: f.options.Program, args: args, log: filepath.Join(f.options.LogDir, name+".txt")}
}

func (f *fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.options.LogDir, 0o755); err != nil {
		return err
	}
	f.store = f.process("store", "standin", "store", "--listen", f.storeAt())
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
	return f.awaitFleet(ctx, startTimeout)
}

func (f *fleet) startVM(i int) error {
	for _, p := range []struct {
		list           *[]*proxy
		listen, target string
	}{
		{&f.links, f.at(i, portGateLink), f.at(i, portGate)},
		{&f.controls, f.at(i, portControlLink), f.at(i, portControl)},
		{&f.stores, f.at(i, portStoreLink), f.storeAt()},
	} {
		px, _, err := newProxy(p.listen, p.target)
		if err != nil {
			return err
		}
		*p.list = append(*p.list, px)
	}
	f.nodes = append(f.nodes, f.process(fmt.Sprintf("node%d", i), "node",
		"--entry", f.at(i, portEntry), "--gate", f.at(i, portGate), "--control", f.at(i, portControl),
		"--reached-gate", f.at(i, portGateLink), "--reached-control", f.at(i, portControlLink),
		"--admin", f.at(i, portAdmin), "--ready", f.at(i, portReady), "--metrics", f.at(i, portMetrics),
		"--target", f.at(i, portTarget), "--service", f.service(i), "--store", f.at(i, portStoreLink),
		"--region", fmt.Sprintf("r%d", i/4), "--data-centre", fmt.Sprintf("d%d", i/2), "--grace", grace.String()))
	f.targets = append(f.targets, f.process(fmt.Sprintf("target%d", i), "standin", "target",
		"--listen", f.at(i, portTarget), "--admin", f.at(i, portAdmin), "--service", f.service(i),
		"--drain", drainTime.String(), "--ran-file", f.ranFile(i)))
	if err := f.nodes[i].start(); err != nil {
		return err
	}
	return f.targets[i].start()
}

// publish writes the next version, past all faults of links.
func (f *fleet) publish(ctx context.Context) error {
	f.publishing.Lock()
	defer f.publishing.Unlock()
	f.mu.Lock()
	f.version++
	version := f.version
	f.mu.Unlock()
	part := func(service string) []configuration.DraftWeightedService {
		return []configuration.DraftWeightedService{{Service: service, Weight: 1}}
	}
	encoded, err := platform.EncodeConfiguration(configuration.Draft{
		Version:  version,
		Services: []configuration.DraftService{{Name: "tablero"}, {Name: "reparto"}},
		Routes: []configuration.DraftRoute{
			{Name: "board", Host: "roster.example", Prefix: "/board/", TimeoutMillis: 1500, TargetLatencyMillis: 800, Priority: 2, MaxAttempts: 2, WeightedServices: part("tablero")},
			{Name: "claim", Host: "roster.example", Prefix: "/claims/", NonIdempotent: true, TimeoutMillis: 1500, TargetLatencyMillis: 800, MaxAttempts: 2, WeightedServices: part("reparto")},
			{Name: "check", Host: "roster.example", Prefix: "/check/", TimeoutMillis: 1000, TargetLatencyMillis: 300, Priority: 1, MaxAttempts: 2, WeightedServices: part("reparto")},
		},
	})
	if err != nil {
		return err
	}
	client, closeClient := platform.NewStore(f.storeAt())
	defer closeClient()
	for until := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		err := client.Put(ctx, platform.ConfigurationTopic, platform.ConfigurationKey, encoded)
		if err == nil || ctx.Err() != nil || time.Now().After(until) {
			return err
		}
	}
}

// load sends requests for a while and runs during beside it.
func (f *fleet) load(ctx context.Context, length time.Duration, during func()) (caller.Report, *caller.Generator) {
	var entries []string
	for i := range f.options.Nodes {
		entries = append(entries, f.at(i, portEntry))
	}
	l, closeLoad := caller.New(caller.Workload{
		Entries: entries, Host: "roster.example", Paths: []string{"/board/today", "/check/slot"}, ClaimPaths: []string{"/claims/new"},
		ClaimShare: 0.4, Rate: f.options.Rate, Until: time.Now().Add(length), Timeout: callerTimeout, MaxInFlight: 500,
		Seed: f.options.Seed*2 + uint64(length.Milliseconds()),
	})
	defer closeLoad()
	done := make(chan struct{})
	go func() {
		during()
		close(done)
	}()
	r := l.Run(ctx)
	<-done
	return r, l
}

// status is the part of a node's status that is checked.
type status struct {
	Ready   bool   `json:"ready"`
	Version uint64 `json:"configuration_version"`
	Nodes   int    `json:"nodes"`
	Open    bool   `json:"gate_open"`
	Started int64  `json:"started_ms"`
}

func (f *fleet) status(ctx context.Context, node int) (status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var s status
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.at(node, portMetrics)+"/status", nil)
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

// awaitFleet waits until all nodes are ready, know all others and the newest
// configuration, and their gates are open.
func (f *fleet) awaitFleet(ctx context.Context, most time.Duration) error {
	var lacking []string
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(pollInterval) {
		lacking = nil
		for i := range f.nodes {
			s, err := f.status(ctx, i)
			isWell := err == nil && s.Ready && s.Open && s.Nodes >= len(f.nodes) && s.Version == f.version
			if !isWell {
				lacking = append(lacking, fmt.Sprintf("node %d: %+v %v", i, s, err))
			}
		}
		if lacking == nil {
			return nil
		}
	}
	return errors.Errorf("the fleet is not whole: %s", strings.Join(lacking, "; "))
}

// watchVersions checks that no process's configuration ever reverts.
func (f *fleet) watchVersions(ctx context.Context) {
	seen := make([]status, len(f.nodes))
	for ctx.Err() == nil {
		for i := range f.nodes {
			s, err := f.status(ctx, i)
			if err != nil {
				continue
			}
			if s.Started == seen[i].Started && s.Version < seen[i].Version {
				f.breaks("node %d went back from version %d to %d", i, seen[i].Version, s.Version)
			}
			seen[i] = s
		}
		time.Sleep(pollInterval)
	}
}

// heal ends all faults and starts what has ended.
func (f *fleet) heal() {
	for _, list := range [][]*proxy{f.links, f.controls, f.stores} {
		for _, p := range list {
			// Connections from which bytes were dropped stay silent; the nodes
			// have to find out.
			p.set(modePass)
		}
	}
	f.fault(f.storeAt(), `{}`)
	for i := range f.nodes {
		f.fault(f.at(i, portTarget), `{}`)
		for _, p := range []*process{f.nodes[i], f.targets[i]} {
			p.signal(syscall.SIGCONT)
			f.restart(p)
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
			p.await(time.Second)
		}
	}
	for _, list := range [][]*proxy{f.links, f.controls, f.stores} {
		for _, p := range list {
			p.close()
		}
	}
}
