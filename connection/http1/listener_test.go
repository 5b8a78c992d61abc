package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

var nullLogger = hclog.NewNullLogger()

const idHeader = "Test-Id"

func idOf(h http.Header) string { return h.Get(idHeader) }

var testLimits = Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second}

func listen(t *testing.T, h Handler) *Listener {
	t.Helper()
	l, closeListener, err := Listen("127.0.0.1:0", h, func() Limits { return testLimits }, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeListener)
	return l
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, string(b)
}

// readBodies reads n responses and returns their bodies in the order of arrival.
func readBodies(t *testing.T, r *bufio.Reader, n int) []string {
	t.Helper()
	var out []string
	for range n {
		_, body := readResponse(t, r)
		out = append(out, body)
	}
	return out
}

// An unexpected error while one request is handled must not end the process, nor get
// that request a response that says that it has not run.
func TestPanicEndsOneConnection(t *testing.T) {
	is := is.New(t)
	l := listen(t, func(_ context.Context, in *IncomingRequest) *Response {
		if in.Path == "/panic" {
			panic("unexpected")
		}
		return TextResponse(http.StatusOK, in.Path)
	})
	other, otherReader := dial(t, l.Address())
	conn, r := dial(t, l.Address())
	_, err := io.WriteString(conn, "GET /panic HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	_, err = r.ReadByte()
	is.Equal(err, io.EOF)
	_, err = io.WriteString(other, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.Equal(readBodies(t, otherReader, 1), []string{"/a\n"})
}

// An interim response must reach the sender before the final one. One that is sent
// late must not come between the final response and the next request.
func TestInterimResponse(t *testing.T) {
	is := is.New(t)
	var late *IncomingRequest
	l := listen(t, func(_ context.Context, in *IncomingRequest) *Response {
		if late != nil {
			is.NoErr(late.SendInterim(http.Header{"Step": {"late"}}))
		}
		late = in
		is.NoErr(in.SendInterim(http.Header{"Step": {in.Path}}))
		return &Response{Status: 200, Header: http.Header{}, Body: []byte(in.Path)}
	})
	pool, closePool := NewPool(l.Address(), time.Second)
	defer closePool()
	for _, path := range []string{"/a", "/b"} {
		conn, err := pool.Get(t.Context(), time.Minute)
		is.NoErr(err)
		var steps []string
		res, err := conn.Do(t.Context(), Request{
			Method: "GET", URI: path, Host: "h", Header: http.Header{},
			OnInterim: func(h http.Header) { steps = append(steps, h.Get("Step")) },
		}, idOf, nil)
		is.NoErr(err)
		is.Equal(steps, []string{path})
		is.Equal(string(res.Body), path)
		pool.Put(conn)
	}
}

// An interim response must not overtake the final response to an earlier request of
// the connection.
func TestInterimResponseKeepsOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	l := listen(t, func(_ context.Context, in *IncomingRequest) *Response {
		if in.Path == "/first" {
			<-release
		} else {
			is.NoErr(in.SendInterim(http.Header{}))
			close(release)
		}
		return &Response{Status: 200, Header: http.Header{}, Body: []byte(in.Path)}
	})
	conn, r := dial(t, l.Address())
	_, err := io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	is.Equal(readBodies(t, r, 2), []string{"/first", "/second"})
}

// echoPath responds with the request path. A request for /wait blocks until release
// is closed.
func echoPath(release <-chan struct{}) Handler {
	return func(_ context.Context, in *IncomingRequest) *Response {
		if in.Path == "/wait" {
			<-release
		}
		return &Response{Status: http.StatusOK, Header: http.Header{idHeader: {in.Header.Get(idHeader)}}, Body: []byte(in.Path)}
	}
}

// Pipelined requests are handled concurrently, and their responses are written in
// the order of the requests.
func TestPipelinedResponsesKeepOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	second := make(chan struct{})
	l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
		if in.Path == "/second" {
			close(second)
		}
		return echoPath(release)(ctx, in)
	})
	conn, r := dial(t, l.Address())
	io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	<-second // handled while the first request is blocked
	close(release)
	is.Equal(readBodies(t, r, 2), []string{"/wait", "/second"})
}

// Requests that are malformed, ambiguous or too large are refused before the handler
// runs, and the connection is closed.
func TestInvalidRequestsAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		send   string
		status int
	}{
		{"malformed header", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t, func(context.Context, *IncomingRequest) *Response {
				t.Error("the handler was called")
				return &Response{Abort: true}
			})
			conn, r := dial(t, l.Address())
			io.WriteString(conn, test.send)
			res, _ := readResponse(t, r)
			is.Equal(res.StatusCode, test.status)
			is.True(res.Close)
		})
	}
}

// The context of a request must be cancelled when the caller closes the connection,
// so that the request does not keep a slot for a response that nobody reads.
func TestDisconnectCancelsContext(t *testing.T) {
	is := is.New(t)
	began, ended := make(chan struct{}), make(chan error, 1)
	l := listen(t, func(ctx context.Context, _ *IncomingRequest) *Response {
		close(began)
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return &Response{Abort: true}
	})
	conn, _ := dial(t, l.Address())
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	conn.Close()
	is.True(errors.Is(<-ended, ErrCallerDisconnected))
}

// After Drain, a connection closes only after the last of its pipelined requests
// that were already read, and all of them get their responses.
func TestDrainRespondsToReadRequests(t *testing.T) {
	is := is.New(t)
	release, second := make(chan struct{}), make(chan struct{})
	l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
		if in.Path == "/second" {
			close(second)
		}
		return echoPath(release)(ctx, in)
	})
	conn, r := dial(t, l.Address())
	io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	<-second
	l.Drain()
	close(release)
	res, body := readResponse(t, r)
	is.Equal(body, "/wait")
	is.True(!res.Close)
	res, body = readResponse(t, r)
	is.Equal(body, "/second")
	is.True(res.Close)
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
}

// After Stop, requests that were read get responses, idle connections are closed,
// and neither a further request nor a new connection is served.
func TestStopServesNothingFurther(t *testing.T) {
	is := is.New(t)
	release, began := make(chan struct{}), make(chan struct{})
	handled := 0
	l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
		handled++
		close(began) // panics if a second request is handled
		return echoPath(release)(ctx, in)
	})
	idle, idleReader := dial(t, l.Address())
	conn, r := dial(t, l.Address())
	io.WriteString(conn, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	<-began
	l.Stop()
	_, err := idleReader.ReadByte()
	is.Equal(err, io.EOF)
	io.WriteString(idle, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	io.WriteString(conn, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err = net.Dial("tcp", l.Address())
	is.True(err != nil)
	close(release)
	res, body := readResponse(t, r)
	is.Equal(body, "/wait")
	is.True(res.Close)
	is.Equal(handled, 1)
}

// After CancelRequests, the handlers in progress still respond, and responses that
// were queued behind theirs on the connection are written as well.
func TestCancelRequestsWritesResponses(t *testing.T) {
	is := is.New(t)
	ready := make(chan struct{})
	l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
		if in.Path == "/slow" {
			<-ctx.Done()
			is.True(errors.Is(context.Cause(ctx), ErrShutdown))
		} else {
			close(ready)
		}
		return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(in.Path)}
	})
	conn, r := dial(t, l.Address())
	io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
	<-ready
	l.Stop()
	l.CancelRequests()
	is.Equal(readBodies(t, r, 2), []string{"/slow", "/ready"})
}
