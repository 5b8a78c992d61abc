package home

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/connection/relay"
	"github.com/cuminwheel/cuminwheel/process/lease"
	"github.com/cuminwheel/cuminwheel/request/claim"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/hashicorp/go-hclog"
)

// Home runs claims for the seats that this node holds.
type Home struct {
	clock  func() time.Time
	logger hclog.Logger
	bound  time.Duration
	states States
	holder *lease.Holder
	memory *claim.Memory
}

// States gives the newest folded state.
type States interface {
	State() ledger.State
}

// Claim is a request that must run at most once.
type Claim struct {
	Key     claim.Key
	Service string
	Seats   int
	// ID is the request's, for logs.
	ID       string
	Method   string
	URI      string
	Body     []byte
	Deadline time.Time
}

// Dispatch sends the request to one gate after another until one has begun
// it, and never again after that.
type Dispatch func(ctx context.Context) (*relay.Answer, *outcome.Problem)

// Bounds of the memory of claims.
const (
	maxKeys        = 200_000
	maxAnswerBytes = 64 << 20
)

// New returns a home. bound is how far any two clocks may be apart.
func New(clock func() time.Time, l hclog.Logger, bound time.Duration, s States, h *lease.Holder) *Home {
	return &Home{
		clock:  clock,
		logger: l,
		bound:  bound,
		states: s,
		holder: h,
		memory: claim.NewMemory(maxKeys, maxAnswerBytes),
	}
}

// Keys returns how many keys are remembered.
func (h *Home) Keys() int { return h.memory.Len() }

// Serve runs the claim unless its key has begun before, and returns the answer
// that belongs to the key.
func (h *Home) Serve(ctx context.Context, c Claim, dispatch Dispatch) (*relay.Answer, *outcome.Problem) {
	now := h.clock()
	seat, _ := h.states.State().Seat(c.Service, c.Key.Seat(c.Seats))
	tenure, ok := h.holder.Tenure(seat, now)
	if !ok {
		return nil, outcome.Failed(outcome.CodeSeatMoved, http.StatusServiceUnavailable,
			"this node may not serve the key's seat now").WithRetryAt(now.Add(lease.Term))
	}
	run, step, p := h.look(c, tenure, now)
	h.logger.Info("claim", "request", c.ID, "key", c.Key, "seat", seat.Index, "epoch", seat.Epoch, "step", step)
	if p != nil {
		return nil, p
	}
	switch step {
	case claim.StepRun:
		return h.run(ctx, c, run, dispatch)
	case claim.StepJoin:
		return h.join(ctx, c, run)
	case claim.StepKept:
		return keptAnswer(run)
	case claim.StepReused:
		return nil, outcome.Refused(outcome.CodeClaimReused, http.StatusUnprocessableEntity,
			"the Idempotency-Key stands for another request; use a new key for each claim")
	case claim.StepFull:
		return nil, outcome.Refused(outcome.CodeClaimMemoryFull, http.StatusServiceUnavailable,
			"the node remembers as many keys as it can").WithRetryAt(now.Add(time.Second))
	}
	return nil, unsure()
}

// look finds what to do with the claim's key. A key that may not begin in this
// tenure may still be remembered from an earlier one.
func (h *Home) look(c Claim, t lease.Tenure, now time.Time) (*claim.Run, claim.Step, *outcome.Problem) {
	switch claim.Admits(c.Key, t.Since, now, h.bound) {
	case claim.AdmitTooOld:
		return nil, claim.StepUnknown, outcome.Failed(outcome.CodeClaimKeyOld, http.StatusConflict,
			"the key was issued more than %s ago and may have run; look the claim up before using a new key", claim.Window)
	case claim.AdmitTooEarly:
		return nil, claim.StepUnknown, outcome.Refused(outcome.CodeClaimKeyEarly, http.StatusBadRequest,
			"the key's time of issue is ahead of this node's clock; check the caller's clock").
			WithRetryAt(c.Key.Issued())
	case claim.AdmitBeforeTenure:
		run, step := h.memory.Recall(c.Key, c.fingerprint())
		return run, step, nil
	}
	run, step := h.memory.Begin(c.Key, c.fingerprint(), now)
	return run, step, nil
}

// run dispatches the claim. It goes on when the caller goes away, so that the
// answer is there for a repeat.
func (h *Home) run(ctx context.Context, c Claim, run *claim.Run, dispatch Dispatch) (*relay.Answer, *outcome.Problem) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), c.Deadline)
	defer cancel()
	defer run.Unknown()
	answer, p := dispatch(ctx)
	switch {
	case p != nil && p.Outcome == outcome.NotRun:
		run.NotRun()
		return nil, p
	case p != nil:
		return nil, p
	case answer.Rest != nil:
		answer.Close()
		return nil, outcome.Failed(outcome.CodeTargetFailed, http.StatusBadGateway, "the answer to the claim is too large to be kept")
	}
	run.Answered(claim.Answer{Status: answer.Status, Header: answer.Header.Clone(), Body: answer.Body})
	return answer, nil
}

// join waits for the run that another request with the same key began.
func (h *Home) join(ctx context.Context, c Claim, run *claim.Run) (*relay.Answer, *outcome.Problem) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	select {
	case <-run.Done():
	case <-ctx.Done():
		return nil, outcome.Failed(outcome.CodeTimeout, http.StatusGatewayTimeout, "the claim is still running; repeat it with the same key")
	}
	if run.WasNotRun() {
		now := h.clock()
		return nil, outcome.Refused(outcome.CodeNoTarget, http.StatusServiceUnavailable,
			"no target took the claim; repeat it with the same key").WithRetryAt(now.Add(time.Second))
	}
	return keptAnswer(run)
}

func keptAnswer(run *claim.Run) (*relay.Answer, *outcome.Problem) {
	a, ok := run.Answer()
	if !ok {
		return nil, unsure()
	}
	return relay.WholeAnswer(a.Status, a.Header, a.Body), nil
}

func unsure() *outcome.Problem {
	return outcome.Failed(outcome.CodeClaimUnsure, http.StatusConflict,
		"the claim may have run and its answer is not known; look it up before using a new key")
}

// fingerprint tells two requests under one key apart.
func (c Claim) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{c.Method, c.URI, strconv.Itoa(len(c.Body))} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.Body)
	return d.Sum64()
}
