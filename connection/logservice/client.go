package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// Client reads and appends to one stream of the log.
type Client struct {
	http *http.Client
	base string
}

// Batch is a run of records that follow each other.
type Batch struct {
	// First is the offset of the first record in Records.
	First   int64    `json:"first"`
	Records [][]byte `json:"records"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
}

// Errors of the log's client.
var (
	// ErrUnavailable means that the log refused the call; nothing was appended.
	ErrUnavailable = errors.New("log service is unavailable")
	// ErrOutcomeUnknown means that an append may have taken effect.
	ErrOutcomeUnknown = errors.New("log service gave no answer to the append")
	// ErrTooLarge means that the record is over the log's bound.
	ErrTooLarge = errors.New("record is too large for the log service")
)

// TruncatedError reports that the wanted records have expired.
type TruncatedError struct {
	// First is the oldest offset that is still kept.
	First int64
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("records before offset %d have expired", e.First)
}

// Bounds of one call.
const (
	callTimeout   = 5 * time.Second
	maxBatchBytes = 4 << 20
	maxReplyBytes = 16 << 20
)

// NewClient returns a client for a stream of the log at address (host:port),
// and a function that closes its idle connections.
func NewClient(address, stream string) (*Client, func()) {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}
	c := &Client{
		http: &http.Client{Transport: t},
		base: fmt.Sprintf("http://%s/streams/%s/records", address, stream),
	}
	return c, t.CloseIdleConnections
}

// Append adds a record and returns its offset.
func (c *Client) Append(ctx context.Context, raw []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base, bytes.NewReader(raw))
	if err != nil {
		return 0, errors.Wrap(err, "make append")
	}
	req.GetBody = nil // The transport must not repeat an append by itself.
	res, err := c.http.Do(req)
	if err != nil {
		return 0, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusCreated:
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, ErrUnavailable
	case http.StatusRequestEntityTooLarge:
		return 0, ErrTooLarge
	default:
		return 0, errors.Wrapf(ErrOutcomeUnknown, "status %d", res.StatusCode)
	}
	var b Batch
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&b); err != nil {
		return 0, errors.Wrap(ErrOutcomeUnknown, err.Error())
	}
	return b.First, nil
}

// Ping reports whether the log answers.
func (c *Client) Ping(ctx context.Context) error {
	_, err := c.Read(ctx, 0, time.Now())
	var expired *TruncatedError
	if errors.As(err, &expired) {
		return nil
	}
	return err
}

// Read returns records from offset on. It waits until deadline for the first.
func (c *Client) Read(ctx context.Context, offset int64, deadline time.Time) (Batch, error) {
	wait := max(0, time.Until(deadline))
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base, nil)
	if err != nil {
		return Batch{}, errors.Wrap(err, "make read")
	}
	q := req.URL.Query()
	q.Set("from", strconv.FormatInt(offset, 10))
	q.Set("max_bytes", strconv.Itoa(maxBatchBytes))
	q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req.URL.RawQuery = q.Encode()
	res, err := c.http.Do(req)
	if err != nil {
		return Batch{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	defer res.Body.Close()
	var b Batch
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusGone {
		return Batch{}, errors.Wrapf(ErrUnavailable, "status %d", res.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(&b); err != nil {
		return Batch{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	if res.StatusCode == http.StatusGone {
		return Batch{}, &TruncatedError{First: b.First}
	}
	return b, nil
}
