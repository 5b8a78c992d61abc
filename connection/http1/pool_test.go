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
	now := time.Now()
	for i := range 3 * minServedIDs {
		h.add(strconv.Itoa(i), time.Time{}, now)
		is.True(h.contains(strconv.Itoa(max(0, i-minServedIDs+1))))
		is.True(i < minServedIDs || !h.contains(strconv.Itoa(i-minServedIDs)))
		is.True(len(h.served) <= minServedIDs)
	}
	is.True(!h.contains(""))
	// Requests that may be sent again are remembered, whatever their number, until then.
	for i := range 3 * minServedIDs {
		h.add("r"+strconv.Itoa(i), now.Add(time.Second), now)
	}
	is.True(h.contains("r0"))
	h.add("x", time.Time{}, now.Add(time.Second))
	is.True(!h.contains("r0"))
	is.True(len(h.served) <= minServedIDs)
	for i := range maxServedIDs {
		is.True(!h.isFull() || i >= maxServedIDs-minServedIDs)
		h.add("s"+strconv.Itoa(i), now.Add(time.Minute), now)
	}
	is.True(h.isFull())
}

// A target that responds within a millisecond serves more than 64 requests on a connection
// before one that it has refused is sent again. That one must not get the connection on
// which a late copy of the refusal may still arrive.
func TestConnectionIsNotReusedUntilTheDeadline(t *testing.T) {
	is := is.New(t)
	l := listen(t, func(context.Context, *IncomingRequest) *Response {
		return &Response{Status: http.StatusOK, Header: http.Header{}}
	})
	pool, closePool := NewPool(l.Address(), time.Second)
	defer closePool()
	send := func(id string, deadline time.Time) (reused bool) {
		conn, err := pool.GetFor(t.Context(), time.Minute, id)
		is.NoErr(err)
		defer pool.Put(conn)
		_, err = conn.Do(t.Context(), Request{Method: http.MethodGet, URI: "/", Host: "h", ID: id, Deadline: deadline}, func(http.Header) string { return "" }, nil)
		is.NoErr(err)
		return conn.Reused
	}
	deadline := time.Now().Add(time.Minute)
	is.True(!send("refused", deadline))
	for i := range 3 * minServedIDs {
		is.True(send(strconv.Itoa(i), deadline))
	}
	is.True(!send("refused", deadline))
}
