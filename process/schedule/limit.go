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
)

// Limit is the adaptive concurrency limit of a target: additive increase, multiplicative
// decrease between 1 and the slots that the target has announced. A target that refuses a
// request while nothing else runs is shedding load. It gets single requests, at growing
// intervals, until one is run. The zero value allows nothing until SetSlots is called.
type Limit struct {
	slots int
	value float64
	// loweredAt is when a refusal last lowered the limit.
	loweredAt time.Time
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

// RecordCompletion records that the target has run a request which started at startedAt.
// running is the number of requests that ran at its end, including it.
func (l *Limit) RecordCompletion(startedAt time.Time, running int) {
	if startedAt.Before(l.loweredAt) {
		return
	}
	switch {
	case l.isShedding:
		l.isShedding, l.inSlowStart = false, true
		l.value = 2
	case l.inSlowStart:
		l.value++
	case float64(running) >= minUseToRaise*l.value:
		l.value += 1 / l.value
	}
	if l.value >= float64(l.slots) {
		l.value, l.inSlowStart = float64(l.slots), false
	}
}

// RecordLoss records a request that ended without showing whether the target runs
// requests. The next trial of a shedding target follows at the same interval.
func (l *Limit) RecordLoss(now time.Time) {
	if l.isShedding {
		l.trialAt = now.Add(l.trialInterval)
	}
}
