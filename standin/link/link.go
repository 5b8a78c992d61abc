package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Mode is the fault that a Link applies to the bytes it forwards.
type Mode int

// The modes of a Link.
const (
	Pass Mode = iota
	// Delay delays each chunk by the delay of a bad link between regions.
	Delay
	// DropResponses forwards the bytes of the caller and drops those of the target: a
	// connection that is cut one way.
	DropResponses
	// DropAll drops all bytes and keeps the connection open.
	DropAll
)

func (m Mode) String() string { return [...]string{"pass", "delay", "drop_back", "silence"}[m] }

// delay is the latency that a bad link between regions adds.
const delay = 150 * time.Millisecond

// Link forwards TCP connections to an address and applies the fault of its mode.
type Link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
	// bandwidth limits the bytes to the caller; nil means no limit.
	bandwidth *Bandwidth
	// silenced is closed when the connections that are open then fall silent.
	silenced chan struct{}
}

// New starts a Link from an address to listen on to a target. It returns it with a
// function that closes it.
func New(listen, target string) (*Link, func(), error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", listen)
	}
	k := &Link{listener: l, target: target, conns: map[net.Conn]bool{}, silenced: make(chan struct{})}
	go k.acceptConns()
	return k, k.close, nil
}

// Address returns the address that the Link listens on.
func (k *Link) Address() string { return k.listener.Addr().String() }

func (k *Link) acceptConns() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(conn)
	}
}

func (k *Link) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		resetConn(caller)
		return
	}
	k.mu.Lock()
	k.conns[caller], k.conns[target] = true, true
	silenced := k.silenced
	k.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { k.forward(target, caller, false, silenced); done <- struct{}{} }()
	go func() { k.forward(caller, target, true, silenced); done <- struct{}{} }()
	<-done
	caller.Close()
	target.Close()
	<-done
	k.mu.Lock()
	delete(k.conns, caller)
	delete(k.conns, target)
	k.mu.Unlock()
}

// forward copies bytes in one direction. isResponse reports whether the bytes come
// from the target.
func (k *Link) forward(dst, src net.Conn, isResponse bool, silenced <-chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		switch m := k.currentMode(); {
		case isClosed(silenced), m == DropAll, m == DropResponses && isResponse:
			// Drops the rest of the connection too, since a receiver would take
			// later bytes for those that were dropped.
			io.Copy(io.Discard, src)
			return
		case m == Delay:
			time.Sleep(delay)
		}
		if b := k.currentBandwidth(); b != nil && isResponse {
			// The context never ends: a closed connection shows when it is written to.
			_ = b.Wait(context.Background(), n)
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

// SetBandwidth makes all connections share a capacity, with those of other links that have
// the same one, for what the target sends; nil removes the limit.
func (k *Link) SetBandwidth(b *Bandwidth) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bandwidth = b
}

func (k *Link) currentBandwidth() *Bandwidth {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bandwidth
}

func (k *Link) currentMode() Mode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode
}

// SetMode sets the mode of all connections, open ones included.
func (k *Link) SetMode(m Mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = m
}

// Silence makes all open connections drop what arrives from now on, without closing them.
// New ones work. The kernel still acknowledges the bytes, so that only a timeout of the
// application shows it.
func (k *Link) Silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.silenced)
	k.silenced = make(chan struct{})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// ResetConns resets all open connections, on both sides.
func (k *Link) ResetConns() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
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

func (k *Link) close() {
	k.listener.Close()
	k.ResetConns()
}
