package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

const (
	// maxIdleIdempotent and maxIdleNonIdempotent limit how long a reused
	// connection to the target may have been idle. The limit is lower for
	// requests that must not run twice, so that they are not lost on a connection
	// that the target has already dropped.
	maxIdleIdempotent    = 30 * time.Second
	maxIdleNonIdempotent = 2 * time.Second
	// responseGrace is how long after the deadline the gate still waits for a
	// response: a target stops working at the deadline and then reports that.
	responseGrace = 30 * time.Millisecond
	// relayMargin is kept between the target's deadline and the shutdown of a
	// leaving node: responseGrace, and as much again for passing the response to the
	// entry.
	relayMargin = 60 * time.Millisecond
)

// Serve handles a request from an entry and returns the response for it.
func (g *Gate) Serve(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
	req, err := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
	var resp *http1.Response
	var retryCharged bool
	var problem *outcome.Problem
	switch {
	case err != nil:
		problem = outcome.Refused(outcome.CodeBadRequest, "%v", err)
	case req.IsStateQuery:
		g.reportProber(req.Node)
		resp = &http1.Response{Status: http.StatusNoContent, Header: http.Header{}}
		hopheader.Response{State: g.State()}.Inject(resp.Header, time.Now())
		return resp
	default:
		resp, retryCharged, problem = g.serve(ctx, in, req)
		problem = g.withShedRetry(problem)
	}
	now := time.Now()
	if problem != nil {
		// The hop header carries the whole problem; the entry writes the response
		// that its caller gets.
		resp = &http1.Response{Status: problem.Status, Header: http.Header{}}
		g.options.Meter.RecordGateRequest(problem.Code)
	} else {
		g.options.Meter.RecordGateRequest("")
	}
	hopheader.Response{State: g.State(), Problem: problem, RetryCharged: retryCharged}.Inject(resp.Header, now)
	return resp
}

// serve admits a request, reads its body and forwards it. retryCharged reports
// whether the retry of a failed request has been charged to this gate.
func (g *Gate) serve(ctx context.Context, in *http1.IncomingRequest, req hopheader.Request) (response *http1.Response, retryCharged bool, p *outcome.Problem) {
	id := g.options.Headers.ParseCallerHeaders(in.Header, in.ReceivedAt).ID
	problem := g.checkBody(in.UnreadLength)
	var gr grant
	if problem == nil {
		gr, problem = g.admit(ctx, req)
	}
	if problem != nil {
		g.options.Logger.Info("request refused", "request", id, "reason", problem.Code, "customer", req.Customer, "priority", req.Priority,
			"repeat", req.IsRetry, "may_fail", req.CanRetry, "wait_ms", time.Until(req.QueueDeadline).Milliseconds(), "left_ms", time.Until(req.Deadline).Milliseconds())
		return nil, false, problem
	}
	finalResult := resultInconclusive
	defer func() { g.release(gr, finalResult) }()
	// Other bodies may have arrived while the request was queued.
	if p := g.reserveBody(in.UnreadLength); p != nil {
		return nil, false, p
	}
	// The connection may have fallen silent since the grant. Past its deadline the request
	// would not be run anyway.
	bodyCtx, cancel := context.WithDeadline(ctx, req.Deadline)
	body, err := in.ReadBody(bodyCtx)
	cancel()
	g.unreserveBody(in.UnreadLength)
	if err != nil {
		return nil, false, outcome.Refused(outcome.CodeCallerDisconnected, "the entry did not go on: %v", err)
	}
	request := fingerprint.Of(req.Customer, in.Method, in.Host, in.URI, body)
	endTrial, until := g.checkQuarantine(request, time.Now())
	defer endTrial()
	if !until.IsZero() {
		g.options.Logger.Warn("request refused", "request", id, "reason", outcome.CodeQuarantined, "fingerprint", request)
		return nil, false, outcome.Refused(outcome.CodeQuarantined, "the request has crashed several targets").WithRetryAt(until)
	}
	g.watchForStall(gr, req, time.Now(), func(charged bool) { g.reportStall(in, gr, id, charged) })
	resp, res, problem := g.forward(ctx, in, req, gr, id, request, body)
	finalResult = res
	if res == resultSuccess {
		g.options.Quarantine.RecordSuccess(request, time.Now())
	}
	if res.causesRetry(req) && !g.hasStalled(gr) {
		retryCharged = g.chargeRetry(req)
	}
	g.logResult(id, gr, resp, res, retryCharged, problem)
	return resp, retryCharged, problem
}

