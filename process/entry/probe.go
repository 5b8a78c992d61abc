package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/go-faster/errors"
)

const (
	// minProbeInterval and maxProbeInterval bound the exponential backoff
	// between probes of an unreachable gate. Most interruptions last seconds.
	minProbeInterval = 250 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// probeTimeout bounds a probe. It exceeds the dial timeouts. A gate responds
	// within 60 ms, or 100 ms later if its VM has exhausted its CPU quota.
	probeTimeout = 500 * time.Millisecond
)

// probeUntilReachable probes an unreachable gate until it responds, so that no
// request has to test whether the gate is back. It returns early when the
// candidate is closed.
func (e *Entry) probeUntilReachable(c *candidate) {
	startedAt := time.Now()
	for interval := minProbeInterval; ; interval = min(maxProbeInterval, 2*interval) {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(interval))):
		}
		if c.stopProbingIfReachable() {
			break
		}
		state, err := e.probe(c)
		e.recordContact(c, err == nil)
		if err == nil {
			c.updateState(state, time.Now())
		}
		if c.stopProbingIfReachable() {
			break
		}
	}
	e.options.Logger.Info("gate reachable again", "gate", c.address, "tier", c.tier, "after_ms", time.Since(startedAt).Milliseconds())
}

// probe queries a gate for its state without sending it a request to run.
func (e *Entry) probe(c *candidate) (hopheader.GateState, error) {
	ctx, cancel := context.WithTimeout(c.ctx, probeTimeout)
	defer cancel()
	conn, err := c.pool.Get(ctx, maxConnectionIdle)
	if err != nil {
		return hopheader.GateState{}, err
	}
	defer c.pool.Put(conn)
	now := time.Now()
	h := http.Header{}
	hopheader.Request{IsStateQuery: true, Node: e.options.Node, Service: e.options.Service, SoftDeadline: now, Deadline: now.Add(probeTimeout), QueueDeadline: now}.Inject(h, now)
	resp, err := conn.Do(ctx, http1.Request{Method: http.MethodGet, URI: "/", Host: c.address, Header: h}, e.options.Headers.ResponseRequestID, nil)
	if err != nil {
		return hopheader.GateState{}, err
	}
	meta, err := hopheader.ExtractResponse(resp.Header, time.Now())
	if err != nil {
		return hopheader.GateState{}, errors.Wrap(err, "question")
	}
	return meta.State, nil
}
