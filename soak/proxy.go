package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// mode is what a proxy does to the bytes that pass it.
type mode int

// The modes of a proxy.
const (
	modePass mode = iota
	// modeDelay holds each piece back for proxyDelay.
	modeDelay
	// modeDropResponses passes what callers send and drops all that comes back.
	modeDropResponses
	// modeDropAll drops all bytes and keeps the connections open.
	modeDropAll
)

func (m mode) String() string { return [...]string{"pass", "delay", "drop_back", "silence"}[m] }

// proxyDelay is what a bad link between regions adds.
const proxyDelay = 150 * time.Millisecond

// proxy passes connections on to an address, as its mode says.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newProxy returns a proxy and a function that closes it.
func newProxy(listen, target string) (*proxy, func(), error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", listen)
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.acceptLoop()
	return p, p.close, nil
}

func (p *proxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		resetConn(caller)
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.forward(target, caller, false); done <- struct{}{} }()
	go func() { p.forward(caller, target, true); done <- struct{}{} }()
	<-done
	caller.Close()
	target.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	p.mu.Unlock()
}

// forward copies bytes one way; back tells that they come from the target.
func (p *proxy) forward(dst, src net.Conn, isResponse bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		switch m := p.currentMode(); {
		case m == modeDropAll, m == modeDropResponses && isResponse:
			// Later bytes of this connection would be read without these.
			io.Copy(io.Discard, src)
			return
		case m == modeDelay:
			time.Sleep(proxyDelay)
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// resetConns resets all connections.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

func resetConn(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		tc.SetLinger(0)
	}
	c.Close()
}

func (p *proxy) close() {
	p.listener.Close()
	p.resetConns()
}
