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
	ResponseRequestID(h http.Header) string
	ParseCallerHeaders(h http.Header, arrived time.Time) metadata.CallerRequest
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
	options Options
	pool    *http1.Pool

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
	pool, closePool := http1.NewPool(o.Address, dialTimeout)
	g := &Gate{options: o, pool: pool, target: newTarget(), gates: o.GateCount()}
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
	if err := a.Validate(); err != nil {
		return err
	}
	if a.Service != g.options.Service || a.Address != g.options.Address {
		return ErrWrongTarget
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
			g.pool.CloseIdle()
		}
		g.options.Logger.Info("target announced itself", "instance", a.Instance, "born", a.StartedAt,
			"sequence", a.Sequence, "draining", a.Draining, "slots", a.Slots, "outcome", g.openWord())
		g.settle()
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
	changed, err := g.target.leave(f, time.Now())
	if err != nil {
		return err
	}
	if changed {
		g.options.Logger.Info("target left", "instance", f.Instance, "born", f.StartedAt, "outcome", g.openWord())
		g.settle()
	}
	return nil
}

// Drain refuses all new work, since the node is leaving.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closing = true
	g.settle()
}

// IsTargetLeaving reports whether the target beside the node is leaving for good.
func (g *Gate) IsTargetLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.known && (g.target.left || g.target.announced.Draining)
}

// InFlight returns how many requests the target has.
func (g *Gate) InFlight() int {
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
func (g *Gate) State() hopheader.GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state(time.Now())
}

func (g *Gate) state(now time.Time) hopheader.GateState {
	s := hopheader.GateState{
		Accepting:   g.target.isOpen() && !g.closing,
		Suspect:     g.target.trust.IsSuspected(now),
		Outstanding: g.target.running + len(g.queue.waiters),
		Slots:       g.target.announced.Slots,

		LastSuccessAt: g.target.trust.LastSuccessAt(),
	}
	if now.Before(g.target.announced.WarmupEndsAt) {
		s.Outstanding += coldBusy
	}
	if now.Sub(g.target.shedAt) < shedMemory {
		s.Outstanding += s.Slots
	}
	return s
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
		g.target.trust.EndTrial()
	}
	if gr.instance == g.target.announced.Instance {
		g.learn(gr, learned, now)
	}
	if n := g.options.GateCount(); n != g.gates {
		g.gates = n
		g.budget.bound = g.retryBound()
	}
	g.settle()
}

func (g *Gate) learn(gr grant, learned result, now time.Time) {
	before := g.target.trust.IsSuspected(now)
	switch learned {
	case resultProved:
		g.target.trust.RecordSuccess(now)
		g.target.durations.took(gr.kind, now.Sub(gr.began))
	case resultShed:
		g.target.shedAt = now
	case resultErred:
		g.target.trust.RecordError(now)
	case resultLost:
		g.target.trust.RecordLost(now)
	}
	if after := g.target.trust.IsSuspected(now); after != before {
		g.options.Logger.Info("trust in the target changed", "instance", gr.instance, "suspect", after,
			"reason", learned.String())
	}
}

func (r result) String() string {
	return [...]string{"none", "proved", "shed", "erred", "lost"}[r]
}
