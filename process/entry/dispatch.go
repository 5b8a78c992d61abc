package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/go-faster/errors"
)

// dialTimeouts bound connecting to a gate, by tier. Connecting takes 1 ms
// within a region and 60 ms between regions; the rest allows for a node whose
// VM is out of CPU quota for a tenth of a second.
var dialTimeouts = [...]time.Duration{150 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond}

// silenceTimeouts bound, by tier, how long a gate may neither grant nor refuse
// after the request's time in its queue is over.
var silenceTimeouts = [...]time.Duration{200 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}

const (
	// resultGrace is how long after the deadline the entry waits for results of
	// gates.
	resultGrace = 80 * time.Millisecond
	// maxGateAttempts bounds the gate attempts of one request.
	maxGateAttempts = 24
	// maxRetryBudgetRefusals bounds how many gates may refuse a retry for lack
	// of budget. Each gate has its own share of the retry budget. If the
	// shares of this many gates are spent, those of the others are likely to
	// be spent too.
	maxRetryBudgetRefusals = 4
	// hedgeDelayShare is the share of the time left that a target has for an
	// idempotent request before the request is hedged, that is, also sent to
	// another target.
	hedgeDelayShare = 0.5
	// roundInterval is the delay between two rounds through all passes.
	roundInterval = 60 * time.Millisecond
	// roundLatencyShare is the share of the target latency after which no new
	// round starts, so that a request that no gate grants is refused early
	// enough for its caller to act.
	roundLatencyShare = 0.3
	// maxRetryAfter bounds the Retry-After of refusals by gates.
	maxRetryAfter = 2 * time.Second
)

// dispatch tries gates until the request's outcome is certain. It returns the
// response, or the problem to report to the caller, and the number of gate
// attempts.
func (e *Entry) dispatch(ctx context.Context, c *call) (*http1.Response, int, *outcome.Problem) {
	ctx, cancelTimeout := context.WithDeadline(ctx, c.deadline.Add(resultGrace))
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errOtherGateResponded)
	// Each attempt sends one final result and at most one hedge notice, so that
	// sends never block.
	s := &dispatchState{call: c, results: make(chan result, 2*(maxGateAttempts+maxHeldAttempts)), excluded: map[*candidate]bool{}, capacityAt: map[*candidate]time.Time{}}
	if c.modes.IsShared() {
		if p := e.recallRefusal(s); p != nil {
			return nil, 0, p
		}
		defer e.endHold(s)
	}
	e.runRounds(ctx, s)
	// Attempts that are still in flight may yet bring a response.
	for s.response == nil && s.inFlight > 0 {
		s.awaitResult()
	}
	if s.response == nil {
		s.response = s.errorResponse
	}
	if s.response != nil {
		return s.response, s.gateAttempts, nil
	}
	p := s.finalProblem()
	if c.modes.IsShared() {
		p = e.promiseRetry(ctx, s, p)
	}
	return nil, s.gateAttempts, p
}

