package peerrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
	msgpackrpc "github.com/hashicorp/net-rpc-msgpackrpc/v2"
)

// Errors of calls between nodes.
var (
	// ErrUnreachable means that no connection could be made.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrNoReply means that the peer may have acted but did not reply in time.
	ErrNoReply = errors.New("peer did not reply")
)

// RemoteError is an error that the peer returned.
type RemoteError struct {
	Message string
}

func (e *RemoteError) Error() string { return e.Message }

// idleTimeout closes a connection that has carried no call for so long.
const idleTimeout = 20 * time.Second

// Pool calls peers by address.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*peerConn
}

// peerConn is a connection. It is closed by closing conn, on which the client's
// reader ends: closing the client would write to the codec that its reader
// reads from.
type peerConn struct {
	client *rpc.Client
	conn   net.Conn
	idle   *time.Timer
}

// NewPool returns a pool and a function that closes its connections.
func NewPool() (*Pool, func()) {
	p := &Pool{conns: map[string]*peerConn{}}
	return p, p.close
}

// Call calls a method of the peer at address. ctx must carry a deadline. A call
// on a kept connection that turns out to be broken is made again on a new one,
// so methods must bear being called twice.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	for {
		c, isReused, err := p.clientFor(ctx, address)
		if err != nil {
			return err
		}
		err = p.call(ctx, c, address, method, args, reply)
		if !isReused || ctx.Err() != nil || !errors.Is(err, ErrNoReply) {
			return err
		}
	}
}

func (p *Pool) call(ctx context.Context, c *rpc.Client, address, method string, args, reply any) error {
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		p.remove(address, c)
		return errors.Wrap(ErrNoReply, method)
	}
	if call.Error == nil {
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return &RemoteError{Message: string(remote)}
	}
	p.remove(address, c)
	return errors.Wrapf(ErrNoReply, "%s: %v", method, call.Error)
}

func (p *Pool) clientFor(ctx context.Context, address string) (c *rpc.Client, isReused bool, err error) {
	p.mu.Lock()
	pc, ok := p.conns[address]
	if ok {
		pc.idle.Reset(idleTimeout)
		p.mu.Unlock()
		return pc.client, true, nil
	}
	p.mu.Unlock()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, false, errors.Wrap(ErrUnreachable, err.Error())
	}
	return p.addOrReuse(address, conn), false, nil
}

// addOrReuse stores the connection unless another call made one first.
func (p *Pool) addOrReuse(address string, conn net.Conn) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pc, ok := p.conns[address]; ok {
		conn.Close()
		return pc.client
	}
	c := rpc.NewClientWithCodec(msgpackrpc.NewClientCodec(conn))
	idle := time.AfterFunc(idleTimeout, func() { p.remove(address, c) })
	p.conns[address] = &peerConn{client: c, conn: conn, idle: idle}
	return c
}

func (p *Pool) remove(address string, c *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pc, ok := p.conns[address]; ok && pc.client == c {
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
