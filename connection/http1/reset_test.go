package http1

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// upload sends a request with a body of n bytes on a new connection.
func upload(t *testing.T, address string, n int, expectContinue bool) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return exchange(ctx, address, nil, Request{Method: http.MethodPost, URI: "/", Host: "h", Body: make([]byte, n), ExpectContinue: expectContinue})
}

// Guards against the beginning of a response that is passed on as a complete one, because the
// target reset the connection while the request's body was being written: the kernel reports
// the reset to the writer, and the reader only sees that the connection ends, as it does after
// a complete body without a length.
func TestResetDuringUploadIsNoEndOfResponse(t *testing.T) {
	const (
		attempts = 20
		response = "HTTP/1.1 200 OK\r\n\r\npart of the body"
	)
	tests := []struct {
		name           string
		bytes          int
		expectContinue bool
	}{
		{"64 KB", 64 << 10, false},
		{"1 MB", 1 << 20, false},
		{"8 MB", 8 << 20, false},
		{"32 MB", 32 << 20, false},
		{"8 MB, after a 100 response", 8 << 20, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			address := servePeer(t, func(conn *net.TCPConn) {
				if test.expectContinue {
					io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
					conn.Read(make([]byte, 4096))
				}
				io.WriteString(conn, response)
				// The client reads the bytes before the reset arrives.
				time.Sleep(20 * time.Millisecond)
				conn.SetLinger(0)
			})
			passedOn := 0
			for range attempts {
				res, err := upload(t, address, test.bytes, test.expectContinue)
				if err == nil {
					passedOn++
					continue
				}
				is.True(res == nil)
				is.True(!errors.Is(err, ErrNotSent)) // the target may have run the request
			}
			is.Equal(passedOn, 0)
		})
	}
}

// A body without a length that ends in an orderly way is complete, also if the target has not
// read the request's body. The response must not wait for that to be sent.
func TestEarlyResponseThatEndsWithItsConnection(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("b"), 100<<10)
	address := servePeer(t, func(conn *net.TCPConn) {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+string(body))
		conn.CloseWrite()
		<-t.Context().Done()
	})
	startedAt := time.Now()
	res, err := upload(t, address, 32<<20, false)
	is.NoErr(err)
	is.Equal(res.Body, body)
	is.True(time.Since(startedAt) < unackedTimeout) // the connection fails then
}
