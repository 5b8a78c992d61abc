package http1

import (
	"bufio"
	"net/http"
	"strconv"
)

// Response is a whole response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Abort ends the connection in place of an answer.
	Abort bool
}

// hasNoBody reports whether a response to the method has no body on the wire.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// write sends the answer with a length.
func (a *Response) write(w *bufio.Writer, method string, closeConn bool) error {
	writeStatusLine(w, a.Status)
	writeHeader(w, a.Header)
	switch {
	case !hasNoBody(method, a.Status):
		writeField(w, "Content-Length", strconv.Itoa(len(a.Body)))
	case method == http.MethodHead && a.Header.Get("Content-Length") != "":
		writeField(w, "Content-Length", a.Header.Get("Content-Length"))
	}
	if closeConn {
		writeField(w, "Connection", "close")
	}
	w.WriteString("\r\n")
	if !hasNoBody(method, a.Status) {
		w.Write(a.Body)
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

// TextResponse returns an answer of the node's own with a line of text.
func TextResponse(status int, text string) *Response {
	return &Response{Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(text + "\n")}
}