// checkQuarantine returns until when a request must not be run, or zero if it may run. A
// quarantined request may run as a trial; endTrial must be called after its result has
// been recorded.
func (g *Gate) checkQuarantine(request fingerprint.Fingerprint, now time.Time) (endTrial func(), until time.Time) {
	until = g.options.Quarantine.QuarantinedUntil(request, now)
	if until.IsZero() || g.options.IsTrialGate == nil {
		return func() {}, until
	}
	end, ok := g.options.Quarantine.BeginTrial(request, now, func(round uint64) bool { return g.options.IsTrialGate(request, round) })
	if !ok {
		return func() {}, until
	}
	g.options.Logger.Warn("trial of a quarantined request", "fingerprint", request)
	return end, time.Time{}
}

// causesRetry reports whether the entry will send the request to another
// target after this result.
func (r result) causesRetry(req hopheader.Request) bool {
	switch r {
	case resultShed:
		return true
	case resultError, resultLost:
		return req.CanRetry
	}
	return false
}

// logResult logs the end of a request that was sent to the target.
func (g *Gate) logResult(id string, gr grant, resp *http1.Response, res result, retryCharged bool, p *outcome.Problem) {
	ms := time.Since(gr.startedAt).Milliseconds()
	if p != nil {
		g.options.Logger.Warn("request to target failed", "request", id, "instance", gr.instance, "outcome", p.Outcome,
			"code", p.Code, "repeat", gr.isRetry, "reason", p.Detail, "learned", res, "trial", gr.isTrial, "pays_repeat", retryCharged, "took_ms", ms)
		return
	}
	g.options.Logger.Info("target responded", "request", id, "instance", gr.instance, "status", resp.Status,
		"learned", res, "trial", gr.isTrial, "pays_repeat", retryCharged, "took_ms", ms)
}

