package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/go-faster/errors"
)

// dialTimeouts bound connecting to a gate, by tier. A node is reached within
// 1 ms in its region and 60 ms across regions; the rest allows for a node that
// has used its processor time for a tenth of a second.
var dialTimeouts = [...]time.Duration{150 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond}

// silences bound how long a gate may say nothing beyond the wait that it was
// allowed, by tier.
var silences = [...]time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}

const (
	// finalSlack is how long after the deadline a gate's last word is awaited.
	finalSlack = 80 * time.Millisecond
	// maxAsks bounds how many gates one request asks.
	maxAsks = 24
	// maxBudgetRefusals bounds how many gates without a retry left are asked; the
	// others' shares are used up about as much.
	maxBudgetRefusals = 4
	// patienceShare of the time left is given to a target before an idempotent
	// request is sent to another one as well.
	patienceShare = 0.5
	// roundPause lies between two rounds through the passes, and roundShare of
	// the target latency is spent on rounds at most: a request that no gate
	// takes is turned away early enough for its caller to act.
	roundPause = 60 * time.Millisecond
	roundShare = 0.3
	// maxRetryAfter bounds when callers are told to come back.
	maxRetryAfter = 2 * time.Second
)

// dispatch asks gates until one gives the request's outcome.
func (e *Entry) dispatch(ctx context.Context, c *call) (*http1.Response, int, *outcome.Problem) {
	ctx, cancelTimeout := context.WithDeadline(ctx, c.deadline.Add(finalSlack))
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errAnswered)
	// Each ask has one result and may be slow once before.
	j := &journey{call: c, results: make(chan result, 2*maxAsks), lostAt: map[*candidate]bool{}, roomAt: map[*candidate]time.Time{}}
	e.rounds(ctx, j)
	// A target that is still at work may answer yet.
	for j.answer == nil && j.open > 0 {
		j.await()
	}
	if j.answer == nil {
		j.answer = j.errored
	}
	if j.answer != nil {
		return j.answer, j.asked, nil
	}
	return nil, j.asked, j.conclude()
}

// rounds goes through the passes until the request's outcome is certain or
// nothing is left to try.
func (e *Entry) rounds(ctx context.Context, j *journey) {
	c := j.call
	giveUp := c.in.ReceivedAt.Add(time.Duration(roundShare * float64(c.targetLatency())))
	for {
		for _, p := range passes {
			if e.pass(ctx, j, p) {
				return
			}
		}
		now := time.Now()
		isKnown := len(e.directory.candidates(c.service)) > 0 || now.Before(e.started.Add(startTime))
		if now.After(giveUp) || j.open > 0 || !isKnown {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(roundPause):
		}
	}
}

// pass asks the gates of one pass, one after the other. done means that the
// request's outcome is certain, or that no further gate may be asked.
func (e *Entry) pass(ctx context.Context, j *journey, p pass) (done bool) {
	candidates := e.directory.candidates(j.call.service)
	tried := map[int]bool{}
	for range p.asks {
		now := time.Now()
		if j.call.deadline.Sub(now) < p.needs {
			return false
		}
		if !now.Before(j.call.deadline) || ctx.Err() != nil || j.asked >= maxAsks {
			return true
		}
		views := make([]view, len(candidates))
		for i, c := range candidates {
			views[i] = c.view(now)
		}
		latest := now.Add(p.waitFor(j.call.targetLatency(), j.call.deadline.Sub(now)))
		isOut := func(i int) bool {
			return tried[i] || j.lostAt[candidates[i]] || j.roomAt[candidates[i]].After(latest)
		}
		i := p.choose(views, isOut, request{mayFail: j.mayFail(), once: !j.call.route.Idempotent}, rand.Float64)
		if i < 0 {
			return false
		}
		tried[i] = true
		j.asked++
		j.open++
		go e.ask(ctx, *j, candidates[i], p, views[i])
		if j.usesPaid() {
			j.paid--
		}
		if j.await() {
			return true
		}
	}
	return false
}

// ask sends the request to one gate and reports the result. j is a copy.
func (e *Entry) ask(ctx context.Context, j journey, to *candidate, p pass, v view) {
	now := time.Now()
	c := j.call
	ask := hopheader.Request{
		Service: c.service, CallerService: e.options.Service, Idempotent: c.route.Idempotent,
		RouteHash: uint32(xxhash.Sum64String(c.route.Name)),
		Priority:  c.route.Priority, IsRetry: j.isRepeat(), RetryCharged: j.usesPaid(),
		SoftDeadline: c.in.ReceivedAt.Add(c.targetLatency()), Deadline: c.deadline, QueueDeadline: now.Add(p.waitFor(c.targetLatency(), c.deadline.Sub(now))),
	}
	ask.CanRetry = c.route.Idempotent && j.sent+j.open < c.route.MaxAttempts
	to.began()
	a, paysRepeat, problem := e.exchange(ctx, c, to, ask, func() { j.results <- result{slow: true} })
	to.ended()
	code := outcome.Code("answered")
	if problem != nil {
		code = problem.Code
	}
	e.options.Meter.RecordGateAttempt(to.tier.String(), code)
	e.options.Logger.Info("asked a gate", "request", c.id, "service", c.service, "gate", to.address,
		"tier", to.tier, "load", v.load, "suspect", v.suspect, "belief_age_ms", min(v.heardAgo, time.Hour).Milliseconds(),
		"ask", j.asked, "repeat", ask.IsRetry, "paid", ask.RetryCharged, "may_fail", ask.CanRetry, "outcome", code,
		"took_ms", time.Since(now).Milliseconds())
	j.results <- result{from: to, answer: a, problem: problem, paid: ask.RetryCharged, paysRepeat: paysRepeat}
}

