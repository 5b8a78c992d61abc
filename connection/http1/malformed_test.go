package http1

import (
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

// Guards against an answer of a peer in trouble that is taken for a response, in each place where
// a response is read. The request may have been run, and nothing more may be read from the
// connection. The peer keeps it open, so that the answer cannot be taken for a truncated one.
func TestMalformedResponses(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n"
		end  = "Content-Length: 5\r\n\r\nhello"
		tail = "5\r\nhello\r\n0\r\n"
	)
	tests := []struct{ name, response string }{
		{"blank in a name", ok + "X A: v\r\n" + end},
		{"blank after a name", ok + "X-A : v\r\n" + end},
		{"tab after a name", ok + "X-A\t: v\r\n" + end},
		{"control byte in a name", ok + "X\x01A: v\r\n" + end},
		{"delimiter in a name", ok + "X(A): v\r\n" + end},
		{"byte above ASCII in a name", ok + "X\xe9A: v\r\n" + end},
		{"empty name", ok + ": v\r\n" + end},
		{"no colon", ok + "garbage\r\n" + end},
		{"blank after the name of the length", ok + "Content-Length : 5\r\n\r\nhello"},
		{"blank in the name of the length", ok + "Content Length: 5\r\n\r\nhello"},
		{"blank after the name of the transfer encoding", ok + "Transfer-Encoding : chunked\r\n\r\n" + tail + "\r\n"},
		{"folded line", ok + "X-A: v\r\n w\r\n" + end},
		{"length in a folded line", ok + "X-A: v\r\n\tContent-Length: 5\r\n\r\nhello"},
		{"folded line before the first field", "HTTP/1.1 200 OK\r\n Test-Id: 1\r\n" + end},
		{"line of blanks", ok + " \r\n" + end},
		{"NUL in a value", ok + "X-A: v\x00w\r\n" + end},
		{"bare CR in a value", ok + "X-A: v\rw\r\n" + end},
		{"control byte in a value", ok + "X-A: v\x01w\r\n" + end},
		{"interim response", "HTTP/1.1 103 Early Hints\r\nX A: v\r\n\r\n" + ok + end},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n" + tail + "X A: v\r\n\r\n"},
		{"folded line in a trailer", ok + "Transfer-Encoding: chunked\r\n\r\n" + tail + "X-A: v\r\n w\r\n\r\n"},
		{"status 000", "HTTP/1.1 000 OK\r\nTest-Id: 1\r\n" + end},
		{"status 001", "HTTP/1.1 001 OK\r\nTest-Id: 1\r\n" + end},
		{"status 099", "HTTP/1.1 099 OK\r\nTest-Id: 1\r\n" + end},
		{"status 600", "HTTP/1.1 600 OK\r\nTest-Id: 1\r\n" + end},
		{"status 999", "HTTP/1.1 999 OK\r\nTest-Id: 1\r\n" + end},
		{"signed status", "HTTP/1.1 +20 OK\r\nTest-Id: 1\r\n" + end},
		{"status of two digits", "HTTP/1.1 20 OK\r\nTest-Id: 1\r\n" + end},
		{"status of four digits", "HTTP/1.1 2000 OK\r\nTest-Id: 1\r\n" + end},
		{"no status", "HTTP/1.1 OK\r\nTest-Id: 1\r\n" + end},
		{"blanks before the status", "HTTP/1.1  200 OK\r\nTest-Id: 1\r\n" + end},
		{"control byte after the status", "HTTP/1.1 200 O\x00K\r\nTest-Id: 1\r\n" + end},
		{"status 000 of an interim response", "HTTP/1.1 000 Early\r\n\r\n" + ok + end},
		{"another protocol, which nobody requested", "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n" + ok + end},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nTest-Id: 1\r\n" + end},
		{"HTTP/0.9", "HTTP/0.9 200 OK\r\nTest-Id: 1\r\n" + end},
		{"HTTP/3.7", "HTTP/3.7 200 OK\r\nTest-Id: 1\r\n" + end},
		{"HTTP/1.0 with a transfer encoding", "HTTP/1.0 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + tail + "\r\n"},
		{"length before a transfer encoding", ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + tail + "\r\n"},
		{"length after a transfer encoding", ok + "transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n" + tail + "\r\n"},
		{"two lengths", ok + "Content-Length: 4\r\n" + end},
		{"signed length", ok + "Content-Length: +5\r\n\r\nhello"},
		{"unknown transfer encoding", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n" + tail + "\r\n"},
		{"transfer encoding twice", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + tail + "\r\n"},
	}
	places := []struct {
		suffix, before string
		expectContinue bool
	}{
		{"", "", false},
		{", instead of a 100 response", "", true},
		{", after a 100 response", "HTTP/1.1 100 Continue\r\n\r\n", true},
	}
	for _, place := range places {
		for _, test := range tests {
			t.Run(test.name+place.suffix, func(t *testing.T) {
				t.Parallel()
				requireMalformed(t, place.before+test.response, place.expectContinue)
			})
		}
	}
	t.Run("100 response", func(t *testing.T) {
		requireMalformed(t, "HTTP/1.1 100 Continue\r\nX A: v\r\n\r\n"+ok+end, true)
	})
}

// requireMalformed sends a request to a peer that responds as given, and requires that the
// response is found to be malformed and the connection closed.
func requireMalformed(t *testing.T, response string, expectContinue bool) {
	t.Helper()
	is := is.New(t)
	res, closedByClient, err := exchangeOnce(t, response, expectContinue)
	if err == nil {
		t.Fatalf("status %d, header %q, body %q", res.Status, res.Header, res.Body)
	}
	is.True(errors.Is(err, ErrMalformed))
	is.True(!errors.Is(err, ErrNotSent))
	select {
	case <-closedByClient:
	case <-time.After(10 * time.Second):
		t.Error("the connection stays open")
	}
}

// exchangeOnce sends a request to a peer that responds as given and keeps the connection open.
// The channel is closed when the client has closed it.
func exchangeOnce(t *testing.T, response string, expectContinue bool) (*Response, <-chan struct{}, error) {
	t.Helper()
	closedByClient := make(chan struct{})
	address := servePeer(t, func(conn *net.TCPConn) {
		io.WriteString(conn, response)
		io.Copy(io.Discard, conn)
		close(closedByClient)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	res, err := exchange(ctx, address, nil, Request{
		Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("body"), ID: "1", RequireID: true, ExpectContinue: expectContinue,
	})
	return res, closedByClient, err
}

// The checks of heads must not reject responses that are unusual and valid.
func TestUnusualResponsesAreRead(t *testing.T) {
	const end = "Content-Length: 5\r\n\r\nhello"
	tests := []struct{ name, response string }{
		{"no reason", "HTTP/1.1 200 \r\nTest-Id: 1\r\n" + end},
		{"no blank before the reason", "HTTP/1.1 200\r\nTest-Id: 1\r\n" + end},
		{"reason beyond ASCII, with a tab and a colon", "HTTP/1.1 200 d\xe9j\xc3\xa0:\tvu\r\nTest-Id: 1\r\n" + end},
		{"status without a name", "HTTP/1.1 299 x\r\nTest-Id: 1\r\n" + end},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\nTest-Id: 1\r\n" + end},
		{"lines that end with LF alone", "HTTP/1.1 200 OK\nTest-Id: 1\nContent-Length: 5\n\nhello"},
		{"small letters, no blank before the value", "HTTP/1.1 200 OK\r\ntest-id:1\r\ncontent-length:5\r\n\r\nhello"},
		{"empty value", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nX-A:\r\n" + end},
		{"value beyond ASCII, with a tab", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nX-A: \xe9\tw \t\r\n" + end},
		{"token of all characters", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n!#$%&'*+-.^_`|~09azAZ: v\r\n" + end},
		{"equal lengths", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 5\r\n" + end},
		{"line beyond the buffer", "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("v", 3*bufferSize) + "\r\nTest-Id: 1\r\n" + end},
		{"interim responses", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: 1\r\n" + end},
		{"chunks with an extension, and a trailer", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nhe\r\n3\r\nllo\r\n0\r\nX-A: v\r\n\r\n"},
	}
	for _, test := range tests {
		for _, before := range []string{"", "HTTP/1.1 100 Continue\r\nX-A: v\r\n\r\n"} {
			t.Run(test.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				res, _, err := exchangeOnce(t, before+test.response, before != "")
				is.NoErr(err)
				is.Equal(string(res.Body), "hello")
			})
		}
	}
}
