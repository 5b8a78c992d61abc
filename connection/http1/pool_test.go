package http1

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A pooled connection is not reused if it has been idle for too long or the peer
// has closed it.
func TestStaleConnectionsAreNotReused(t *testing.T) {
	is := is.New(t)
	l := listen(t, echoPath(nil))
	pool, closePool := NewPool(l.Address(), time.Second)
	defer closePool()
	sendRequest := func(maxIdle time.Duration) bool {
		conn, err := pool.Get(t.Context(), maxIdle)
		is.NoErr(err)
		reused := conn.Reused
		_, err = conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h"}, idOf, nil)
		is.NoErr(err)
		pool.Put(conn)
		return reused
	}
	is.True(!sendRequest(time.Minute))
	is.True(sendRequest(time.Minute))
	is.True(!sendRequest(0)) // idle for too long
	for l.InFlight() > 0 {   // the response arrives before the listener has counted it
		time.Sleep(time.Millisecond)
	}
	l.closeIdleConns()
	for range 100 { // until the close has arrived
		if !pool.idle[0].isIdle() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.True(!sendRequest(time.Minute)) // closed by the peer
}
