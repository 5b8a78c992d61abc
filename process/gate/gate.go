package gate

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/schedule"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/version/configuration"
	"github.com/hashicorp/go-hclog"
)

// Headers reads the platform's headers of callers and targets, and writes those
// that targets get.
type Headers interface {
	SetTargetHeaders(h http.Header, t metadata.TargetRequest, now time.Time)
	ParseTargetHeaders(status int, h http.Header) metadata.TargetResponse
	ResponseRequestID(h http.Header) string
	ParseCallerHeaders(h http.Header, arrived time.Time) metadata.CallerRequest
}

// Meter records the gate's metrics.
type Meter interface {
	// RecordGateRequest records a request by the code of its problem; the code is
	// empty if the target's response is passed on.
	RecordGateRequest(code outcome.Code)
	// RecordTargetRequest records a request that is sent to the target.
	RecordTargetRequest()
}

// Quarantine holds the evidence against requests that crash targets.
type Quarantine interface {
	// RecordCrash records that an incarnation of a target crashed while it ran the
	// requests.
	RecordCrash(incarnation uint64, requests []fingerprint.Fingerprint, now time.Time)
	// RecordSuccess records that the target has completed a request.
	RecordSuccess(request fingerprint.Fingerprint, now time.Time)
	// QuarantinedUntil returns until when a request must not be run, or zero.
	QuarantinedUntil(request fingerprint.Fingerprint, now time.Time) time.Time
	// BeginTrial claims the trial of a quarantined request; end ends it.
	BeginTrial(request fingerprint.Fingerprint, now time.Time, isElected func(round uint64) bool) (end func(), ok bool)
}

// Options holds the settings and dependencies of a gate.
type Options struct {
	// Service and Address are those of the target beside the node.
	Service string
	Address string
	Headers Headers
	Logger  hclog.Logger
	Meter   Meter
	// Quarantine gets the requests under which the target has crashed and says which
	// must not be run.
	Quarantine Quarantine
	// Modes returns the modes of the active configuration; nil stands for the defaults.
	Modes func() configuration.Modes
	// Bodies is the budget for the bodies of responses; nil sets no limit.
	Bodies *http1.BodyBudget
	// RetryRatio, RetrySlack and RetryWindow are the fleet-wide retry limit:
	// RetryRatio retries per request plus RetrySlack retries per RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// GateCount returns the number of gates of the service, or 0 if it is not known. It is
	// called for each request.
	GateCount func() int
	// IsTrialGate reports whether the gate is elected to run the trial of a quarantined
	// request in a round; nil means that it never is.
	IsTrialGate func(request fingerprint.Fingerprint, round uint64) bool
	// ShutdownDeadline returns when requests in progress at a leaving node must
	// have ended, or zero if the node is not leaving.
	ShutdownDeadline func() time.Time
	// Recovering means that the gate may have confirmed the leave of its target before it
	// restarted. It admits nothing until EndRecovery.
	Recovering bool
	// AnnouncementInterval is the time between two announcements of the target.
	AnnouncementInterval time.Duration
	// OnProbe, if not nil, is called while the gate recovers, with the control address of
	// each node whose entry queries the gate's state.
	OnProbe func(node string)
}

// Gate admits requests to the target beside a node and forwards them.
type Gate struct {
	options     Options
	targetConns *http1.Pool
	startedAt   time.Time

	mu     sync.Mutex
	target targetState
	queue  queue
	// shared holds the waiters of the shared scheduling, queue those of the default one.
	shared schedule.Queue[*waiter]
	// promises spaces the retry times of the shared scheduling.
	promises schedule.Promises
	// pendingBodies is the announced size of the bodies that are about to be read.
	pendingBodies int64
	// sweptAt is when hopeless waiters of the shared queue were last looked for.
	sweptAt     time.Time
	retryBudget retryBudget
	gateCount   int
	isDraining  bool
	// isRecovering means that others have not been asked yet which leaves this gate has
	// confirmed.
	isRecovering bool
	// hasDoubts means that nobody could tell; doubtTimer refuses the waiters when a target
	// that is doubted stops announcing itself.
	hasDoubts  bool
	doubtTimer *time.Timer
	// limitTimer dispatches waiters when the target's limit admits one.
	limitTimer *time.Timer
	// losses holds the requests whose connections have ended lately, the oldest first;
	// isCheckingCrash means that a goroutine checks whether the target has crashed.
	losses          []loss
	isCheckingCrash bool
}

