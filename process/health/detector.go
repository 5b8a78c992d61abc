package health

import (
	"math"
	"time"
)

// Detector collects evidence that one target is unhealthy. It is not safe for
// concurrent use.
type Detector struct {
	options DetectorOptions
	history history
	// limit is the age from which a request is evidence.
	limit time.Duration
	// normalLatency is the upper bound of a healthy target's usual latencies.
	normalLatency time.Duration
	// sinceUpdate counts the latencies added since limit was last computed.
	sinceUpdate int
	// inFlight is ordered by start time.
	inFlight []*inFlightRequest
	nextID   int64
	slowness cusum
	failures cusum
	stalled  bool
	// lastTimelyStart is the latest start time of the requests that ended within
	// the limit. A target that serves requests started later has not stalled.
	lastTimelyStart time.Time
	// samples counts the latencies that were ever added to the history.
	samples int
}

// RequestID identifies a request in flight at the target.
type RequestID int64

// inFlightRequest is a request that was started and has not ended.
type inFlightRequest struct {
	id        RequestID
	startedAt time.Time
	// nextAge is the age at which the request becomes further evidence.
	nextAge time.Duration
	// doublings counts the ages that were already added as evidence.
	doublings int
}

// The sequential test compares two hypotheses about each request: that it
// exceeds the latency limit with the probability of a healthy target, or with
// that of an unhealthy one; and the same for the probability of a failure.
const (
	healthySlowShare   = 0.02
	unhealthySlowShare = 0.40
	healthyFailShare   = 0.01
	unhealthyFailShare = 0.25
	// doubledAgeEvidence is added when a request reaches twice the limit, and
	// doubledAgeGrowth is what each further doubling adds to it: the tail of
	// healthy latencies falls off faster than by a constant share per doubling.
	doubledAgeEvidence = 2.0
	doubledAgeGrowth   = 0.5
	// suspicionShare is the share of the threshold at which a target is
	// suspected. It is low so that siblings that slow down together do not count
	// as healthy capacity for each other while they do.
	suspicionShare = 0.25
	// maxEvidenceAge is how old the last evidence may be: a target that has
	// recovered is not ejected for past evidence.
	maxEvidenceAge = 250 * time.Millisecond
	// normalShare is the share of a healthy target's requests that have a normal
	// latency.
	normalShare = 0.95
	// limitMargin is the ratio of the limit to the quantile it is derived from.
	limitMargin = 1.3
	// shortHistoryMargin, divided by the number of latencies, widens the limit
	// further while the history is short.
	shortHistoryMargin = 60
	// limitUpdateInterval is the number of latencies between two updates of the
	// limit.
	limitUpdateInterval = 32
	// minSamples is the number of latencies that the history needs to serve as a
	// reference.
	minSamples = 30
	// initialLimit applies until the history has minSamples latencies.
	initialLimit = 500 * time.Millisecond
	// minLimit keeps scheduling noise on fast targets from counting as evidence.
	minLimit = 10 * time.Millisecond
	// stallLimitFactor times the limit is the least age at which one request
	// alone shows a stall.
	stallLimitFactor = 8
	// baselineDecay is applied for each timely or successful request to the
	// initial evidence of a target that was unhealthy before.
	baselineDecay = 0.99
	// maxSum bounds how many healthy requests are needed to cancel a large sum
	// of evidence.
	maxSum = 40
)

// Log likelihood ratios of the four observations, in nats.
var (
	slowEvidence    = math.Log(unhealthySlowShare / healthySlowShare)
	timelyEvidence  = math.Log((1 - unhealthySlowShare) / (1 - healthySlowShare))
	failureEvidence = math.Log(unhealthyFailShare / healthyFailShare)
	successEvidence = math.Log((1 - unhealthyFailShare) / (1 - healthyFailShare))
)

// NewDetector returns a detector with an empty history.
func NewDetector(o DetectorOptions) *Detector {
	return &Detector{options: o, limit: initialLimit, normalLatency: initialLimit}
}

// SetOptions replaces the options and keeps the evidence and the history.
func (d *Detector) SetOptions(o DetectorOptions) { d.options = o }

// RecordStart records that a request was sent to the target.
func (d *Detector) RecordStart(now time.Time) RequestID {
	d.nextID++
	d.inFlight = append(d.inFlight, &inFlightRequest{id: RequestID(d.nextID), startedAt: now, nextAge: d.limit})
	return RequestID(d.nextID)
}

// RecordEnd records the end of a request. failed means that the response was an
// error, was truncated or never came.
func (d *Detector) RecordEnd(id RequestID, now time.Time, failed bool) {
	r := d.remove(id)
	if r == nil {
		return
	}
	d.observeAge(r, now)
	if failed {
		d.failures.add(failureEvidence, now)
		if r.doublings > 0 {
			// A pause of a healthy target makes requests late, but does not make
			// them fail as well.
			d.failures.add(slowEvidence, now)
		}
		return
	}
	d.failures.add(successEvidence, now)
	if r.doublings == 0 {
		d.slowness.add(timelyEvidence, now)
		d.lastTimelyStart = later(d.lastTimelyStart, r.startedAt)
	}
	d.recordLatency(now.Sub(r.startedAt))
}

// RecordCancel records that the caller ended a request. Only the age that the
// request reached is evidence about the target.
func (d *Detector) RecordCancel(id RequestID, now time.Time) {
	r := d.remove(id)
	if r == nil {
		return
	}
	d.observeAge(r, now)
}

