package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hop"
	"github.com/cuminwheel/cuminwheel/connection/message"
	"github.com/cuminwheel/cuminwheel/process/judgement"
	"github.com/cuminwheel/cuminwheel/request/head"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/hashicorp/go-hclog"
)

// Headers reads and writes what targets say and are told in headers.
type Headers interface {
	SetTarget(h http.Header, t head.ToTarget, now time.Time)
	OfTarget(status int, h http.Header) head.OfTarget
	AnswerID(h http.Header) string
	Caller(h http.Header, arrived time.Time) head.Caller
}

// Meter counts what the gate does.
type Meter interface {
	GateEnded(code outcome.Code)
}

// Options are what a gate works with.
type Options struct {
	// Service and Address are those of the target beside the node.
	Service string
	Address string
	Headers Headers
	Logger  hclog.Logger
	Meter   Meter
	// RetryRatio, RetrySlack and RetryWindow are the fleet's bound on repeated
	// sends.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Gates returns how many gates the service has.
	Gates func() int
	// EndsAt returns when a leaving node ends; zero if it stays.
	EndsAt func() time.Time
}

// Gate guards the target beside a node.
type Gate struct {
	options Options
	pool    *message.Pool

	mu      sync.Mutex
	target  target
	queue   queue
	budget  budget
	gates   int
	closing bool
}

// dialTimeout bounds a connection to the target, which is on the same VM.
const dialTimeout = 500 * time.Millisecond

// New returns a gate and a function that closes its connections to the target.
func New(o Options) (*Gate, func()) {
	pool, closePool := message.NewPool(o.Address, dialTimeout)
	g := &Gate{options: o, pool: pool, target: newTarget(), gates: o.Gates()}
	g.budget.bound = g.retryBound()
	g.budget.tokens = g.budget.bound.most
	return g, closePool
}

func (g *Gate) retryBound() retryBound {
	return newRetryBound(g.options.RetryRatio, g.options.RetrySlack, g.options.RetryWindow, g.gates)
}

// Announce takes in what the target says of itself. When it returns, no
// draining target is given new work.
func (g *Gate) Announce(a Announcement) error {
	if err := a.Check(); err != nil {
		return err
	}
	if a.Service != g.options.Service || a.Address != g.options.Address {
		return ErrNotOurs
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.target.announced.Instance
	changed, err := g.target.hear(a, time.Now())
	if err != nil {
		return err
	}
	if changed {
		if before != a.Instance {
			g.pool.Drop()
		}
		g.options.Logger.Info("target announced itself", "instance", a.Instance, "born", a.Born,
			"sequence", a.Sequence, "draining", a.Draining, "slots", a.Slots, "outcome", g.openWord())
		g.settle()
	}
	return nil
}

// Leave takes in a target's farewell. When it returns, the target is given no
// new work.
func (g *Gate) Leave(f Farewell) error {
	if f.Instance == "" {
		return &AnnouncementError{"instance", "name the target's start"}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	changed, err := g.target.leave(f, time.Now())
	if err != nil {
		return err
	}
	if changed {
		g.options.Logger.Info("target left", "instance", f.Instance, "born", f.Born, "outcome", g.openWord())
		g.settle()
	}
	return nil
}

// Close refuses all new work, since the node is leaving.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
	g.settle()
}

// HasLeft reports whether the target beside the node is leaving for good.
func (g *Gate) HasLeft() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.known && (g.target.left || g.target.announced.Draining)
}

// Running returns how many requests the target has.
func (g *Gate) Running() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.running
}

func (g *Gate) openWord() string {
	if g.target.isOpen() && !g.closing {
		return "open"
	}
	return "closed"
}

// shedMemory is how long a target that has refused a request by itself seems to
// be full: refusing is quick, so that it would seem idle and attract more.
const shedMemory = time.Second

// coldBusy is what a target that is still slow after its start seems to have more
// to do than it has, so that others are used first.
const coldBusy = 1

// State returns what the gate says of itself to entries.
func (g *Gate) State() hop.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state(time.Now())
}

