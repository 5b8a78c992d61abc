package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

const (
	// freshForAll and freshForOnce bound how long a connection to the target
	// may have been idle: a request that must not run twice is not lost to a
	// connection that the target has forgotten.
	freshForAll  = 30 * time.Second
	freshForOnce = 2 * time.Second
	// answerSlack is how long after the deadline an answer is waited for; a
	// target ends its work at the deadline and says so.
	answerSlack = 30 * time.Millisecond
	// relayTime is kept between a target's last word and the end of a leaving
	// node: answerSlack, and as much for the way to the entry.
	relayTime = 60 * time.Millisecond
)

// Serve answers a request that an entry sent.
func (g *Gate) Serve(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
	ask, err := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
	var a *http1.Response
	var paysRepeat bool
	var problem *outcome.Problem
	switch {
	case err != nil:
		problem = outcome.Refused(outcome.CodeBadRequest, "%v", err)
	case ask.IsStateQuery:
		a = &http1.Response{Status: http.StatusNoContent, Header: http.Header{}}
		hopheader.Response{State: g.State()}.Inject(a.Header, time.Now())
		return a
	default:
		a, paysRepeat, problem = g.serve(ctx, in, ask)
	}
	now := time.Now()
	if problem != nil {
		// The reply says it all; the entry writes what its caller gets.
		a = &http1.Response{Status: problem.Status, Header: http.Header{}}
		g.options.Meter.CountGateRequest(problem.Code)
	} else {
		g.options.Meter.CountGateRequest("")
	}
	hopheader.Response{State: g.State(), Problem: problem, RetryCharged: paysRepeat}.Inject(a.Header, now)
	return a
}

func (g *Gate) serve(ctx context.Context, in *http1.IncomingRequest, ask hopheader.Request) (a *http1.Response, paysRepeat bool, p *outcome.Problem) {
	id := g.options.Headers.ParseCallerHeaders(in.Header, in.ReceivedAt).ID
	gr, problem := g.admit(ctx, ask)
	if problem != nil {
		g.options.Logger.Info("gate refused", "request", id, "reason", problem.Code, "priority", ask.Priority,
			"repeat", ask.IsRetry, "may_fail", ask.CanRetry, "wait_ms", time.Until(ask.QueueDeadline).Milliseconds(), "left_ms", time.Until(ask.Deadline).Milliseconds())
		return nil, false, problem
	}
	verdict := resultNone
	defer func() { g.end(gr, verdict) }()
	body, err := in.ReadBody(ctx)
	if err != nil {
		return nil, false, outcome.Refused(outcome.CodeCallerDisconnected, "the entry did not go on: %v", err)
	}
	answer, learned, problem := g.run(ctx, in, ask, gr, id, body)
	verdict = learned
	if learned.callsForRepeat(ask) {
		paysRepeat = g.payRepeat(ask)
	}
	g.logEnd(id, gr, answer, learned, paysRepeat, problem)
	return answer, paysRepeat, problem
}

// callsForRepeat reports whether the entry will send the request to another
// target after this result.
func (r result) callsForRepeat(a hopheader.Request) bool {
	switch r {
	case resultShed:
		return true
	case resultErred, resultLost:
		return a.CanRetry
	}
	return false
}

func (g *Gate) logEnd(id string, gr grant, a *http1.Response, learned result, paysRepeat bool, p *outcome.Problem) {
	ms := time.Since(gr.began).Milliseconds()
	if p != nil {
		g.options.Logger.Warn("target failed", "request", id, "instance", gr.instance, "outcome", p.Outcome,
			"code", p.Code, "reason", p.Detail, "learned", learned, "trial", gr.trial, "pays_repeat", paysRepeat, "took_ms", ms)
		return
	}
	g.options.Logger.Info("target answered", "request", id, "instance", gr.instance, "status", a.Status,
		"learned", learned, "trial", gr.trial, "pays_repeat", paysRepeat, "took_ms", ms)
}

// run sends the request to the target and returns the whole answer.
func (g *Gate) run(ctx context.Context, in *http1.IncomingRequest, ask hopheader.Request, gr grant, id string, body []byte) (*http1.Response, result, *outcome.Problem) {
	deadline := ask.Deadline
	if ends := g.options.ShutdownDeadline(); !ends.IsZero() && ends.Add(-relayTime).Before(deadline) {
		// What the target cannot end while this node lives would be broken off.
		deadline = ends.Add(-relayTime)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerSlack))
	defer cancel()
	freshness := freshForOnce
	if ask.Idempotent {
		freshness = freshForAll
	}
	conn, err := g.pool.Get(ctx, freshness)
	if err != nil {
		return nil, resultLost, outcome.Refused(outcome.CodeUnreachable, "connect to the target: %v", err)
	}
	defer g.pool.Put(conn)
	h := http1.CopyEndToEnd(in.Header)
	g.options.Headers.SetTargetHeaders(h, metadata.TargetRequest{
		ID: id, Deadline: deadline, Instance: gr.instance, CallerService: ask.CallerService,
	}, time.Now())
	a, err := conn.Do(ctx, http1.Request{
		Method: in.Method, URI: in.URI, Host: in.Host, Header: h, Body: body, ID: id,
	}, g.options.Headers.ResponseRequestID, nil)
	if err != nil {
		learned, p := failure(ctx, err)
		return nil, learned, p
	}
	return g.weigh(a)
}

// failure says what became of a request that got no whole answer.
func failure(ctx context.Context, err error) (result, *outcome.Problem) {
	switch {
	case errors.Is(err, http1.ErrNotSent) && ctx.Err() == nil:
		return resultLost, outcome.Refused(outcome.CodeUnreachable, "%v", err)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return resultLost, outcome.Failed(outcome.CodeTimeout, "the target did not answer in time")
	case ctx.Err() != nil:
		return resultNone, outcome.Failed(outcome.CodeCallerDisconnected, "the caller left")
	case errors.Is(err, http1.ErrMismatchedResponse):
		return resultLost, outcome.Failed(outcome.CodeResponseMismatched, "%v", err)
	case errors.Is(err, http1.ErrTruncated):
		return resultLost, outcome.Failed(outcome.CodeResponseTruncated, "%v", err)
	}
	return resultLost, outcome.Failed(outcome.CodeTargetFailed, "%v", err)
}

// weigh says what an answer means.
func (g *Gate) weigh(a *http1.Response) (*http1.Response, result, *outcome.Problem) {
	said := g.options.Headers.ParseTargetHeaders(a.Status, a.Header)
	hopheader.Strip(a.Header)
	a.Header = http1.CopyEndToEnd(a.Header)
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		g.forget()
		return nil, resultNone, outcome.Refused(outcome.CodeMisdirected, "another target has the address")
	case said.NotRun && a.Status == http.StatusBadRequest:
		return a, resultNone, nil
	case said.NotRun:
		// Shedding loses nothing, so that it is no reason to withhold work.
		return nil, resultShed, outcome.Refused(outcome.CodeShed, "the target did not run it: status %d", a.Status)
	case a.Status < http.StatusMultipleChoices && !said.Signed:
		return nil, resultLost, outcome.Failed(outcome.CodeResponseUnsigned, "the answer bears no proof of the target")
	case a.Status >= http.StatusInternalServerError:
		return a, resultErred, nil
	}
	return a, resultProved, nil
}

// forget closes the gate until the target announces its present start.
func (g *Gate) forget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	running := g.target.running
	g.target = newTarget()
	g.target.running = running
	g.options.Logger.Warn("another target has the address", "outcome", "closed until it announces itself")
}
