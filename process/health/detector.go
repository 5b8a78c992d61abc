package health

import (
	"math"
	"time"
)

// Detector gathers evidence on one target. It is not safe for concurrent use.
type Detector struct {
	dial    DetectorOptions
	history history
	limit   time.Duration
	usual   time.Duration
	stale   int
	// inFlight is in the order of the requests' beginning.
	inFlight []*flight
	nextID   int64
	slow     cusum
	failing  cusum
	stalled  bool
	// quickBegan is when the newest of the requests began that ended within
	// the limit. A target that serves later requests has not stalled.
	quickBegan time.Time
	learned    int
}

// RequestID is a request in progress at the target.
type RequestID int64

// flight is a request in progress.
type flight struct {
	work  RequestID
	began time.Time
	// nextAge is the age at which the request becomes further evidence.
	nextAge time.Duration
	// doublings counts the ages that have been taken as evidence.
	doublings int
}

// The test compares two hypotheses about a request: that it outlasts the limit
// with the probability of a healthy target or of a sick one, and likewise that
// it fails.
const (
	healthySlowShare = 0.02
	sickSlowShare    = 0.40
	healthyFailShare = 0.01
	sickFailShare    = 0.25
	// olderEvidence is that of a request which gets twice as old as the limit,
	// and olderGrowth what each further doubling adds to it: the tail of
	// healthy latencies falls faster than by a constant share.
	olderEvidence = 2.0
	olderGrowth   = 0.5
	// suspicionShare of the threshold makes a target suspected. It is low, so
	// that siblings that turn slow together do not vouch while they do.
	suspicionShare = 0.25
	// freshness is how new the last evidence must be: a target that has
	// recovered is not ejected for what is past.
	freshness = 250 * time.Millisecond
	// quickShare of a healthy target's requests are quick.
	quickShare = 0.95
	// limitMargin widens the limit over the quantile that it is taken from.
	limitMargin = 1.3
	// youngMargin over the number of latencies widens it further, while the
	// history is short.
	youngMargin = 60
	// limitEvery is how many latencies pass between two readings of the limit.
	limitEvery = 32
	// learnCount is how many latencies the history needs to be a reference.
	learnCount = 30
	// firstLimit stands in while the history is being learned.
	firstLimit = 500 * time.Millisecond
	// minLimit keeps scheduling noise on fast targets from being evidence.
	minLimit = 10 * time.Millisecond
	// stallLimits is how many times the limit a request that alone is evidence
	// enough has outlasted.
	stallLimits = 8
	// floorDecay lets each healthy request of a target that was sick before
	// wear its head start of evidence down.
	floorDecay = 0.99
	// cusumCap bounds how much health a target must show after much evidence.
	cusumCap = 40
)

var (
	slowEvidence  = math.Log(sickSlowShare / healthySlowShare)
	quickEvidence = math.Log((1 - sickSlowShare) / (1 - healthySlowShare))
	failEvidence  = math.Log(sickFailShare / healthyFailShare)
	passEvidence  = math.Log((1 - sickFailShare) / (1 - healthyFailShare))
)

// NewDetector returns a judge that knows no history.
func NewDetector(d DetectorOptions) *Detector {
	return &Detector{dial: d, limit: firstLimit, usual: firstLimit}
}

// SetOptions puts another dial in force; evidence and history stay.
func (j *Detector) SetOptions(d DetectorOptions) { j.dial = d }

// RecordStart records that the target was given a request.
func (j *Detector) RecordStart(now time.Time) RequestID {
	j.nextID++
	j.inFlight = append(j.inFlight, &flight{work: RequestID(j.nextID), began: now, nextAge: j.limit})
	return RequestID(j.nextID)
}

// RecordEnd records the end of a request. failed means that the target's answer
// was an error, was cut short or never came.
func (j *Detector) RecordEnd(w RequestID, now time.Time, failed bool) {
	f := j.take(w)
	if f == nil {
		return
	}
	j.observe(f, now)
	if failed {
		j.failing.add(failEvidence, now)
		if f.doublings > 0 {
			// It was late and then failed: no pause of a healthy target does so.
			j.failing.add(slowEvidence, now)
		}
		return
	}
	j.failing.add(passEvidence, now)
	if f.doublings == 0 {
		j.slow.add(quickEvidence, now)
		j.quickBegan = later(j.quickBegan, f.began)
	}
	j.learn(now.Sub(f.began))
}

// RecordCancel forgets a request that ended for a reason of its caller's, which
// says nothing about the target but what its age has said already.
func (j *Detector) RecordCancel(w RequestID, now time.Time) {
	f := j.take(w)
	if f == nil {
		return
	}
	j.observe(f, now)
}

