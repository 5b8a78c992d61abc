package entry

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminwheel/cuminwheel/process/refusal"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// RefusalMeter records what the shared scheduling does with requests that no gate grants.
type RefusalMeter interface {
	// RecordHeld records a request that is held, RecordReleased one that was held and then
	// got a response.
	RecordHeld()
	RecordReleased()
	// RecordRefused records a refused request.
	RecordRefused(reason string, wasHeld bool)
	// RecordReturn records a request that was refused before. The number of routes that are
	// passed is bounded.
	RecordReturn(route string, early bool)
}

const (
	// maxHeld and maxHeldBody bound the requests that one entry holds and the body of each:
	// 16 MB of bodies at most, on VMs of 184 MB and more.
	maxHeld     = 256
	maxHeldBody = 64 << 10
	// maxHeldAttempts bounds the gate attempts of a request since it is held.
	maxHeldAttempts = refusal.MaxHeldRounds * refusal.GatesPerHeldRound
	// retryBudgetPause is how long a held request does not ask a gate again that had no
	// retry budget left.
	retryBudgetPause = 500 * time.Millisecond
	// promiseTolerance allows for Retry-After being rounded to milliseconds.
	promiseTolerance = 2 * time.Millisecond
)

// heldPasses are the passes of held requests: few gates, with a queue time that leaves most
// of the time to other gates.
var heldPasses = []selectionPass{
	{nearest: tierDataCentre, farthest: tierRemote, remainingShare: 0.25, maxGates: refusal.GatesPerHeldRound, includeUnhealthy: true},
}

// refusals holds what the entry remembers of refused requests. It is safe for concurrent
// use.
type refusals struct {
	held atomic.Int64

	mu     sync.Mutex
	memory *refusal.Memory
}

func newRefusals() *refusals { return &refusals{memory: refusal.NewMemory()} }

func (r *refusals) recall(f fingerprint.Fingerprint, now time.Time) (refusal.Refusal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.Recall(f, now)
}

func (r *refusals) forget(f fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.Forget(f)
}

func (r *refusals) label(route string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.Label(route)
}

func (r *refusals) recordServed(c *call, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.memory.RecordServed(keyOf(c), took, time.Now())
}

// expectations returns whether the request's caller would return and how long the request
// is expected to take.
func (r *refusals) expectations(c *call, now time.Time) (callersRetry bool, work time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.CallersRetry(keyOf(c), assumptionFor(c), now), refusal.ExpectedWork(r.memory.Work(keyOf(c), now), c.targetLatency())
}

// peek returns the same as recall and changes nothing.
func (r *refusals) peek(f fingerprint.Fingerprint, now time.Time) (refusal.Refusal, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.memory.Peek(f, now)
}

// peekOutlook returns what is known of the request's route, with the expected work, and
// changes nothing.
func (r *refusals) peekOutlook(c *call, now time.Time) refusal.Outlook {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.memory.PeekOutlook(keyOf(c), assumptionFor(c), now)
	o.Work = refusal.ExpectedWork(o.Work, c.targetLatency())
	return o
}

// record remembers a refusal and returns its retry time.
func (r *refusals) record(c *call, code outcome.Code, earliestCapacity, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := refusal.Promise(now, earliestCapacity, r.memory.Turn(keyOf(c), now), c.deadline, rand.Float64())
	r.memory.RecordRefusal(refusal.Refusal{
		Request: c.fingerprint, Route: keyOf(c), Code: code, RetryAt: at, Deadline: c.deadline, SoftDeadline: c.softDeadline(),
	}, now)
	return at
}

// recordAgain remembers that an early return was refused and returns its retry time.
func (r *refusals) recordAgain(c *call, f refusal.Refusal, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.RetryAt, f.Deadline = refusal.PromiseAgain(now, f.RetryAt, c.deadline), c.deadline
	r.memory.RecordRefusal(f, now)
	return f.RetryAt
}

// assumptionFor returns what the configuration says about the callers of a request's route.
// Targets have no key, so that they call public routes.
func assumptionFor(c *call) refusal.Assumption {
	switch {
	case !c.hasCustomers:
		return refusal.AssumeUnknown
	case c.route.Public:
		return refusal.AssumePublic
	}
	return refusal.AssumeKey
}

func keyOf(c *call) refusal.RouteKey { return refusal.RouteKey(routeHash(c.route)) }
