package gate

import (
	"time"

	"github.com/cuminwheel/cuminwheel/process/health"
)

// target is what the gate knows of the target beside it. The gate's mutex
// guards it.
type target struct {
	announced Announcement
	// known means that an announcement of the present start has come.
	known bool
	// left means that the present start has said farewell or was found gone.
	left bool
	// heardAt is when the present start last announced itself.
	heardAt time.Time
	// rival is the last announcement of a start that seems to be an older one.
	rival Announcement
	// shedAt is when the target last refused a request by itself.
	shedAt time.Time
	// running counts the slots that are taken.
	running   int
	durations durations
	trust     health.CircuitBreaker
}

func newTarget() target { return target{durations: newDurations()} }

// isOpen reports whether the target takes new work.
func (t *target) isOpen() bool { return t.known && !t.left && !t.announced.Draining }

// rivalSilence is how long the known start must have been silent for one that
// seems older to take its place: clocks may jump by seconds, and a target
// announces itself every 1.5 s or so.
const rivalSilence = 5 * time.Second

// hear takes in an announcement. changed reports whether a start began or the
// target opened or closed.
func (t *target) hear(a Announcement, now time.Time) (changed bool, err error) {
	sameStart := a.Instance == t.announced.Instance && a.StartedAt.Equal(t.announced.StartedAt)
	switch {
	case !t.known:
	case sameStart:
		// A start that said farewell does not come back.
		if t.left || a.Sequence <= t.announced.Sequence {
			return false, ErrStale
		}
		changed = a.Draining != t.announced.Draining
		// Draining ends only with the start.
		a.Draining = a.Draining || t.announced.Draining
		t.announced, t.heardAt = a, now
		return changed, nil
	case t.isNamedByFarewell(a) || !a.StartedAt.After(t.announced.StartedAt):
		last := t.rival
		t.rival = a
		isAlive := last.Instance == a.Instance && last.StartedAt.Equal(a.StartedAt) && a.Sequence > last.Sequence
		if !isAlive || now.Sub(t.heardAt) < rivalSilence {
			return false, ErrStale
		}
	}
	running := t.running
	*t = newTarget()
	t.running = running
	t.announced, t.known, t.heardAt = a, true, now
	return true, nil
}

// isNamedByFarewell reports whether an announcement may be a late one of a start
// of which only a farewell without its birth is known.
func (t *target) isNamedByFarewell(a Announcement) bool {
	return t.left && t.announced.StartedAt.IsZero() && a.Instance == t.announced.Instance
}

// leave takes in a farewell. An unknown start's is remembered too, since its
// announcements may still come.
func (t *target) leave(f Deregistration, now time.Time) (changed bool, err error) {
	if !t.known {
		t.heardAt = now
		t.announced = Announcement{Instance: f.Instance, StartedAt: f.StartedAt}
		t.known, t.left = true, true
		return true, nil
	}
	if f.Instance != t.announced.Instance || !f.StartedAt.IsZero() && f.StartedAt.Before(t.announced.StartedAt) {
		return false, ErrStale
	}
	changed = !t.left
	t.left = true
	return changed, nil
}