func (g *Gate) state(now time.Time) hop.State {
	s := hop.State{
		Open:    g.target.isOpen() && !g.closing,
		Suspect: g.target.trust.IsSuspect(now),
		Busy:    g.target.running + len(g.queue.waiters),
		Slots:   g.target.announced.Slots,

		ProvenAt: g.target.trust.ProvenAt(),
	}
	if now.Before(g.target.announced.ColdUntil) {
		s.Busy += coldBusy
	}
	if now.Sub(g.target.shedAt) < shedMemory {
		s.Busy += s.Slots
	}
	return s
}

// refusal returns why the ask cannot be served at all now, or nil; mu is held.
func (g *Gate) refusal(a hop.Ask, now time.Time) *outcome.Problem {
	switch {
	case a.Service != g.options.Service:
		return outcome.Refused(outcome.CodeNoTarget, "the target beside this node is of service %s", g.options.Service)
	case g.closing:
		return outcome.Refused(outcome.CodeDraining, "the node is leaving")
	case !g.target.known:
		return outcome.Refused(outcome.CodeNoTarget, "no target has announced itself")
	case !g.target.isOpen():
		return outcome.Refused(outcome.CodeDraining, "the target is leaving")
	case !now.Before(a.Deadline):
		return outcome.Refused(outcome.CodeNotInTime, "the deadline has passed")
	case !g.canEnd(a, now):
		return outcome.Refused(outcome.CodeDraining, "the node is leaving")
	case a.Repeat && !a.Paid && !g.budget.canSpend(now, a.Priority):
		return outcome.Refused(outcome.CodeRetryBudget, "too many requests are being sent again")
	}
	return nil
}

// leavingShare is how much of the time that a leaving node has left a request may
// take on average, so that nearly none is at work when the node ends.
const leavingShare = 0.5

// canEnd reports whether the request is expected to end while the node lives; mu
// is held.
func (g *Gate) canEnd(a hop.Ask, now time.Time) bool {
	ends := g.options.EndsAt()
	if ends.IsZero() {
		return true
	}
	return float64(g.target.durations.of(a.Kind)) <= leavingShare*float64(ends.Sub(now))
}

// grant is the right to run one request at the target; end must be called once.
type grant struct {
	began    time.Time
	instance string
	kind     uint32
	trial    bool
}

// admit returns a grant, at once or after a wait.
func (g *Gate) admit(ctx context.Context, a hop.Ask) (grant, *outcome.Problem) {
	g.mu.Lock()
	now := time.Now()
	if p := g.refusal(a, now); p != nil {
		g.mu.Unlock()
		return grant{}, p
	}
	trial := false
	switch g.target.trust.Admit(now, a.Idempotent && a.MayFail) {
	case judgement.Withheld:
		retryAt := g.target.trust.TrialAt()
		g.mu.Unlock()
		return grant{}, outcome.Refused(outcome.CodeSuspect, "the target failed lately").WithRetryAt(retryAt)
	case judgement.Tried:
		trial = true
	}
	work, isNext := g.queue.workAhead(a, len(g.queue.waiters), g.order(now))
	if g.target.running < g.target.announced.Slots && isNext {
		gr := g.take(a, now, trial)
		g.mu.Unlock()
		return gr, nil
	}
	if trial {
		g.target.trust.TrialEnded()
	}
	wait := expectedWait(work, g.target.durations.all, g.target.announced.Slots)
	if now.Add(wait).After(a.WaitUntil) {
		g.mu.Unlock()
		return grant{}, outcome.Refused(outcome.CodeFull, "the wait for a slot is about %d ms", wait.Milliseconds()).WithRetryAt(now.Add(wait))
	}
	w := g.queue.push(a)
	g.mu.Unlock()
	return g.await(ctx, w)
}

