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

	"github.com/cuminwheel/cuminwheel/standin/caller"
	"github.com/cuminwheel/cuminwheel/standin/link"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
)

// Options configure a run.
type Options struct {
	// Program is the path of the cuminwheel program.
	Program  string
	Seed     uint64
	Nodes    int
	Duration time.Duration
	// BasePort is the first port of the run: 20 for each node and 20 more, of which
	// the store uses the first.
	BasePort int
	// LogDir is the directory for the output of the processes and the targets'
	// records of executed requests.
	LogDir string
	// Rate is the load in requests per second.
	Rate float64
	// Out gets a line for each fault that is injected.
	Out io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Events is the number of scheduled faults.
	Events int `json:"events"`
	// Caller counts the requests sent while faults were injected.
	Caller caller.Report `json:"caller"`
	// AfterFaults counts the requests sent after the faults had been cleared.
	AfterFaults caller.Report `json:"after"`
	// Violations describes the guarantees that were violated.
	Violations []string `json:"broken"`
}

// Durations of a run.
const (
	// startTimeout bounds the start of the fleet and each publication, settleTimeout
	// the recovery of the fleet after the last fault.
	startTimeout     = 20 * time.Second
	settleTimeout    = 15 * time.Second
	grace            = 4 * time.Second
	drainTime        = 2 * time.Second
	recoveryLoadTime = 2 * time.Second
	pollInterval     = 200 * time.Millisecond
	callerTimeout    = 1500 * time.Millisecond
	// minAnsweredShare is the share of requests that must be answered once all faults
	// have been cleared.
	minAnsweredShare = 0.95
)

// fleet holds the processes of a run and the proxies between them.
type fleet struct {
	options        Options
	store          *process
	nodes          []*process
	targets        []*process
	gateProxies    []*link.Link // in front of each node's gate
	controlProxies []*link.Link // in front of each node's control address
	storeProxies   []*link.Link // between each node and the store
	closeLinks     []func()

	// publishMu serialises publications, as operators do. The store keeps the last
	// write, so an older version that is retried late would replace a newer one.
	publishMu sync.Mutex

	// customers are those of the next publication. publishMu guards them.
	customers []configuration.DraftCustomer

	mu         sync.Mutex
	version    uint64
	history    history
	violations []string
	// lastFault is when each node was last out of touch.
	lastFault []time.Time
}

// Run runs a fleet under the faults of a seed. An error means that the run could
// not be carried out; violated guarantees are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	f := &fleet{options: o, lastFault: make([]time.Time, o.Nodes), history: history{nodeFaults: make([][]interval, o.Nodes)}}
	if hasCustomers(o.Seed) {
		f.customers = initialCustomers()
	}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return Report{}, err
	}
	events := generateSchedule(o.Seed, o.Nodes, o.Duration)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go f.watchVersions(watchCtx)
	r := Report{Seed: o.Seed, Events: len(events)}
	report, generator := f.sendLoad(ctx, o.Duration, soakCredentials(f.customers), func() { f.injectFaults(ctx, events) })
	f.restoreFleet()
	if err := f.waitUntilConverged(ctx, settleTimeout); err != nil {
		f.recordViolation("recovery: %v", err)
	}
	recovery, recoveryGenerator := f.sendLoad(ctx, recoveryLoadTime, recoveryCredentials(f.customers), func() {})
	stopWatch()
	f.stop()
	executions, err := caller.ReadExecutions(f.executionFiles())
	if err != nil {
		return r, err
	}
	r.Caller, r.AfterFaults = generator.Audit(report, executions), recoveryGenerator.Audit(recovery, executions)
	f.checkReport(r)
	f.checkNotices(events, executions)
	if err := f.checkCustomers(append(generator.Attempts(), recoveryGenerator.Attempts()...)); err != nil {
		return r, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.Violations = f.violations
	return r, nil
}

// checkReport records a violation for each count that must be zero, and one if too
// few requests were answered after the recovery.
func (f *fleet) checkReport(r Report) {
	for violation, count := range map[string]int{
		"claims executed more than once":       r.Caller.Duplicated + r.AfterFaults.Duplicated,
		"requests answered but not executed":   r.Caller.AnsweredWithoutRun + r.AfterFaults.AnsweredWithoutRun,
		"requests refused but executed":        r.Caller.FalseNotRun + r.AfterFaults.FalseNotRun,
		"responses truncated or not their own": r.Caller.Invalid + r.AfterFaults.Invalid,
		"requests started after the drain":     r.Caller.StartedAfterDrain,
		"wrong customers at targets":           r.Caller.WrongCustomer,
		"keys at targets":                      r.Caller.KeysForwarded,
	} {
		if count > 0 {
			f.recordViolation("%s: %d", violation, count)
		}
	}
	if float64(r.AfterFaults.Answered) < minAnsweredShare*float64(r.AfterFaults.Sent) {
		f.recordViolation("recovery: %d of %d requests answered after the faults", r.AfterFaults.Answered, r.AfterFaults.Sent)
	}
}