// dialTimeout limits connecting to the target. It is short because the target is
// on the same VM.
const dialTimeout = 500 * time.Millisecond

// New returns a gate with an unknown target, and a function that closes its
// connections to the target.
func New(o Options) (*Gate, func()) {
	pool, closePool := http1.NewPool(o.Address, dialTimeout)
	pool.SetBodyBudget(o.Bodies)
	g := &Gate{options: o, targetConns: pool, startedAt: time.Now(), target: newTargetState(), gateCount: o.GateCount(), isRecovering: o.Recovering}
	g.shared.Seed = rand.Uint64()
	g.retryBudget.quota = g.computeRetryQuota()
	g.retryBudget.tokens = g.retryBudget.quota.capacity
	return g, closePool
}

func (g *Gate) computeRetryQuota() retryQuota {
	return newRetryQuota(g.options.RetryRatio, g.options.RetrySlack, g.options.RetryWindow, g.gateCount)
}

// Announce updates the target's state from an announcement. When it returns, a
// draining target gets no new requests.
func (g *Gate) Announce(a Announcement) error {
	now := time.Now()
	if err := a.Validate(now); err != nil {
		return err
	}
	if a.Service != g.options.Service || a.Address != g.options.Address {
		return ErrWrongTarget
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	previousInstance := g.target.announced.Instance
	changed, err := g.target.applyAnnouncement(a, now)
	if err != nil {
		return err
	}
	g.recordRegularity(now)
	if changed {
		g.startProbation()
		if previousInstance != a.Instance {
			g.targetConns.CloseIdle()
		}
		g.options.Logger.Info("target announced", "instance", a.Instance, "born", a.StartedAt,
			"sequence", a.Sequence, "draining", a.Draining, "slots", a.Slots, "outcome", g.describeAdmission())
		g.dispatchWaiters()
	}
	return nil
}

// Deregister marks the target as gone. When it returns, the target gets no new
// requests.
func (g *Gate) Deregister(d Deregistration) error {
	now := time.Now()
	if err := d.Validate(now); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	changed, err := g.target.applyDeregistration(d, now)
	if err != nil {
		return err
	}
	if changed {
		g.options.Logger.Info("target deregistered", "instance", d.Instance, "born", d.StartedAt, "outcome", g.describeAdmission())
		g.dispatchWaiters()
	}
	return nil
}

// Drain makes the gate refuse all new and queued requests, since the node is
// leaving. Requests that run are not interrupted.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isDraining = true
	g.dispatchWaiters()
}

// IsTargetLeaving reports whether the target is draining, has deregistered or has named
// its leave in a response.
func (g *Gate) IsTargetLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.isKnown && g.target.isLeaving()
}

// InFlight returns the number of requests that run at the target.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target.inFlight
}

// isOpen reports whether the gate admits requests. The caller holds mu.
func (g *Gate) isOpen(now time.Time) bool {
	return g.target.isOpen() && !g.isDraining && !g.isRecovering && !g.isDoubted(now)
}

// describeAdmission returns the log value that says whether the gate admits
// requests. The caller holds mu.
func (g *Gate) describeAdmission() string {
	if g.isOpen(time.Now()) {
		return "open"
	}
	return "closed"
}

