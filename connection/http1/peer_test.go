package http1

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/rawpeer"
)

// servePeer returns the address of a raw peer that runs until the test ends.
func servePeer(t *testing.T, respond func(*net.TCPConn)) (address string) {
	t.Helper()
	address, closePeer, err := rawpeer.Listen(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closePeer)
	return address
}

// exchange sends a request on a new connection, with a budget for the response's body.
func exchange(ctx context.Context, address string, b *BodyBudget, r Request) (*Response, error) {
	pool, closePool := NewPool(address, time.Second)
	defer closePool()
	pool.SetBodyBudget(b)
	conn, err := pool.Get(ctx, 0)
	if err != nil {
		return nil, err
	}
	defer pool.Put(conn)
	return conn.Do(ctx, r, idOf, nil)
}