// await waits for the decision on a queued request.
func (g *Gate) await(ctx context.Context, w *waiter) (grant, *outcome.Problem) {
	timer := time.NewTimer(time.Until(w.ask.WaitUntil))
	defer timer.Stop()
	var p *outcome.Problem
	select {
	case p = <-w.decided:
		return g.granted(w.ask, p)
	case <-timer.C:
		p = outcome.Refused(outcome.CodeFull, "no slot became free in time").WithRetryAt(time.Now().Add(g.meanServiceTime()))
	case <-ctx.Done():
		p = outcome.Refused(outcome.CodeCallerGone, "the caller left")
	}
	g.mu.Lock()
	removed := g.queue.remove(w)
	g.mu.Unlock()
	if removed {
		return grant{}, p
	}
	return g.granted(w.ask, <-w.decided)
}

func (g *Gate) granted(a hop.Ask, p *outcome.Problem) (grant, *outcome.Problem) {
	if p != nil {
		return grant{}, p
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return grant{began: time.Now(), instance: g.target.announced.Instance, kind: a.Kind}, nil
}

func (g *Gate) meanServiceTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.durations.all
}

// order is the order of the queue; mu is held.
func (g *Gate) order(now time.Time) order { return order{now: now, durations: &g.target.durations} }

// take gives a slot away; mu is held.
func (g *Gate) take(a hop.Ask, now time.Time, trial bool) grant {
	g.target.running++
	switch {
	case a.Paid:
	case a.Repeat:
		g.budget.spend()
	default:
		g.budget.earn(now)
	}
	return grant{began: now, instance: g.target.announced.Instance, kind: a.Kind, trial: trial}
}

// payRepeat pays for sending a failed request to another target, if the budget
// allows it. A sick target takes few requests, so that its gate has a part to
// spare while those of its siblings are used up.
func (g *Gate) payRepeat(a hop.Ask) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.canSpend(time.Now(), a.Priority) {
		return false
	}
	g.budget.spend()
	return true
}

// settle refuses the waiters that cannot be served any more and gives free
// slots to the others; mu is held.
func (g *Gate) settle() {
	now := time.Now()
	g.queue.drain(func(a hop.Ask) bool { return g.refusal(a, now) == nil },
		outcome.Refused(outcome.CodeDraining, "the target is leaving"))
	if g.target.trust.IsSuspect(now) {
		g.queue.drain(func(hop.Ask) bool { return false },
			outcome.Refused(outcome.CodeSuspect, "the target failed lately").WithRetryAt(g.target.trust.TrialAt()))
	}
	for g.target.running < g.target.announced.Slots {
		w := g.queue.pop(g.order(now), func(a hop.Ask) bool { return g.refusal(a, now) == nil })
		if w == nil {
			return
		}
		g.take(w.ask, now, false)
		w.decided <- nil
	}
	g.queue.dropHopeless(g.order(now), g.target.announced.Slots)
}

// result is what the gate learned from a request about its target.
type result int

const (
	// resultNone says nothing: the request was not sent, or its caller left.
	resultNone result = iota
	resultProved
	// resultShed means that the target refused the request by itself.
	resultShed
	resultErred
	resultLost
)

// end gives the slot back and takes in what was learned.
func (g *Gate) end(gr grant, learned result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.target.running--
	if gr.trial {
		g.target.trust.TrialEnded()
	}
	if gr.instance == g.target.announced.Instance {
		g.learn(gr, learned, now)
	}
	if n := g.options.Gates(); n != g.gates {
		g.gates = n
		g.budget.bound = g.retryBound()
	}
	g.settle()
}

func (g *Gate) learn(gr grant, learned result, now time.Time) {
	before := g.target.trust.IsSuspect(now)
	switch learned {
	case resultProved:
		g.target.trust.Proved(now)
		g.target.durations.took(gr.kind, now.Sub(gr.began))
	case resultShed:
		g.target.shedAt = now
	case resultErred:
		g.target.trust.Erred(now)
	case resultLost:
		g.target.trust.Lost(now)
	}
	if after := g.target.trust.IsSuspect(now); after != before {
		g.options.Logger.Info("trust in the target changed", "instance", gr.instance, "suspect", after,
			"reason", learned.String())
	}
}

func (r result) String() string {
	return [...]string{"none", "proved", "shed", "erred", "lost"}[r]
}
