package http1

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Bounds of a pool.
const (
	// defaultIdleTimeout is how long a connection is kept when the peer names no
	// time; most servers close idle connections after 5 s or more.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the part of the peer's own idle timeout after which a
	// connection is not used again, so that it is not closed under a request.
	idleTimeoutFraction = 0.8
	// keepAliveInterval, keepAliveCount and unackedTimeout find a connection that
	// went silent without a reset.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	unackedTimeout    = 3 * time.Second
)

// Pool keeps connections to one address.
type Pool struct {
	address     string
	dialTimeout time.Duration
	mu          sync.Mutex
	idle        []*Conn
	closed      bool
}

// NewPool returns a pool for the address and a function that closes its idle
// connections and keeps no more. A connection that is not made within
// dialTimeout counts as refused.
func NewPool(address string, dialTimeout time.Duration) (*Pool, func()) {
	p := &Pool{address: address, dialTimeout: dialTimeout}
	return p, p.close
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.conn.Close()
	}
	p.idle = nil
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.conn.Close()
	}
	p.idle = nil
}

// Conn is a connection to a peer. It carries one request at a time.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince and usableUntil bound when a kept connection is used again.
	idleSince   time.Time
	usableUntil time.Time
	// servedIDs are the ids of the last requests, to tell a late answer.
	servedIDs []string
	// reusable means that the connection can carry another request.
	reusable bool
	// Reused reports whether the connection has carried a request before.
	Reused bool
}

// Get returns a connection. A kept one must have been idle for less than
// freshness; zero always opens a new one. Errors wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*Conn, error) {
	now := time.Now()
	for {
		c := p.popIdle()
		if c == nil {
			return p.dial(ctx)
		}
		if now.Before(c.usableUntil) && now.Sub(c.idleSince) < maxIdle && c.isIdle() {
			c.Reused = true
			return c, nil
		}
		c.conn.Close()
	}
}

// popIdle takes the connection that was used last.
func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	d := net.Dialer{
		Timeout:         p.dialTimeout,
		Control:         setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	conn, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	return &Conn{
		conn:   conn,
		reader: bufio.NewReaderSize(conn, bufferSize),
		writer: bufio.NewWriterSize(conn, bufferSize),
	}, nil
}

// setUnackedTimeout makes a connection fail whose peer acknowledges nothing.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Put keeps the connection if it can carry another request, and closes it
// otherwise.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.reusable || p.closed {
		c.conn.Close()
		return
	}
	c.reusable = false
	c.idleSince = time.Now()
	if c.usableUntil.IsZero() {
		c.usableUntil = c.idleSince.Add(defaultIdleTimeout)
	}
	p.closeStale()
	p.idle = append(p.idle, c)
}

// closeStale closes connections that will not be used again.
func (p *Pool) closeStale() {
	now := time.Now()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.usableUntil) {
			kept = append(kept, c)
			continue
		}
		c.conn.Close()
	}
	p.idle = kept
}

// isIdle reports whether the peer has neither closed the connection nor sent
// anything since the last answer. Bytes that come unasked belong to no request.
func (c *Conn) isIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tc, ok := c.conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}
