package http1

import (
	"bufio"
	"net/http"
	"strconv"
	"time"
)

// Response is a complete response, body included.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// BeganAt is when the head of a response that Conn.Do returned had arrived.
	BeganAt time.Time
	// Abort closes the connection instead of sending a response.
	Abort bool
	// SkippedLate is how many late responses to earlier requests preceded a response
	// that Conn.Do returned.
	SkippedLate int
	// endedConnection means that Body had no length and ended with the connection.
	endedConnection bool
	// memory is the reservation for Body; nil if there is none.
	memory *reservation
}

// release returns the memory of the body to its budget.
func (r *Response) release() { r.memory.release() }

// hasNoBody reports whether a response to the method is sent without a body.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// write writes the response with a Content-Length field and flushes w. For HEAD,
// the length is that of the header, if it has one.
func (r *Response) write(w *bufio.Writer, method string, closeConn bool) error {
	writeStatusLine(w, r.Status)
	writeHeader(w, r.Header)
	switch {
	case !hasNoBody(method, r.Status):
		writeField(w, "Content-Length", strconv.Itoa(len(r.Body)))
	case method == http.MethodHead && r.Header.Get("Content-Length") != "":
		writeField(w, "Content-Length", r.Header.Get("Content-Length"))
	}
	if closeConn {
		writeField(w, "Connection", "close")
	}
	w.WriteString("\r\n")
	if !hasNoBody(method, r.Status) {
		w.Write(r.Body)
	}
	return w.Flush()
}

func writeStatusLine(w *bufio.Writer, status int) {
	text := http.StatusText(status)
	if text == "" {
		text = "status " + strconv.Itoa(status)
	}
	w.WriteString("HTTP/1.1 " + strconv.Itoa(status) + " " + text + "\r\n")
}

// TextResponse returns a plain-text response with text as its only line.
func TextResponse(status int, text string) *Response {
	return &Response{Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(text + "\n")}
}
