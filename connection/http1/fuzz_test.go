package http1

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
)

// Whatever a peer sends, reading its response must end without a panic and within the
// budget for bodies. A response that is returned must bear the ID of the request, a final
// status and fields that can be passed on as they are, and its connection may be reused only
// if nothing follows the response.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		rawResponse("1", "one"), rawResponse("1", "one") + "extra", rawResponse("0", "old") + rawResponse("1", "one"), rawResponse("9", "x"),
		"HTTP/1.1 102 Processing\r\n\r\n" + rawResponse("1", ""), "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nTest-Id: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nT: v\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 99999999999\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1", "",
		"HTTP/1.1 000 OK\r\nTest-Id: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nX A: v\r\n w\r\n\r\n", "HTTP/1.0 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		peer, conn := net.Pipe()
		defer peer.Close()
		defer conn.Close()
		go func() {
			peer.SetDeadline(time.Now().Add(time.Second))
			peer.Write(sent)
			peer.Close()
		}()
		const limit = 1 << 16
		budget := NewBodyBudget(limit)
		input := &limitedReader{reader: conn, remaining: unlimited, errExceeded: errResponseTooLarge}
		c := &Conn{conn: conn, input: input, reader: bufio.NewReaderSize(input, bufferSize), bodies: budget}
		c.served.add("0", time.Time{}, time.Now())
		res, reusable, err := c.readResponse(t.Context(), Request{Method: http.MethodGet, ID: "1", RequireID: true}, idOf)
		if err != nil {
			if budget.Used() != 0 {
				t.Errorf("%d bytes stay reserved after %v", budget.Used(), err)
			}
			return
		}
		if idOf(res.Header) != "1" {
			t.Errorf("response with ID %q returned", idOf(res.Header))
		}
		if res.Status < 200 || res.Status > 599 {
			t.Errorf("status %d", res.Status)
		}
		for name, values := range res.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Errorf("field %q", name)
			}
			for _, v := range values {
				if !httpguts.ValidHeaderFieldValue(v) {
					t.Errorf("value %q of field %s", v, name)
				}
			}
		}
		if len(res.Body) > limit/2 {
			t.Errorf("body of %d bytes", len(res.Body))
		}
		if reusable && c.reader.Buffered() > 0 {
			t.Error("connection reusable although bytes follow the response")
		}
	})
}
