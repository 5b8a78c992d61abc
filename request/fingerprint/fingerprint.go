// Package fingerprint identifies requests that are the same, whichever node they come
// to and whatever ID their attempts have.
package fingerprint

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of what makes two requests the same.
type Fingerprint uint64

// Of returns the fingerprint of a request: its method, host, path with query, and body.
// Callers have no identity of their own on the wire.
func Of(method, host, uri string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, s := range []string{method, host, uri} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	d.Write(body)
	return Fingerprint(d.Sum64())
}

func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
