package http1

import (
	"bytes"
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

// serveEndless accepts connections, reads a request's head on each, sends start and
// then repeats chunk until the peer closes the connection or maxBytes are sent. The
// returned channel gets the number of bytes sent on each connection.
func serveEndless(t *testing.T, start, chunk string, maxBytes int) (address string, sent <-chan int) {
	t.Helper()
	counts := make(chan int, 16)
	address = servePeer(t, func(conn *net.TCPConn) {
		if _, err := io.WriteString(conn, start); err != nil {
			return
		}
		block := []byte(strings.Repeat(chunk, 1+16384/len(chunk)))
		n := 0
		for n < maxBytes {
			conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
			k, err := conn.Write(block)
			if n += k; err != nil {
				break
			}
		}
		counts <- n
	})
	return address, counts
}

// A peer in trouble may send bytes that are no response without end, in the head, in
// interim responses, in the body or in its framing. The exchange must end with an
// error after a bounded number of bytes, and the connection must be closed, long
// before the request's deadline.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	const budget = 1 << 20
	tests := []struct {
		name         string
		start, chunk string
		want         error
	}{
		{"header fields", head, "X-Field: value\r\n", ErrNoResponse},
		{"one header field", head + "X-Field: ", "v", ErrNoResponse},
		{"status line", "HTTP/1.1 200 ", "O", ErrNoResponse},
		{"no HTTP", "", "garbage ", ErrNoResponse},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", ErrNoResponse},
		{"responses to an earlier request", "", "HTTP/1.1 200 OK\r\nTest-Id: 0\r\nContent-Length: 0\r\n\r\n", ErrNoResponse},
		{"body until close", head + "\r\n", "b", ErrTruncated},
		{"long body", head + "Content-Length: 1000000000000\r\n\r\n", "b", ErrTruncated},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", ErrTruncated},
		{"chunk extensions", head + "Transfer-Encoding: chunked\r\n\r\n", "1;extension=value\r\nb\r\n", ErrTruncated},
		{"one chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;e=", "v", ErrTruncated},
		{"trailer", head + "Transfer-Encoding: chunked\r\nTrailer: T\r\n\r\n0\r\n", "T: value\r\n", ErrTruncated},
	}
	for _, expectsContinue := range []bool{false, true} {
		for _, test := range tests {
			name, want := test.name, test.want
			if expectsContinue {
				// Without a 100 response the request has not been run.
				name, want = name+", instead of a 100 response", ErrNotSent
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				address, sent := serveEndless(t, test.start, test.chunk, 64*budget)
				pool, closePool := NewPool(address, time.Second)
				defer closePool()
				b := NewBodyBudget(budget)
				pool.SetBodyBudget(b)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				conn, err := pool.Get(ctx, time.Minute)
				is.NoErr(err)
				conn.served.add("0", time.Time{}, time.Now())
				_, err = conn.Do(ctx, Request{Method: http.MethodGet, URI: "/", Host: "h", ID: "1", ExpectContinue: expectsContinue}, idOf, nil)
				is.True(errors.Is(err, want))
				is.NoErr(ctx.Err())
				pool.Put(conn)
				is.Equal(len(pool.idle), 0)
				// What was sent and not read lies in the buffers of the loopback
				// connection.
				is.True(<-sent < 32*budget)
				is.Equal(b.Used(), int64(0))
			})
		}
	}
}

// After a 100 response, a head without end must not be read for ever.
func TestEndlessHeadAfterContinue(t *testing.T) {
	is := is.New(t)
	address, _ := serveEndless(t, "HTTP/1.1 100 Continue\r\n", "X-Field: value\r\n", 64<<20)
	pool, closePool := NewPool(address, time.Second)
	defer closePool()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, time.Minute)
	is.NoErr(err)
	_, err = conn.Do(ctx, Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("b"), ExpectContinue: true}, idOf, nil)
	is.True(errors.Is(err, ErrNotSent))
	is.NoErr(ctx.Err())
}

// Several long responses at once must not use more memory than the budget, which is
// free again when they have been passed on or dropped. A small response fits in
// beside them.
func TestBodiesShareTheBudget(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	b := NewBodyBudget(limit)
	read := func(n int) (*reservation, error) {
		r := b.newReservation(false)
		_, err := readAll(bytes.NewReader(make([]byte, n)), -1, b.maxBytes(), r)
		if err != nil {
			r.release()
		}
		return r, err
	}
	_, err := read(limit)
	is.Equal(err, errBodyTooLarge)
	first, err := read(limit / 3)
	is.NoErr(err)
	_, err = read(limit / 3)
	is.NoErr(err)
	_, err = read(limit / 3)
	is.Equal(err, ErrBodyMemory)
	is.True(b.Used() <= limit)
	small, err := read(100)
	is.True(err == nil || b.Used() == limit)
	small.release()
	first.release()
	first.release() // has no further effect
	last, err := read(limit / 3)
	is.NoErr(err)
	last.release()
	used := b.Used()
	is.Equal(last.grow(1), ErrBodyMemory) // nobody would release it again
	is.Equal(b.Used(), used)
}

// A request whose body finds no memory must be refused as not run, with a
// Retry-After. The memory of a request must be free again after its response.
func TestRequestBodiesUseTheBudget(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.Bodies = NewBodyBudget(64 << 10)
	ran := 0
	l, closeListener, err := Listen("127.0.0.1:0", func(context.Context, *IncomingRequest) *Response {
		ran++
		return TextResponse(http.StatusOK, "ran")
	}, func() Limits { return limits }, nullLogger)
	is.NoErr(err)
	defer closeListener()
	post := func(n int) *Response {
		pool, closePool := NewPool(l.Address(), time.Second)
		defer closePool()
		conn, err := pool.Get(t.Context(), 0)
		is.NoErr(err)
		defer pool.Put(conn)
		res, err := conn.Do(t.Context(), Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, n)}, idOf, nil)
		is.NoErr(err)
		return res
	}
	for range 4 {
		is.Equal(post(30<<10).Status, http.StatusOK)
	}
	refused := post(100 << 10)
	is.Equal(refused.Status, http.StatusServiceUnavailable)
	is.Equal(refused.Header.Get("Retry-After"), memoryRetryAfter)
	is.Equal(ran, 4)
	is.Equal(post(30<<10).Status, http.StatusOK)
}
