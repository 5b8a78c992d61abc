package http1

import (
	"bufio"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopFields apply to one connection only and are never forwarded.
var hopByHopFields = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// CopyEndToEnd returns a copy of h without the hop-by-hop fields, which include
// those that the Connection field names. The values are shared with h.
func CopyEndToEnd(h http.Header) http.Header {
	connectionOptions := map[string]bool{}
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			connectionOptions[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	out := make(http.Header, len(h))
	for name, values := range h {
		if !hopByHopFields[name] && !connectionOptions[name] {
			out[name] = values
		}
	}
	return out
}

// writeHeader writes all fields but the hop-by-hop ones and Content-Length, which
// depend on how the message is framed.
func writeHeader(w *bufio.Writer, h http.Header) {
	for name, values := range h {
		if name == "Content-Length" || hopByHopFields[name] {
			continue
		}
		for _, v := range values {
			writeField(w, name, v)
		}
	}
}

// newlineReplacer replaces line breaks, so that a value cannot add a field.
var newlineReplacer = strings.NewReplacer("\r", " ", "\n", " ")

func writeField(w *bufio.Writer, name, value string) {
	w.WriteString(name)
	w.WriteString(": ")
	newlineReplacer.WriteString(w, value)
	w.WriteString("\r\n")
}
