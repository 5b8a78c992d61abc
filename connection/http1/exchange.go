package http1

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Errors of an exchange. All but ErrNotSent leave open whether the peer acted.
var (
	// ErrNotSent means that nothing of the request reached the peer, or that
	// the peer never got the part that it waited for before acting.
	ErrNotSent = errors.New("the request was not sent")
	// ErrNoResponse means that the connection ended, or the time, before an
	// answer began.
	ErrNoResponse = errors.New("no answer came")
	// ErrTruncated means that an answer began and did not end.
	ErrTruncated = errors.New("the answer broke off")
	// ErrMismatchedResponse means that an answer to another request came.
	ErrMismatchedResponse = errors.New("the answer belongs to another request")
)

const (
	// maxResponseBytes bounds an answer that is held in memory.
	maxResponseBytes = 64 << 20
	// maxServedIDs is how many late answers of one connection are told.
	maxServedIDs = 4
)

// IDFunc returns the id of the request that an answer's header names, or "".
type IDFunc func(http.Header) string

// Do sends the request and returns the whole answer. The connection must go
// back to its pool with Put. When ctx ends, the connection is closed. granted,
// if set, is called when the peer asks for the body of a request that awaits a
// grant.
func (c *Conn) Do(ctx context.Context, r Request, responseID IDFunc, onContinue func()) (*Response, error) {
	c.reusable = false
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	c.conn.SetDeadline(time.Time{})
	if err := r.writeRequestHeader(c.writer); err != nil {
		// Part of the head may be on its way, but a peer acts on whole heads.
		return nil, errors.Wrap(ErrNotSent, causeOr(ctx, err).Error())
	}
	bodyWritten := make(chan error, 1)
	if r.ExpectContinue {
		a, reusable, err := c.awaitContinue(ctx, r, responseID)
		if a != nil || err != nil {
			c.reusable = reusable && stop()
			return a, err
		}
		if onContinue != nil {
			onContinue()
		}
	}
	// A peer may answer before it has read the body, and read on later.
	go func() { bodyWritten <- r.writeBody(c.writer) }()
	res, reusable, err := c.readResponse(ctx, r, responseID)
	if err != nil {
		c.conn.Close()
		<-bodyWritten
		return nil, err
	}
	if writeErr := <-bodyWritten; writeErr != nil {
		reusable = false
	}
	c.servedIDs = append(c.servedIDs, r.ID)
	if len(c.servedIDs) > maxServedIDs {
		c.servedIDs = c.servedIDs[1:]
	}
	c.reusable = reusable && stop()
	return res, nil
}

// awaitContinue waits for a 100 response. Any other response is the answer: the
// peer has refused.
func (c *Conn) awaitContinue(ctx context.Context, r Request, responseID IDFunc) (final *Response, reusable bool, err error) {
	statusLine, err := c.reader.Peek(12)
	if err != nil {
		return nil, false, errors.Wrap(ErrNotSent, causeOr(ctx, err).Error())
	}
	if string(statusLine[9:12]) == "100" {
		if err := c.skipHeader(); err != nil {
			return nil, false, errors.Wrap(ErrNotSent, causeOr(ctx, err).Error())
		}
		return nil, false, nil
	}
	res, reusable, err := c.readResponse(ctx, r, responseID)
	if err != nil {
		return nil, false, errors.Wrap(ErrNotSent, err.Error())
	}
	return res, reusable, nil
}

func (c *Conn) skipHeader() error {
	for {
		line, err := c.reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(strings.TrimSpace(string(line))) == 0 {
			return nil
		}
	}
}

// readResponse reads answers until one belongs to the request. Late answers to
// earlier requests of the connection are skipped.
func (c *Conn) readResponse(ctx context.Context, r Request, responseID IDFunc) (*Response, bool, error) {
	for {
		hr, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, errors.Wrap(ErrNoResponse, causeOr(ctx, err).Error())
		}
		if hr.StatusCode >= 100 && hr.StatusCode < 200 {
			continue
		}
		var b bytes.Buffer
		n, err := io.Copy(&b, io.LimitReader(hr.Body, maxResponseBytes+1))
		if err == nil && n > maxResponseBytes {
			err = errBodyTooLarge
		}
		if err != nil {
			return nil, false, errors.Wrap(ErrTruncated, causeOr(ctx, err).Error())
		}
		delimited := hr.ContentLength >= 0 || len(hr.TransferEncoding) > 0
		gotID := responseID(hr.Header)
		if gotID != "" && gotID != r.ID {
			if delimited && slices.Contains(c.servedIDs, gotID) {
				continue
			}
			return nil, false, errors.Wrapf(ErrMismatchedResponse, "id %q", gotID)
		}
		c.setUsableUntil(hr.Header)
		// Bytes behind the answer belong to no request.
		reusable := delimited && !hr.Close && c.reader.Buffered() == 0
		return &Response{Status: hr.StatusCode, Header: hr.Header, Body: b.Bytes()}, reusable, nil
	}
}

// setUsableUntil reads how long the peer keeps the idle connection.
func (c *Conn) setUsableUntil(h http.Header) {
	idle := defaultIdleTimeout
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(float64(n) * idleTimeoutFraction * float64(time.Second))
		}
	}
	c.usableUntil = time.Now().Add(idle)
}

// causeOr prefers the reason for which ctx ended over that of the connection.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