// forward sends the request to the target and returns the complete response.
func (g *Gate) forward(ctx context.Context, in *http1.IncomingRequest, req hopheader.Request, gr grant, id string, request fingerprint.Fingerprint, body []byte) (*http1.Response, result, *outcome.Problem) {
	deadline := req.Deadline
	if shutdownAt := g.options.ShutdownDeadline(); !shutdownAt.IsZero() && shutdownAt.Add(-relayMargin).Before(deadline) {
		// Work that the target finishes only after this node has shut down would
		// be cut off.
		deadline = shutdownAt.Add(-relayMargin)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	maxIdle := maxIdleNonIdempotent
	switch {
	case id == "":
		// A late response to an earlier request without an ID could not be told from the
		// response to this one.
		maxIdle = 0
	case req.Idempotent:
		maxIdle = maxIdleIdempotent
	}
	conn, err := g.targetConns.GetFor(ctx, maxIdle, id)
	if err != nil {
		if http1.IsRefused(err) {
			g.confirmCrash()
		}
		return nil, resultLost, outcome.Refused(outcome.CodeUnreachable, "connect to the target: %v", err)
	}
	defer g.targetConns.Put(conn)
	h := http1.CopyEndToEnd(in.Header)
	g.options.Headers.SetTargetHeaders(h, metadata.TargetRequest{
		ID: id, Deadline: deadline, Instance: gr.instance, CallerService: req.CallerService, Customer: req.Customer,
	}, time.Now())
	g.recordSent(gr)
	resp, err := conn.Do(ctx, http1.Request{
		Method: in.Method, URI: in.URI, Host: in.Host, Header: h, Body: body, ID: id, Deadline: req.Deadline,
		// On a reused connection the response may be a late one to an earlier
		// request.
		RequireID: conn.Reused,
	}, g.options.Headers.ResponseRequestID, nil)
	if err != nil {
		res, p := classifyError(ctx, err)
		if ctx.Err() == nil && mayHaveCrashed(p.Code) {
			g.suspectCrash(gr, request, http1.IsClosedByPeer(err))
		}
		return nil, res, p
	}
	if resp.SkippedLate > 0 {
		g.options.Logger.Warn("late responses to earlier requests skipped", "request", id, "instance", gr.instance, "responses", resp.SkippedLate)
	}
	signals := g.options.Headers.ParseTargetHeaders(resp.Status, resp.Header)
	if resp.Status != http.StatusMisdirectedRequest {
		g.recordNotices(gr, id, signals)
	}
	return g.classifyResponse(resp, signals)
}

// mayHaveCrashed reports whether a target that failed a request with the code may have ended.
func mayHaveCrashed(c outcome.Code) bool {
	switch c {
	case outcome.CodeTargetFailed, outcome.CodeResponseTruncated, outcome.CodeResponseMalformed:
		return true
	}
	return false
}

// classifyError returns the result and the problem of a request that got no
// complete response.
func classifyError(ctx context.Context, err error) (result, *outcome.Problem) {
	switch {
	case errors.Is(err, http1.ErrNotSent) && ctx.Err() == nil:
		return resultLost, outcome.Refused(outcome.CodeUnreachable, "%v", err)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return resultLost, outcome.Failed(outcome.CodeTimeout, "the target did not answer in time")
	case ctx.Err() != nil:
		return resultInconclusive, outcome.Failed(outcome.CodeCallerDisconnected, "the caller left")
	case errors.Is(err, http1.ErrMalformed):
		return resultLost, outcome.Failed(outcome.CodeResponseMalformed, "%v", err)
	case errors.Is(err, http1.ErrMismatchedResponse):
		return resultLost, outcome.Failed(outcome.CodeResponseMismatched, "%v", err)
	case errors.Is(err, http1.ErrBodyMemory):
		return resultInconclusive, outcome.Failed(outcome.CodeNoMemory, "%v", err)
	case errors.Is(err, http1.ErrTruncated):
		return resultLost, outcome.Failed(outcome.CodeResponseTruncated, "%v", err)
	}
	return resultLost, outcome.Failed(outcome.CodeTargetFailed, "%v", err)
}

// classifyResponse returns the response to pass on, if any, what it shows about the
// target, and the problem that replaces it otherwise.
func (g *Gate) classifyResponse(resp *http1.Response, signals metadata.TargetResponse) (*http1.Response, result, *outcome.Problem) {
	hopheader.Strip(resp.Header)
	resp.Header = http1.CopyEndToEnd(resp.Header)
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		g.resetTarget()
		return nil, resultInconclusive, outcome.Refused(outcome.CodeMisdirected, "another target has the address")
	case signals.NotRun && resp.Status < http.StatusBadRequest:
		return nil, resultError, outcome.Failed(outcome.CodeRefusalUnconfirmed, "status %d says that the target ran it, and a field that it did not", resp.Status)
	case signals.NotRun && resp.Status == http.StatusBadRequest:
		return resp, resultInconclusive, nil
	case signals.NotRun:
		// A shed request is not lost, so shedding does not make the target
		// suspected.
		return nil, resultShed, outcome.Refused(outcome.CodeShed, "the target did not run it: status %d", resp.Status)
	case outcome.PromisesNotRun(resp.Status):
		return nil, resultError, outcome.Failed(outcome.CodeRefusalUnconfirmed, "status %d of the target, which does not say that it did not run it", resp.Status)
	case resp.Status < http.StatusMultipleChoices && !signals.Signed:
		return nil, resultLost, outcome.Failed(outcome.CodeResponseUnsigned, "the answer bears no proof of the target")
	case resp.Status >= http.StatusInternalServerError:
		return resp, resultError, nil
	}
	return resp, resultSuccess, nil
}

// resetTarget makes the target unknown, so that the gate refuses requests until
// an incarnation announces itself. Slots in use stay counted.
func (g *Gate) resetTarget() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.target = g.target.renewed(g.target.restrictions.identity)
	g.options.Logger.Warn("response came from another target at the address", "outcome", "closed until a target announces itself")
}

// recordSent counts a request that is about to be sent to the target.
func (g *Gate) recordSent(gr grant) {
	g.options.Meter.RecordTargetRequest()
	g.mu.Lock()
	defer g.mu.Unlock()
	gr.run.isSent = true
	g.target.sent++
}
