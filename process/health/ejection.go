package health

import "time"

// EjectionState is the state of one target in the cycle of ejection, trial and
// return. The zero value is that of a healthy target. It is not safe for
// concurrent use.
type EjectionState struct {
	phase        Phase
	ejectedUntil time.Time
	trialScore   int
	// relapses counts the ejections since the target was last considered
	// healthy.
	relapses int
	// servingSince is when the target last passed a trial.
	servingSince time.Time
}

// Phase is the phase of ejection and return that a target is in.
type Phase int

// The phases.
const (
	// PhaseServing means that the target gets all kinds of requests.
	PhaseServing Phase = iota
	// PhaseEjected means that the target gets no requests.
	PhaseEjected
	// PhaseTrial means that the target gets one idempotent request at a time.
	PhaseTrial
)

const (
	// firstEjection and maxEjection bound the duration of an ejection.
	firstEjection = 5 * time.Second
	maxEjection   = 80 * time.Second
	// slowScore and failedScore are added to a trial's score for a slow and for
	// a failed request; a request of normal latency adds 1.
	slowScore   = -2
	failedScore = -8
	// returnScore is the score at which the target returns after its first
	// ejection; it doubles with each relapse up to maxReturnScore.
	returnScore    = 8
	maxReturnScore = 64
	// relapseScore is the score at which the target is ejected again.
	relapseScore = -8
	// relapseMemory is how long a returned target must stay healthy for its
	// earlier ejections to be forgotten.
	relapseMemory = 5 * time.Minute
	// evidencePerRelapse is the share of the detection threshold that each
	// relapse adds to the initial evidence, up to maxInitialEvidence.
	evidencePerRelapse = 0.2
	maxInitialEvidence = 0.4
)

// Phase returns the phase at the given time. An ejection whose time is over
// becomes a trial.
func (s *EjectionState) Phase(now time.Time) Phase {
	if s.phase == PhaseEjected && !now.Before(s.ejectedUntil) {
		s.phase = PhaseTrial
		s.trialScore = 0
	}
	return s.phase
}

// EjectionDuration returns how long an ejection at the given time would last.
// It doubles with each relapse.
func (s *EjectionState) EjectionDuration(now time.Time) time.Duration {
	if s.phase == PhaseServing && now.Sub(s.servingSince) > relapseMemory {
		s.relapses = 0
	}
	return min(maxEjection, firstEjection<<min(s.relapses, 10))
}

// Eject ejects the target for its EjectionDuration.
func (s *EjectionState) Eject(now time.Time) {
	s.ejectedUntil = now.Add(s.EjectionDuration(now))
	s.relapses++
	s.phase = PhaseEjected
}

// StartTrial ends an ejection before its time, because the floor needs the
// target or its siblings no longer confirm enough healthy capacity. It has no
// effect in other phases.
func (s *EjectionState) StartTrial() {
	if s.phase == PhaseEjected {
		s.phase = PhaseTrial
		s.trialScore = 0
	}
}

// TrialResult is the result of a trial so far.
type TrialResult int

// The trial results.
const (
	// TrialPending means that the trial goes on, or that there is none.
	TrialPending TrialResult = iota
	// TrialPassed means that the target is serving again.
	TrialPassed
	// TrialFailed means that the target is ejected again.
	TrialFailed
)

// RecordTrial records one request of the trial. normal means that its latency
// is normal for the target when healthy; failed means that the response was an
// error or never came. The target returns when normal requests outweigh the
// others by a score that doubles with each relapse. It is ejected again when
// the others outweigh them by a fixed score.
func (s *EjectionState) RecordTrial(now time.Time, normal, failed bool) TrialResult {
	if s.phase != PhaseTrial {
		return TrialPending
	}
	switch {
	case failed:
		s.trialScore += failedScore
	case normal:
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
		s.servingSince = now
		return TrialPassed
	}
	return TrialPending
}

// InitialEvidenceShare returns the share of the threshold at which the evidence
// of the target's Detector should start. It grows with each relapse.
func (s *EjectionState) InitialEvidenceShare() float64 {
	return min(maxInitialEvidence, evidencePerRelapse*float64(s.relapses))
}

// EjectedUntil returns the planned end of the latest ejection.
func (s *EjectionState) EjectedUntil() time.Time { return s.ejectedUntil }