// runRounds repeats the passes until the request's outcome is certain, no gate
// may be tried any more or the time for rounds is over. Attempts may still be
// in flight when it returns.
func (e *Entry) runRounds(ctx context.Context, s *dispatchState) {
	c := s.call
	latestRound := c.in.ReceivedAt.Add(time.Duration(roundLatencyShare * float64(c.targetLatency())))
	for {
		for _, p := range s.passes() {
			if done := e.runPass(ctx, s, p); done && !s.continuesWithoutBudget() {
				return
			} else if done {
				break
			}
		}
		now := time.Now()
		candidates := e.directory.candidates(c.service)
		mayHaveGates := len(candidates) > 0 || now.Before(e.startedAt.Add(startupWait))
		if s.inFlight > 0 || !mayHaveGates {
			return
		}
		wait, ok := roundInterval, !now.After(latestRound)
		if s.usesRefusalPolicy() && len(candidates) > 0 {
			wait, ok = e.awaitNextRound(s, candidates, now)
		}
		if !ok {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// runPass tries the gates of one pass, one after the other. done means that the
// request's outcome is certain or that no further gate may be tried.
func (e *Entry) runPass(ctx context.Context, s *dispatchState, p selectionPass) (done bool) {
	candidates := e.directory.candidates(s.call.service)
	attempted := map[int]bool{}
	snapshots := make([]snapshot, len(candidates))
	for range p.maxGates {
		now := time.Now()
		if s.call.deadline.Sub(now) < p.minRemaining {
			return false
		}
		quarantinedUntil := e.options.Quarantine.QuarantinedUntil(s.call.fingerprint, now)
		round, isTrialDue := e.options.Quarantine.TrialDue(s.call.fingerprint, now)
		if refusal := s.refuseQuarantined(quarantinedUntil, isTrialDue); refusal != nil {
			s.lastProblem = refusal
			return true
		}
		if s.call.isKeyRemoved(e.options.Configurations.Configuration()) {
			s.lastProblem = refuseKeyRemoved()
			return true
		}
		if !now.Before(s.call.deadline) || ctx.Err() != nil || s.gateAttempts >= s.attemptLimit() {
			return true
		}
		for i, c := range candidates {
			snapshots[i] = c.snapshot(now)
		}
		if s.defersLastAttempt(candidates, snapshots, now) {
			return false
		}
		isExcluded := s.exclusions(p, candidates, snapshots, attempted, now)
		if !quarantinedUntil.IsZero() {
			isExcluded = isNotElected(candidates, snapshots, s.call.fingerprint, round)
		}
		traits := s.traits()
		i := -1
		if s.call.modes.IsEven() && quarantinedUntil.IsZero() {
			i = e.chooseEvenly(s.call, p, candidates, isExcluded, traits, now)
		} else {
			i = p.selectGate(snapshots, isExcluded, traits, rand.Float64)
		}
		if i < 0 {
			return false
		}
		attempted[i] = true
		s.gateAttempts++
		s.inFlight++
		go e.attempt(ctx, *s, candidates[i], p, snapshots[i])
		if s.usesChargedRetry() {
			s.chargedRetries--
		}
		if s.awaitResult() {
			return true
		}
	}
	return false
}

// attempt sends the request to one gate and delivers the result on s.results. s
// is a copy, taken when the attempt began.
func (e *Entry) attempt(ctx context.Context, s dispatchState, to *candidate, p selectionPass, snap snapshot) {
	defer func() {
		if r := recover(); r != nil {
			e.options.Logger.Error("gate attempt panicked", "request", s.call.id, "gate", to.address, "reason", r, "stack", string(debug.Stack()))
			s.results <- result{gate: to, problem: outcome.Failed(outcome.CodeGateConnectionLost, "the attempt ended unexpectedly")}
		}
	}()
	now := time.Now()
	c := s.call
	outgoing := hopheader.Request{
		Service: c.service, CallerService: e.options.Service, Idempotent: c.route.Idempotent,
		RouteHash: routeHash(c.route),
		Priority:  c.route.Priority, IsRetry: s.isRetry(), RetryCharged: s.usesChargedRetry(),
		Customer: c.customer.Name, CustomerPriority: c.customer.Priority,
		SoftDeadline: c.softDeadline(), Deadline: c.deadline, EntryLeaves: c.isCutByShutdown, QueueDeadline: now.Add(p.queueTimeout(c.targetLatency(), c.deadline.Sub(now))),
	}
	outgoing.Notice = to.notices.recall(to.address, now)
	outgoing.CanRetry = c.route.Idempotent && s.targetAttempts+s.inFlight < c.route.MaxAttempts
	to.startRequest(now)
	var hedge sync.Once
	resp, retryCharged, problem := e.sendToGate(ctx, c, to, outgoing, func(retryCharged bool) {
		hedge.Do(func() { s.results <- result{hedgeDue: true, retryCharged: retryCharged} })
	})
	to.finishRequest(now)
	if problem == nil && c.modes.IsShared() {
		e.refusals.recordServed(c, time.Since(now))
	}
	code := outcome.Code("answered")
	if problem != nil {
		code = problem.Code
	}
	e.options.Meter.RecordGateAttempt(to.tier.String(), code)
	if c.modes.IsEven() && problem != nil && problem.Outcome == outcome.NotRun {
		e.options.Meter.RecordOverruledChoice(c.service, code)
	}
	e.options.Logger.Info("gate attempt completed", "request", c.id, "service", c.service, "gate", to.address,
		"tier", to.tier, "load", snap.load, "suspect", snap.suspected, "belief_age_ms", min(snap.stateAge, time.Hour).Milliseconds(),
		"ask", s.gateAttempts, "repeat", outgoing.IsRetry, "paid", outgoing.RetryCharged, "may_fail", outgoing.CanRetry, "outcome", code,
		"took_ms", time.Since(now).Milliseconds())
	s.results <- result{gate: to, response: resp, problem: problem, usedChargedRetry: outgoing.RetryCharged, retryCharged: retryCharged}
}

// routeHash identifies a route for the gates' measured durations. Routes of
// different kinds may have the same name.
func routeHash(r configuration.Route) uint32 {
	return uint32(xxhash.Sum64String(r.Name + "/" + strconv.FormatBool(r.Idempotent)))
}

// sendToGate offers the request to a gate, sends its body once the gate has
// granted it a slot, and reads the response. It calls onHedgeDue if the gate
// reports that the target has stalled, or if the target takes so long that a
// retriable request should be hedged. retryCharged means that the gate has charged
// a retry to its budget.
func (e *Entry) sendToGate(ctx context.Context, c *call, to *candidate, outgoing hopheader.Request, onHedgeDue func(retryCharged bool)) (resp *http1.Response, retryCharged bool, p *outcome.Problem) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timing := attemptTiming{startedAt: time.Now()}
	conn, err := to.pool.Get(ctx, maxConnectionIdle)
	if err != nil {
		return nil, false, e.recordUnreachable(to, err)
	}
	defer to.pool.Put(conn)
	now := time.Now()
	timing.connected(!conn.Reused, now, outgoing.QueueDeadline)
	silenceTimer := time.AfterFunc(outgoing.QueueDeadline.Sub(now)+silenceTimeouts[to.tier], func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	var hedgeTimer *time.Timer
	startHedgeTimer := func() {
		silenceTimer.Stop()
		if outgoing.CanRetry {
			hedgeTimer = time.AfterFunc(time.Duration(hedgeDelayShare*float64(time.Until(c.deadline))), func() { onHedgeDue(false) })
		}
	}
	awaitsGrant := needsGrant(c.route.Idempotent, to.tier) || c.customer.Name != "" && outgoing.QueueDeadline.Sub(now) > maxUngrantedWait
	granted := !awaitsGrant
	stopKeyWatch := func() {}
	if awaitsGrant && c.customer.Name != "" {
		wait := e.keyWatch.add(c, e.options.Configurations, cancel)
		stopKeyWatch = func() { e.keyWatch.remove(wait) }
		defer stopKeyWatch()
		if c.isKeyRemoved(e.options.Configurations.Configuration()) {
			return nil, false, refuseKeyRemoved()
		}
	}
	if granted {
		startHedgeTimer()
	}
	h := maps.Clone(c.header)
	outgoing.Inject(h, now)
	resp, err = conn.Do(ctx, http1.Request{
		Method: c.in.Method, URI: c.in.URI, Host: c.in.Host, Header: h, Body: c.body, ID: c.id, ExpectContinue: awaitsGrant,
		OnInterim: func(h http.Header) {
			if retryCharged, ok := e.recordStall(c, to, h); ok && outgoing.CanRetry {
				onHedgeDue(retryCharged)
			}
		},
	}, e.options.Headers.ResponseRequestID, func() {
		stopKeyWatch()
		granted = true
		timing.grantedAt = time.Now()
		startHedgeTimer()
	})
	if hedgeTimer != nil {
		hedgeTimer.Stop()
	}
	if err != nil {
		return nil, false, e.classifyFailure(ctx, to, granted, err)
	}
	meta, err := hopheader.ExtractResponse(resp.Header, time.Now())
	if err != nil {
		return nil, false, outcome.Failed(outcome.CodeGateConnectionLost, "%v", err)
	}
	to.updateState(meta.State, time.Now())
	e.recordContact(to, true)
	if c.modes.IsEven() {
		e.directory.recordTiming(c, to, timing, meta.Problem, resp.Status, time.Now())
	}
	if meta.Problem != nil {
		return nil, meta.RetryCharged, meta.Problem
	}
	return resp, meta.RetryCharged, nil
}

// recordStall records the state that a gate has sent in an interim response because a
// request has stalled. ok is false if the response is malformed.
func (e *Entry) recordStall(c *call, to *candidate, h http.Header) (retryCharged, ok bool) {
	now := time.Now()
	meta, err := hopheader.ExtractResponse(h, now)
	if err != nil {
		e.options.Logger.Warn("interim response of a gate ignored", "request", c.id, "gate", to.address, "reason", err)
		return false, false
	}
	to.updateState(meta.State, now)
	return meta.RetryCharged, true
}

// needsGrant reports whether the request's body is held back until the gate
// grants a slot. Without a grant the outcome at a gate that fails is unknown,
// which only an idempotent request can afford. Between regions such a request
// saves the 60 ms that the grant costs, because requests made by targets have
// 400 ms in all.
func needsGrant(idempotent bool, t tier) bool { return !idempotent || t != tierRemote }

// maxConnectionIdle is how long a connection to a gate may have been idle and
// still be reused.
const maxConnectionIdle = 8 * time.Second

// recordContact records whether a gate was reached. The gate of the own VM says nothing
// about the links.
func (e *Entry) recordContact(to *candidate, reached bool) {
	if e.options.Contacts != nil && to.node != e.options.Node {
		e.options.Contacts.Record(to.node, reached, time.Now())
	}
}

// recordUnreachable marks the gate unreachable, starts to probe it and returns
// the refusal for the request.
func (e *Entry) recordUnreachable(to *candidate, err error) *outcome.Problem {
	wasReachable, startsProbing := to.markUnreachable()
	e.recordContact(to, false)
	if wasReachable {
		e.options.Logger.Warn("gate unreachable", "gate", to.address, "tier", to.tier, "reason", err)
	}
	if startsProbing {
		go e.probeUntilReachable(to)
	}
	return outcome.Refused(outcome.CodeUnreachable, "the gate cannot be reached")
}

// classifyFailure returns the problem of a request that got no complete
// response from its gate. Once the slot is granted, or if the peer does not respond
// as a gate does, the request may have been run, so that the outcome is unknown.
func (e *Entry) classifyFailure(ctx context.Context, to *candidate, granted bool, err error) *outcome.Problem {
	cause := context.Cause(ctx)
	mayHaveRun := granted && !errors.Is(err, http1.ErrNotSent) || errors.Is(err, http1.ErrMalformed)
	switch {
	case errors.Is(cause, http1.ErrCallerDisconnected):
		if mayHaveRun {
			return outcome.Failed(outcome.CodeCallerDisconnected, "the caller left")
		}
		return outcome.Refused(outcome.CodeCallerDisconnected, "the caller left")
	case errors.Is(cause, errKeyRemoved) && !mayHaveRun:
		return refuseKeyRemoved()
	case errors.Is(cause, http1.ErrShutdown) && mayHaveRun:
		return outcome.Failed(outcome.CodeTimeout, "%v", http1.ErrShutdown)
	case errors.Is(cause, http1.ErrShutdown):
		return outcome.Refused(outcome.CodeDraining, "%v", http1.ErrShutdown)
	case errors.Is(cause, errOtherGateResponded):
		// A response from another gate cancelled this attempt. That says
		// nothing about this gate, and the result is never read.
		return outcome.Failed(outcome.CodeCallerDisconnected, "%v", errOtherGateResponded)
	case errors.Is(cause, context.DeadlineExceeded) && mayHaveRun:
		return outcome.Failed(outcome.CodeTimeout, "the deadline has passed")
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.Refused(outcome.CodeDeadlineExceeded, "the deadline has passed before a slot was free")
	}
	if errors.Is(err, http1.ErrBodyMemory) {
		return outcome.Failed(outcome.CodeNoMemory, "%v", err)
	}
	to.pool.CloseIdle()
	p := e.recordUnreachable(to, err)
	if mayHaveRun {
		return outcome.Failed(outcome.CodeGateConnectionLost, "the gate's connection ended: %v", err)
	}
	return p
}
