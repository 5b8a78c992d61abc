package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/go-faster/errors"
)

// Errors of Conn.Do. After any of them but ErrNotSent, the peer may have acted on
// the request.
var (
	// ErrNotSent means that nothing of the request reached the peer, or that the
	// peer did not receive the body that it awaits before it acts.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNoResponse means that the connection ended or the context was cancelled
	// before a response began.
	ErrNoResponse = errors.New("no answer came")
	// ErrTruncated means that a response began but was not completed.
	ErrTruncated = errors.New("the answer broke off")
	// ErrMalformed, an ErrNoResponse, means that what the peer sent violates HTTP, so that
	// nothing in it can be believed.
	ErrMalformed error = malformedError{}
	// ErrMismatchedResponse means that the response belongs to another request.
	ErrMismatchedResponse = errors.New("the answer belongs to another request")
	// errResponseTooLarge means that a response's head, framing or interim
	// responses exceed their limits.
	errResponseTooLarge = errors.New("the answer does not end")
)

const (
	// maxResponseBytes bounds a response body, which is held in memory. The
	// BodyBudget of the process may set a lower bound.
	maxResponseBytes = 64 << 20
	// maxResponseHeadBytes bounds the status line and the header of a response,
	// each interim one included.
	maxResponseHeadBytes = 64 << 10
	// maxSkipped bounds the interim responses and the late responses to earlier
	// requests that precede a response.
	maxSkipped = 16
	// framingShare bounds the bytes of a chunked body's framing and trailer, as a
	// multiple of its longest content.
	framingShare = 1
)

// IDFunc returns the request ID that a response header contains, or "".
type IDFunc func(http.Header) string

// Do sends the request and returns the complete response. The caller must return
// the connection to its pool with Put. If ctx is cancelled, the connection is
// closed. onContinue, if not nil, is called when the 100 response to a request with
// ExpectContinue arrives.
func (c *Conn) Do(ctx context.Context, r Request, responseID IDFunc, onContinue func()) (*Response, error) {
	c.reusable = false
	c.input.onRead = r.OnRead
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	c.conn.SetDeadline(time.Time{})
	if err := r.writeRequestHeader(c.writer); err != nil {
		// Part of the header may have been sent, but a peer acts only on a
		// complete one.
		return nil, errors.Wrap(ErrNotSent, causeOr(ctx, err).Error())
	}
	bodyWritten := make(chan error, 1)
	if r.ExpectContinue {
		final, reusable, err := c.awaitContinue(ctx, r, responseID)
		if final != nil || err != nil {
			c.reusable = reusable && stop()
			return final, err
		}
		if onContinue != nil {
			onContinue()
		}
		if ctx.Err() != nil {
			// The connection may not be closed yet, and the peer would act on a body.
			return nil, errors.Wrap(ErrNotSent, context.Cause(ctx).Error())
		}
	}
	// The peer may respond before it has read the whole body, so the body is
	// written concurrently.
	go func() { bodyWritten <- r.writeBody(c.writer) }()
	res, reusable, err := c.readResponse(ctx, r, responseID)
	if err != nil {
		c.conn.Close()
		<-bodyWritten
		return nil, err
	}
	if res.endedConnection {
		// Nobody reads the rest of the request's body.
		c.conn.SetWriteDeadline(time.Now())
	}
	if writeErr := <-bodyWritten; writeErr != nil {
		reusable = false
		if res.endedConnection && !isOwnWriteEnd(writeErr) {
			res.release()
			c.conn.Close()
			return nil, errors.Wrap(ErrTruncated, writeErr.Error())
		}
	}
	c.served.add(r.ID, r.Deadline, time.Now())
	c.reusable = reusable && !c.served.isFull() && stop()
	return res, nil
}

// isOwnWriteEnd reports whether a write failed because this side ended it. After any other
// error the end of the input may be a reset: the kernel reports a reset only once, here to the
// write, and a read that follows gets io.EOF.
func isOwnWriteEnd(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}

// awaitContinue waits for a 100 response. Any other response is the final one,
// with which the peer refuses the request.
func (c *Conn) awaitContinue(ctx context.Context, r Request, responseID IDFunc) (final *Response, reusable bool, err error) {
	start, err := c.reader.Peek(len("HTTP/1.1 100"))
	switch {
	case err != nil:
	case bytes.HasSuffix(start, []byte("100")):
		_, err = c.readHead(r.Method)
	default:
		final, reusable, err = c.readResponse(ctx, r, responseID)
	}
	switch {
	case errors.Is(err, ErrMalformed):
		// Nothing shows that the peer awaits the body.
		return nil, false, err
	case err != nil:
		return nil, false, errors.Wrap(ErrNotSent, causeOr(ctx, err).Error())
	}
	return final, reusable, nil
}

