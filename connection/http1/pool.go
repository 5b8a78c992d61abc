package http1

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of pooled connections.
const (
	// defaultIdleTimeout is how long an idle connection is kept when the peer
	// announces no timeout. Most servers close idle connections after 5 s or
	// more.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the peer's announced idle timeout
	// after which a connection is not reused, so that the peer does not close it
	// while a request is on its way.
	idleTimeoutFraction = 0.8
	// keepAliveInterval, keepAliveCount and unackedTimeout detect a connection
	// whose peer became unreachable without a reset.
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	unackedTimeout    = 3 * time.Second
)

// Pool keeps idle connections to one address for reuse.
type Pool struct {
	address     string
	dialTimeout time.Duration
	bodies      *BodyBudget
	mu          sync.Mutex
	idle        []*Conn
	closed      bool
}

// NewPool returns a pool for the address and a function that closes it: idle
// connections are closed, and connections put back later as well. Opening a
// connection fails with ErrNotSent after dialTimeout.
func NewPool(address string, dialTimeout time.Duration) (*Pool, func()) {
	p := &Pool{address: address, dialTimeout: dialTimeout}
	return p, p.close
}

// SetBodyBudget sets the budget for the response bodies of connections that are
// opened from now on.
func (p *Pool) SetBodyBudget(b *BodyBudget) { p.bodies = b }

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.conn.Close()
	}
	p.idle = nil
}

// CloseIdle closes the connections that are idle now. The pool stays usable.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.conn.Close()
	}
	p.idle = nil
}

// Conn is a client connection to a peer. It carries one request at a time.
type Conn struct {
	conn net.Conn
	// input limits what reader reads from conn.
	input  *limitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	bodies *BodyBudget
	// idleSince and usableUntil limit how long an idle connection may be reused.
	idleSince   time.Time
	usableUntil time.Time
	// served holds the IDs of the last requests, by which a late response to one of them
	// is recognised.
	served idHistory
	// reusable means that the connection can carry another request.
	reusable bool
	// Reused reports whether the connection has carried a request before.
	Reused bool
}

// Get returns an idle connection, or opens a new one. It reuses a connection only
// if that has been idle for less than maxIdle; with zero it always opens a new
// one. Errors wrap ErrNotSent.
func (p *Pool) Get(ctx context.Context, maxIdle time.Duration) (*Conn, error) {
	return p.GetFor(ctx, maxIdle, "")
}

// GetFor is Get for the request with an ID. It returns no connection that has carried a
// request with this ID: a late second response to that one could not be told from the
// response to this one.
func (p *Pool) GetFor(ctx context.Context, maxIdle time.Duration, id string) (*Conn, error) {
	now := time.Now()
	for {
		c := p.popIdle(id)
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

// CheckPeer reports whether the peer accepts connections. It opens one, which is kept
// for reuse, unless an idle one is still open. An error other than a refusal does not
// mean that the peer has ended.
func (p *Pool) CheckPeer(ctx context.Context) (accepts bool, err error) {
	if p.hasOpenIdle() {
		return true, nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		return !IsRefused(err), err
	}
	c.reusable = true
	p.Put(c)
	return true, nil
}

// hasOpenIdle reports whether the peer keeps an idle connection open.
func (p *Pool) hasOpenIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, (*Conn).isIdle)
}

// popIdle removes and returns the most recently used idle connection that has not carried
// a request with the ID, or nil.
func (p *Pool) popIdle(id string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; !c.served.contains(id) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) dial(ctx context.Context) (*Conn, error) {
	d := net.Dialer{
		Timeout:         p.dialTimeout,
		Control:         setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	conn, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, &causedError{ErrNotSent, err}
	}
	input := &limitedReader{reader: conn, remaining: unlimited, errExceeded: errResponseTooLarge}
	return &Conn{
		conn:   conn,
		input:  input,
		reader: bufio.NewReaderSize(input, bufferSize),
		writer: bufio.NewWriterSize(conn, bufferSize),
		bodies: p.bodies,
	}, nil
}

// setUnackedTimeout sets TCP_USER_TIMEOUT, which makes a connection fail when sent
// data stays unacknowledged for too long.
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

// Put returns the connection to the pool if it can carry another request, and
// closes it otherwise.
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

// closeStale closes the idle connections whose usableUntil has passed; mu is held.
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
// anything since the last response. Unsolicited bytes belong to no request, so a
// connection that has any is not reused.
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
