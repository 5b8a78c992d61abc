package peerrpc

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/link"
	"github.com/matryer/is"
)

// Echo is a receiver that replies with its argument.
type Echo struct{}

func (Echo) Reply(request string, reply *string) error {
	*reply = request
	return nil
}

// startPeer serves Echo behind a link, and returns the link with a pool.
func startPeer(t *testing.T) (*Pool, *link.Link) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closeServer, err := Serve(l, map[string]any{"Echo": Echo{}})
	is.NoErr(err)
	t.Cleanup(closeServer)
	k, closeLink, err := link.New("127.0.0.1:0", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(closeLink)
	pool, closePool := NewPool()
	t.Cleanup(closePool)
	return pool, k
}

// A connection can fall silent without an error. A call on it must still get its reply in
// time, over a new connection, or word of a new configuration is lost with each such call.
func TestCallOnSilentConnectionIsRepeated(t *testing.T) {
	is := is.New(t)
	pool, k := startPeer(t)
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var reply string
		return pool.Call(ctx, k.Address(), "Echo.Reply", "hello", &reply)
	}
	is.NoErr(call())
	k.Silence()
	is.NoErr(call())
	is.NoErr(call())
}

// Guards against a long reply that is given up while it arrives, over a link that is slow:
// what has crossed it would have to cross it again.
func TestReplyThatStillArrivesIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	pool, k := startPeer(t)
	call := func(request string) string {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var reply string
		is.NoErr(pool.Call(ctx, k.Address(), "Echo.Reply", request, &reply))
		return reply
	}
	k.SetBandwidth(link.NewBandwidth(500e3))
	long := strings.Repeat("x", 800e3)
	startedAt := time.Now()
	is.Equal(len(call(long)), len(long)) // over a new connection
	is.Equal(len(call(long)), len(long)) // over the same one
	is.True(time.Since(startedAt) > 2*silenceTimeout+newSilenceTimeout)
}
