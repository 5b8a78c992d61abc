package http1

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveCut serves connections: it reads a request, writes the next response and closes the
// connection, in an orderly way or with a reset.
func serveCut(t *testing.T, responses <-chan string, reset bool) string {
	t.Helper()
	return servePeer(t, func(conn *net.TCPConn) {
		io.WriteString(conn, <-responses)
		if reset {
			// The peer reads the bytes before the reset arrives.
			time.Sleep(20 * time.Millisecond)
			conn.SetLinger(0)
		}
	})
}

// Guards against a response that is passed on as complete although the target closed the
// connection in the middle of it: at any byte of its head, and of a body with a length or in
// chunks. A body without a length ends with the connection, but not with a reset.
func TestCutResponseIsNoResponse(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n"
	tests := []struct {
		name, head, body string
		reset            bool
		// complete means that the body may end anywhere.
		complete bool
	}{
		{"length", status + "Content-Length: 12\r\n\r\n", "hello, world", false, false},
		{"chunks", status + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n", false, false},
		{"no length", status + "Connection: close\r\n\r\n", "hello, world", false, true},
		{"no length, reset", status + "Connection: close\r\n\r\n", "hello, world", true, false},
		// A response with a folded field is none, complete or not.
		{"folded field", status + "A: b\r\n c\r\nConnection: close\r\n\r\n", "hello, world", false, false},
		{"interim response", "HTTP/1.1 102 Processing\r\n\r\n" + status + "Connection: close\r\n\r\n", "hello, world", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			full := test.head + test.body
			responses := make(chan string, 1)
			pool, closePool := NewPool(serveCut(t, responses, test.reset), time.Second)
			defer closePool()
			for cut := range len(full) {
				responses <- full[:cut]
				conn, err := pool.Get(t.Context(), 0)
				is.NoErr(err)
				res, err := conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h"}, idOf, nil)
				pool.Put(conn)
				if test.complete && cut >= len(test.head) {
					is.NoErr(err)
					continue
				}
				if err == nil {
					t.Fatalf("cut after %q: status %d, body %q", full[:cut], res.Status, res.Body)
				}
			}
		})
	}
}
