package health

import (
	"math"
	"time"
)

// CircuitBreaker decides what work a target may be given after its last failures. A
// target whose requests were reset or lost lately gets no request that must not
// run twice, and tries out one idempotent request at a time until some succeed.
// CircuitBreaker returns by itself with time, so that a target without idempotent work
// is tried again too. It is not safe for concurrent use.
type CircuitBreaker struct {
	// doubt is from 0 to 1 at the time asOf.
	doubt    float64
	asOf     time.Time
	trialAt  time.Time
	interval time.Duration
	inTrial  bool
	provenAt time.Time
}

const (
	// suspectDoubt is the doubt from which a target is suspected: one lost
	// request is enough, four errors in a row are.
	suspectDoubt = 0.3
	// lostWeight and errorWeight are the shares of the remaining trust that a
	// lost request and an answer that is an error take away.
	lostWeight  = 0.5
	errorWeight = 0.1
	// provenShare of the doubt remains after a success. A sick target answers
	// some requests, so that two in a row are asked for.
	provenShare = 0.65
	// doubtHalfLife is the time in which doubt halves by itself, for targets
	// that get no request that may fail. Sickness of some seconds is the usual
	// kind.
	doubtHalfLife = 10 * time.Second
	// firstTrial and lastTrial bound the time between two trials. The floor
	// rule asks that a sound target is never left without work for 2 s.
	firstTrial = 200 * time.Millisecond
	lastTrial  = 1600 * time.Millisecond
)

// Admission is what Trust decides about a request.
type Admission int

// The admissions.
const (
	// Denied means that the target may not be given the request now.
	Denied Admission = iota
	// Admitted means that it may.
	Admitted
	// AdmittedAsTrial means that it may, as the only trial.
	AdmittedAsTrial
)

func (t *CircuitBreaker) age(now time.Time) {
	if !t.asOf.IsZero() && now.After(t.asOf) {
		t.doubt *= math.Exp2(-float64(now.Sub(t.asOf)) / float64(doubtHalfLife))
	}
	t.asOf = now
}

// IsSuspected reports whether the target has failed too much lately.
func (t *CircuitBreaker) IsSuspected(now time.Time) bool {
	t.age(now)
	return t.doubt >= suspectDoubt
}

// Admit decides about a request; mayFail means that it may be lost without
// harm. Of a Tried request, TrialEnded must be told.
func (t *CircuitBreaker) Admit(now time.Time, mayFail bool) Admission {
	switch {
	case !t.IsSuspected(now):
		return Admitted
	case !mayFail || t.inTrial || now.Before(t.trialAt):
		return Denied
	}
	t.inTrial = true
	return AdmittedAsTrial
}

// NextTrialAt returns when the next trial may begin.
func (t *CircuitBreaker) NextTrialAt() time.Time { return t.trialAt }

// LastSuccessAt returns when the target last proved itself; zero means never.
func (t *CircuitBreaker) LastSuccessAt() time.Time { return t.provenAt }

// EndTrial lets the next trial begin in its time.
func (t *CircuitBreaker) EndTrial() { t.inTrial = false }

// RecordLost records a request whose answer did not come whole.
func (t *CircuitBreaker) RecordLost(now time.Time) { t.doubtBy(now, lostWeight) }

// RecordError records an answer that is an error of the target's own.
func (t *CircuitBreaker) RecordError(now time.Time) { t.doubtBy(now, errorWeight) }

func (t *CircuitBreaker) doubtBy(now time.Time, weight float64) {
	t.age(now)
	t.doubt += weight * (1 - t.doubt)
	t.interval = min(lastTrial, max(firstTrial, 2*t.interval))
	t.trialAt = now.Add(t.interval)
}

// RecordSuccess records a whole answer that is no error.
func (t *CircuitBreaker) RecordSuccess(now time.Time) {
	t.age(now)
	t.doubt *= provenShare
	t.provenAt = now
	if t.doubt < suspectDoubt {
		t.interval = 0
	}
	t.trialAt = now
}
