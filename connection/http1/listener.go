package http1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
)

// Bounds of a connection that callers open.
const (
	// maxPipelined is how many requests of one connection are served at once;
	// more stay unread until the first is answered.
	maxPipelined = 16
	// bufferSize is the size of a connection's read and write buffers; most
	// heads fit.
	bufferSize = 4096
	// writeTimeout closes a connection whose peer takes nothing for so long.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection that was closed for writing is
	// read on, so that the last answer is not lost to a reset.
	lingerTimeout = time.Second
	// bodyReadTimeout closes a connection whose peer sends no more of a body.
	bodyReadTimeout = 10 * time.Second
)

// Errors of reading a request.
var (
	errHeaderTooLarge = errors.New("the request's head is too large")
	errBodyTooLarge   = errors.New("the request's body is too large")
	// ErrCallerDisconnected means that the caller closed its connection.
	ErrCallerDisconnected = errors.New("the caller closed the connection")
	// ErrShutdown means that the listener ends the requests in progress.
	ErrShutdown        = errors.New("the node is ending")
	errResponseAborted = errors.New("the answer was aborted")
	errListenerStopped = errors.New("the listener takes no further request")
)

// Limits bound what a caller may send. They are read anew for each request.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// IncomingRequest is a request that a caller sent.
type IncomingRequest struct {
	Method       string
	URI          string
	Host         string
	Path         string
	Header       http.Header
	ReceivedAt   time.Time
	body         chan bodyResult
	sendContinue func() error
}

type bodyResult struct {
	bytes []byte
	err   error
}

// ReadBody returns the request's body. A caller that waits for a 100 response gets
// it now.
func (in *IncomingRequest) ReadBody(ctx context.Context) ([]byte, error) {
	if in.sendContinue != nil {
		if err := in.sendContinue(); err != nil {
			return nil, errors.Wrap(ErrCallerDisconnected, err.Error())
		}
	}
	select {
	case b := <-in.body:
		return b.bytes, b.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Handler answers a request. ctx ends with the caller's connection.
type Handler func(ctx context.Context, in *IncomingRequest) *Response

// Listener serves the connections of one address.
type Listener struct {
	listener net.Listener
	handler  Handler
	limits   func() Limits
	logger   hclog.Logger
	draining atomic.Bool
	stopped  atomic.Bool
	// ctx ends when the requests in progress have to end.
	ctx    context.Context
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	conns  map[*serverConn]bool
	wg     sync.WaitGroup
}

// Listen serves the address until the returned function is called, which closes
// all connections.
func Listen(address string, handler Handler, limits func() Limits, logger hclog.Logger) (*Listener, func(), error) {
	nl, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "listen on %s", address)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	l := &Listener{
		listener: nl, handler: handler, limits: limits, logger: logger, conns: map[*serverConn]bool{}, ctx: ctx, cancel: cancel,
	}
	l.wg.Add(1)
	go l.acceptConns()
	return l, l.close, nil
}

// Address returns the address that is listened on.
func (l *Listener) Address() string { return l.listener.Addr().String() }

func (l *Listener) acceptConns() {
	defer l.wg.Done()
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.logger.Warn("accepting a connection failed", "reason", err)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c := &serverConn{listener: l, conn: conn, pipeline: make(chan *pendingRequest, maxPipelined)}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			c.serve()
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}()
	}
}

// Drain makes each connection close with its next answer.
func (l *Listener) Drain() { l.draining.Store(true) }

// Stop takes no further connection and no further request; what has been read is
// answered. What is not read is left for its caller to send elsewhere.
func (l *Listener) Stop() {
	l.draining.Store(true)
	l.stopped.Store(true)
	l.listener.Close()
	l.closeIdleConns()
}

// CancelRequests ends the contexts of the requests in progress with ErrEnding. Handlers
// return what they have, and it is written in the order of the requests.
func (l *Listener) CancelRequests() { l.cancel(ErrShutdown) }

// InFlight returns how many requests have been read and not answered.
func (l *Listener) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		n += c.inFlightCount()
	}
	return n
}

// closeIdleConns closes the connections that carry no request.
func (l *Listener) closeIdleConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.inFlightCount() == 0 {
			c.conn.Close()
		}
	}
}

func (l *Listener) close() {
	l.listener.Close()
	l.mu.Lock()
	for c := range l.conns {
		c.conn.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}
