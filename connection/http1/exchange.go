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
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 64 << 20
	// rememberedIDs is how many late answers of one connection are told.
	rememberedIDs = 4
)

// IDFunc returns the id of the request that an answer's header names, or "".
type IDFunc func(http.Header) string

// Do sends the request and returns the whole answer. The connection must go
// back to its pool with Put. When ctx ends, the connection is closed. granted,
// if set, is called when the peer asks for the body of a request that awaits a
// grant.
func (c *Conn) Do(ctx context.Context, r Request, id IDFunc, granted func()) (*Response, error) {
	c.keep = false
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	c.conn.SetDeadline(time.Time{})
	if err := r.writeHead(c.writer); err != nil {
		// Part of the head may be on its way, but a peer acts on whole heads.
		return nil, errors.Wrap(ErrNotSent, endOf(ctx, err).Error())
	}
	sent := make(chan error, 1)
	if r.ExpectContinue {
		a, keep, err := c.awaitGrant(ctx, r, id)
		if a != nil || err != nil {
			c.keep = keep && stop()
			return a, err
		}
		if granted != nil {
			granted()
		}
	}
	// A peer may answer before it has read the body, and read on later.
	go func() { sent <- r.writeBody(c.writer) }()
	a, keep, err := c.readAnswer(ctx, r, id)
	if err != nil {
		c.conn.Close()
		<-sent
		return nil, err
	}
	if wrote := <-sent; wrote != nil {
		keep = false
	}
	c.served = append(c.served, r.ID)
	if len(c.served) > rememberedIDs {
		c.served = c.served[1:]
	}
	c.keep = keep && stop()
	return a, nil
}

// awaitGrant waits for a 100 response. Any other response is the answer: the
// peer has refused.
func (c *Conn) awaitGrant(ctx context.Context, r Request, id IDFunc) (refusal *Response, keep bool, err error) {
	start, err := c.reader.Peek(12)
	if err != nil {
		return nil, false, errors.Wrap(ErrNotSent, endOf(ctx, err).Error())
	}
	if string(start[9:12]) == "100" {
		if err := c.skipHead(); err != nil {
			return nil, false, errors.Wrap(ErrNotSent, endOf(ctx, err).Error())
		}
		return nil, false, nil
	}
	a, keep, err := c.readAnswer(ctx, r, id)
	if err != nil {
		return nil, false, errors.Wrap(ErrNotSent, err.Error())
	}
	return a, keep, nil
}

func (c *Conn) skipHead() error {
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

// readAnswer reads answers until one belongs to the request. Late answers to
// earlier requests of the connection are skipped.
func (c *Conn) readAnswer(ctx context.Context, r Request, id IDFunc) (*Response, bool, error) {
	for {
		hr, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, errors.Wrap(ErrNoResponse, endOf(ctx, err).Error())
		}
		if hr.StatusCode >= 100 && hr.StatusCode < 200 {
			continue
		}
		var b bytes.Buffer
		n, err := io.Copy(&b, io.LimitReader(hr.Body, maxAnswerBytes+1))
		if err == nil && n > maxAnswerBytes {
			err = errBodyTooLarge
		}
		if err != nil {
			return nil, false, errors.Wrap(ErrTruncated, endOf(ctx, err).Error())
		}
		framed := hr.ContentLength >= 0 || len(hr.TransferEncoding) > 0
		got := id(hr.Header)
		if got != "" && got != r.ID {
			if framed && slices.Contains(c.served, got) {
				continue
			}
			return nil, false, errors.Wrapf(ErrMismatchedResponse, "id %q", got)
		}
		c.noteIdle(hr.Header)
		// Bytes behind the answer belong to no request.
		keep := framed && !hr.Close && c.reader.Buffered() == 0
		return &Response{Status: hr.StatusCode, Header: hr.Header, Body: b.Bytes()}, keep, nil
	}
}

// noteIdle reads how long the peer keeps the idle connection.
func (c *Conn) noteIdle(h http.Header) {
	idle := defaultIdle
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(float64(n) * idleShare * float64(time.Second))
		}
	}
	c.usableUntil = time.Now().Add(idle)
}

// endOf prefers the reason for which ctx ended over that of the connection.
func endOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
