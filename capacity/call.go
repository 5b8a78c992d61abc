package capacity

import (
	"context"
	"net"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/link"
	"github.com/cuminwheel/cuminwheel/process/roster"
)

// measureCall is the time of a call between nodes on loopback, both sides
// together, while a roster of the given size stands behind it.
func measureCall(nodes int) float64 {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r := rosterOf(nodes)
	pool, closePool := link.NewPool()
	defer closePool()
	stop, err := link.Serve(listener, map[string]any{"Roster": roster.NewService(r, pool)})
	if err != nil {
		panic(err)
	}
	defer stop()
	address := listener.Addr().String()
	return nanos(func(int) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var reply roster.ExchangeReply
		if err := pool.Call(ctx, address, "Roster.Exchange", roster.ExchangeArgs{}, &reply); err != nil {
			panic(err)
		}
	})
}
