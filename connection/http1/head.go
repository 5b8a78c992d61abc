package http1

import (
	"bufio"
	"bytes"
	"net/http"
	"regexp"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/net/http/httpguts"
)

// headReaders holds the buffers of heads that are being parsed.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}

// statusLine matches a status line of HTTP/1 as of RFC 9112 4, whose status RFC 9110 15 limits
// to 100 to 599. The reason and the blank before it may be missing.
var statusLine = regexp.MustCompile(`^HTTP/1\.[0-9] [1-5][0-9]{2}( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// initialHeadBytes is the initial size of the buffer of a head.
const initialHeadBytes = 512

// readHead reads and parses the head of a response to the method. It fails with
// ErrMalformed if the head violates RFC 9112 or RFC 9110; net/http alone accepts some that do.
// The body is left to readBody.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.input.remaining = maxResponseHeadBytes
	head, err := appendLine(make([]byte, 0, initialHeadBytes), c.reader)
	if err != nil {
		return nil, err
	}
	if line := trimLineEnd(head); !statusLine.Match(line) {
		return nil, errors.Wrapf(ErrMalformed, "no status line: %.80q", line)
	}
	head, err = c.appendFields(head)
	if err != nil {
		return nil, err
	}
	br := headReaders.Get().(*bufio.Reader)
	defer headReaders.Put(br)
	br.Reset(bytes.NewReader(head))
	hr, err := http.ReadResponse(br, &http.Request{Method: method})
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	if hr.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.Wrap(ErrMalformed, "the peer switches to a protocol that was not requested")
	}
	return hr, checkFraming(hr, head)
}

// checkFraming checks that the head frames the body in one way only, as RFC 9112 6.1 requires:
// a peer and a recipient that choose different ones do not agree on where the body ends.
func checkFraming(hr *http.Response, head []byte) error {
	switch {
	case !hasField(head, "Transfer-Encoding"):
		return nil
	case !hr.ProtoAtLeast(1, 1):
		return errors.Wrap(ErrMalformed, "Transfer-Encoding in HTTP/1.0")
	case hasField(head, "Content-Length"):
		return errors.Wrap(ErrMalformed, "both Transfer-Encoding and Content-Length")
	}
	return nil
}

// hasField reports whether the lines of a head contain a field. http.ReadResponse removes the
// fields that it does not use.
func hasField(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		n, _, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(n, []byte(name)) {
			return true
		}
	}
	return false
}

// appendFields reads the lines of a header or a trailer section up to the empty line that ends
// it, and appends them to b.
func (c *Conn) appendFields(b []byte) ([]byte, error) {
	for {
		start := len(b)
		var err error
		if b, err = appendLine(b, c.reader); err != nil {
			return nil, err
		}
		line := trimLineEnd(b[start:])
		if len(line) == 0 {
			return b, nil
		}
		if err := checkFieldLine(line); err != nil {
			return nil, err
		}
	}
}

// checkFieldLine checks the line of a field. A line that begins with white space continues
// the field before it, which RFC 9112 5.2 allows a gateway to reject: a field that frames the
// body could hide there.
func checkFieldLine(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return errors.Wrapf(ErrMalformed, "no field: %.80q", line)
	case !httpguts.ValidHeaderFieldName(string(name)):
		return errors.Wrapf(ErrMalformed, "no name of a field: %.80q", name)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return errors.Wrapf(ErrMalformed, "control character in the value of field %.80s", name)
	}
	return nil
}

// appendLine reads a line and appends it to b, its end included.
func appendLine(b []byte, r *bufio.Reader) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		b = append(b, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return b, err
		}
	}
}

// trimLineEnd returns the line without the CRLF, or the LF alone, that ends it.
func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