// readResponse reads the final response to the request. It skips interim
// responses and late responses to earlier requests of the connection.
func (c *Conn) readResponse(ctx context.Context, r Request, responseID IDFunc) (*Response, bool, error) {
	skippedLate := 0
	for range maxSkipped + 1 {
		hr, err := c.readHead(r.Method)
		switch {
		case errors.Is(err, ErrMalformed):
			return nil, false, err
		case err != nil && ctx.Err() == nil && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			return nil, false, &causedError{ErrNoResponse, err}
		case err != nil:
			return nil, false, errors.Wrap(ErrNoResponse, causeOr(ctx, err).Error())
		}
		if hr.StatusCode >= 100 && hr.StatusCode < 200 {
			if hr.StatusCode == http.StatusProcessing && r.OnInterim != nil {
				r.OnInterim(hr.Header)
			}
			continue
		}
		beganAt := time.Now()
		maxBytes := c.bodies.maxBytes()
		c.input.remaining = int((1+framingShare)*maxBytes) + maxResponseHeadBytes
		memory := c.bodies.newReservation(hr.ContentLength >= 0)
		body, err := c.readBody(hr, maxBytes, memory)
		c.input.remaining = unlimited
		if err != nil {
			memory.release()
		}
		switch {
		case errors.Is(err, ErrBodyMemory), errors.Is(err, ErrMalformed):
			return nil, false, err
		case errors.Is(err, errBodyTooLarge):
			return nil, false, errors.Wrap(ErrTruncated, errResponseTooLarge.Error())
		case err != nil:
			return nil, false, errors.Wrap(ErrTruncated, causeOr(ctx, err).Error())
		}
		delimited := hr.ContentLength >= 0 || len(hr.TransferEncoding) > 0
		gotID := responseID(hr.Header)
		if gotID != r.ID && (gotID != "" || r.RequireID) {
			memory.release()
			if delimited && c.served.contains(gotID) {
				skippedLate++
				continue
			}
			return nil, false, errors.Wrapf(ErrMismatchedResponse, "id %q", gotID)
		}
		c.setUsableUntil(hr.Header)
		// Bytes after the response belong to no request, so the connection
		// cannot be reused.
		reusable := delimited && !hr.Close && c.reader.Buffered() == 0
		res := &Response{
			Status: hr.StatusCode, Header: hr.Header, Body: body, BeganAt: beganAt, SkippedLate: skippedLate,
			endedConnection: !delimited && hr.Body != http.NoBody, memory: memory,
		}
		// Releases the memory of a response that nobody passes on.
		runtime.AddCleanup(res, (*reservation).release, memory)
		return res, reusable, nil
	}
	return nil, false, errors.Wrap(ErrNoResponse, errResponseTooLarge.Error())
}

// setUsableUntil limits the reuse of the connection to a fraction of the idle
// timeout that the peer's Keep-Alive field announces, or to the default.
func (c *Conn) setUsableUntil(h http.Header) {
	idle := defaultIdleTimeout
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = field.Seconds(float64(n) * idleTimeoutFraction)
		}
	}
	c.usableUntil = time.Now().Add(idle)
}

// malformedError is the type of ErrMalformed.
type malformedError struct{}

func (malformedError) Error() string { return "the answer is malformed" }
func (malformedError) Unwrap() error { return ErrNoResponse }

// causedError is one of the errors of this package together with its cause.
type causedError struct{ err, cause error }

func (e *causedError) Error() string   { return e.cause.Error() + ": " + e.err.Error() }
func (e *causedError) Unwrap() []error { return []error{e.err, e.cause} }

// IsClosedByPeer reports whether no response came because the peer closed the connection
// in an orderly way, as its kernel does for a process that has ended.
func IsClosedByPeer(err error) bool {
	return errors.Is(err, ErrNoResponse) && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF))
}

// IsRefused reports whether the peer's host refused a connection, since no process listens
// at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// causeOr returns the cause of ctx if it was cancelled, and err otherwise.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
