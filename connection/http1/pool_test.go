package http1

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A kept connection is not used again when it has been idle for too long or the
// peer has closed it.
func TestStaleConnectionsAreDropped(t *testing.T) {
	is := is.New(t)
	l := listen(t, echoPath(nil))
	pool, closePool := NewPool(l.Address(), time.Second)
	defer closePool()
	use := func(freshness time.Duration) bool {
		conn, err := pool.Get(t.Context(), freshness)
		is.NoErr(err)
		reused := conn.Reused
		_, err = conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h"}, idOf, nil)
		is.NoErr(err)
		pool.Put(conn)
		return reused
	}
	is.True(!use(time.Minute))
	is.True(use(time.Minute))
	is.True(!use(0))       // too long idle
	for l.InFlight() > 0 { // the answer is here before the listener has counted it
		time.Sleep(time.Millisecond)
	}
	l.closeIdleConns()
	for range 100 { // until the close has arrived
		if !pool.idle[0].isIdle() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!use(time.Minute)) // closed by the peer
}
