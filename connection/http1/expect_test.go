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

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Callers may send the body of a request with Expect: 100-continue at once. It must be taken
// for this body and never for the next request, and the request must be answered.
func TestBodyWithoutWaitForContinue(t *testing.T) {
	const smuggled = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	const head = "POST /note HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 35\r\n\r\n"
	const slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name string
		// sent is sent at once, and later after a 100 response.
		sent, later string
		want        []string
	}{
		{"at once", head + smuggled, "", []string{"200 /note " + smuggled}},
		{"after the 100 response", head, smuggled, []string{"100", "200 /note " + smuggled}},
		{"behind a slow request", slow + head, smuggled, []string{"200 /slow ", "100", "200 /note " + smuggled}},
		{"too long", strings.Replace(head, "35", "2097152", 1), "", []string{"413"}},
		{"a second request", head + smuggled + slow, "", []string{"200 /note " + smuggled, "200 /slow "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			limits := testLimits
			limits.ReadBodiesFirst = true
			l, closeListener, err := Listen("127.0.0.1:0", func(ctx context.Context, in *IncomingRequest) *Response {
				if in.Path == "/slow" {
					time.Sleep(100 * time.Millisecond)
				}
				body, err := in.ReadBody(ctx)
				if err != nil {
					return &Response{Abort: true}
				}
				return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte(in.Path + " " + string(body))}
			}, func() Limits { return limits }, hclog.NewNullLogger())
			is.NoErr(err)
			defer closeListener()
			conn, err := net.Dial("tcp", l.Address())
			is.NoErr(err)
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(2 * time.Second))
			_, err = io.WriteString(conn, test.sent)
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			for _, want := range test.want {
				res, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
				is.NoErr(err)
				body, err := io.ReadAll(res.Body)
				is.NoErr(err)
				switch res.StatusCode {
				case http.StatusOK:
					is.Equal("200 "+string(body), want)
				case http.StatusContinue:
					is.Equal("100", want)
					_, err = io.WriteString(conn, test.later)
					is.NoErr(err)
				default:
					is.Equal(http.StatusRequestEntityTooLarge, res.StatusCode)
					is.Equal("413", want)
				}
			}
		})
	}
}
