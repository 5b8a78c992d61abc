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

// Limits on a connection that a caller opens.
const (
	// maxPipelined is how many requests of one connection may await their
	// responses. Further requests stay unread until the first response is
	// written.
	maxPipelined = 16
	// bufferSize is the size of a connection's read and write buffers. Most
	// headers fit in it.
	bufferSize = 4096
	// interimBufferSize is the size of the write buffer of an interim response.
	interimBufferSize = 512
	// writeTimeout is how long writing a response may take before the connection
	// is closed.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection is still read after its write side
	// was closed, so that a reset does not destroy the last response.
	lingerTimeout = time.Second
	// bodyReadTimeout is how long reading a body may take before the connection
	// is closed.
	bodyReadTimeout = 10 * time.Second
)

// Errors of serving a connection.
var (
	errHeaderTooLarge = errors.New("the request's head is too large")
	errBodyTooLarge   = errors.New("the request's body is too large")
	// ErrCallerDisconnected means that the caller closed its connection.
	ErrCallerDisconnected = errors.New("the caller closed the connection")
	// ErrShutdown is the cause with which CancelRequests cancels requests.
	ErrShutdown        = errors.New("the node is ending")
	errResponseAborted = errors.New("the response was aborted")
	errListenerStopped = errors.New("the listener takes no further request")
)

// Limits bound what a caller may send. They are re-read before each request.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// Bodies is the budget for the bodies of requests; nil sets no limit.
	Bodies *BodyBudget
	// ReadBodiesFirst reads the body of each request before the handler is called, also
	// with Expect: 100-continue. Callers may send it without waiting for the 100 response
	// (RFC 9110, 10.1.1). Without it, a caller that sends such a body too early has it taken
	// for its next request.
	ReadBodiesFirst bool
}

// IncomingRequest is a request that a Listener received.
type IncomingRequest struct {
	Method     string
	URI        string
	Host       string
	Path       string
	Header     http.Header
	ReceivedAt time.Time
	// UnreadLength is the announced length of a body that the caller sends only after
	// ReadBody has been called; 0 if it has been read or announces no length.
	UnreadLength int64
	body         chan bodyResult
	sendContinue func() error
	sendInterim  func(http.Header) error
}

type bodyResult struct {
	bytes []byte
	err   error
}

// ReadBody returns the request's body. If the caller awaits a 100 response, it is
// sent first.
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

// SendInterim sends an interim response (102 Processing) with the given header. It
// does nothing if the final response has begun or if an earlier request of the
// connection has no response yet.
func (in *IncomingRequest) SendInterim(h http.Header) error { return in.sendInterim(h) }

// Handler returns the response to a request. ctx is cancelled when the caller's
// connection ends.
type Handler func(ctx context.Context, in *IncomingRequest) *Response

// Listener accepts connections on one address and serves their requests.
type Listener struct {
	listener net.Listener
	handler  Handler
	limits   func() Limits
	logger   hclog.Logger
	draining atomic.Bool
	stopped  atomic.Bool
	// ctx is the parent of the contexts of all requests; cancel cancels it.
	ctx    context.Context
	cancel context.CancelCauseFunc
	mu     sync.Mutex
	conns  map[*serverConn]bool
	wg     sync.WaitGroup
}

// Listen serves connections on address until the returned function is called,
// which closes them all and waits until they have ended.
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

// Address returns the address that the listener is bound to.
func (l *Listener) Address() string { return l.listener.Addr().String() }

// acceptConns serves new connections until the listener is closed.
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

// Drain makes each connection close after the response that leaves it without a
// request in progress. An idle connection closes after its next response.
func (l *Listener) Drain() { l.draining.Store(true) }

// Stop accepts no further connections, serves no further requests and closes idle
// connections. Requests that were already read still get their responses. The others
// have not run, so their callers can send them elsewhere.
func (l *Listener) Stop() {
	l.draining.Store(true)
	l.stopped.Store(true)
	l.listener.Close()
	l.closeIdleConns()
}

// CancelRequests cancels the contexts of the requests in progress with cause
// ErrShutdown. The responses that their handlers then return are still written, in
// the order of the requests.
func (l *Listener) CancelRequests() { l.cancel(ErrShutdown) }

// InFlight returns the number of requests that were read and have no response
// yet.
func (l *Listener) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		n += c.inFlightCount()
	}
	return n
}

// closeIdleConns closes the connections that have no request in progress.
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
