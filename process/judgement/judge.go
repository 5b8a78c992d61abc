package judgement

import (
	"math"
	"time"
)

// Judge gathers evidence on one target. It is not safe for concurrent use.
type Judge struct {
	dial     Dial
	history  history
	limit    time.Duration
	stale    int
	inFlight map[int64]*flight
	nextID   int64
	slow     cusum
	failing  cusum
	stalled  bool
	learned  int
}

// Work is a request in progress at the target.
type Work int64

// flight is a request in progress.
type flight struct {
	began time.Time
	// nextAge is the age at which the request becomes further evidence.
	nextAge time.Duration
	counted bool
}

// The test compares two hypotheses about a request: that it outlasts the limit
// with the probability of a healthy target or of a sick one, and likewise that
// it fails.
const (
	healthySlowShare = 0.02
	sickSlowShare    = 0.40
	healthyFailShare = 0.01
	sickFailShare    = 0.25
	// olderShare is the probability that a healthy request older than the
	// limit gets twice as old again.
	olderShare = 0.35
	// suspicionShare of the threshold makes a target suspected.
	suspicionShare = 0.5
	// limitMargin widens the limit over the quantile that it is taken from.
	limitMargin = 1.3
	// limitEvery is how many latencies pass between two readings of the limit.
	limitEvery = 32
	// learnCount is how many latencies the history needs to be a reference.
	learnCount = 30
	// firstLimit stands in while the history is being learned.
	firstLimit = 500 * time.Millisecond
	// minLimit keeps scheduling noise on fast targets from being evidence.
	minLimit = 10 * time.Millisecond
	// cusumCap bounds how much health a target must show after much evidence.
	cusumCap = 40
)

var (
	slowEvidence  = math.Log(sickSlowShare / healthySlowShare)
	quickEvidence = math.Log((1 - sickSlowShare) / (1 - healthySlowShare))
	failEvidence  = math.Log(sickFailShare / healthyFailShare)
	passEvidence  = math.Log((1 - sickFailShare) / (1 - healthyFailShare))
	olderEvidence = math.Log(1 / olderShare)
)

// New returns a judge that knows no history.
func New(d Dial) *Judge {
	return &Judge{dial: d, limit: firstLimit, inFlight: map[int64]*flight{}}
}

// Began records that the target was given a request.
func (j *Judge) Began(now time.Time) Work {
	j.nextID++
	j.inFlight[j.nextID] = &flight{began: now, nextAge: j.limit}
	return Work(j.nextID)
}

// Ended records the end of a request. failed means that the target's answer
// was an error, was cut short or never came.
func (j *Judge) Ended(w Work, now time.Time, failed bool) {
	f, ok := j.inFlight[int64(w)]
	if !ok {
		return
	}
	j.observe(f, now)
	delete(j.inFlight, int64(w))
	if failed {
		j.failing.add(failEvidence, now)
		return
	}
	j.failing.add(passEvidence, now)
	if !f.counted {
		j.slow.add(quickEvidence, now)
	}
	j.learn(now.Sub(f.began))
}

// Abandoned forgets a request that ended for a reason of its caller's, which
// says nothing about the target but what its age has said already.
func (j *Judge) Abandoned(w Work, now time.Time) {
	f, ok := j.inFlight[int64(w)]
	if !ok {
		return
	}
	j.observe(f, now)
	delete(j.inFlight, int64(w))
}

// Tick takes in the ages of the requests in progress.
func (j *Judge) Tick(now time.Time) {
	for _, f := range j.inFlight {
		j.observe(f, now)
	}
}

// IsIdle reports whether no request is in progress, so that Tick has nothing
// to take in.
func (j *Judge) IsIdle() bool { return len(j.inFlight) == 0 }

// IsSick reports whether the evidence has passed the dial's threshold and has
// lasted for its span.
func (j *Judge) IsSick(now time.Time) bool {
	return j.stalled ||
		j.slow.passes(j.dial.Threshold, j.dial.MinSpan, now) ||
		j.failing.passes(j.dial.Threshold, j.dial.MinSpan, now)
}

// IsSuspected reports whether the evidence is at least half of what makes the
// target sick. A suspected target does not vouch for the service's floor.
func (j *Judge) IsSuspected() bool {
	half := suspicionShare * j.dial.Threshold
	return j.stalled || j.slow.sum >= half || j.failing.sum >= half
}

// Evidence returns the larger of the two sums, in nats.
func (j *Judge) Evidence() float64 { return math.Max(j.slow.sum, j.failing.sum) }

// Limit returns the age from which a request is evidence.
func (j *Judge) Limit() time.Duration { return j.limit }

// Clear forgets the evidence but keeps the history; sensitivity from 0 to 1
// is the share of the threshold that the sums start from, for a target that
// has been sick before.
func (j *Judge) Clear(sensitivity float64) {
	start := sensitivity * j.dial.Threshold
	j.slow = cusum{sum: start, floor: start}
	j.failing = cusum{sum: start, floor: start}
	j.stalled = false
	j.inFlight = map[int64]*flight{}
}

func (j *Judge) observe(f *flight, now time.Time) {
	age := now.Sub(f.began)
	for age >= f.nextAge {
		evidence := olderEvidence
		if !f.counted {
			evidence = slowEvidence
		}
		f.counted = true
		f.nextAge *= 2
		j.slow.add(evidence, now)
	}
	if age >= j.dial.StallAge && age >= 4*j.limit {
		j.stalled = true
	}
}

// learn adds a latency to the history unless the target is suspected, whose
// latencies would raise the limit.
func (j *Judge) learn(d time.Duration) {
	if j.learned >= learnCount && j.IsSuspected() {
		return
	}
	j.history.add(d)
	j.learned++
	j.stale++
	if j.learned < learnCount || j.stale < limitEvery && j.limit != firstLimit {
		return
	}
	j.stale = 0
	q := j.history.quantile(1 - healthySlowShare)
	j.limit = max(minLimit, time.Duration(limitMargin*float64(q)))
}

// cusum adds evidence up and never falls below its floor.
type cusum struct {
	sum   float64
	floor float64
	since time.Time
}

func (c *cusum) add(evidence float64, now time.Time) {
	if evidence > 0 && c.sum <= c.floor {
		c.since = now
	}
	c.sum = math.Min(cusumCap, math.Max(c.floor, c.sum+evidence))
	if c.sum <= c.floor {
		c.since = time.Time{}
	}
}

func (c *cusum) passes(threshold float64, span time.Duration, now time.Time) bool {
	return c.sum >= threshold && !c.since.IsZero() && now.Sub(c.since) >= span
}
