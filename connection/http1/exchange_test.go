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

// A request that awaits its grant reaches the handler before its body, and the
// body comes only after the grant.
func TestGrant(t *testing.T) {
	tests := []struct {
		name   string
		grants bool
		body   string
	}{
		{"granted, with a body", true, "claim"},
		{"granted, without a body", true, ""},
		{"refused", false, "claim"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
				if !test.grants {
					return TextResponse(http.StatusServiceUnavailable, "refused")
				}
				b, err := in.ReadBody(ctx)
				is.NoErr(err)
				return &Response{Status: http.StatusOK, Header: http.Header{}, Body: b}
			})
			pool, closePool := NewPool(l.Address(), time.Second)
			defer closePool()
			for i := range 3 { // the connection carries further requests
				conn, err := pool.Get(t.Context(), time.Minute)
				is.NoErr(err)
				is.Equal(conn.Reused, i > 0)
				granted := false
				a, err := conn.Do(t.Context(), Request{
					Method: http.MethodPost, URI: "/", Host: "h", Body: []byte(test.body), ExpectContinue: true,
				}, idOf, func() { granted = true })
				is.NoErr(err)
				is.Equal(granted, test.grants)
				if test.grants {
					is.Equal(string(a.Body), test.body)
				} else {
					is.Equal(a.Status, http.StatusServiceUnavailable)
				}
				pool.Put(conn)
			}
		})
	}
}

// A request whose caller leaves before the grant never gets its body through:
// the handler learns that the caller is gone.
func TestWithdrawnBeforeGrant(t *testing.T) {
	is := is.New(t)
	asked, proceed, got := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	l := listen(t, func(ctx context.Context, in *IncomingRequest) *Response {
		close(asked)
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
		<-asked
		cancel()
	}()
	_, err = conn.Do(ctx, Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("x"), ExpectContinue: true}, idOf, nil)
	is.True(errors.Is(err, ErrNotSent))
	close(proceed)
	is.True(<-got != nil)
}

// serveRaw answers each request's head with raw bytes and closes the connection
// if closes is set.
func serveRaw(t *testing.T, closes bool, answers ...string) string {
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
		for _, a := range answers {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, a)
			if closes {
				return
			}
		}
		io.Copy(io.Discard, r)
	}()
	return l.Addr().String()
}

func answerOf(id, body string) string {
	return "HTTP/1.1 200 OK\r\n" + headerID + ": " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// What a faulty peer sends beside an answer never becomes part of another.
func TestFaultyAnswers(t *testing.T) {
	tests := []struct {
		name   string
		closes bool
		first  string
		want   error
		// reuses means that the connection carries a second request.
		reuses bool
	}{
		{"whole", false, answerOf("1", "one"), nil, true},
		{"broken off", true, answerOf("1", "one")[:51], ErrTruncated, false},
		{"of another request", false, answerOf("9", "one"), ErrMismatchedResponse, false},
		{"no answer", true, "", ErrNoResponse, false},
		{"not HTTP", true, "garbage\r\n\r\n", ErrNoResponse, false},
		{"bytes behind it", false, answerOf("1", "one") + "extra", nil, false},
		{"a second answer behind it", false, answerOf("1", "one") + answerOf("1", "one"), nil, false},
		{"without a length", true, "HTTP/1.1 200 OK\r\n" + headerID + ": 1\r\n\r\none", nil, false},
		{"says that it closes", false, strings.Replace(answerOf("1", "one"), "\r\n", "\r\nConnection: close\r\n", 1), nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			pool, closePool := NewPool(serveRaw(t, test.closes, test.first, answerOf("2", "two")), time.Second)
			defer closePool()
			conn, err := pool.Get(t.Context(), time.Minute)
			is.NoErr(err)
			a, err := conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "1"}, idOf, nil)
			is.True(errors.Is(err, test.want))
			if err == nil {
				is.Equal(string(a.Body), "one")
			}
			pool.Put(conn)
			is.Equal(len(pool.idle) == 1, test.reuses)
		})
	}
}

// A late answer to an earlier request of the connection is skipped.
func TestLateAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	pool, closePool := NewPool(serveRaw(t, false, answerOf("1", "one"), answerOf("1", "one")+answerOf("2", "two")), time.Second)
	defer closePool()
	for _, id := range []string{"1", "2"} {
		conn, err := pool.Get(t.Context(), time.Minute)
		is.NoErr(err)
		a, err := conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: id}, idOf, nil)
		is.NoErr(err)
		is.Equal(string(a.Body), map[string]string{"1": "one", "2": "two"}[id])
		pool.Put(conn)
	}
}
