package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/process/health"
)

// targetState is what the gate knows of the targetState beside it. The gate's mutex
// guards it.
type targetState struct {
	announced Announcement
	// isKnown means that an announcement of the present start has come.
	isKnown bool
	// hasDeregistered means that the present start has said farewell or was found gone.
	hasDeregistered bool
	// lastAnnouncedAt is when the present start last announced itself.
	lastAnnouncedAt time.Time
	// candidate is the last announcement of a start that seems to be an older one.
	candidate Announcement
	// shedAt is when the target last refused a request by itself.
	shedAt time.Time
	// inFlight counts the slots that are taken.
	inFlight  int
	durations durations
	breaker   health.CircuitBreaker
}

func newTargetState() targetState { return targetState{durations: newDurations()} }

// isOpen reports whether the target takes new work.
func (t *targetState) isOpen() bool { return t.isKnown && !t.hasDeregistered && !t.announced.Draining }

// takeoverSilence is how long the known start must have been silent for one that
// seems older to take its place: clocks may jump by seconds, and a target
// announces itself every 1.5 s or so.
const takeoverSilence = 5 * time.Second

// applyAnnouncement takes in an announcement. changed reports whether a start began or the
// target opened or closed.
func (t *targetState) applyAnnouncement(a Announcement, now time.Time) (changed bool, err error) {
	isSameIncarnation := a.Instance == t.announced.Instance && a.StartedAt.Equal(t.announced.StartedAt)
	switch {
	case !t.isKnown:
	case isSameIncarnation:
		// A start that said farewell does not come back.
		if t.hasDeregistered || a.Sequence <= t.announced.Sequence {
			return false, ErrStale
		}
		changed = a.Draining != t.announced.Draining
		// Draining ends only with the start.
		a.Draining = a.Draining || t.announced.Draining
		t.announced, t.lastAnnouncedAt = a, now
		return changed, nil
	case t.mayBeDeregistered(a) || !a.StartedAt.After(t.announced.StartedAt):
		previous := t.candidate
		t.candidate = a
		isRepeating := previous.Instance == a.Instance && previous.StartedAt.Equal(a.StartedAt) && a.Sequence > previous.Sequence
		if !isRepeating || now.Sub(t.lastAnnouncedAt) < takeoverSilence {
			return false, ErrStale
		}
	}
	running := t.inFlight
	*t = newTargetState()
	t.inFlight = running
	t.announced, t.isKnown, t.lastAnnouncedAt = a, true, now
	return true, nil
}

// mayBeDeregistered reports whether an announcement may be a late one of a start
// of which only a farewell without its birth is known.
func (t *targetState) mayBeDeregistered(a Announcement) bool {
	return t.hasDeregistered && t.announced.StartedAt.IsZero() && a.Instance == t.announced.Instance
}

// applyDeregistration takes in a farewell. An unknown start's is remembered too, since its
// announcements may still come.
func (t *targetState) applyDeregistration(f Deregistration, now time.Time) (changed bool, err error) {
	if !t.isKnown {
		t.lastAnnouncedAt = now
		t.announced = Announcement{Instance: f.Instance, StartedAt: f.StartedAt}
		t.isKnown, t.hasDeregistered = true, true
		return true, nil
	}
	if f.Instance != t.announced.Instance || !f.StartedAt.IsZero() && f.StartedAt.Before(t.announced.StartedAt) {
		return false, ErrStale
	}
	changed = !t.hasDeregistered
	t.hasDeregistered = true
	return changed, nil
}
