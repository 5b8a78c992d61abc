package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/process/health"
	"github.com/cuminwheel/cuminwheel/process/schedule"
)

// targetState holds what the gate knows about its target. Gate.mu guards it.
type targetState struct {
	announced Announcement
	// isKnown means that the current incarnation has announced itself or
	// deregistered.
	isKnown bool
	// hasDeregistered means that the current incarnation has deregistered.
	hasDeregistered bool
	// lastAnnouncedAt is when the current incarnation last announced itself. If
	// only its deregistration is known, it is the time of that.
	lastAnnouncedAt time.Time
	regularity      regularity
	// pendingAnnouncement is the last announcement of an incarnation that seems to be
	// older than the current one, but may be a new one whose clock is behind.
	pendingAnnouncement Announcement
	departures          departures
	// shedAt is when the target itself last shed a request.
	shedAt time.Time
	// inFlight is the number of slots in use.
	inFlight int
	// lastSuccessStart is the latest start of the requests that succeeded.
	lastSuccessStart time.Time
	durations        durations
	breaker          health.CircuitBreaker
	restrictions     restrictions
	// shedding is recorded with every scheduling, and applies with the shared one.
	shedding schedule.Shedding
	// sent counts the requests that the incarnation was sent.
	sent int
}

func newTargetState() targetState { return targetState{durations: newDurations()} }

// renewed returns the state of another incarnation, whose requests still share the
// slots with those of the last one. Restrictions of the same incarnation go on.
func (t *targetState) renewed(identity uint64) targetState {
	s := newTargetState()
	s.inFlight, s.restrictions, s.departures = t.inFlight, t.restrictions, t.departures
	if identity != t.restrictions.identity {
		s.restrictions = restrictions{identity: identity}
	}
	return s
}

// isOpen reports whether the target accepts requests.
func (t *targetState) isOpen() bool { return t.isKnown && !t.isLeaving() }

// isLeaving reports whether the target has announced that it leaves, or has said so in
// a response.
func (t *targetState) isLeaving() bool {
	return t.hasDeregistered || t.announced.Draining || t.restrictions.leaving
}

// takeoverSilence is how long the current incarnation must have been silent
// before one with an earlier start time may replace it. The target's clock may
// jump back by seconds, so that a new incarnation looks older; a running target
// announces itself about every 1.5 s.
const takeoverSilence = 5 * time.Second

// applyAnnouncement updates the state from an announcement. changed reports
// whether the incarnation or the announced draining flag differs from before.
func (t *targetState) applyAnnouncement(a Announcement, now time.Time) (changed bool, err error) {
	isSameIncarnation := a.Instance == t.announced.Instance && a.StartedAt.Equal(t.announced.StartedAt)
	switch {
	case !t.isKnown && t.departures.includes(a):
		// The gate has restarted since.
		a.Draining = true
	case !t.isKnown && !t.mayBeDeregistered(a):
	case !isSameIncarnation && t.departures.includes(a):
		return false, ErrStale
	case t.isKnown && isSameIncarnation:
		// A deregistered incarnation never accepts requests again.
		switch {
		case t.hasDeregistered:
			return false, ErrStale
		case a.Sequence > t.announced.Sequence:
		case a.Draining && !t.announced.Draining:
			// An incarnation that has drained never reopens, so that this is true however
			// late it comes. The higher number may be that of an odd announcement.
			a.Sequence = t.announced.Sequence
		default:
			return false, ErrStale
		}
		changed = a.Draining != t.announced.Draining
		// An incarnation that drains never reopens.
		a.Draining = a.Draining || t.announced.Draining
		t.announced, t.lastAnnouncedAt = a, now
		t.recordDeparture()
		return changed, nil
	case t.mayBeDeregistered(a) || !a.StartedAt.After(t.announced.StartedAt):
		previous := t.pendingAnnouncement
		t.pendingAnnouncement = a
		isRepeating := previous.Instance == a.Instance && previous.StartedAt.Equal(a.StartedAt) && a.Sequence > previous.Sequence
		if !isRepeating || now.Sub(t.lastAnnouncedAt) < takeoverSilence {
			return false, ErrStale
		}
	}
	*t = t.renewed(a.identity())
	t.announced, t.isKnown, t.lastAnnouncedAt = a, true, now
	t.recordDeparture()
	return true, nil
}

// recordDeparture remembers that the current incarnation leaves, if it has announced that.
func (t *targetState) recordDeparture() {
	if t.hasDeregistered || t.announced.Draining {
		t.departures = t.departures.with(departureOf(t.announced.Instance, t.announced.StartedAt))
	}
}

// mayBeDeregistered reports whether an announcement may be a delayed one of a
// deregistered incarnation. That is undecidable if only a deregistration without
// a start time is known.
func (t *targetState) mayBeDeregistered(a Announcement) bool {
	return t.departures.mayInclude(a) || t.hasDeregistered && t.announced.StartedAt.IsZero() && a.Instance == t.announced.Instance
}

// applyDeregistration updates the state from a deregistration. That of an incarnation whose
// announcements have not arrived yet is recorded too: it replaces an earlier one at the
// address, and it must not be opened by a late announcement.
func (t *targetState) applyDeregistration(d Deregistration, now time.Time) (changed bool, err error) {
	isCurrent := t.isKnown && d.Instance == t.announced.Instance && (d.StartedAt.IsZero() || d.StartedAt.Equal(t.announced.StartedAt))
	switch {
	case isCurrent:
		changed = !t.hasDeregistered
		t.hasDeregistered = true
		t.recordDeparture()
		return changed, nil
	case t.isKnown && !d.StartedAt.After(t.announced.StartedAt):
		// It may also be a new one whose clock is behind.
		t.departures = t.departures.with(departureOf(d.Instance, d.StartedAt))
		return false, ErrStale
	}
	a := Announcement{Instance: d.Instance, StartedAt: d.StartedAt}
	if t.isKnown {
		a.Address = t.announced.Address
		*t = t.renewed(a.identity())
	}
	t.lastAnnouncedAt = now
	t.announced = a
	t.isKnown, t.hasDeregistered = true, true
	t.recordDeparture()
	return true, nil
}
