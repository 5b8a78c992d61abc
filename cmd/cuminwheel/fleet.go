package main

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/link"
	"github.com/cuminwheel/cuminwheel/process/node"
	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/go-faster/errors"
)

// fleet asks nodes over their control addresses.
type fleet struct {
	pool *link.Pool
}

// callTimeout bounds one call to a node.
const callTimeout = 3 * time.Second

func newFleet() (fleet, func()) {
	pool, closePool := link.NewPool()
	return fleet{pool: pool}, closePool
}

// status returns all that a node knows.
func (f fleet) status(ctx context.Context, address string) (node.Status, error) {
	var s node.Status
	reply, err := f.ask(ctx, address, false)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(reply.Data, &s); err != nil {
		return s, errors.Wrap(err, "read status")
	}
	return s, nil
}

// version returns the configuration version and the log offset of a node.
func (f fleet) version(ctx context.Context, address string) (node.StatusReply, error) {
	return f.ask(ctx, address, true)
}

func (f fleet) ask(ctx context.Context, address string, brief bool) (node.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply node.StatusReply
	err := f.pool.Call(ctx, address, "Node.Status", node.StatusArgs{Brief: brief}, &reply)
	if err != nil {
		return reply, errors.Wrapf(err, "ask node %s", address)
	}
	return reply, nil
}

// decision returns what a node's fold made of a log record.
func (f fleet) decision(ctx context.Context, address, id string) (ledger.Decision, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply node.DecisionReply
	err := f.pool.Call(ctx, address, "Node.Decision", node.DecisionArgs{ID: id}, &reply)
	if err != nil {
		return reply.Decision, false, errors.Wrapf(err, "ask node %s", address)
	}
	return reply.Decision, reply.Known, nil
}

// living returns the control addresses of the nodes that have not gone.
func living(s node.Status) []string {
	var list []string
	for _, n := range s.Nodes {
		if n.Status != roster.StatusGone {
			list = append(list, n.ID)
		}
	}
	return list
}
