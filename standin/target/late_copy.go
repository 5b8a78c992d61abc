package target

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
)

// refusalKey is the context key of a connection's refusal.
type refusalKey struct{}

// connRefusal is the last refusal that a connection has carried. The requests of a
// connection are served one after the other.
type connRefusal struct {
	conn net.Conn
	// copy is written to the connection once more when the next request arrives.
	copy []byte
}

// ConnContext is for http.Server.ConnContext. Without it, refusals are not repeated.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, refusalKey{}, &connRefusal{conn: conn})
}

// repeatRefusal writes the last refusal of the request's connection once more, late, at the
// point where the response to the request is expected.
func repeatRefusal(r *http.Request) {
	if c, ok := r.Context().Value(refusalKey{}).(*connRefusal); ok && c.copy != nil {
		c.conn.Write(c.copy)
		c.copy = nil
	}
}

// noteRefusal remembers the refusal of a request, so that a share of the refusals is
// repeated.
func noteRefusal(r *http.Request, share float64) {
	c, ok := r.Context().Value(refusalKey{}).(*connRefusal)
	if !ok || rand.Float64() >= share {
		return
	}
	c.copy = fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n",
		http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable), headerRequestID, r.Header.Get(headerRequestID), headerNotExecuted)
}
