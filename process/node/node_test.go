package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	client "github.com/cuminwheel/cuminwheel/connection/logservice"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/logservice"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
)

// fleet is a few nodes in this process, over real connections on loopback,
// with the stand-ins of the log and of one target beside each node.
type fleet struct {
	log     *logservice.Server
	nodes   []*Node
	stops   []func(context.Context) error
	entries []string
	targets []*target.Server
	direct  []string
}

// patience bounds how long a test waits for a state; no test asserts a time.
const patience = 60 * time.Second

func freeAddress(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func startFleet(tb testing.TB, count int, work time.Duration) *fleet {
	tb.Helper()
	f := &fleet{log: logservice.New(1000)}
	logServer := httptest.NewServer(f.log.Handler())
	tb.Cleanup(logServer.Close)
	logAddress := strings.TrimPrefix(logServer.URL, "http://")
	var peers []string
	for i := range count {
		s := settings.Settings{
			Entry: freeAddress(tb), Gate: freeAddress(tb), Control: freeAddress(tb), Admin: freeAddress(tb),
			Region: "bajio", DataCentre: fmt.Sprintf("b%d", i), Log: logAddress, Stream: "test",
			Peers: peers, ClockBound: 20 * time.Millisecond, DrainTimeout: time.Minute,
		}
		n, stop, err := Start(s, hclog.NewNullLogger())
		if err != nil {
			tb.Fatal(err)
		}
		tb.Cleanup(func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = stop(ctx)
		})
		peers = append(peers, s.Control)
		f.nodes = append(f.nodes, n)
		f.stops = append(f.stops, stop)
		f.entries = append(f.entries, s.Entry)
		f.addTarget(tb, s.Admin, work)
	}
	f.publish(tb, logAddress)
	f.await(tb, "all nodes know all targets", func() bool {
		for _, n := range f.nodes {
			if n.journal.State().Version == 0 || servingTargets(n) < count {
				return false
			}
		}
		return true
	})
	return f
}

func servingTargets(n *Node) int {
	sum := 0
	for _, o := range n.roster.Nodes() {
		sum += len(o.Targets)
	}
	return sum
}

func (f *fleet) addTarget(tb testing.TB, admin string, work time.Duration) {
	tb.Helper()
	t := target.New("reparto", 16, work, io.Discard)
	s := httptest.NewServer(t.Handler())
	tb.Cleanup(s.Close)
	address := strings.TrimPrefix(s.URL, "http://")
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	a := target.Announcer{Admin: admin, Announcement: gate.Announcement{Service: "reparto", Address: address, Slots: 16}}
	go a.Run(ctx)
	f.targets = append(f.targets, t)
	f.direct = append(f.direct, address)
}

func (f *fleet) publish(tb testing.TB, logAddress string) {
	tb.Helper()
	c := configuration.Change{Services: []configuration.Service{{
		Name: "reparto", FloorSlots: 1, TimeoutMillis: 20_000,
		Routes: []configuration.Route{
			{PathPrefix: "/turnos"},
			{PathPrefix: "/claims", NeverRepeat: true},
		},
	}}}
	raw, err := ledger.Record{ID: "1", Kind: ledger.KindChange, Author: "test", Change: &c}.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	logs, closeLogs := client.NewClient(logAddress, "test")
	defer closeLogs()
	if _, err := logs.Append(tb.Context(), raw); err != nil {
		tb.Fatal(err)
	}
}

func (f *fleet) await(tb testing.TB, what string, done func() bool) {
	tb.Helper()
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	tb.Fatalf("%s: not within %s", what, patience)
}

// call sends a request and returns its outcome.
func call(method, address, path, key string) (outcome.Outcome, error) {
	req, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(key))
	if err != nil {
		return "", err
	}
	req.GetBody = nil
	req.Header.Set(target.HeaderNonce, "n")
	if key != "" {
		req.Header["idempotency-key"] = []string{key}
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	o := outcome.Outcome(res.Header.Get(outcome.HeaderOutcome))
	if err == nil && o == outcome.Answered && !target.IsOwnAnswer(body, "n") {
		return o, fmt.Errorf("not the own answer: %q", body)
	}
	return o, err
}

// A node that leaves cuts no request in progress, whether it came in there or
// runs at a target beside it, and requests of others go on meanwhile.
func TestLeaveCutsNothing(t *testing.T) {
	f := startFleet(t, 3, 300*time.Millisecond)
	var wg sync.WaitGroup
	failures := make(chan string, 1000)
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			// The first requests come in at the leaving node too; later callers
			// have heard that it is not ready.
			entry := f.entries[i%2]
			if i < 10 {
				entry = f.entries[2]
			}
			o, err := call("POST", entry, "/turnos", "")
			if err != nil || o != outcome.Answered {
				failures <- fmt.Sprintf("request %d: %s, %v", i, o, err)
			}
		}()
	}
	time.Sleep(600 * time.Millisecond)
	if err := f.stops[2](t.Context()); err != nil {
		t.Error(err)
	}
	wg.Wait()
	close(failures)
	for s := range failures {
		t.Error(s)
	}
}

// A claim sent many times at once by all entries runs once, and everybody gets
// its answer.
func TestClaimRunsOnce(t *testing.T) {
	f := startFleet(t, 3, 50*time.Millisecond)
	f.await(t, "claim seats are held", func() bool {
		o, err := call("POST", f.entries[0], "/claims", uuid.Must(uuid.NewV7()).String())
		return err == nil && o == outcome.Answered
	})
	for range 5 {
		key := uuid.Must(uuid.NewV7()).String()
		var wg sync.WaitGroup
		for _, entry := range append(f.entries, f.entries...) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if o, err := call("POST", entry, "/claims", key); err != nil || o == outcome.NotRun {
					t.Errorf("claim: %s, %v", o, err)
				}
			}()
		}
		wg.Wait()
		ran := 0
		for _, g := range f.targets {
			ran += g.Ran()[key]
		}
		if ran > 1 {
			t.Errorf("the claim ran %d times", ran)
		}
	}
}

// BenchmarkAddedLatency compares requests through two nodes with direct ones,
// at a target that works for no time.
func BenchmarkAddedLatency(b *testing.B) {
	f := startFleet(b, 2, 0)
	measure := func(address string) (p50, p99 time.Duration) {
		times := make([]time.Duration, 0, b.N)
		for range b.N {
			began := time.Now()
			if _, err := call("GET", address, "/turnos", ""); err != nil {
				b.Fatal(err)
			}
			times = append(times, time.Since(began))
		}
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		return times[len(times)/2], times[len(times)*99/100]
	}
	direct50, direct99 := measure(f.direct[0])
	through50, through99 := measure(f.entries[0])
	b.ReportMetric(float64((through50 - direct50).Microseconds()), "added-p50-µs")
	b.ReportMetric(float64((through99 - direct99).Microseconds()), "added-p99-µs")
	b.ReportMetric(0, "ns/op")
}
