package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// serverConn is a caller's connection. One goroutine reads requests, one writes
// answers in their order, and each request has one.
type serverConn struct {
	listener *Listener
	conn     net.Conn
	answers  chan *pending
	writeMu  sync.Mutex

	// mu guards what follows.
	mu sync.Mutex
	// open counts the requests that were read and are not answered.
	open int
	// closing means that no further request is taken from the connection.
	closing bool
}

// take counts a request that was read, unless the connection is closing.
func (c *serverConn) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || c.listener.stopped.Load() {
		return false
	}
	c.open++
	return true
}

// closeAfter decides whether the connection closes with the next answer. A
// draining listener closes it once no other request has been read from it.
func (c *serverConn) closeAfter(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || p.closes || c.listener.draining.Load() && c.open == 1
	return c.closing && (c.open == 1 || p.closes)
}

// answered counts an answer and bounds the wait for the next request.
func (c *serverConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.boundIdle()
}

// boundIdle sets the deadline of reading the next request; mu is held.
func (c *serverConn) boundIdle() {
	var deadline time.Time
	if c.open == 0 {
		deadline = time.Now().Add(c.listener.limits().IdleTimeout)
	}
	c.conn.SetReadDeadline(deadline)
}

func (c *serverConn) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// pending is a request that was read and is not answered.
type pending struct {
	method string
	closes bool
	done   chan *Response
}

func (c *serverConn) serve() {
	ctx, cancel := context.WithCancelCause(c.listener.ctx)
	defer c.conn.Close()
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers()
	}()
	err := c.readRequests(ctx)
	cancel(errors.Wrap(ErrCallerDisconnected, err.Error()))
	close(c.answers)
	<-written
}

// capped fails a read beyond a head's limit.
type capped struct {
	reader io.Reader
	left   int
}

func (r *capped) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.reader.Read(p)
	r.left -= n
	return n, err
}

const unlimited = 1 << 62

// readRequests reads until the connection ends and returns why it did.
func (c *serverConn) readRequests(ctx context.Context) error {
	head := &capped{reader: c.conn, left: unlimited}
	br := bufio.NewReaderSize(head, bufferBytes)
	for {
		limits := c.listener.limits()
		c.mu.Lock()
		c.boundIdle()
		c.mu.Unlock()
		if _, err := br.Peek(1); err != nil {
			if isTimeout(err) && c.openCount() > 0 {
				continue
			}
			return err
		}
		c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
		head.left = limits.MaxHeaderBytes + bufferBytes
		hr, err := http.ReadRequest(br)
		if err != nil {
			c.refuse(err)
			return err
		}
		head.left = unlimited
		p := &pending{method: hr.Method, closes: hr.Close, done: make(chan *Response, 1)}
		if !c.take() {
			if c.openCount() == 0 {
				return errStopped
			}
			return c.waitForEnd(br)
		}
		select {
		case c.answers <- p:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := c.handle(ctx, hr, br, p, limits); err != nil {
			return err
		}
		if p.closes {
			return c.waitForEnd(br)
		}
	}
}

// handle starts the handler and reads the request's body.
func (c *serverConn) handle(ctx context.Context, hr *http.Request, br *bufio.Reader, p *pending, limits Limits) error {
	in := &IncomingRequest{
		Method: hr.Method, URI: hr.RequestURI, Host: hr.Host, Path: hr.URL.EscapedPath(),
		Header: hr.Header, ReceivedAt: time.Now(), body: make(chan bodyResult, 1),
	}
	expects := hr.Header.Get("Expect") != "" && hr.Body != http.NoBody
	if expects {
		var granted atomic.Bool
		in.grant = sync.OnceValue(func() error { granted.Store(true); return c.grant() })
		c.start(ctx, in, p)
		// The peer sends nothing before the 100 response, so that a read that
		// ends tells that it is gone.
		c.conn.SetReadDeadline(time.Time{})
		if _, err := br.Peek(1); err != nil {
			in.body <- bodyResult{err: errors.Wrap(ErrCallerDisconnected, err.Error())}
			return err
		}
		if !granted.Load() {
			// The request was refused before its body was asked for; what
			// follows is the next request.
			return nil
		}
	}
	if hr.Body != http.NoBody {
		c.conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	body, err := readBody(hr, limits.MaxBodyBytes)
	in.body <- bodyResult{bytes: body, err: err}
	switch {
	case errors.Is(err, errBodyTooLarge):
		p.closes = true
		if !expects {
			p.done <- TextResponse(http.StatusRequestEntityTooLarge, err.Error())
			return err
		}
		return err
	case err != nil:
		if !expects {
			p.done <- &Response{Abort: true}
		}
		return err
	}
	if !expects {
		c.start(ctx, in, p)
	}
	return nil
}

func (c *serverConn) start(ctx context.Context, in *IncomingRequest, p *pending) {
	go func() { p.done <- c.listener.handler(ctx, in) }()
}

func readBody(hr *http.Request, most int64) ([]byte, error) {
	if hr.Body == http.NoBody {
		return nil, nil
	}
	if hr.ContentLength > most {
		return nil, errBodyTooLarge
	}
	var b bytes.Buffer
	if hr.ContentLength > 0 {
		b.Grow(int(min(hr.ContentLength, 1<<20)))
	}
	n, err := io.Copy(&b, io.LimitReader(hr.Body, most+1))
	if err == nil && n > most {
		err = errBodyTooLarge
	}
	return b.Bytes(), err
}

// grant sends the 100 response.
func (c *serverConn) grant() error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// refuse answers a head that could not be read, if anything of it came.
func (c *serverConn) refuse(err error) {
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return
	}
	var op *net.OpError
	if status == http.StatusBadRequest && errors.As(err, &op) {
		return
	}
	p := &pending{method: http.MethodGet, closes: true, done: make(chan *Response, 1)}
	p.done <- TextResponse(status, err.Error())
	if c.take() {
		c.answers <- p
	}
}

// waitForEnd blocks until the caller closes the connection or it is closed
// after the last answer.
func (c *serverConn) waitForEnd(br *bufio.Reader) error {
	c.conn.SetReadDeadline(time.Time{})
	for {
		if _, err := br.ReadByte(); err != nil {
			return err
		}
	}
}

// writeAnswers writes the answers in the order of the requests. After a failed
// write it only collects them.
func (c *serverConn) writeAnswers() {
	bw := bufio.NewWriterSize(c.conn, bufferBytes)
	broken := false
	for p := range c.answers {
		a := <-p.done
		closes := c.closeAfter(p)
		if !broken {
			err := errAborted
			if !a.Abort {
				err = c.writeAnswer(bw, a, p, closes)
			}
			broken = err != nil
			if broken {
				c.conn.Close()
			} else if closes {
				c.linger()
			}
		}
		c.answered()
	}
}

// linger ends the connection's writing side and leaves the rest to the reader:
// closing with unread bytes would reset the connection and with it the answer.
func (c *serverConn) linger() {
	if tc, ok := c.conn.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	time.AfterFunc(lingerTimeout, func() { c.conn.Close() })
}

func (c *serverConn) writeAnswer(bw *bufio.Writer, a *Response, p *pending, closes bool) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return a.write(bw, p.method, closes)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
