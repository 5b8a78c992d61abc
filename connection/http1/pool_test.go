package http1

import (
	"context"
	"net/http"
	"strconv"
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

// Guards against a request that is sent again over the connection that has carried it, where
// a second response to the first attempt would be taken for the response to the next one.
func TestConnectionIsNotReusedForTheSameRequest(t *testing.T) {
	is := is.New(t)
	l := listen(t, func(context.Context, *IncomingRequest) *Response {
		return &Response{Status: http.StatusOK, Header: http.Header{}}
	})
	pool, closePool := NewPool(l.Address(), time.Second)
	defer closePool()
	// send sends a request and reports whether it went over a connection that had carried
	// another one.
	send := func(id string) (reused bool) {
		conn, err := pool.GetFor(t.Context(), time.Minute, id)
		is.NoErr(err)
		defer pool.Put(conn)
		_, err = conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: id}, func(http.Header) string { return "" }, nil)
		is.NoErr(err)
		return conn.Reused
	}
	for _, step := range []struct {
		id     string
		reused bool
	}{
		{"a", false}, {"b", true}, {"a", false}, // two connections have carried a now
		{"a", false}, {"b", true}, {"", true}, {"", true},
	} {
		is.Equal(send(step.id), step.reused)
	}
}

// Guards against IDs that are forgotten too early or kept without bound.
func TestIDHistory(t *testing.T) {
	is := is.New(t)
	var h idHistory
	for i := range 3 * maxServedIDs {
		h.add(strconv.Itoa(i))
		is.True(h.contains(strconv.Itoa(max(0, i-maxServedIDs+1))))
		is.True(i < maxServedIDs || !h.contains(strconv.Itoa(i-maxServedIDs)))
		is.True(len(h.hashes) <= maxServedIDs)
	}
	is.True(!h.contains(""))
}
