package node_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/matryer/is"
)

// crashRestartDelay is how long a crashed target is away.
const crashRestartDelay = 300 * time.Millisecond

// crashingTarget is the target of a VM that ends, with all its connections, when a
// request crashes it, and starts again as another instance.
type crashingTarget struct {
	fleet    *fleet
	vm       *vm
	mu       sync.Mutex
	server   *http.Server
	stop     context.CancelFunc
	starts   int
	isClosed bool
	onCrash  func()
}

func (c *crashingTarget) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	c.starts++
	l, err := net.Listen("tcp", c.vm.settings.Target)
	if err != nil {
		c.fleet.t.Error(err)
		return
	}
	s := target.New(fmt.Sprintf("%s-%d", c.vm.settings.Target, c.starts), "s", 3, 10*time.Millisecond, c.fleet.executions)
	server := &http.Server{Handler: s.Handler()}
	ctx, cancel := context.WithCancel(context.Background())
	s.OnCrash = sync.OnceFunc(func() {
		c.onCrash()
		cancel()
		server.Close()
		time.AfterFunc(crashRestartDelay, c.start)
	})
	c.server, c.stop = server, cancel
	go server.Serve(l)
	announcer := &target.Announcer{AdminAddress: c.vm.settings.Admin, Instance: s.Instance, Service: "s", Address: c.vm.settings.Target, Slots: 3, StartedAt: time.Now()}
	go announcer.Run(ctx)
}

func (c *crashingTarget) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	c.stop()
	c.server.Close()
}

// crashLog holds the times at which targets crashed.
type crashLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

// after returns the number of crashes later than a time after the third.
func (l *crashLog) after(d time.Duration) (n, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, at := range l.times {
		if i >= 3 && at.Sub(l.times[2]) > d {
			n++
		}
	}
	return n, len(l.times)
}

// startCrashFleet returns a fleet whose targets can crash.
func startCrashFleet(t *testing.T, vms int) (*fleet, *crashLog) {
	t.Helper()
	f := newFleet(t, 0)
	f.publish(1)
	log := &crashLog{}
	for range vms {
		v := f.addVMWithTarget(func(v *vm) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			v.settings.Target = l.Addr().String()
			l.Close()
		})
		c := &crashingTarget{fleet: f, vm: v, onCrash: log.add}
		c.start()
		t.Cleanup(c.close)
	}
	for _, v := range f.vms {
		f.awaitStatus(v, fmt.Sprintf(`"nodes":%d,"gate_open":true`, vms))
	}
	return f, log
}

// get sends a request to a node's entry and returns the status and Retry-After.
func get(t *testing.T, v *vm, path string) (status int, retryAfter string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+v.settings.Entry+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	res.Body.Close()
	return res.StatusCode, res.Header.Get("Retry-After")
}

// Incident second1: a request under which three targets had crashed was sent to 10 more.
// It comes again at any node; the other requests must be served.
func TestRequestThatCrashesTargetsIsGivenUp(t *testing.T) {
	is := is.New(t)
	const (
		spreadTime = 2 * time.Second
		maxMore    = 3
	)
	f, crashes := startCrashFleet(t, 6)
	for i := range 30 {
		get(t, f.vms[i%len(f.vms)], "/read"+target.CrashPath)
		time.Sleep(150 * time.Millisecond)
	}
	more, total := crashes.after(spreadTime)
	t.Logf("%d crashes, %d of them late", total, more)
	is.True(total >= 3)
	is.True(more <= maxMore)
	time.Sleep(2 * crashRestartDelay)
	served := 0
	for i := range 30 {
		if status, _ := get(t, f.vms[i%len(f.vms)], "/read/today"); status == http.StatusOK {
			served++
		}
	}
	is.True(served >= 28)
	status, retryAfter := get(t, f.vms[0], "/read"+target.CrashPath)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(retryAfter != "")
}
