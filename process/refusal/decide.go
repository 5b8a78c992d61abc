package refusal

import "time"

const (
	// RoundInterval is the shortest time between two rounds of a request.
	RoundInterval = 60 * time.Millisecond
	// MaxHeldRounds bounds the rounds of a held request. Spread over the 4 s of a call in
	// the van routing deployment, 8 rounds find a gate with capacity within 0.5 s.
	MaxHeldRounds = 8
	// GatesPerHeldRound bounds the gates that a held request asks in one round.
	GatesPerHeldRound = 2
	// prospectLatencyShare and idleLatencyShare are the shares of the target latency
	// after which a request whose caller returns is refused, if a gate has named a time
	// at which it will have capacity and if none has.
	prospectLatencyShare = 0.3
	idleLatencyShare     = 1.0 / 8
	// defaultWorkShare is the expected work as a share of the target latency while none
	// has been measured. maxWorkShare bounds the measured work, which includes the time
	// in gates' queues.
	defaultWorkShare = 0.25
	maxWorkShare     = 0.5
	// paceJitter is the share of the time between held rounds over which the rounds of
	// requests that arrived together are spread.
	paceJitter = 0.25
)

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// ReasonTooLate means that the request can no longer be served before its deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonNoProspect means that no gate is expected to grant a slot soon, and that the
	// caller can return.
	ReasonNoProspect Reason = "no_prospect"
	// ReasonRoundsUsed means that a held request has used up its rounds.
	ReasonRoundsUsed Reason = "rounds_used"
	// ReasonTooManyHeld means that the entry holds as many requests as it may, or that the
	// body is too large to be held.
	ReasonTooManyHeld Reason = "too_many_held"
	// ReasonEarlyReturn means that the request returned before its promised time.
	ReasonEarlyReturn Reason = "early_return"
)

// Situation is what an entry knows of a request that no gate has granted in a round.
type Situation struct {
	Now, ReceivedAt, Deadline time.Time
	TargetLatency             time.Duration
	// Work is the expected duration of the request at a gate (ExpectedWork).
	Work time.Duration
	// CallersRetry means that the callers of the route return when they are refused.
	CallersRetry bool
	// EarliestCapacity is the earliest future time at which a gate said that it will have
	// capacity, or zero. AllNamed means that every gate of the service named such a time.
	EarliestCapacity time.Time
	AllNamed         bool
	// HeldRounds counts the rounds since the request is held. CanHold means that the entry
	// may hold one more request.
	HeldRounds int
	CanHold    bool
	// Random, from 0 to 1, spreads the rounds of requests that arrived together.
	Random float64
}

// Verdict is the decision on a request. If Reason is empty, the next round is at
// NextRoundAt.
type Verdict struct {
	Reason      Reason
	NextRoundAt time.Time
	// Held means that the request waits because its caller would not return.
	Held bool
}

// ExpectedWork returns the expected duration of a request. measured is zero if unknown.
func ExpectedWork(measured, targetLatency time.Duration) time.Duration {
	if measured == 0 {
		return time.Duration(defaultWorkShare * float64(targetLatency))
	}
	return min(measured, time.Duration(maxWorkShare*float64(targetLatency)))
}

// Decide returns whether a request waits for another round.
func Decide(s Situation) Verdict {
	latestStart := s.Deadline.Add(-s.Work)
	if !s.Now.Before(latestStart) || s.AllNamed && s.EarliestCapacity.After(latestStart) {
		return Verdict{Reason: ReasonTooLate}
	}
	if s.CallersRetry {
		return s.decideEarly(latestStart)
	}
	return s.decideHeld(latestStart)
}

// decideEarly decides on a request whose caller returns when it is refused.
func (s Situation) decideEarly(latestStart time.Time) Verdict {
	after := func(share float64) time.Time {
		return s.ReceivedAt.Add(time.Duration(share * float64(s.TargetLatency)))
	}
	next, latest := s.Now.Add(RoundInterval), after(idleLatencyShare)
	if !s.EarliestCapacity.IsZero() {
		next, latest = later(next, s.EarliestCapacity), after(prospectLatencyShare)
	}
	if next.After(latest) || next.After(latestStart) {
		return Verdict{Reason: ReasonNoProspect}
	}
	return Verdict{NextRoundAt: next}
}

// decideHeld decides on a request whose caller does not return. The rounds that are left
// are spread over the time that is left. A gate that names an earlier time is asked then,
// but only in the first half of the rounds: a target that keeps shedding names a near time
// again and again.
func (s Situation) decideHeld(latestStart time.Time) Verdict {
	switch {
	case !s.CanHold:
		return Verdict{Reason: ReasonTooManyHeld}
	case s.HeldRounds >= MaxHeldRounds:
		return Verdict{Reason: ReasonRoundsUsed}
	}
	left := latestStart.Sub(s.Now)
	if left < RoundInterval {
		return Verdict{Reason: ReasonTooLate}
	}
	soonest := s.Now.Add(RoundInterval)
	pace := left / time.Duration(MaxHeldRounds-s.HeldRounds)
	next := later(soonest, s.Now.Add(time.Duration((1-paceJitter*s.Random)*float64(pace))))
	switch at := s.EarliestCapacity; {
	case at.IsZero():
	case at.Before(next) && s.HeldRounds < MaxHeldRounds/2:
		next = later(soonest, at)
	case at.After(next) && s.AllNamed:
		next = at
	}
	return Verdict{NextRoundAt: next, Held: true}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