// shedCooldown is how long a target that has shed a request is reported as full.
// Shedding is quick, so such a target would otherwise look idle and attract more
// requests.
const shedCooldown = time.Second

// warmupPenalty is added to the reported number of outstanding requests of a target
// that is still warming up, so that entries prefer others.
const warmupPenalty = 1

// State returns the state that the gate reports to entries.
func (g *Gate) State() hopheader.GateState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buildState(time.Now())
}

// buildState is State for callers that hold mu.
func (g *Gate) buildState(now time.Time) hopheader.GateState {
	s := hopheader.GateState{
		Accepting:   g.isOpen(now),
		Suspected:   g.target.breaker.IsSuspected(now),
		Outstanding: g.target.inFlight + g.queueLength(),
		Slots:       g.target.announced.Slots,

		LastSuccessAt: g.target.breaker.LastSuccessAt(),
		AdmitsAt:      g.target.restrictions.limiter.nextAt(now, g.queueLength()),
		Notice:        g.target.restrictions.notice(g.target.isKnown),
	}
	if now.Before(g.target.announced.WarmupEndsAt) {
		s.Outstanding += warmupPenalty
	}
	switch {
	case g.isShared() && g.target.shedding.IsShedding():
		g.addShedding(&s, now)
	case now.Sub(g.target.shedAt) < shedCooldown:
		s.Outstanding += s.Slots
	}
	return s
}

// result is what a request showed about the health of the target.
type result int

const (
	// resultInconclusive shows nothing about the target's health: the request did
	// not arrive completely, its caller left, it was malformed, or another target
	// has the address.
	resultInconclusive result = iota
	// resultSuccess means a complete response that is no server error.
	resultSuccess
	// resultShed means that the target itself refused to run the request.
	resultShed
	// resultError means a response with a 5xx status.
	resultError
	// resultLost means that no complete, genuine response arrived.
	resultLost
)

// release returns the slot of a grant, records the result and dispatches queued
// requests.
func (g *Gate) release(gr grant, res result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.target.inFlight--
	gr.run.hasEnded = true
	if gr.item != nil {
		g.shared.Correct(*gr.item, now.Sub(gr.startedAt))
	}
	if !gr.run.isSent && gr.identity == g.target.restrictions.identity {
		g.target.restrictions.limiter.refund()
	}
	if gr.run.stallTimer != nil {
		gr.run.stallTimer.Stop()
	}
	if gr.isTrial && !gr.run.isStalled {
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

// recordResult updates the circuit breaker and the measured durations. The caller
// holds mu.
func (g *Gate) recordResult(gr grant, res result, now time.Time) {
	wasSuspected := g.target.breaker.IsSuspected(now)
	g.recordForShedding(gr, res, now)
	switch res {
	case resultSuccess:
		g.target.breaker.RecordSuccess(now)
		g.target.durations.record(gr.routeHash, now.Sub(gr.startedAt))
		if gr.startedAt.After(g.target.lastSuccessStart) {
			g.target.lastSuccessStart = gr.startedAt
		}
	case resultShed:
		g.target.shedAt = now
	case resultError:
		if !gr.run.isStalled {
			g.target.breaker.RecordError(now)
		}
	case resultLost:
		if !gr.run.isStalled {
			g.target.breaker.RecordLost(now)
		}
	}
	g.logSuspicion(gr, wasSuspected, now, res.String())
}

// logSuspicion logs that the target has become suspected or is no longer suspected.
// The caller holds mu.
func (g *Gate) logSuspicion(gr grant, wasSuspected bool, now time.Time, reason string) {
	if isSuspected := g.target.breaker.IsSuspected(now); isSuspected != wasSuspected {
		g.options.Logger.Info("circuit breaker state changed", "instance", gr.instance, "suspect", isSuspected,
			"reason", reason)
	}
}

// String returns the result as it is written to logs.
func (r result) String() string {
	return [...]string{"none", "proved", "shed", "erred", "lost"}[r]
}