func (f *fleet) recordViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// Ports of a node, as offsets from its first.
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

func (f *fleet) regionOf(node int) string { return fmt.Sprintf("r%d", node/4) }

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
	for _, file := range f.executionFiles() {
		// Records of an earlier run would count its requests as executed again.
		if err := os.Remove(file); err != nil && !os.IsNotExist(err) {
			return err
		}
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
	if hasNarrowLink(f.options.Seed) {
		f.narrowLinks()
	}
	if err := f.publish(ctx); err != nil {
		return err
	}
	return f.waitUntilConverged(ctx, startTimeout)
}

func (f *fleet) startVM(i int) error {
	for _, l := range []struct {
		list           *[]*link.Link
		listen, target string
	}{
		{&f.gateProxies, f.address(i, portGateLink), f.address(i, portGate)},
		{&f.controlProxies, f.address(i, portControlLink), f.address(i, portControl)},
		{&f.storeProxies, f.address(i, portStoreLink), f.storeAddress()},
	} {
		p, closeLink, err := link.New(l.listen, l.target)
		if err != nil {
			return err
		}
		f.closeLinks = append(f.closeLinks, closeLink)
		*l.list = append(*l.list, p)
	}
	f.nodes = append(f.nodes, f.newProcess(fmt.Sprintf("node%d", i), "node",
		"--entry", f.address(i, portEntry), "--gate", f.address(i, portGate), "--control", f.address(i, portControl),
		"--reached-gate", f.address(i, portGateLink), "--reached-control", f.address(i, portControlLink),
		"--admin", f.address(i, portAdmin), "--ready", f.address(i, portReady), "--metrics", f.address(i, portMetrics),
		"--target", f.address(i, portTarget), "--service", f.serviceOf(i), "--store", f.address(i, portStoreLink),
		"--region", f.regionOf(i), "--data-centre", fmt.Sprintf("d%d", i/2), "--grace", grace.String(), "--announcement-interval", target.AnnounceInterval.String()))
	f.targets = append(f.targets, f.newProcess(fmt.Sprintf("target%d", i), "standin", "target",
		"--listen", f.address(i, portTarget), "--admin", f.address(i, portAdmin), "--service", f.serviceOf(i),
		"--drain", drainTime.String(), "--late-announcement", lateAnnouncement.String(), "--ran-file", f.executionFile(i)))
	if err := f.nodes[i].start(); err != nil {
		return err
	}
	return f.targets[i].start()
}

// sendLoad sends requests to all entries for the duration while background runs, and
// returns when both have ended.
func (f *fleet) sendLoad(ctx context.Context, duration time.Duration, credentials []caller.Credential, background func()) (caller.Report, *caller.Generator) {
	var entries []string
	for i := range f.options.Nodes {
		entries = append(entries, f.address(i, portEntry))
	}
	generator, closeGenerator := caller.New(caller.Workload{
		Entries: entries, Host: "roster.example", Paths: []string{"/board/today", "/check/slot"}, ClaimPaths: []string{"/claims/new"},
		ClaimShare: 0.4, Rate: f.options.Rate, Until: time.Now().Add(duration), Timeout: callerTimeout, MaxInFlight: 500,
		Credentials: credentials, Seed: f.options.Seed*2 + uint64(duration.Milliseconds()),
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

// status holds the fields of a node's status that are checked.
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address(node, portMetrics)+"/status", nil)
	if err != nil {
		return s, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	return s, json.NewDecoder(res.Body).Decode(&s)
}

// waitUntilConverged polls all nodes until every one is ready, knows all others,
// has the newest configuration and has opened its gate.
func (f *fleet) waitUntilConverged(ctx context.Context, timeout time.Duration) error {
	var pending []string
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		pending = nil
		for i := range f.nodes {
			s, err := f.fetchStatus(ctx, i)
			isConverged := err == nil && s.Ready && s.GateOpen && s.Nodes == len(f.nodes) && s.ConfigurationVersion == f.version
			if !isConverged {
				pending = append(pending, fmt.Sprintf("node %d: %+v %v", i, s, err))
			}
		}
		if pending == nil {
			return nil
		}
	}
	return errors.Errorf("the fleet did not converge: %s", strings.Join(pending, "; "))
}

// restoreFleet clears all faults, resumes paused processes and restarts those that
// have exited.
func (f *fleet) restoreFleet() {
	for _, list := range [][]*link.Link{f.gateProxies, f.controlProxies, f.storeProxies} {
		for _, p := range list {
			// Connections that dropped bytes go on dropping them; the nodes have
			// to detect and replace these.
			p.SetMode(link.Pass)
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

// stop kills all processes that were started and closes the proxies.
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
	for _, closeLink := range f.closeLinks {
		closeLink()
	}
}
