package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/cuminwheel/cuminwheel/request/metadata"
)

// limitKnowledge is what a gate knows about the request limit of its target.
type limitKnowledge int

const (
	// unlimited means that the target has named no limit.
	unlimited limitKnowledge = iota
	// limited means that the target has named a limit.
	limited
	// limitUnknown means that the target may have named a limit which the gate has
	// not heard of. The target then runs one request at a time until it responds.
	limitUnknown
)

const (
	// minLimit, in requests per second, replaces lower limits: without any request
	// the gate would never learn that the limit is over.
	minLimit = 0.2
	// burstDuration is how long the unused part of a limit is kept.
	burstDuration = 500 * time.Millisecond
	// limitTTL is how long a limit holds that no response repeats.
	limitTTL = time.Minute
	// maxProbation bounds the time for which a target runs one request at a time.
	maxProbation = 2 * time.Second
	// timerResolution is added to the time of the next token, so that a timer which
	// fires then finds it complete.
	timerResolution = time.Millisecond
)

// limiter keeps a target to the limit that it has named, with a token bucket. All
// requests of the fleet pass the gate, so the limit is kept by all nodes together.
type limiter struct {
	knowledge limitKnowledge
	// isHeard means that a response has told the knowledge. Until then what entries
	// remember counts.
	isHeard bool
	// perSecond is the limit.
	perSecond float64
	// namedAt is when a response or another node last named the limit.
	namedAt    time.Time
	tokens     float64
	refilledAt time.Time
	// probationEndsAt is when an unknown limit is taken to be none; zero until the
	// target gets a request.
	probationEndsAt time.Time
}

// capacity is the number of tokens that the bucket holds.
func (l *limiter) capacity() float64 {
	return max(1, l.perSecond*burstDuration.Seconds())
}

// refill brings the bucket up to the given time, and ends a limit that is too old.
func (l *limiter) refill(now time.Time) {
	if l.knowledge == limitUnknown && !l.probationEndsAt.IsZero() && now.After(l.probationEndsAt) {
		l.knowledge = unlimited
	}
	if l.knowledge != limited {
		return
	}
	l.tokens = min(l.capacity(), l.tokens+l.perSecond*max(0, now.Sub(l.refilledAt).Seconds()))
	l.refilledAt = now
	if now.Sub(l.namedAt) > limitTTL {
		l.knowledge, l.isHeard, l.probationEndsAt = limitUnknown, false, time.Time{}
	}
}

// name records a limit. The bucket of a new one is empty.
func (l *limiter) name(perSecond float64, now time.Time) (changed bool) {
	perSecond = max(minLimit, perSecond)
	changed = l.knowledge != limited || l.perSecond != perSecond
	l.refill(now)
	if l.knowledge != limited {
		l.tokens, l.refilledAt = 0, now
	}
	l.knowledge, l.perSecond, l.namedAt = limited, perSecond, now
	l.tokens = min(l.tokens, l.capacity())
	return changed
}

// observe records what the response to a request that started at startedAt says about
// the limit.
func (l *limiter) observe(t metadata.TargetResponse, startedAt, now time.Time) (changed bool) {
	switch {
	case t.HasRequestLimit:
		l.isHeard = true
		return l.name(t.RequestLimit, now)
	case !t.Signed || t.InvalidNotice != "":
		return false
	case l.knowledge == limited && startedAt.Before(l.namedAt):
		// The response may be older than the one that named the limit.
		return false
	}
	changed = l.knowledge != unlimited
	l.knowledge, l.isHeard = unlimited, true
	return changed
}

// canAdmit reports whether the target, which runs inFlight requests, may get another.
func (l *limiter) canAdmit(now time.Time, inFlight int) bool {
	l.refill(now)
	switch l.knowledge {
	case limited:
		return l.tokens >= 1
	case limitUnknown:
		return inFlight == 0
	}
	return true
}

// take counts an admitted request, refund one that was not sent after all.
func (l *limiter) take(now time.Time) {
	l.tokens--
	if l.probationEndsAt.IsZero() {
		l.probationEndsAt = now.Add(maxProbation)
	}
}

func (l *limiter) refund() { l.tokens = min(l.capacity(), l.tokens+1) }

// nextAt returns when the target may get a request that ahead others precede. It is
// zero if no limit delays it.
func (l *limiter) nextAt(now time.Time, ahead int) time.Time {
	l.refill(now)
	missing := float64(ahead+1) - l.tokens
	if l.knowledge != limited || missing <= 0 {
		return time.Time{}
	}
	return now.Add(field.Seconds(missing/l.perSecond) + timerResolution)
}
