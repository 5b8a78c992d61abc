package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// rawServer answers each connection's requests with the given bytes and closes
// the connection after them.
func rawServer(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					fmt.Fprint(conn, answer)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func send(t *testing.T, address string, r Request) (*Answer, error) {
	t.Helper()
	client, closeClient := NewClient()
	t.Cleanup(closeClient)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	if r.Header == nil {
		r.Header = http.Header{}
	}
	return client.Send(ctx, address, r)
}

// Only answers that are whole and belong to the request are handed on.
func TestSendTakesWholeAnswersOnly(t *testing.T) {
	tests := []struct {
		name, answer string
		want         error
		body         string
	}{
		{"whole by length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", nil, "hello"},
		{"whole by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", nil, "hello"},
		{"no body", "HTTP/1.1 204 No Content\r\n\r\n", nil, ""},
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", ErrCutShort, ""},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", ErrCutShort, ""},
		{"its end cannot be known", "HTTP/1.1 200 OK\r\n\r\nhello", ErrCutShort, ""},
		{"of another request", "HTTP/1.1 200 OK\r\n" + outcome.HeaderRequestID + ": other\r\nContent-Length: 5\r\n\r\nhello", ErrCrossed, ""},
		{"rubbish", "hello\r\n\r\n", ErrLost, ""},
		{"nothing", "", ErrLost, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a, err := send(t, rawServer(t, test.answer), Request{Method: http.MethodGet, URI: "/", ID: "own"})
			if test.want != nil {
				is.True(errors.Is(err, test.want))
				return
			}
			is.NoErr(err)
			is.Equal(string(a.Body), test.body)
			a.Close()
		})
	}
}

// A peer that takes no connection certainly did not run the request.
func TestSendKnowsWhatWasNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	_, err = send(t, address, Request{Method: http.MethodPost, URI: "/"})
	is.True(errors.Is(err, ErrNotSent))
}

// The transport must not repeat a claim by itself when a reused connection
// breaks after the request was sent.
func TestSendNeverReplays(t *testing.T) {
	tests := []struct {
		name string
		body []byte
	}{
		{"with a body", []byte("x")},
		{"without a body", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var claims atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Header.Get(outcome.HeaderKey) == "" {
					return // opens the connection
				}
				claims.Add(1)
				panic(http.ErrAbortHandler)
			}))
			defer s.Close()
			address := strings.TrimPrefix(s.URL, "http://")
			client, closeClient := NewClient()
			defer closeClient()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			a, err := client.Send(ctx, address, Request{Method: http.MethodGet, URI: "/", Header: http.Header{}})
			is.NoErr(err)
			a.Close()
			h := http.Header{}
			h.Set(outcome.HeaderKey, "0197b0a5-6c00-7000-8000-000000000001")
			_, err = client.Send(ctx, address, Request{Method: http.MethodPost, URI: "/", Header: h, Body: test.body})
			is.True(errors.Is(err, ErrLost))
			is.Equal(claims.Load(), int64(1))
		})
	}
}

// A long answer that breaks off must not look whole to the caller.
func TestWriteReportsBrokenRest(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("x", 2*bufferBytes)
	broken := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long)+1, long)
	a, err := send(t, rawServer(t, broken), Request{Method: http.MethodGet, URI: "/"})
	is.NoErr(err)
	defer a.Close()
	w := httptest.NewRecorder()
	is.True(a.Write(w, false) != nil)
	is.Equal(w.Header().Get("Content-Length"), fmt.Sprint(len(long)+1)) // the caller can tell
}

func TestCopyHeaderDropsHopByHop(t *testing.T) {
	is := is.New(t)
	src := http.Header{"Connection": {"keep-alive, x-own"}, "X-Own": {"1"}, "Upgrade": {"h2c"}, "X-Kept": {"a", "b"}}
	dst := http.Header{}
	CopyHeader(dst, src)
	is.Equal(dst, http.Header{"X-Kept": {"a", "b"}})
}
