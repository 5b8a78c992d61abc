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
	// firstCheck and lastCheck bound the time between two questions to a gate
	// that could not be reached. Most interruptions last seconds.
	firstCheck = 250 * time.Millisecond
	lastCheck  = 2 * time.Second
	// questionTimeout bounds a question, beyond what dialling may take. A gate
	// answers within 60 ms, or 100 ms later on a VM that has used its processor
	// time.
	questionTimeout = 500 * time.Millisecond
)

// awaitReturn asks a gate that could not be reached for its state until it
// answers, so that no request has to find out. It ends with the candidate.
func (e *Entry) awaitReturn(c *candidate) {
	began := time.Now()
	for wait := firstCheck; ; wait = min(lastCheck, 2*wait) {
		select {
		case <-c.ctx.Done():
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(wait))):
		}
		if c.endsWait() {
			break
		}
		if state, err := e.question(c); err == nil {
			c.heard(state, time.Now())
		}
		if c.endsWait() {
			break
		}
	}
	e.options.Logger.Info("gate reached again", "gate", c.address, "tier", c.tier, "after_ms", time.Since(began).Milliseconds())
}

// question asks a gate for its state.
func (e *Entry) question(c *candidate) (hopheader.GateState, error) {
	ctx, cancel := context.WithTimeout(c.ctx, questionTimeout)
	defer cancel()
	conn, err := c.pool.Get(ctx, freshHop)
	if err != nil {
		return hopheader.GateState{}, err
	}
	defer c.pool.Put(conn)
	now := time.Now()
	h := http.Header{}
	hopheader.Request{IsStateQuery: true, Service: e.options.Service, SoftDeadline: now, Deadline: now.Add(questionTimeout), QueueDeadline: now}.Inject(h, now)
	a, err := conn.Do(ctx, http1.Request{Method: http.MethodGet, URI: "/", Host: c.address, Header: h}, e.options.Headers.AnswerID, nil)
	if err != nil {
		return hopheader.GateState{}, err
	}
	reply, err := hopheader.ExtractResponse(a.Header, time.Now())
	if err != nil {
		return hopheader.GateState{}, errors.Wrap(err, "question")
	}
	return reply.State, nil
}
