package gate

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/rawpeer"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// crashRecorder records the requests under which the target has crashed.
type crashRecorder struct {
	mu      sync.Mutex
	crashed []fingerprint.Fingerprint
}

func (c *crashRecorder) RecordCrash(_ uint64, requests []fingerprint.Fingerprint, _ time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashed = append(c.crashed, requests...)
}
func (*crashRecorder) RecordSuccess(fingerprint.Fingerprint, time.Time) {}
func (*crashRecorder) QuarantinedUntil(fingerprint.Fingerprint, time.Time) time.Time {
	return time.Time{}
}

func (*crashRecorder) BeginTrial(fingerprint.Fingerprint, time.Time, func(uint64) bool) (func(), bool) {
	return nil, false
}

// A quarantined request may run only at an elected gate, and only one at a time: each trial
// may crash a target.
func TestTrialOfQuarantinedRequest(t *testing.T) {
	const request fingerprint.Fingerprint = 7
	crashedAt := time.Now()
	tests := []struct {
		name      string
		isElected bool
		after     time.Duration
		want      []bool
	}{
		{"elected and due", true, 2 * time.Second, []bool{true, false}},
		{"elected, not yet due", true, 500 * time.Millisecond, []bool{false}},
		{"not elected", false, 2 * time.Second, []bool{false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newGate()
			g.options.IsTrialGate = func(fingerprint.Fingerprint, uint64) bool { return test.isElected }
			g.options.Quarantine.RecordSuccess(request, crashedAt.Add(-time.Second))
			for i := range uint64(quarantine.Threshold) {
				g.options.Quarantine.RecordCrash(i, []fingerprint.Fingerprint{request}, crashedAt)
			}
			for _, want := range test.want {
				_, until := g.checkQuarantine(request, crashedAt.Add(test.after))
				is.Equal(until.IsZero(), want)
			}
		})
	}
}

// announceAt announces a target at an address to a gate, which connects to it there.
func announceAt(t *testing.T, g *Gate, address string) Announcement {
	t.Helper()
	pool, closePool := http1.NewPool(address, dialTimeout)
	t.Cleanup(closePool)
	g.targetConns, g.options.Address = pool, address
	a := announcement("i", 1000, 1)
	a.Address = address
	if err := g.Announce(a); err != nil {
		t.Fatal(err)
	}
	return a
}

// A gray target that resets a request must not be taken for one that has crashed. A
// target that ends takes along all requests that it runs.
func TestCrashIsToldFromReset(t *testing.T) {
	tests := []struct {
		name        string
		ends        bool
		wantCrashed int
	}{
		{"gray target", false, 0},
		{"target that ends", true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			arrived := make(chan net.Conn, 4)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					arrived <- conn
				}
			}()
			recorder := &crashRecorder{}
			g := newGate()
			g.options.Quarantine = recorder
			announceAt(t, g, l.Addr().String())
			gateListener, closeGate, err := http1.Listen("127.0.0.1:0", g.Serve, func() http1.Limits {
				return http1.Limits{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 14, HeaderTimeout: time.Second, IdleTimeout: time.Second}
			}, hclog.NewNullLogger())
			is.NoErr(err)
			defer closeGate()
			var callers sync.WaitGroup
			for _, path := range []string{"/a", "/b"} {
				callers.Add(1)
				go func() {
					defer callers.Done()
					sendThroughGate(t, gateListener.Address(), path)
				}()
			}
			conns := []net.Conn{<-arrived, <-arrived}
			if test.ends {
				l.Close()
			}
			for _, c := range conns {
				c.Close()
			}
			callers.Wait()
			time.Sleep(10 * crashCheckDelay)
			l.Close()
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			is.Equal(len(recorder.crashed), test.wantCrashed)
		})
	}
}

// sendThroughGate sends a request to a gate as an entry does.
func sendThroughGate(t *testing.T, address, path string) {
	t.Helper()
	pool, closePool := http1.NewPool(address, time.Second)
	defer closePool()
	conn, err := pool.Get(t.Context(), 0)
	if err != nil {
		t.Error(err)
		return
	}
	defer pool.Put(conn)
	h := http.Header{}
	now := time.Now()
	hopheader.Request{Service: "s", SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second), QueueDeadline: now}.Inject(h, now)
	if _, err := conn.Do(t.Context(), http1.Request{Method: http.MethodGet, URI: path, Host: "h", Header: h}, func(http.Header) string { return "" }, nil); err != nil {
		t.Error(err)
	}
}

// leavingHeaders reads every response as one of a target that leaves.
type leavingHeaders struct{ noHeaders }

func (leavingHeaders) ParseTargetHeaders(int, http.Header) metadata.TargetResponse {
	return metadata.TargetResponse{Leaving: true, NotRun: true}
}

// What another target at the address says about itself must not be taken for what the
// gate's own target says.
func TestNoticesOfAnotherTargetAreIgnored(t *testing.T) {
	is := is.New(t)
	address, closeTarget, err := rawpeer.Listen(func(conn *net.TCPConn) {
		io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	})
	is.NoErr(err)
	defer closeTarget()
	g := newGate()
	g.options.Headers = leavingHeaders{}
	a := announceAt(t, g, address)
	gr, p := g.admit(t.Context(), requestWithin(0))
	is.True(p == nil)
	_, res, p := g.forward(t.Context(), &http1.IncomingRequest{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}, requestWithin(0), gr, "", 0, nil)
	g.release(gr, res)
	is.Equal(p.Code, outcome.CodeMisdirected)
	a.Sequence++
	is.NoErr(g.Announce(a))
	is.True(g.State().Accepting)
}
