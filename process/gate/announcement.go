package gate

import (
	"fmt"
	"net"
	"time"

	"github.com/go-faster/errors"
)

// Announcement is what a target says of itself to the node beside it.
type Announcement struct {
	// Instance names the target. A target may start again under the same name.
	Instance string
	Service  string
	// Address is the target's own, IP:port.
	Address string
	// Slots is how many requests the target runs at once.
	Slots int
	// StartedAt is when the target started, by its own clock. Of two starts at one
	// address the later one counts.
	StartedAt time.Time
	// Sequence grows with each announcement of one start.
	Sequence int64
	// Draining asks for no new work.
	Draining bool
	// WarmupEndsAt is when the target has warmed up after its start.
	WarmupEndsAt time.Time
}

// Deregistration is what a target says when it leaves for good.
type Deregistration struct {
	Instance string
	// StartedAt is zero if the target does not say when it started.
	StartedAt time.Time
}

// Errors of announcements.
var (
	// ErrWrongTarget means that an announcement is of another target than the one
	// beside the node.
	ErrWrongTarget = errors.New("the announcement is not of the target beside this node")
	// ErrStale means that newer news of the target is known.
	ErrStale = errors.New("the announcement is older than what is known")
)

// AnnouncementError is a field of an announcement that cannot be used.
type AnnouncementError struct {
	Field  string
	Remedy string
}

func (e *AnnouncementError) Error() string { return e.Field + ": " + e.Remedy }

const maxSlots = 10_000

// Validate returns an *AnnouncementError for the first wrong field.
func (a Announcement) Validate() error {
	switch {
	case a.Instance == "":
		return &AnnouncementError{"instance", "name the target's start"}
	case a.Service == "":
		return &AnnouncementError{"service", "name the service that the target belongs to"}
	case a.Slots < 1 || a.Slots > maxSlots:
		return &AnnouncementError{"slots", fmt.Sprintf("give a number from 1 to %d", maxSlots)}
	case a.StartedAt.IsZero():
		return &AnnouncementError{"born", "give the time of the target's start"}
	}
	host, _, err := net.SplitHostPort(a.Address)
	if err != nil || net.ParseIP(host) == nil {
		return &AnnouncementError{"address", "give an IP number and a port"}
	}
	return nil
}
