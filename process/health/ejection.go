package health

import "time"

// EjectionState is what has been decided about one target. The zero EjectionState is
// that of a healthy one. It is not safe for concurrent use.
type EjectionState struct {
	phase        Phase
	ejectedUntil time.Time
	trialScore   int
	relapses     int
	healthySince time.Time
}

// Phase is the step of ejection and return that a target is in.
type Phase int

// The phases.
const (
	// PhaseServing takes all work.
	PhaseServing Phase = iota
	// PhaseEjected takes no work.
	PhaseEjected
	// PhaseTrial takes one idempotent request at a time.
	PhaseTrial
)

// Times of ejection and return.
const (
	firstTimeout = 5 * time.Second
	maxTimeout   = 80 * time.Second
	// The scores of a trial's requests and those that end it.
	slowScore      = -2
	failedScore    = -8
	returnScore    = 8
	maxReturnScore = 64
	relapseScore   = -8
	// relapseMemory is how long a returned target must stay healthy for its
	// earlier sickness to be forgotten.
	relapseMemory = 5 * time.Minute
	// relapseSensitivity is the head start of evidence for each relapse.
	relapseSensitivity = 0.2
	maxSensitivity     = 0.4
)

// Phase returns the phase at the given time; an ejection that is over turns
// into a trial.
func (s *EjectionState) Phase(now time.Time) Phase {
	if s.phase == PhaseEjected && !now.Before(s.ejectedUntil) {
		s.phase = PhaseTrial
		s.trialScore = 0
	}
	return s.phase
}

// EjectionDuration returns how long an ejection at the given time would last. It
// doubles with each relapse.
func (s *EjectionState) EjectionDuration(now time.Time) time.Duration {
	if s.phase == PhaseServing && now.Sub(s.healthySince) > relapseMemory {
		s.relapses = 0
	}
	return min(maxTimeout, firstTimeout<<min(s.relapses, 10))
}

// Eject takes the target out for its Timeout.
func (s *EjectionState) Eject(now time.Time) {
	s.ejectedUntil = now.Add(s.EjectionDuration(now))
	s.relapses++
	s.phase = PhaseEjected
}

// StartTrial ends an ejection before its time, since the floor needs the
// target or its siblings no longer vouch.
func (s *EjectionState) StartTrial() {
	if s.phase == PhaseEjected {
		s.phase = PhaseTrial
		s.trialScore = 0
	}
}

// TrialResult is the outcome of a trial so far.
type TrialResult int

// The verdicts.
const (
	TrialPending TrialResult = iota
	TrialPassed
	TrialFailed
)

// RecordTrial records one request of the trial: quick means usual for the target
// when healthy, failed that its answer was an error or never came. The target
// returns when quick requests outweigh the others by a score that doubles with
// each relapse, and is ejected again when the others outweigh.
func (s *EjectionState) RecordTrial(now time.Time, quick, failed bool) TrialResult {
	if s.phase != PhaseTrial {
		return TrialPending
	}
	switch {
	case failed:
		s.trialScore += failedScore
	case quick:
		s.trialScore++
	default:
		s.trialScore += slowScore
	}
	switch {
	case s.trialScore <= relapseScore:
		s.Eject(now)
		return TrialFailed
	case s.trialScore >= min(maxReturnScore, returnScore<<min(s.relapses-1, 10)):
		s.phase = PhaseServing
		s.healthySince = now
		return TrialPassed
	}
	return TrialPending
}

// InitialEvidenceShare is the share of the threshold that a judge should start from.
func (s *EjectionState) InitialEvidenceShare() float64 {
	return min(maxSensitivity, relapseSensitivity*float64(s.relapses))
}

// EjectedUntil returns the end of the present ejection.
func (s *EjectionState) EjectedUntil() time.Time { return s.ejectedUntil }
