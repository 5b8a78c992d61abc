package gate

import (
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/rawpeer"
	"github.com/matryer/is"
)

// Guards against an answer of a target in trouble that is passed on as a response, or counted as
// a success of the target. The request may have been run, so its failure promises nothing. The
// target is suspected, and the connection closed.
func TestBrokenAnswerIsAFailureOfItsTarget(t *testing.T) {
	const end = "Content-Length: 5\r\n\r\nhello"
	malformed := []outcome.Code{outcome.CodeResponseMalformed}
	tests := []struct {
		name, answer string
		upload       int
		resets       bool
		attempts     int
		want         []outcome.Code
	}{
		// The gate may see the reset before it has read the head.
		{"reset during an upload", "HTTP/1.1 200 OK\r\n\r\npart", 8 << 20, true, 8, []outcome.Code{outcome.CodeResponseTruncated, outcome.CodeTargetFailed}},
		{"blank in the name of a field", "HTTP/1.1 200 OK\r\nX A: v\r\n" + end, 0, false, 1, malformed},
		{"control byte in the name of a field", "HTTP/1.1 200 OK\r\nX\x01A: v\r\n" + end, 0, false, 1, malformed},
		{"blank after the name of the length", "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nhello", 0, false, 1, malformed},
		{"status 000", "HTTP/1.1 000 OK\r\n" + end, 0, false, 1, malformed},
		{"status 999", "HTTP/1.1 999 OK\r\n" + end, 0, false, 1, malformed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for range test.attempts {
				is := is.New(t)
				closedByGate := make(chan struct{})
				address, closeTarget, err := rawpeer.Listen(func(conn *net.TCPConn) {
					io.WriteString(conn, test.answer)
					if test.resets {
						// The gate reads the answer before the reset arrives.
						time.Sleep(20 * time.Millisecond)
						conn.SetLinger(0)
						return
					}
					io.Copy(io.Discard, conn)
					close(closedByGate)
				})
				is.NoErr(err)
				defer closeTarget()
				g := newGate()
				g.options.Headers = signedHeaders{}
				announceAt(t, g, address)
				res := uploadThroughGate(t, g, http1.Limits{MaxHeaderBytes: 1 << 14, MaxBodyBytes: 16 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second}, test.upload)
				is.True(res.problem != nil) // otherwise the answer has been passed on
				is.True(slices.Contains(test.want, res.problem.Code))
				is.Equal(res.problem.Outcome, outcome.Unknown)
				is.Equal(res.status, http.StatusBadGateway)
				is.True(g.State().Suspected)
				if test.resets {
					continue
				}
				select {
				case <-closedByGate:
				case <-time.After(10 * time.Second):
					t.Error("the connection to the target stays open")
				}
			}
		})
	}
}
