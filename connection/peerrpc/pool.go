package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	msgpackrpc "github.com/hashicorp/net-rpc-msgpackrpc/v2"
)

// Errors of calls between nodes.
var (
	// ErrUnreachable means that no connection could be established.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrNoReply means that the peer may have executed the call but its reply did
	// not arrive, because the call timed out or the connection failed.
	ErrNoReply = errors.New("peer did not reply")
)

// RemoteError is an error that the called method returned on the peer.
type RemoteError struct {
	Message string
}

func (e *RemoteError) Error() string { return e.Message }

// idleTimeout is how long a connection may carry no call before it is closed.
const idleTimeout = 20 * time.Second

// Pool calls peers by address over pooled connections.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*peerConn
}

// peerConn is a pooled connection to a peer. It is closed through conn, which
// also ends the client's reader. Closing the client instead would write to the
// codec while the client's reader reads from it.
type peerConn struct {
	client *rpc.Client
	conn   *receivingConn
	idle   *time.Timer
}

// receivingConn records when bytes last arrived.
type receivingConn struct {
	net.Conn
	// receivedAt is in Unix nanoseconds.
	receivedAt atomic.Int64
}

func (c *receivingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.receivedAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// NewPool returns an empty pool and a function that closes its connections.
func NewPool() (*Pool, func()) {
	p := &Pool{conns: map[string]*peerConn{}}
	return p, p.close
}

const (
	// silenceTimeout is for how long nothing may arrive on a reused connection, during a
	// call, before the connection counts as silent. A reply takes 60 ms between regions.
	silenceTimeout = 400 * time.Millisecond
	// newSilenceTimeout is the same for a new connection.
	newSilenceTimeout = time.Second
)

// Call calls a method of the peer at address and stores the result in reply. ctx
// must carry a deadline. A call ends sooner if nothing arrives, while a long reply may take
// until the deadline. If a reused connection turns out to be broken or silent, the
// call is retried on a new one, so methods must be idempotent.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	for {
		if ctx.Err() != nil {
			return errors.Wrap(ErrUnreachable, ctx.Err().Error())
		}
		c, isReused, err := p.connFor(ctx, address)
		if err != nil {
			return err
		}
		err = p.call(ctx, c, isReused, address, method, args, reply)
		if !isReused || ctx.Err() != nil || !errors.Is(err, ErrNoReply) {
			return err
		}
	}
}

// call makes one attempt on c and sets reply if it succeeds. It removes c from the pool if
// the call times out or the connection fails or is silent.
func (p *Pool) call(ctx context.Context, c *peerConn, isReused bool, address, method string, args, reply any) error {
	timeout := newSilenceTimeout
	if isReused {
		timeout = silenceTimeout
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.conn.cancelWhenSilent(attemptCtx, timeout, cancel)
	// The reply of an attempt that is given up may still be decoded while the next one runs.
	attemptReply := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.client.Go(method, args, attemptReply.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-attemptCtx.Done():
		p.remove(address, c)
		return errors.Wrap(ErrNoReply, method)
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(attemptReply.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return &RemoteError{Message: string(remote)}
	}
	p.remove(address, c)
	return errors.Wrapf(ErrNoReply, "%s: %v", method, call.Error)
}

// cancelWhenSilent calls cancel once nothing has arrived for the timeout, from now on.
func (c *receivingConn) cancelWhenSilent(ctx context.Context, timeout time.Duration, cancel func()) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			idle := now.Sub(time.Unix(0, c.receivedAt.Load()))
			if idle >= timeout {
				cancel()
				return
			}
			timer.Reset(timeout - idle)
		}
	}
}

// connFor returns the pooled connection for address, or dials a new one.
func (p *Pool) connFor(ctx context.Context, address string) (c *peerConn, isReused bool, err error) {
	p.mu.Lock()
	pc, ok := p.conns[address]
	if ok {
		pc.idle.Reset(idleTimeout)
		p.mu.Unlock()
		return pc, true, nil
	}
	p.mu.Unlock()
	d := net.Dialer{Timeout: newSilenceTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, errors.Wrap(ErrUnreachable, err.Error())
	}
	return p.addOrReuse(address, conn), false, nil
}

// addOrReuse adds the connection to the pool. If a concurrent call has already
// added one, it closes conn and returns the other.
func (p *Pool) addOrReuse(address string, conn net.Conn) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pc, ok := p.conns[address]; ok {
		conn.Close()
		return pc
	}
	c := &peerConn{conn: &receivingConn{Conn: conn}}
	c.client = rpc.NewClientWithCodec(msgpackrpc.NewClientCodec(c.conn))
	c.idle = time.AfterFunc(idleTimeout, func() { p.remove(address, c) })
	p.conns[address] = c
	return c
}

// remove closes c if it is still in the pool.
func (p *Pool) remove(address string, c *peerConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pc, ok := p.conns[address]; ok && pc == c {
		pc.idle.Stop()
		pc.conn.Close()
		delete(p.conns, address)
	}
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pc := range p.conns {
		pc.idle.Stop()
		pc.conn.Close()
		delete(p.conns, address)
	}
}
