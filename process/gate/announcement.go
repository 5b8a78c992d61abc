package gate

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cuminwheel/cuminwheel/request/field"
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

// Errors returned by Announce and Deregister.
var (
	// ErrWrongTarget means that an announcement names another service or address
	// than those of the target beside the node.
	ErrWrongTarget = errors.New("the announcement is not of the target beside this node")
	// ErrStale means that the gate already knows a newer state of the target.
	ErrStale = errors.New("the message is older than the known state of the target")
	// ErrNotHeld means that the gate has closed for a target that leaves, but that neither
	// the store nor, after some seconds, other nodes hold that yet. It must not be confirmed:
	// if the node were killed, its next process would not know of it.
	ErrNotHeld = errors.New("the target gets no new requests, but the store does not hold its leave yet; repeat the call")
)

// AnnouncementError reports an invalid field of an announcement and how to correct
// it.
type AnnouncementError = field.Error

const (
	// maxSlots is the largest number of slots that a target may announce.
	maxSlots = 10_000
	// maxStartAhead bounds how far the start of a target may lie in the future. A target
	// has the clock of its node, which may have been set back since.
	maxStartAhead = 24 * time.Hour
	// maxSequence bounds the numbers of announcements, of which a target sends about one a
	// second.
	maxSequence = 1 << 40
)

// Validate returns an *AnnouncementError for the first invalid field, or nil.
func (a Announcement) Validate(now time.Time) error {
	var c field.Checker
	c.Name("instance", a.Instance)
	c.Name("service", a.Service)
	c.Address("address", a.Address)
	c.Int("slots", int64(a.Slots), 1, maxSlots)
	c.StartTime("born", a.StartedAt.UnixMilli(), now, maxStartAhead)
	c.Int("seq", a.Sequence, 0, maxSequence)
	c.Duration("cold_remaining", max(0, a.WarmupEndsAt.Sub(now)))
	return c.Err()
}

// Deregistration is the message of a target that leaves for good.
type Deregistration struct {
	Instance string
	// StartedAt is zero if the message does not contain the start time.
	StartedAt time.Time
}

// Validate returns an *AnnouncementError for the first invalid field, or nil.
func (d Deregistration) Validate(now time.Time) error {
	var c field.Checker
	c.Name("instance", d.Instance)
	if !d.StartedAt.IsZero() {
		c.StartTime("born", d.StartedAt.UnixMilli(), now, maxStartAhead)
	}
	return c.Err()
}
