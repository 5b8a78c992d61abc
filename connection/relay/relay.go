package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

// Errors of Client.Send.
var (
	// ErrNotSent means that no byte of the request reached the peer.
	ErrNotSent = errors.New("request was not sent")
	// ErrLost means that the peer may have the request but gave no answer.
	ErrLost = errors.New("peer gave no answer")
	// ErrCutShort means that the answer broke off.
	ErrCutShort = errors.New("answer was cut short")
	// ErrCrossed means that the answer belongs to another request.
	ErrCrossed = errors.New("answer belongs to another request")
)

// Request is what is sent. Its body is held in memory, so that an idempotent
// request can be sent again.
type Request struct {
	Method string
	// URI is the path and query.
	URI    string
	Header http.Header
	Body   []byte
	// ID ties the answer to the request; an answer that names another ID is
	// refused.
	ID string
}

// Answer is a response whose head has arrived. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body when Rest is nil, else its beginning.
	Body []byte
	// Rest is what follows Body and may still break off.
	Rest    io.ReadCloser
	size    int64
	onClose func()
}

// Client sends requests to peers over reused connections.
type Client struct {
	transport *http.Transport
}

// Settings of connections.
const (
	dialTimeout       = time.Second
	maxIdlePerPeer    = 8
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 64 << 10
	bufferBytes       = 256 << 10
	copyBytes         = 32 << 10
	canonicalKey      = "Idempotency-Key"
	unreplayableKey   = "idempotency-key"
	connectionHeaders = "Connection Keep-Alive Proxy-Authenticate Proxy-Authorization Proxy-Connection Te Trailer Transfer-Encoding Upgrade"
)

// dialError marks errors from before a connection existed.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// NewClient returns a client and a function that closes idle connections.
func NewClient() (*Client, func()) {
	d := net.Dialer{Timeout: dialTimeout}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, dialError{err}
			}
			return conn, nil
		},
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	return &Client{transport: t}, t.CloseIdleConnections
}

// Send sends r to the peer at address and reads the answer as far as it fits
// the buffer. ctx must carry the request's deadline; its end cancels the
// request at the peer.
func (c *Client) Send(ctx context.Context, address string, r Request) (*Answer, error) {
	req, err := newRequest(ctx, address, r)
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	res, err := c.transport.RoundTrip(req)
	if err != nil {
		var d dialError
		if errors.As(err, &d) {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	if id := res.Header.Get(outcome.HeaderRequestID); id != "" && id != r.ID {
		res.Body.Close()
		return nil, errors.Wrapf(ErrCrossed, "want %s, got %s", r.ID, id)
	}
	return readAnswer(res, r.Method)
}

func newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	var body io.Reader = http.NoBody
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.URI, body)
	if err != nil {
		return nil, err
	}
	req.Header = r.Header.Clone()
	preventReplay(req)
	return req, nil
}

// preventReplay keeps the transport from sending a request again by itself
// when a reused connection breaks. The transport replays requests that have no
// body or a GetBody and whose header map has the canonical Idempotency-Key;
// header names are sent as they stand in the map, and their case means nothing
// on the wire.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	if v, ok := req.Header[canonicalKey]; ok {
		delete(req.Header, canonicalKey)
		req.Header[unreplayableKey] = v
	}
}

func readAnswer(res *http.Response, method string) (*Answer, error) {
	a := &Answer{Status: res.StatusCode, Header: res.Header, size: res.ContentLength}
	if !hasKnownEnd(res, method) {
		res.Body.Close()
		return nil, errors.Wrap(ErrCutShort, "the answer has neither length nor chunks, so its end cannot be known")
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, bufferBytes+1))
	if err != nil {
		res.Body.Close()
		return nil, errors.Wrap(ErrCutShort, err.Error())
	}
	a.Body = body
	if len(body) <= bufferBytes {
		a.size = int64(len(body))
		return a, res.Body.Close()
	}
	a.Rest = res.Body
	return a, nil
}

func hasKnownEnd(res *http.Response, method string) bool {
	return method == http.MethodHead || res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// Close releases the connection of an answer that has not been read whole.
func (a *Answer) Close() {
	if a.Rest != nil {
		a.Rest.Close()
	}
	if a.onClose != nil {
		a.onClose()
	}
}

// OnClose sets a function that Close calls, such as the end of the context
// that Rest is read under.
func (a *Answer) OnClose(f func()) { a.onClose = f }

// Len returns the length of the body in bytes, as far as it is known.
func (a *Answer) Len() int { return int(max(a.size, int64(len(a.Body)))) }

// Write sends the answer on. It reports an error when the answer broke off;
// the response is then incomplete and the handler must abort its connection.
func (a *Answer) Write(w http.ResponseWriter, head bool) error {
	CopyHeader(w.Header(), a.Header)
	if a.size >= 0 && !head {
		w.Header().Set("Content-Length", strconv.FormatInt(a.size, 10))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil && !head {
		return errors.Wrap(err, "write answer")
	}
	if a.Rest == nil {
		return nil
	}
	if _, err := io.CopyBuffer(w, a.Rest, make([]byte, copyBytes)); err != nil {
		return errors.Wrap(err, "relay answer")
	}
	return nil
}

// CopyHeader adds the end-to-end headers of src to dst.
func CopyHeader(dst, src http.Header) {
	named := src["Connection"]
	for name, values := range src {
		if !isEndToEnd(name, named) {
			continue
		}
		dst[name] = append([]string(nil), values...)
	}
}

func isEndToEnd(name string, named []string) bool {
	for _, h := range strings.Fields(connectionHeaders) {
		if name == h {
			return false
		}
	}
	for _, v := range named {
		for _, token := range strings.Split(v, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(token)) == name {
				return false
			}
		}
	}
	return true
}

// WholeAnswer returns an answer whose body is known.
func WholeAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{Status: status, Header: header.Clone(), Body: body, size: int64(len(body))}
}
