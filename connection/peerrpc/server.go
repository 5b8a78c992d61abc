package peerrpc

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/go-faster/errors"
	msgpackrpc "github.com/hashicorp/net-rpc-msgpackrpc/v2"
)

// Serve serves the calls that arrive on l. receivers maps the names under which
// methods are called to the values that have them. The returned function stops
// the server and closes all connections.
func Serve(l net.Listener, receivers map[string]any) (func(), error) {
	s := rpc.NewServer()
	for name, r := range receivers {
		if err := s.RegisterName(name, r); err != nil {
			return nil, errors.Wrapf(err, "register RPC receiver %s", name)
		}
	}
	a := &acceptor{listener: l, server: s, conns: map[net.Conn]bool{}}
	go a.acceptConns()
	return a.close, nil
}

// acceptor accepts connections and tracks them so that they can be closed.
type acceptor struct {
	listener net.Listener
	server   *rpc.Server

	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

// acceptConns accepts connections until the listener is closed.
func (a *acceptor) acceptConns() {
	for {
		conn, err := a.listener.Accept()
		if err != nil {
			return
		}
		if !a.trackConn(conn) {
			conn.Close()
			return
		}
		go a.serveConn(conn)
	}
}

// serveConn serves the calls on conn until it ends.
func (a *acceptor) serveConn(conn net.Conn) {
	a.server.ServeCodec(msgpackrpc.NewServerCodec(conn))
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.conns, conn)
}

// trackConn records conn, or reports false if the acceptor is closed.
func (a *acceptor) trackConn(conn net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.conns[conn] = true
	return true
}

func (a *acceptor) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.listener.Close()
	for c := range a.conns {
		c.Close()
	}
}
