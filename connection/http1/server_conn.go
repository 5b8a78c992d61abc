package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// serverConn is a connection that a caller opened. One goroutine reads requests,
// one writes the responses in the order of the requests, and each request has a
// goroutine that runs the handler.
type serverConn struct {
	listener *Listener
	conn     net.Conn
	pipeline chan *pendingRequest
	writeMu  sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// inFlight counts the requests that were read and have no response yet.
	inFlight int
	// closing means that no further request is accepted on the connection.
	closing bool
}

// beginRequest counts a request that was read. It reports false if the connection
// is closing or the listener has stopped, and the request must not be handled.
func (c *serverConn) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.listener.stopped.Load() {
		return false
	}
	c.inFlight++
	return true
}

// shouldClose reports whether the connection closes after the response to p. While
// the listener drains, that is when no other request is in flight on it.
func (c *serverConn) shouldClose(p *pendingRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || p.closeAfter || c.listener.draining.Load() && c.inFlight == 1
	return c.closing && (c.inFlight == 1 || p.closeAfter)
}

// endRequest counts a response and resets the idle deadline.
func (c *serverConn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
	c.setIdleDeadline()
}

// setIdleDeadline limits how long the next request may take to arrive, if none is
// in flight; mu is held.
func (c *serverConn) setIdleDeadline() {
	var deadline time.Time
	if c.inFlight == 0 {
		deadline = time.Now().Add(c.listener.limits().IdleTimeout)
	}
	c.conn.SetReadDeadline(deadline)
}

func (c *serverConn) inFlightCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inFlight
}

// pendingRequest is a request that was read and has no response yet. closeAfter
// means that the connection closes after its response.
type pendingRequest struct {
	method     string
	closeAfter bool
	response   chan *Response
	// memory is the reservation for the request's body; nil if no body is read.
	memory *reservation
	// awaitsContinue means that the caller may wait for a 100 response, which is sent when
	// the responses to earlier requests have been.
	awaitsContinue bool
	// hasBegun means that writing the response has begun; writeMu guards it.
	hasBegun bool
}

// serve handles the connection until it ends and cancels the requests in progress
// when nothing more can be read from the caller.
func (c *serverConn) serve() {
	ctx, cancel := context.WithCancelCause(c.listener.ctx)
	defer c.conn.Close()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeResponses()
	}()
	err := c.readRequests(ctx)
	cancel(errors.Wrap(ErrCallerDisconnected, err.Error()))
	close(c.pipeline)
	<-writerDone
}

// limitedReader fails with errExceeded once it has read more bytes than remaining
// allows.
type limitedReader struct {
	reader      io.Reader
	remaining   int
	errExceeded error
	// onRead, if not nil, is called after each read of some bytes.
	onRead func()
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, r.errExceeded
	}
	n, err := r.reader.Read(p)
	r.remaining -= n
	if n > 0 && r.onRead != nil {
		r.onRead()
	}
	return n, err
}

// unlimited is the value of limitedReader.remaining outside of a message.
const unlimited = 1 << 62

