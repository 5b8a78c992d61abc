package choice

import (
	"sync/atomic"
	"time"
)

// Tier is how near a gate is.
type Tier int

// The tiers, nearest first.
const (
	TierNode Tier = iota
	TierDataCentre
	TierRegion
	TierRemote
	tierCount
)

func (t Tier) String() string {
	return [...]string{"node", "data_centre", "region", "remote"}[t]
}

// Candidate is a gate that serves a service, with what this node has learned
// of it. It is safe for concurrent use.
type Candidate struct {
	// Node is the control address of the gate's node.
	Node string
	// Address is where the gate takes requests.
	Address string
	Tier    Tier
	// Slots is the capacity of the gate's serving targets.
	Slots atomic.Int64

	outstanding  atomic.Int64
	latencyMicro atomic.Int64
	avoidUntil   atomic.Int64
	failures     atomic.Int64
}

// Latency smoothing and avoidance.
const (
	latencyShare     = 0.2
	firstLatency     = 5 * time.Millisecond
	firstAvoidance   = 250 * time.Millisecond
	longestAvoidance = 15 * time.Second
)

// Begin counts a request that is being sent to the candidate.
func (c *Candidate) Begin() { c.outstanding.Add(1) }

// Answered records a whole answer and its latency.
func (c *Candidate) Answered(latency time.Duration) {
	c.outstanding.Add(-1)
	c.failures.Store(0)
	old := c.latencyMicro.Load()
	if old == 0 {
		old = firstLatency.Microseconds()
	}
	c.latencyMicro.Store(int64((1-latencyShare)*float64(old) + latencyShare*float64(latency.Microseconds())))
}

// Refused records that the gate did not run the request and when it may be
// asked again.
func (c *Candidate) Refused(until time.Time) {
	c.outstanding.Add(-1)
	c.avoid(until)
}

// Failed records a failure of the gate or of the path to it. The avoidance
// doubles with each failure in a row.
func (c *Candidate) Failed(now time.Time) {
	c.outstanding.Add(-1)
	n := c.failures.Add(1)
	c.avoid(now.Add(min(longestAvoidance, firstAvoidance<<min(n-1, 10))))
}

// Cancelled records that the caller went away.
func (c *Candidate) Cancelled() { c.outstanding.Add(-1) }

// IsAvoided reports whether the candidate refused or failed lately.
func (c *Candidate) IsAvoided(now time.Time) bool {
	return now.UnixNano() < c.avoidUntil.Load()
}

func (c *Candidate) avoid(until time.Time) {
	c.avoidUntil.Store(max(c.avoidUntil.Load(), until.UnixNano()))
}

// cost estimates the wait at the candidate; lower is better.
func (c *Candidate) cost() float64 {
	latency := c.latencyMicro.Load()
	if latency == 0 {
		latency = firstLatency.Microseconds()
	}
	slots := max(1, c.Slots.Load())
	return float64(c.outstanding.Load()+1) / float64(slots) * float64(latency)
}