// ObserveInFlight takes in the ages of the requests in progress.
func (j *Detector) ObserveInFlight(now time.Time) {
	for _, f := range j.inFlight {
		j.observe(f, now)
	}
}

// IsIdle reports whether no request is in progress, so that Tick has nothing
// to take in.
func (j *Detector) IsIdle() bool { return len(j.inFlight) == 0 }

// IsUnhealthy reports whether the evidence has passed the dial's threshold and has
// lasted for its span.
func (j *Detector) IsUnhealthy(now time.Time) bool {
	if j.stalled {
		return true
	}
	since := earliest(j.slow.since, j.failing.since)
	return j.Evidence() >= j.dial.Threshold &&
		!since.IsZero() && now.Sub(since) >= j.dial.MinSpan &&
		j.isFresh(now)
}

// IsSuspected reports whether there is a share of the evidence that makes the
// target sick, or a request in progress that is over the limit. A suspected
// target does not vouch for the service's floor.
func (j *Detector) IsSuspected() bool {
	for _, f := range j.inFlight {
		if f.doublings > 0 {
			return true
		}
	}
	bound := suspicionShare * j.dial.Threshold
	return j.stalled || j.slow.rises(bound) || j.failing.rises(bound)
}

// isFresh reports whether the last evidence is new and no request that began
// after it has ended in time: a target that serves again has recovered.
func (j *Detector) isFresh(now time.Time) bool {
	last := later(j.slow.last, j.failing.last)
	return now.Sub(last) <= freshness && !j.quickBegan.After(last)
}

// Evidence returns the sum of both kinds of evidence, in nats.
func (j *Detector) Evidence() float64 { return j.slow.sum + j.failing.sum }

// IsNormalLatency reports whether a latency is usual for the target when it is healthy.
// Nearly all requests of a healthy target are quick.
func (j *Detector) IsNormalLatency(d time.Duration) bool { return d <= j.usual }

// LatencyLimit returns the age from which a request is evidence.
func (j *Detector) LatencyLimit() time.Duration { return j.limit }

// Reset forgets the evidence but keeps the history; sensitivity from 0 to 1
// is the share of the threshold that the sums start from, for a target that
// has been sick before.
func (j *Detector) Reset(sensitivity float64) {
	start := sensitivity * j.dial.Threshold / 2
	j.slow = cusum{sum: start, floor: start}
	j.failing = cusum{sum: start, floor: start}
	j.stalled = false
	j.inFlight = nil
}

// take removes a request from those in progress.
func (j *Detector) take(w RequestID) *flight {
	for i, f := range j.inFlight {
		if f.work == w {
			j.inFlight = append(j.inFlight[:i], j.inFlight[i+1:]...)
			return f
		}
	}
	return nil
}

func (j *Detector) observe(f *flight, now time.Time) {
	age := now.Sub(f.began)
	for age >= f.nextAge {
		evidence := slowEvidence
		if f.doublings > 0 {
			evidence = olderEvidence + olderGrowth*float64(f.doublings-1)
		}
		f.doublings++
		f.nextAge *= 2
		j.slow.add(evidence, now)
	}
	if f.doublings > 0 {
		// A request that is over the limit and still in progress is evidence
		// at every moment.
		j.slow.last = now
	}
	isOld := age >= j.dial.StallAge && age >= stallLimits*j.limit
	if isOld && !j.quickBegan.After(f.began) {
		j.stalled = true
	}
}

// learn adds a latency to the history unless the target is suspected, whose
// latencies would raise the limit.
func (j *Detector) learn(d time.Duration) {
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
	j.usual = max(minLimit, j.history.quantile(quickShare))
	q := j.history.quantile(1 - healthySlowShare)
	margin := limitMargin * (1 + youngMargin/float64(j.learned))
	j.limit = max(minLimit, time.Duration(margin*float64(q)))
}

// cusum adds evidence up and never falls below its floor.
type cusum struct {
	sum   float64
	floor float64
	since time.Time
	last  time.Time
}

func (c *cusum) add(evidence float64, now time.Time) {
	if evidence > 0 && c.sum <= c.floor {
		c.since = now
	}
	if evidence > 0 {
		c.last = now
	} else {
		c.floor *= floorDecay
	}
	c.sum = math.Min(cusumCap, math.Max(c.floor, c.sum+evidence))
	if c.sum <= c.floor {
		c.since = time.Time{}
	}
}

// rises reports whether the sum is above the floor by the bound.
func (c *cusum) rises(bound float64) bool { return c.sum-c.floor >= bound }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earliest returns the earlier of two times, where zero stands for never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
