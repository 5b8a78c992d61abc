package node_test

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// silenceableProxy forwards connections to an address. Connections that it silences stay
// open, and their kernel acknowledges what arrives, but nothing is forwarded any more.
type silenceableProxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*proxiedConn]bool
}

// proxiedConn is a connection with the one to the target.
type proxiedConn struct {
	sides    [2]net.Conn
	isSilent chan struct{}
}

func newSilenceableProxy(t *testing.T, listen, target string) *silenceableProxy {
	t.Helper()
	l, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	p := &silenceableProxy{listener: l, target: target, conns: map[*proxiedConn]bool{}}
	go p.acceptConns()
	t.Cleanup(p.close)
	return p
}

func (p *silenceableProxy) address() string { return p.listener.Addr().String() }

func (p *silenceableProxy) acceptConns() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.DialTimeout("tcp", p.target, time.Second)
		if err != nil {
			caller.Close()
			continue
		}
		c := &proxiedConn{sides: [2]net.Conn{caller, target}, isSilent: make(chan struct{})}
		p.mu.Lock()
		p.conns[c] = true
		p.mu.Unlock()
		go c.forward(0)
		go c.forward(1)
	}
}

// forward copies what one side sends to the other until the connection is silenced.
func (c *proxiedConn) forward(from int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.sides[from].Read(buffer)
		select {
		case <-c.isSilent:
			io.Copy(io.Discard, c.sides[from])
			return
		default:
		}
		if err == nil {
			_, err = c.sides[1-from].Write(buffer[:n])
		}
		if err != nil {
			c.sides[0].Close()
			c.sides[1].Close()
			return
		}
	}
}

// silence makes all open connections silent. New ones work.
func (p *silenceableProxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		close(c.isSilent)
		delete(p.conns, c)
	}
}

func (p *silenceableProxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.sides[0].Close()
		c.sides[1].Close()
	}
}

// Bounds that the platform states: how long after its confirmation a version may be out of
// force, and how long after the end of a disturbance nodes need not keep bounds.
const (
	configurationDelay = 2500 * time.Millisecond
	stabilityWindow    = 4 * time.Second
)

// Guards against confirmed versions that stay out of force because the connections of all
// nodes, on which they wait for changes, have fallen silent without an error.
func TestSilentConnectionsDelayNoVersion(t *testing.T) {
	tests := []struct {
		name string
		// betweenNodes means that the connections between nodes fall silent as well.
		betweenNodes bool
		publishAfter time.Duration
	}{
		{"published at once", false, 200 * time.Millisecond},
		{"published after the stability window", false, stabilityWindow + time.Second},
		{"published at once, nodes too", true, 200 * time.Millisecond},
		{"published after the stability window, nodes too", true, stabilityWindow + time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 0)
			path := newSilenceableProxy(t, "127.0.0.1:0", f.storeAddress)
			paths := []*silenceableProxy{path}
			f.publish(1)
			for range 3 {
				f.addVMWithTarget(func(v *vm) {
					v.storeAddress = path.address()
					host, _, _ := net.SplitHostPort(v.settings.Control)
					link := newSilenceableProxy(t, host+":0", v.settings.Control)
					v.settings.AdvertisedControl = link.address()
					v.settings.Target = "127.0.0.1:1"
					if test.betweenNodes {
						paths = append(paths, link)
					}
				})
			}
			for _, v := range f.vms {
				f.awaitStatus(v, `"configuration_version":1,"nodes":3`)
			}
			// From here on, reads of the store wait.
			time.Sleep(1500 * time.Millisecond)
			silentAt := time.Now()
			for _, p := range paths {
				p.silence()
			}
			time.Sleep(test.publishAfter)
			f.publish(2)
			due := time.Now().Add(configurationDelay)
			if inTouch := silentAt.Add(stabilityWindow); inTouch.After(due) {
				due = inTouch
			}
			time.Sleep(time.Until(due))
			for _, v := range f.vms {
				is.True(strings.Contains(f.status(v), `"configuration_version":2`))
			}
		})
	}
}
