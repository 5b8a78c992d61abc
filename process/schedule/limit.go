package schedule

import (
	"math"
	"time"
)

const (
	// minTrialInterval and maxTrialInterval bound the time from a refusal by a shedding
	// target to its next request. A healthy target must not be left without requests for
	// 2 s, so the upper bound lies below that.
	minTrialInterval = 200 * time.Millisecond
	maxTrialInterval = 1600 * time.Millisecond
	// decreaseFactor is the share of the limit that remains after a refusal.
	decreaseFactor = 0.8
	// warmupShare is the share of its slots at which a target starts that warms up.
	warmupShare = 0.5
	// minUseToRaise is the share of the limit that must be in use for a success to raise
	// it. A success at lower use shows nothing about a higher limit.
	minUseToRaise = 0.5
	// slowRaise divides the raise towards a number of running requests at which the target
	// has refused one. Without it, a target that takes 6 of its 15 slots refused 41 of 587
	// requests in 20 s, and with it 18 of 611.
	slowRaise = 8
)

// Limit is the adaptive concurrency limit of a target: additive increase, multiplicative
// decrease between 1 and the slots that the target has announced, or the lower number at
// which the target completes the most. A target that refuses a
// request while nothing else runs is shedding load. It gets single requests, at growing
// intervals, until one is run. The zero value allows nothing until SetSlots is called.
type Limit struct {
	slots int
	value float64
	// loweredAt is when a refusal last lowered the limit.
	loweredAt time.Time
	// refusedAt is the number of running requests at which the target last refused one, or
	// 0 if the limit has passed it since.
	refusedAt int
	// lastStartAt is when the target last got a request.
	lastStartAt time.Time
	isShedding  bool
	// trialInterval is the time from the last refusal to trialAt, when a shedding target
	// may get its next request.
	trialInterval time.Duration
	trialAt       time.Time
	// inSlowStart means that each success raises the limit by 1, after shedding has
	// ended. Shedding says nothing about how many requests the target can run.
	inSlowStart bool
	curve       curve
}

// Completion describes a request that the target has run.
type Completion struct {
	StartedAt, EndedAt time.Time
	// RunningAtStart and RunningAtEnd are the numbers of requests that ran then, including
	// it.
	RunningAtStart, RunningAtEnd int
	// Route identifies requests that take about the same time.
	Route uint32
	// IsError means that the response was an error, so that the duration shows nothing.
	IsError bool
}

// SetSlots sets the slots that the target has announced. A target that is warming up when
// its slots are first set starts at half of them.
func (l *Limit) SetSlots(slots int, isWarmingUp bool) {
	switch {
	case slots == l.slots:
		return
	case l.slots == 0 && isWarmingUp:
		l.value = math.Ceil(warmupShare * float64(slots))
	case l.slots == 0 || l.value >= float64(l.slots):
		l.value = float64(slots)
	}
	l.slots = slots
	l.curve.reset(slots)
	l.value = max(1, min(l.value, float64(slots)))
}

// Current returns the limit, which is at least 1.
func (l *Limit) Current() int { return max(1, int(l.value)) }

// IsShedding reports whether the target refuses all requests.
func (l *Limit) IsShedding() bool { return l.isShedding }

// TrialAt returns when a shedding target may get its next request; zero if it does not
// shed.
func (l *Limit) TrialAt() time.Time {
	if !l.isShedding {
		return time.Time{}
	}
	return l.trialAt
}

// CanStart reports whether the target, which runs the given number of requests, may get
// another one. One request each maxTrialInterval is allowed whatever the limit is, so that
// a long request which still runs does not hide that the target has recovered.
func (l *Limit) CanStart(now time.Time, running int) bool {
	if running >= l.slots {
		return false
	}
	isOverdue := !now.Before(l.lastStartAt.Add(maxTrialInterval))
	if l.isShedding {
		return isOverdue || running == 0 && !now.Before(l.trialAt)
	}
	return isOverdue || running < l.Current()
}

// NextAt returns when the target may get a request although none of those that run ends.
// It is zero if it may get one now, or if one has to end first.
func (l *Limit) NextAt(now time.Time, running int) time.Time {
	if running >= l.slots || l.CanStart(now, running) {
		return time.Time{}
	}
	at := l.lastStartAt.Add(maxTrialInterval)
	if l.isShedding && running == 0 && l.trialAt.Before(at) {
		at = l.trialAt
	}
	return at
}

// Start records that the target gets a request.
func (l *Limit) Start(now time.Time) { l.lastStartAt = now }

// RecordRefusal records that the target itself refused a request which started at
// startedAt, while the given number of others ran.
func (l *Limit) RecordRefusal(startedAt, now time.Time, others int) {
	l.inSlowStart = false
	l.refusedAt = others + 1
	switch {
	case l.isShedding:
		l.trialInterval = min(maxTrialInterval, 2*l.trialInterval)
		l.trialAt = now.Add(l.trialInterval)
	case others == 0:
		l.isShedding, l.value = true, 1
		l.trialInterval = minTrialInterval
		l.trialAt = now.Add(l.trialInterval)
	case startedAt.Before(l.loweredAt):
		// The limit has been lowered since; the refusal only shows that the target ran
		// no more than the others.
		l.value = max(1, min(l.value, float64(others)))
	default:
		l.value = max(1, min(l.value*decreaseFactor, float64(others)))
	}
	l.loweredAt = now
}

// RecordCompletion records that the target has run a request.
func (l *Limit) RecordCompletion(c Completion) {
	if l.slots == 0 {
		return
	}
	if !c.IsError {
		l.curve.record(c.Route, c.EndedAt.Sub(c.StartedAt), float64(c.RunningAtStart+c.RunningAtEnd)/2, c.EndedAt)
	}
	l.raise(c)
	if ceiling := float64(l.curve.ceiling); l.value >= ceiling {
		l.value, l.inSlowStart = ceiling, false
	}
}

// raise raises the limit after a completion.
func (l *Limit) raise(c Completion) {
	if c.StartedAt.Before(l.loweredAt) {
		return
	}
	switch {
	case l.isShedding:
		l.isShedding, l.inSlowStart = false, true
		l.value, l.refusedAt = 2, 0
	case l.inSlowStart:
		l.value++
	case float64(c.RunningAtEnd) >= minUseToRaise*l.value:
		step := 1 / l.value
		if l.value+1 > float64(l.refusedAt) && l.refusedAt > 0 {
			step /= slowRaise
		}
		l.value += step
	}
	if l.value >= float64(l.refusedAt) {
		l.refusedAt = 0
	}
}

// RecordLoss records a request that ended without showing whether the target runs
// requests. The next trial of a shedding target follows at the same interval.
func (l *Limit) RecordLoss(now time.Time) {
	if l.isShedding {
		l.trialAt = now.Add(l.trialInterval)
	}
}
