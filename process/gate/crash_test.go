package gate

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
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
			g.options.Address = l.Addr().String()
			pool, closePool := http1.NewPool(g.options.Address, dialTimeout)
			defer closePool()
			g.targetConns = pool
			a := announcement("i", 1000, 1)
			a.Address = g.options.Address
			is.NoErr(g.Announce(a))
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