// ObserveInFlight adds the ages of the requests in flight to the evidence. It
// is to be called periodically, so that a slow request counts before it ends.
func (d *Detector) ObserveInFlight(now time.Time) {
	for _, r := range d.inFlight {
		d.observeAge(r, now)
	}
}

// IsIdle reports whether no request is in flight, so that ObserveInFlight has
// no effect.
func (d *Detector) IsIdle() bool { return len(d.inFlight) == 0 }

// IsUnhealthy reports whether the target has stalled, or whether the evidence
// has reached the threshold, has lasted for the minimum span and is recent.
func (d *Detector) IsUnhealthy(now time.Time) bool {
	if d.stalled {
		return true
	}
	since := earlierNonZero(d.slowness.since, d.failures.since)
	return d.Evidence() >= d.options.Threshold &&
		!since.IsZero() && now.Sub(since) >= d.options.MinSpan &&
		d.isEvidenceRecent(now)
}

// IsSuspected reports whether one kind of evidence has reached a share of the
// threshold, or a request in flight has exceeded the limit. A suspected target
// does not count as healthy capacity towards the service's floor.
func (d *Detector) IsSuspected() bool {
	for _, r := range d.inFlight {
		if r.doublings > 0 {
			return true
		}
	}
	bound := suspicionShare * d.options.Threshold
	return d.stalled || d.slowness.hasRisenBy(bound) || d.failures.hasRisenBy(bound)
}

// isEvidenceRecent reports whether the last evidence is recent and no request
// that started after it has ended in time: a target that serves again has
// recovered.
func (d *Detector) isEvidenceRecent(now time.Time) bool {
	last := later(d.slowness.last, d.failures.last)
	return now.Sub(last) <= maxEvidenceAge && !d.lastTimelyStart.After(last)
}

// Evidence returns the sum of the evidence from latencies and from failures, in
// nats.
func (d *Detector) Evidence() float64 { return d.slowness.sum + d.failures.sum }

// IsNormalLatency reports whether a latency is within the range of nearly all
// requests of the target when it is healthy.
func (d *Detector) IsNormalLatency(latency time.Duration) bool { return latency <= d.normalLatency }

// LatencyLimit returns the age from which a request is evidence.
func (d *Detector) LatencyLimit() time.Duration { return d.limit }

// Reset drops the evidence and the requests in flight but keeps the history.
// initialShare, from 0 to 1, is the share of the threshold at which the
// evidence starts, for a target that was unhealthy before.
func (d *Detector) Reset(initialShare float64) {
	start := initialShare * d.options.Threshold / 2
	d.slowness = cusum{sum: start, baseline: start}
	d.failures = cusum{sum: start, baseline: start}
	d.stalled = false
	d.inFlight = nil
}

// remove removes a request from those in flight and returns it, or nil if it is
// not among them.
func (d *Detector) remove(id RequestID) *inFlightRequest {
	for i, r := range d.inFlight {
		if r.id == id {
			d.inFlight = append(d.inFlight[:i], d.inFlight[i+1:]...)
			return r
		}
	}
	return nil
}

// observeAge adds evidence when the age of a request passes the limit and each
// doubling of it, and detects a stall.
func (d *Detector) observeAge(r *inFlightRequest, now time.Time) {
	age := now.Sub(r.startedAt)
	for age >= r.nextAge {
		evidence := slowEvidence
		if r.doublings > 0 {
			evidence = doubledAgeEvidence + doubledAgeGrowth*float64(r.doublings-1)
		}
		r.doublings++
		r.nextAge *= 2
		d.slowness.add(evidence, now)
	}
	if r.doublings > 0 {
		// A request over the limit that is still in flight keeps the evidence
		// recent.
		d.slowness.last = now
	}
	isOverStallAge := age >= d.options.StallAge && age >= stallLimitFactor*d.limit
	if isOverStallAge && !d.lastTimelyStart.After(r.startedAt) {
		d.stalled = true
	}
}

// recordLatency adds a latency to the history and updates the limit at
// intervals. Latencies of a suspected target are left out, since they would
// raise the limit.
func (d *Detector) recordLatency(latency time.Duration) {
	if d.samples >= minSamples && d.IsSuspected() {
		return
	}
	d.history.add(latency)
	d.samples++
	d.sinceUpdate++
	if d.samples < minSamples || d.sinceUpdate < limitUpdateInterval && d.limit != initialLimit {
		return
	}
	d.sinceUpdate = 0
	d.normalLatency = max(minLimit, d.history.quantile(normalShare))
	q := d.history.quantile(1 - healthySlowShare)
	margin := limitMargin * (1 + shortHistoryMargin/float64(d.samples))
	d.limit = max(minLimit, time.Duration(margin*float64(q)))
}

// cusum is a cumulative sum of log likelihood ratios that never falls below its
// baseline.
type cusum struct {
	sum      float64
	baseline float64
	// since is when the sum last rose from the baseline; zero while it is there.
	since time.Time
	// last is when positive evidence was last added.
	last time.Time
}

func (c *cusum) add(evidence float64, now time.Time) {
	if evidence > 0 && c.sum <= c.baseline {
		c.since = now
	}
	if evidence > 0 {
		c.last = now
	} else {
		c.baseline *= baselineDecay
	}
	c.sum = math.Min(maxSum, math.Max(c.baseline, c.sum+evidence))
	if c.sum <= c.baseline {
		c.since = time.Time{}
	}
}

// hasRisenBy reports whether the sum is above the baseline by the bound.
func (c *cusum) hasRisenBy(bound float64) bool { return c.sum-c.baseline >= bound }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlierNonZero returns the earlier of two times, where zero stands for never.
func earlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
