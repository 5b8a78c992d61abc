// Package fingerprint identifies requests that are the same, whichever node they come
// to and whatever ID their attempts have.
package fingerprint

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of what makes two requests the same.
type Fingerprint uint64

// customerMark precedes the name of a customer. It cannot begin a method, so that a
// fingerprint with a customer never hashes the same input as one without.
const customerMark = "\xff"

// Of returns the fingerprint of a request: the name of its customer, if it has one, its
// method, host, path with query, and body.
func Of(customer, method, host, uri string, body []byte) Fingerprint {
	d := xxhash.New()
	if customer != "" {
		d.WriteString(customerMark + customer)
		d.Write([]byte{0})
	}
	for _, s := range []string{method, host, uri} {
		d.WriteString(s)
		d.Write([]byte{0})
	}
	d.Write(body)
	return Fingerprint(d.Sum64())
}

func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
