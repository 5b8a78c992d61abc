package gate

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Announcement is the state that a target reports to the node beside it.
type Announcement struct {
	// Instance names the target. A target may restart under the same name.
	Instance string
	Service  string
	// Address is where the target listens, as IP:port.
	Address string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// StartedAt is when the target started, by its own clock. Of two
	// incarnations at one address the one that started later counts.
	StartedAt time.Time
	// Sequence increases with each announcement of an incarnation.
	Sequence int64
	// Draining means that the target accepts no more requests.
	Draining bool
	// WarmupEndsAt is when the target has warmed up and reaches its full speed.
	WarmupEndsAt time.Time
}

// identity returns a hash that identifies the run of the target in the fleet.
func (a Announcement) identity() uint64 {
	return xxhash.Sum64String(a.Instance + "/" + strconv.FormatInt(a.StartedAt.UnixMilli(), 36) + "/" + a.Address)
}

// Deregistration is the message of a target that leaves for good.
type Deregistration struct {
	Instance string
	// StartedAt is zero if the message does not contain the start time.
	StartedAt time.Time
}

// Errors returned by Announce and Deregister.
var (
	// ErrWrongTarget means that an announcement names another service or address
	// than those of the target beside the node.
	ErrWrongTarget = errors.New("the announcement is not of the target beside this node")
	// ErrStale means that the gate already knows a newer state of the target.
	ErrStale = errors.New("the message is older than the known state of the target")
)

// AnnouncementError reports an invalid field of an announcement and how to correct
// it.
type AnnouncementError struct {
	Field  string
	Remedy string
}

func (e *AnnouncementError) Error() string { return e.Field + ": " + e.Remedy }

// maxSlots is the largest number of slots that a target may announce.
const maxSlots = 10_000

// Validate returns an *AnnouncementError for the first invalid field, or nil.
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
