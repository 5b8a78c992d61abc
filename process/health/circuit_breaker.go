package health

import (
	"math"
	"time"
)

// CircuitBreaker decides which requests a target may be given after recent
// failures. A target whose requests were recently reset or lost gets no request
// that must not run twice, and gets one idempotent request at a time as a trial
// until some succeed. Its failure score also decays with time, so that a target
// without idempotent requests is used again too. It is not safe for concurrent
// use.
type CircuitBreaker struct {
	// score is the failure score at the time scoreAt, from 0 to 1.
	score   float64
	scoreAt time.Time
	// nextTrialAt is when the next trial may begin.
	nextTrialAt time.Time
	// trialInterval is the time from a failure to the next trial.
	trialInterval time.Duration
	inTrial       bool
	lastSuccessAt time.Time
}

const (
	// suspectedScore is the failure score from which a target is suspected. One
	// lost request reaches it, and so do four errors in a row.
	suspectedScore = 0.3
	// lostWeight and errorWeight are the shares of the distance from the score
	// to 1 that a lost request and an error response add to the score.
	lostWeight  = 0.5
	errorWeight = 0.1
	// stallWeight is the share that a request adds which lasts far longer than
	// usual. stalledAmongSuccessesWeight replaces it if a request that started
	// later has succeeded.
	stallWeight                 = 0.35
	stalledAmongSuccessesWeight = 0.2
	// successFactor is the share of the score that remains after a success. An
	// unhealthy target serves some requests, so after a lost request two
	// successes in a row are required.
	successFactor = 0.65
	// scoreHalfLife is the time in which the score halves by itself, for targets
	// that get no request that can be retried. Faults usually last some seconds.
	scoreHalfLife = 10 * time.Second
	// minTrialInterval and maxTrialInterval bound the time from a failure to the
	// next trial. The floor rule requires that a healthy target is never left
	// without requests for 2 s.
	minTrialInterval = 200 * time.Millisecond
	maxTrialInterval = 1600 * time.Millisecond
)

// Admission is a CircuitBreaker's decision about a request.
type Admission int

// The admissions.
const (
	// Denied means that the target may not be given the request now.
	Denied Admission = iota
	// Admitted means that the target may be given the request.
	Admitted
	// AdmittedAsTrial means that the target may be given the request as the
	// only trial in progress.
	AdmittedAsTrial
)

// decay brings the score up to the given time.
func (b *CircuitBreaker) decay(now time.Time) {
	if !b.scoreAt.IsZero() && now.After(b.scoreAt) {
		b.score *= math.Exp2(-float64(now.Sub(b.scoreAt)) / float64(scoreHalfLife))
	}
	b.scoreAt = now
}

// IsSuspected reports whether the target has failed too often recently.
func (b *CircuitBreaker) IsSuspected(now time.Time) bool {
	b.decay(now)
	return b.score >= suspectedScore
}

// Admit decides about a request. canRetry means that losing the request does no
// harm: it is idempotent and can be retried at another target. After
// AdmittedAsTrial, EndTrial must be called.
func (b *CircuitBreaker) Admit(now time.Time, canRetry bool) Admission {
	switch {
	case !b.IsSuspected(now):
		return Admitted
	case !canRetry || b.inTrial || now.Before(b.nextTrialAt):
		return Denied
	}
	b.inTrial = true
	return AdmittedAsTrial
}

// NextTrialAt returns when the next trial may begin.
func (b *CircuitBreaker) NextTrialAt() time.Time { return b.nextTrialAt }

// LastSuccessAt returns when the last success was recorded; zero means never.
func (b *CircuitBreaker) LastSuccessAt() time.Time { return b.lastSuccessAt }

// EndTrial ends the trial in progress, so that the next one may begin at
// NextTrialAt.
func (b *CircuitBreaker) EndTrial() { b.inTrial = false }

// RecordLost records a request without a complete response.
func (b *CircuitBreaker) RecordLost(now time.Time) { b.recordFailure(now, lostWeight) }

// RecordStall records a request that lasts far longer than usual.
// hasSucceededSince means that one that started later has succeeded.
func (b *CircuitBreaker) RecordStall(now time.Time, hasSucceededSince bool) {
	if hasSucceededSince {
		b.recordFailure(now, stalledAmongSuccessesWeight)
		return
	}
	b.recordFailure(now, stallWeight)
}

// RecordError records a response that reports an error of the target itself.
func (b *CircuitBreaker) RecordError(now time.Time) { b.recordFailure(now, errorWeight) }

// recordFailure raises the score and doubles the time to the next trial, within
// its bounds.
func (b *CircuitBreaker) recordFailure(now time.Time, weight float64) {
	b.decay(now)
	b.score += weight * (1 - b.score)
	b.trialInterval = min(maxTrialInterval, max(minTrialInterval, 2*b.trialInterval))
	b.nextTrialAt = now.Add(b.trialInterval)
}

// RecordSuccess records a complete response that is not an error.
func (b *CircuitBreaker) RecordSuccess(now time.Time) {
	b.decay(now)
	b.score *= successFactor
	b.lastSuccessAt = now
	if b.score < suspectedScore {
		b.trialInterval = 0
	}
	b.nextTrialAt = now
}
