package http1

import (
	"bufio"
	"net/http"
	"strconv"
	"time"
)

// Request is a request to send to a peer.
type Request struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is compared with the ID of the response, to detect a response to another
	// request.
	ID string
	// Deadline is until when the request may be sent again, with the same ID. The connection
	// is not used for it before.
	Deadline time.Time
	// RequireID means that the peer repeats ID in its responses, so that a response
	// without an ID belongs to another request.
	RequireID bool
	// ExpectContinue sends Expect: 100-continue and holds the body back until the
	// peer sends a 100 response. A request without a body is sent with an empty
	// chunked one, so that the peer can always wait for the end of the body.
	ExpectContinue bool
	// OnInterim, if not nil, is called with the header of each 102 response that
	// arrives before the final one.
	OnInterim func(http.Header)
	// OnRead, if not nil, is called each time that bytes of the response arrive.
	OnRead func()
}

// writeRequestHeader writes the request line and the header, and flushes w.
func (r *Request) writeRequestHeader(w *bufio.Writer) error {
	w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\n")
	writeField(w, "Host", r.Host)
	writeHeader(w, r.Header)
	switch {
	case r.ExpectContinue && len(r.Body) == 0:
		writeField(w, "Transfer-Encoding", "chunked")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch:
		writeField(w, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	if r.ExpectContinue {
		writeField(w, "Expect", "100-continue")
	}
	w.WriteString("\r\n")
	return w.Flush()
}

// writeBody writes the body and flushes w.
func (r *Request) writeBody(w *bufio.Writer) error {
	if r.ExpectContinue && len(r.Body) == 0 {
		w.WriteString("0\r\n\r\n")
	} else {
		w.Write(r.Body)
	}
	return w.Flush()
}
