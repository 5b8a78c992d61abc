package http1

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Hop-by-hop fields, and those that the Connection field names, are not forwarded.
func TestCopyEndToEnd(t *testing.T) {
	is := is.New(t)
	h := http.Header{
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "X-Kept": {"a", "b"}, "Upgrade": {"h2c"},
	}
	is.Equal(CopyEndToEnd(h), http.Header{"X-Kept": {"a", "b"}})
}