// readRequests reads requests until the connection ends and returns the reason.
func (c *serverConn) readRequests(ctx context.Context) error {
	limited := &limitedReader{reader: c.conn, remaining: unlimited, errExceeded: errHeaderTooLarge}
	br := bufio.NewReaderSize(limited, bufferSize)
	for {
		limits := c.listener.limits()
		c.mu.Lock()
		c.setIdleDeadline()
		c.mu.Unlock()
		if _, err := br.Peek(1); err != nil {
			if isTimeout(err) && c.inFlightCount() > 0 {
				continue
			}
			return err
		}
		c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		limited.remaining = limits.MaxHeaderBytes + bufferSize
		hr, err := http.ReadRequest(br)
		if err != nil {
			c.respondToReadError(err)
			return err
		}
		limited.remaining = unlimited
		p := &pendingRequest{method: hr.Method, closeAfter: hr.Close, response: make(chan *Response, 1), memory: limits.Bodies.newReservation(hr.ContentLength >= 0)}
		p.awaitsContinue = limits.ReadBodiesFirst && expectsContinue(hr) && br.Buffered() == 0 && hr.ContentLength <= limits.MaxBodyBytes
		if !c.beginRequest() {
			if c.inFlightCount() == 0 {
				return errListenerStopped
			}
			return c.discardUntilClosed(br)
		}
		select {
		case c.pipeline <- p:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.handleRequest(ctx, hr, br, p, limits); err != nil {
			return err
		}
		if p.closeAfter {
			return c.discardUntilClosed(br)
		}
	}
}

// handleRequest reads the request's body and starts the handler: before the body
// if the request has Expect: 100-continue and bodies are not read first, and after it
// otherwise.
func (c *serverConn) handleRequest(ctx context.Context, hr *http.Request, br *bufio.Reader, p *pendingRequest, limits Limits) error {
	in := &IncomingRequest{
		Method: hr.Method, URI: hr.RequestURI, Host: hr.Host, Path: hr.URL.EscapedPath(),
		Header: hr.Header, ReceivedAt: time.Now(), body: make(chan bodyResult, 1),
		sendInterim: func(h http.Header) error { return c.sendInterim(p, h) },
	}
	holdsBody := expectsContinue(hr) && !limits.ReadBodiesFirst
	if holdsBody {
		in.UnreadLength = max(0, hr.ContentLength)
		var continued atomic.Bool
		in.sendContinue = sync.OnceValue(func() error { continued.Store(true); return c.sendContinue() })
		c.startHandler(ctx, in, p)
		// The caller sends nothing before it receives the 100 response, so a
		// read error here means that it has disconnected.
		c.conn.SetReadDeadline(time.Time{})
		if _, err := br.Peek(1); err != nil {
			in.body <- bodyResult{err: errors.Wrap(ErrCallerDisconnected, err.Error())}
			return err
		}
		if !continued.Load() {
			// The handler refused the request without requesting its body, so
			// the bytes that follow are the next request.
			return nil
		}
	}
	if hr.Body != http.NoBody {
		c.conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	}
	body, err := readBody(hr, limits.MaxBodyBytes, p.memory)
	in.body <- bodyResult{bytes: body, err: err}
	switch {
	case errors.Is(err, errBodyTooLarge):
		p.closeAfter = true
		if !holdsBody {
			p.response <- TextResponse(http.StatusRequestEntityTooLarge, err.Error())
			return err
		}
		return err
	case errors.Is(err, ErrBodyMemory):
		p.closeAfter = true
		if !holdsBody {
			p.response <- refuseForMemory()
		}
		return err
	case err != nil:
		if !holdsBody {
			p.response <- &Response{Abort: true}
		}
		return err
	}
	if !holdsBody {
		c.startHandler(ctx, in, p)
	}
	return nil
}

// expectsContinue reports whether the caller of a request with a body may wait for a 100
// response before it sends the body.
func expectsContinue(hr *http.Request) bool {
	return hr.Header.Get("Expect") != "" && hr.Body != http.NoBody
}

// startHandler runs the handler in a goroutine and passes its response to p. If the
// handler panics, the connection is closed without a response, since the request may
// have been run; all other requests go on.
func (c *serverConn) startHandler(ctx context.Context, in *IncomingRequest, p *pendingRequest) {
	go func() {
		defer func() {
			if r := recover(); r != nil {
				c.listener.logger.Error("handler panicked; closing the connection", "path", in.Path, "reason", r, "stack", string(debug.Stack()))
				p.response <- &Response{Abort: true}
			}
		}()
		p.response <- c.listener.handler(ctx, in)
	}()
}

// readBody reads the whole body, or fails with errBodyTooLarge if it is longer than
// maxBytes, or with ErrBodyMemory.
func readBody(hr *http.Request, maxBytes int64, memory *reservation) ([]byte, error) {
	return readAll(hr.Body, hr.ContentLength, maxBytes, memory)
}

// memoryRetryAfter is the Retry-After, in seconds, of a request whose body finds no
// memory: most requests end within a second.
const memoryRetryAfter = "1"

// refuseForMemory returns the refusal of a request, which has not run, because there
// is no memory for its body.
func refuseForMemory() *Response {
	r := TextResponse(http.StatusServiceUnavailable, ErrBodyMemory.Error())
	r.Header.Set("Retry-After", memoryRetryAfter)
	return r
}

// sendContinue sends a 100 response.
func (c *serverConn) sendContinue() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// sendInterim sends a 102 response to p, unless its final response has begun or an
// earlier request of the connection has no response yet.
func (c *serverConn) sendInterim(p *pendingRequest, h http.Header) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if p.hasBegun || c.inFlightCount() > 1 {
		return nil
	}
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	bw := bufio.NewWriterSize(c.conn, interimBufferSize)
	writeStatusLine(bw, http.StatusProcessing)
	writeHeader(bw, h)
	bw.WriteString("\r\n")
	return bw.Flush()
}

// respondToReadError sends an error response for a request header that could not
// be read. It sends none if the connection ended or failed.
func (c *serverConn) respondToReadError(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return
	}
	var opErr *net.OpError
	if status == http.StatusBadRequest && errors.As(err, &opErr) {
		return
	}
	p := &pendingRequest{method: http.MethodGet, closeAfter: true, response: make(chan *Response, 1)}
	p.response <- TextResponse(status, err.Error())
	if c.beginRequest() {
		c.pipeline <- p
	}
}

// discardUntilClosed discards input until the caller closes the connection or it
// is closed after the last response.
func (c *serverConn) discardUntilClosed(br *bufio.Reader) error {
	c.conn.SetReadDeadline(time.Time{})
	for {
		if _, err := br.ReadByte(); err != nil {
			return err
		}
	}
}

// writeResponses writes the responses in the order of the requests. After a failed
// write it only receives them.
func (c *serverConn) writeResponses() {
	bw := bufio.NewWriterSize(c.conn, bufferSize)
	writeFailed := false
	for p := range c.pipeline {
		if p.awaitsContinue && !writeFailed {
			writeFailed = c.sendContinue() != nil
		}
		res := <-p.response
		closeConn := c.shouldClose(p)
		if !writeFailed {
			err := errResponseAborted
			if !res.Abort {
				err = c.writeResponse(bw, res, p, closeConn)
			}
			writeFailed = err != nil
			if writeFailed {
				c.conn.Close()
			} else if closeConn {
				c.startLingeringClose()
			}
		}
		res.release()
		p.memory.release()
		c.endRequest()
	}
}

// startLingeringClose closes the write side of the connection and the rest of it
// after lingerTimeout. Closing it at once while bytes are unread would reset the
// connection, and the caller could lose the response.
func (c *serverConn) startLingeringClose() {
	if tc, ok := c.conn.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	time.AfterFunc(lingerTimeout, func() { c.conn.Close() })
}

// writeResponse writes res, but never in the middle of an interim response.
func (c *serverConn) writeResponse(bw *bufio.Writer, res *Response, p *pendingRequest, closeConn bool) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	p.hasBegun = true
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return res.write(bw, p.method, closeConn)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
