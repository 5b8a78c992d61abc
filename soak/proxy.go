package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// mode is the fault that a proxy applies to the bytes it forwards.
type mode int

// The modes of a proxy.
const (
	modePass mode = iota
	// modeDelay delays each chunk by proxyDelay.
	modeDelay
	// modeDropResponses forwards the bytes of the caller and drops those of the
	// target: a connection that is cut one way.
	modeDropResponses
	// modeDropAll drops all bytes and keeps the connection open.
	modeDropAll
)

func (m mode) String() string { return [...]string{"pass", "delay", "drop_back", "silence"}[m] }

// proxyDelay is the latency that a bad link between regions adds.
const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections to an address and applies the fault of its mode.
type proxy struct {
	listener net.Listener
	address  string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newProxy starts a proxy and returns it with a function that closes it.
func newProxy(listen, target string) (*proxy, func(), error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", listen)
	}
	p := &proxy{listener: l, address: target, conns: map[net.Conn]bool{}}
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
	target, err := net.DialTimeout("tcp", p.address, time.Second)
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

// forward copies bytes in one direction. isResponse reports whether the bytes come
// from the target.
func (p *proxy) forward(dst, src net.Conn, isResponse bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		switch m := p.currentMode(); {
		case m == modeDropAll, m == modeDropResponses && isResponse:
			// Drops the rest of the connection too, since a receiver would take
			// later bytes for those that were dropped.
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

// resetConns resets all open connections, on both sides.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a TCP reset in place of an orderly close.
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
