package node

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a node that cannot start again because a server of the one before it, which
// was stopped before it had begun to accept, still holds its address.
func TestStoppedServerReleasesItsAddress(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	for range 300 {
		closeServer, err := serveHTTP(address, http.NotFoundHandler())
		is.NoErr(err)
		closeServer()
	}
}
