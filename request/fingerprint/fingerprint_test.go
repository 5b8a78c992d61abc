package fingerprint

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
)

// Requests that differ in any part must have different fingerprints. If customers shared
// one, a request of one that crashes targets would quarantine those of the others.
func TestFingerprintsDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[Fingerprint]bool{}
	for _, f := range []Fingerprint{
		Of("", "GET", "h", "/a", nil), Of("a", "GET", "h", "/a", nil), Of("b", "GET", "h", "/a", nil), Of("", "POST", "h", "/a", nil),
		Of("", "GET", "i", "/a", nil), Of("", "GET", "h", "/b", nil), Of("", "GET", "h", "/a", []byte("x")), Of("GET", "h", "/a", "", nil),
	} {
		is.True(!seen[f])
		seen[f] = true
	}
	is.Equal(Of("a", "GET", "h", "/a", []byte("x")), Of("a", "GET", "h", "/a", []byte("x")))
}

// Without a customer, the fingerprint must be that of earlier versions of this program:
// nodes of both exchange evidence while the fleet is updated.
func TestFingerprintWithoutCustomer(t *testing.T) {
	is := is.New(t)
	is.Equal(Of("", "GET", "h", "/a", []byte("x")), Fingerprint(xxhash.Sum64String("GET\x00h\x00/a\x00x")))
}
