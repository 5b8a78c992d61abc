package gate

import (
	"net/http"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/hashicorp/go-hclog"
)

// Headers reads and writes what targets say and are told in headers.
type Headers interface {
	SetTargetHeaders(h http.Header, t metadata.TargetRequest, now time.Time)
	ParseTargetHeaders(status int, h http.Header) metadata.TargetResponse
	AnswerID(h http.Header) string
	Caller(h http.Header, arrived time.Time) metadata.CallerRequest
}

// Meter counts what the gate does.
type Meter interface {
	CountGateRequest(code outcome.Code)
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
	// GateCount returns how many gates the service has.
	GateCount func() int
	// ShutdownDeadline returns when a leaving node ends; zero if it stays.
	ShutdownDeadline func() time.Time
}

// Gate guards the target beside a node.
type Gate struct {
	options     Options
	targetConns *http1.Pool

	mu          sync.Mutex
	target      targetState
	queue       queue
	retryBudget retryBudget
	gateCount   int
	isDraining  bool
}

// dialTimeout bounds a connection to the target, which is on the same VM.
const dialTimeout = 500 * time.Millisecond

// New returns a gate and a function that closes its connections to the target.
func New(o Options) (*Gate, func()) {
	pool, closePool := http1.NewPool(o.Address, dialTimeout)
	g := &Gate{options: o, targetConns: pool, target: newTargetState(), gateCount: o.GateCount()}
	g.retryBudget.quota = g.computeRetryQuota()
	g.retryBudget.tokens = g.retryBudget.quota.capacity
	return g, closePool
}

func (g *Gate) computeRetryQuota() retryQuota {
	return newRetryQuota(g.options.RetryRatio, g.options.RetrySlack, g.options.RetryWindow, g.gateCount)
}

// Announce takes in what the target says of itself. When it returns, no
// draining target is given new work.
func (g *Gate) Announce(a Announcement) error {
	if err := a.Validate(); err != nil {
		return err
	}
	if a.Service != g.options.Service || a.Address != g.options.Address {
		return ErrWrongTarget
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	previousInstance := g.target.announced.Instance
	changed, err := g.target.applyAnnouncement(a, time.Now())
	if err != nil {
		return err
	}
	if changed {
		if previousInstance != a.Instance {
			g.targetConns.CloseIdle()
		}
		g.options.Logger.Info("target announced itself", "instance", a.Instance, "born", a.StartedAt,
			"sequence", a.Sequence, "draining", a.Draining, "slots", a.Slots, "outcome", g.describeAdmission())
		g.dispatchWaiters()
	}
	return nil
}

// Deregister takes in a target's farewell. When it returns, the target is given no
// new work.
func (g *Gate) Deregister(f Deregistration) error {
	if f.Instance == "" {
		return &AnnouncementError{"instance", "name the target's start"}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	changed, err := g.target.applyDeregistration(f, time.Now())
	if err != nil {
		return err
	}
	if changed {
		g.options.Logger.Info("target left", "instance", f.Instance, "born", f.StartedAt, "outcome", g.describeAdmission())
		g.dispatchWaiters()
	}
	return nil
}

// Drain refuses all new work, since the node is leaving.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isDraining = true
	g.dispatchWaiters()
}

// IsTargetLeaving reports whether the target beside the node is leaving for good.
func (g *Gate) IsTargetLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.isKnown && (g.target.hasDeregistered || g.target.announced.Draining)
}

// InFlight returns how many requests the target has.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.inFlight
}

func (g *Gate) describeAdmission() string {
	if g.target.isOpen() && !g.isDraining {
		return "open"
	}
	return "closed"
}

// shedCooldown is how long a target that has refused a request by itself seems to
// be full: refusing is quick, so that it would seem idle and attract more.
const shedCooldown = time.Second

// coldBusyPenalty is what a target that is still slow after its start seems to have more
// to do than it has, so that others are used first.
const coldBusyPenalty = 1

// State returns what the gate says of itself to entries.
func (g *Gate) State() hopheader.GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buildState(time.Now())
}

func (g *Gate) buildState(now time.Time) hopheader.GateState {
	s := hopheader.GateState{
		Accepting:   g.target.isOpen() && !g.isDraining,
		Suspect:     g.target.breaker.IsSuspected(now),
		Outstanding: g.target.inFlight + len(g.queue.waiters),
		Slots:       g.target.announced.Slots,

		LastSuccessAt: g.target.breaker.LastSuccessAt(),
	}
	if now.Before(g.target.announced.WarmupEndsAt) {
		s.Outstanding += coldBusyPenalty
	}
	if now.Sub(g.target.shedAt) < shedCooldown {
		s.Outstanding += s.Slots
	}
	return s
}

// result is what the gate learned from a request about its target.
type result int

const (
	// resultInconclusive says nothing: the request was not sent, or its caller left.
	resultInconclusive result = iota
	resultSuccess
	// resultShed means that the target refused the request by itself.
	resultShed
	resultError
	resultLost
)

// release gives the slot back and takes in what was learned.
func (g *Gate) release(gr grant, res result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.target.inFlight--
	if gr.isTrial {
		g.target.breaker.EndTrial()
	}
	if gr.instance == g.target.announced.Instance {
		g.recordResult(gr, res, now)
	}
	if n := g.options.GateCount(); n != g.gateCount {
		g.gateCount = n
		g.retryBudget.quota = g.computeRetryQuota()
	}
	g.dispatchWaiters()
}

func (g *Gate) recordResult(gr grant, res result, now time.Time) {
	wasSuspect := g.target.breaker.IsSuspected(now)
	switch res {
	case resultSuccess:
		g.target.breaker.RecordSuccess(now)
		g.target.durations.record(gr.routeHash, now.Sub(gr.startedAt))
	case resultShed:
		g.target.shedAt = now
	case resultError:
		g.target.breaker.RecordError(now)
	case resultLost:
		g.target.breaker.RecordLost(now)
	}
	if isSuspect := g.target.breaker.IsSuspected(now); isSuspect != wasSuspect {
		g.options.Logger.Info("trust in the target changed", "instance", gr.instance, "suspect", isSuspect,
			"reason", res.String())
	}
}

func (r result) String() string {
	return [...]string{"none", "proved", "shed", "erred", "lost"}[r]
}
