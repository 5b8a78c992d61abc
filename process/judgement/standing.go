package judgement

import "time"

// Standing is what has been decided about one target. The zero Standing is
// that of a healthy one. It is not safe for concurrent use.
type Standing struct {
	phase        Phase
	ejectedUntil time.Time
	trialPasses  int
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
	trialCount   = 8
	// relapseMemory is how long a returned target must stay healthy for its
	// earlier sickness to be forgotten.
	relapseMemory = 5 * time.Minute
	// relapseSensitivity is the head start of evidence for each relapse.
	relapseSensitivity = 0.25
	maxSensitivity     = 0.5
)

// Phase returns the phase at the given time; an ejection that is over turns
// into a trial.
func (s *Standing) Phase(now time.Time) Phase {
	if s.phase == PhaseEjected && !now.Before(s.ejectedUntil) {
		s.phase = PhaseTrial
		s.trialPasses = 0
	}
	return s.phase
}

// Timeout returns how long an ejection at the given time would last. It
// doubles with each relapse.
func (s *Standing) Timeout(now time.Time) time.Duration {
	if s.phase == PhaseServing && now.Sub(s.healthySince) > relapseMemory {
		s.relapses = 0
	}
	return min(maxTimeout, firstTimeout<<min(s.relapses, 10))
}

// Eject takes the target out for its Timeout.
func (s *Standing) Eject(now time.Time) {
	s.ejectedUntil = now.Add(s.Timeout(now))
	s.relapses++
	s.phase = PhaseEjected
}

// Reinstate ends an ejection before its time, since the floor needs the
// target or its siblings no longer vouch.
func (s *Standing) Reinstate() {
	if s.phase == PhaseEjected {
		s.phase = PhaseTrial
		s.trialPasses = 0
	}
}

// TrialPassed records a quick success in the trial and reports whether the
// target has returned to serving.
func (s *Standing) TrialPassed(now time.Time) bool {
	s.trialPasses++
	if s.phase != PhaseTrial || s.trialPasses < trialCount {
		return false
	}
	s.phase = PhaseServing
	s.healthySince = now
	return true
}

// Sensitivity is the share of the threshold that a judge should start from.
func (s *Standing) Sensitivity() float64 {
	return min(maxSensitivity, relapseSensitivity*float64(s.relapses))
}

// EjectedUntil returns the end of the present ejection.
func (s *Standing) EjectedUntil() time.Time { return s.ejectedUntil }