// exchange sends the request once the gate has granted it a slot. slow is called
// if the target takes long over a request that may be sent to another as well.
func (e *Entry) exchange(ctx context.Context, c *call, to *candidate, ask hopheader.Request, slow func()) (a *http1.Response, paysRepeat bool, p *outcome.Problem) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	conn, err := to.pool.Get(ctx, freshHop)
	if err != nil {
		return nil, false, e.unreachable(to, err)
	}
	defer to.pool.Put(conn)
	now := time.Now()
	silence := time.AfterFunc(ask.QueueDeadline.Sub(now)+silences[to.tier], func() { cancel(errSilent) })
	defer silence.Stop()
	var patience *time.Timer
	startPatience := func() {
		silence.Stop()
		if ask.CanRetry {
			patience = time.AfterFunc(time.Duration(patienceShare*float64(time.Until(c.deadline))), slow)
		}
	}
	awaitsGrant := needsGrant(c.route.Idempotent, to.tier)
	granted := !awaitsGrant
	if granted {
		startPatience()
	}
	h := maps.Clone(c.header)
	ask.Inject(h, now)
	a, err = conn.Do(ctx, http1.Request{
		Method: c.in.Method, URI: c.in.URI, Host: c.in.Host, Header: h, Body: c.body, ID: c.id, ExpectContinue: awaitsGrant,
	}, e.options.Headers.AnswerID, func() {
		granted = true
		startPatience()
	})
	if patience != nil {
		patience.Stop()
	}
	if err != nil {
		return nil, false, e.failure(ctx, to, granted, err)
	}
	reply, err := hopheader.ExtractResponse(a.Header, time.Now())
	if err != nil {
		return nil, false, outcome.Failed(outcome.CodeGateConnectionLost, "%v", err)
	}
	to.heard(reply.State, time.Now())
	if reply.Problem != nil {
		return nil, reply.RetryCharged, reply.Problem
	}
	return a, reply.RetryCharged, nil
}

// needsGrant reports whether a request's end is held back until the gate has a
// slot for it. An idempotent request may be in doubt at a gate, and a grant
// between regions costs 60 ms, where calls of targets have 400 ms.
func needsGrant(idempotent bool, t tier) bool { return !idempotent || t != tierRemote }

// freshHop bounds how long a connection to a gate may have been idle.
const freshHop = 8 * time.Second

// unreachable records that nothing reached the gate.
func (e *Entry) unreachable(to *candidate, err error) *outcome.Problem {
	isNews, startsWait := to.failed()
	if isNews {
		e.options.Logger.Warn("gate lost", "gate", to.address, "tier", to.tier, "reason", err)
	}
	if startsWait {
		go e.awaitReturn(to)
	}
	return outcome.Refused(outcome.CodeUnreachable, "the gate cannot be reached")
}

// failure says what became of a request whose gate gave no whole answer.
func (e *Entry) failure(ctx context.Context, to *candidate, granted bool, err error) *outcome.Problem {
	cause := context.Cause(ctx)
	granted = granted && !errors.Is(err, http1.ErrNotSent)
	switch {
	case errors.Is(cause, http1.ErrCallerDisconnected):
		if granted {
			return outcome.Failed(outcome.CodeCallerDisconnected, "the caller left")
		}
		return outcome.Refused(outcome.CodeCallerDisconnected, "the caller left")
	case errors.Is(cause, http1.ErrShutdown) && granted:
		return outcome.Failed(outcome.CodeTimeout, "%v", http1.ErrShutdown)
	case errors.Is(cause, http1.ErrShutdown):
		return outcome.Refused(outcome.CodeDraining, "%v", http1.ErrShutdown)
	case errors.Is(cause, errAnswered):
		// This says nothing about the gate, and nobody reads it.
		return outcome.Failed(outcome.CodeCallerDisconnected, "%v", errAnswered)
	case errors.Is(cause, context.DeadlineExceeded) && granted:
		return outcome.Failed(outcome.CodeTimeout, "the deadline has passed")
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.Refused(outcome.CodeDeadlineExceeded, "the deadline has passed before a slot was free")
	}
	to.pool.CloseIdle()
	p := e.unreachable(to, err)
	if granted {
		return outcome.Failed(outcome.CodeGateConnectionLost, "the gate's connection ended: %v", err)
	}
	return p
}
