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
	"github.com/matryer/is"
)

// A request with Expect: 100-continue reaches the handler before its body. The body
// is sent only after the handler has requested it, and a connection on which a
// request was refused without its body carries further requests.
func TestExpectContinue(t *testing.T) {
	tests := []struct {
		name          string
		sendsContinue bool
		body          string
	}{
		{"100 response, with a body", true, "claim"},
		{"100 response, without a body", true, ""},
		{"refused", false, "claim"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
				if !test.sendsContinue {
					return TextResponse(http.StatusServiceUnavailable, "refused")
				}
				b, err := in.ReadBody(ctx)
				is.NoErr(err)
				return &Response{Status: http.StatusOK, Header: http.Header{}, Body: b}
			})
			pool, closePool := NewPool(l.Address(), time.Second)
			defer closePool()
			for i := range 3 { // the connection is reused
				conn, err := pool.Get(t.Context(), time.Minute)
				is.NoErr(err)
				is.Equal(conn.Reused, i > 0)
				continued := false
				res, err := conn.Do(t.Context(), Request{
					Method: http.MethodPost, URI: "/", Host: "h", Body: []byte(test.body), ExpectContinue: true,
				}, idOf, func() { continued = true })
				is.NoErr(err)
				is.Equal(continued, test.sendsContinue)
				if test.sendsContinue {
					is.Equal(string(res.Body), test.body)
				} else {
					is.Equal(res.Status, http.StatusServiceUnavailable)
				}
				pool.Put(conn)
			}
		})
	}
}

// If the caller cancels a request before the 100 response, its body is never sent:
// ReadBody fails, so that the handler cannot run a request whose caller may have
// sent it elsewhere.
func TestCancelBeforeContinue(t *testing.T) {
	is := is.New(t)
	received, proceed, got := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
		close(received)
		<-proceed
		_, err := in.ReadBody(ctx)
		got <- err
		return &Response{Abort: true}
	})
	pool, closePool := NewPool(l.Address(), time.Second)
	defer closePool()
	ctx, cancel := context.WithCancel(t.Context())
	conn, err := pool.Get(ctx, time.Minute)
	is.NoErr(err)
	go func() {
		<-received
		cancel()
	}()
	_, err = conn.Do(ctx, Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("x"), ExpectContinue: true}, idOf, nil)
	is.True(errors.Is(err, ErrNotSent))
	close(proceed)
	is.True(<-got != nil)
}

// A request that is cancelled at the moment of its 100 response must not be sent either:
// its caller reports it as not run, and the connection is closed only a little later.
func TestCancelAtContinue(t *testing.T) {
	is := is.New(t)
	for range 50 {
		got := make(chan error, 1)
		l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
			_, err := in.ReadBody(ctx)
			got <- err
			return &Response{Abort: true}
		})
		pool, closePool := NewPool(l.Address(), time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		conn, err := pool.Get(ctx, time.Minute)
		is.NoErr(err)
		_, err = conn.Do(ctx, Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("x"), ExpectContinue: true}, idOf, cancel)
		is.True(errors.Is(err, ErrNotSent))
		pool.Put(conn)
		is.True(<-got != nil)
		closePool()
	}
}

// serveRaw serves one connection and writes each raw response after it has read a
// request. It closes the connection after the first one if closeAfter is set.
func serveRaw(t *testing.T, closeAfter bool, responses ...string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		for _, rs := range responses {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, rs)
			if closeAfter {
				return
			}
		}
		io.Copy(io.Discard, r)
	}()
	return l.Addr().String()
}

// rawResponse returns a response whose body has fewer than 10 bytes.
func rawResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// A faulty peer may send a truncated response, the response to another request, or
// bytes after a response. None of it may become part of the next response on the
// connection.
func TestFaultyResponses(t *testing.T) {
	tests := []struct {
		name       string
		closeAfter bool
		response   string
		want       error
		// wantReuse means that the connection returns to the pool.
		wantReuse bool
	}{
		{"whole", false, rawResponse("1", "one"), nil, true},
		{"truncated body", true, rawResponse("1", "one")[:51], ErrTruncated, false},
		{"response to another request", false, rawResponse("9", "one"), ErrMismatchedResponse, false},
		{"no response", true, "", ErrNoResponse, false},
		{"not HTTP", true, "garbage\r\n\r\n", ErrNoResponse, false},
		{"bytes after the response", false, rawResponse("1", "one") + "extra", nil, false},
		{"two responses to one request", false, rawResponse("1", "one") + rawResponse("1", "one"), nil, false},
		{"no content length", true, "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\none", nil, false},
		{"Connection: close", false, strings.Replace(rawResponse("1", "one"), "\r\n", "\r\nConnection: close\r\n", 1), nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pool, closePool := NewPool(serveRaw(t, test.closeAfter, test.response, rawResponse("2", "two")), time.Second)
			defer closePool()
			conn, err := pool.Get(t.Context(), time.Minute)
			is.NoErr(err)
			res, err := conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "1"}, idOf, nil)
			is.True(errors.Is(err, test.want))
			if err == nil {
				is.Equal(string(res.Body), "one")
			}
			pool.Put(conn)
			is.Equal(len(pool.idle) == 1, test.wantReuse)
		})
	}
}

// A late second copy of an earlier response may lack an ID. On a connection that is
// in use again it must not be taken for the response to the current request.
func TestLateResponseWithoutIDIsRejected(t *testing.T) {
	is := is.New(t)
	copyWithoutID := strings.Replace(rawResponse("1", "one"), idHeader, "Other", 1)
	pool, closePool := NewPool(serveRaw(t, false, rawResponse("1", "one"), copyWithoutID+rawResponse("2", "two")), time.Second)
	defer closePool()
	for i, id := range []string{"1", "2"} {
		conn, err := pool.Get(t.Context(), time.Minute)
		is.NoErr(err)
		_, err = conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: id, RequireID: conn.Reused}, idOf, nil)
		is.Equal(errors.Is(err, ErrMismatchedResponse), i == 1)
		pool.Put(conn)
	}
	is.Equal(len(pool.idle), 0)
}

// A peer may send a duplicate response to an earlier request of the connection. It
// must be skipped and not be taken for the response to the current request.
func TestLateResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	pool, closePool := NewPool(serveRaw(t, false, rawResponse("1", "one"), rawResponse("1", "one")+rawResponse("2", "two")), time.Second)
	defer closePool()
	for _, id := range []string{"1", "2"} {
		conn, err := pool.Get(t.Context(), time.Minute)
		is.NoErr(err)
		res, err := conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: id}, idOf, nil)
		is.NoErr(err)
		is.Equal(string(res.Body), map[string]string{"1": "one", "2": "two"}[id])
		pool.Put(conn)
	}
}
