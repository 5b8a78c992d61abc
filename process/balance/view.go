package balance

import "time"

// Distance is the network distance between the node and a gate.
type Distance uint8

// The distances, nearest first.
const (
	DataCentre Distance = iota
	Region
	Remote
	distances
)

// View is what a node knows of one gate.
type View struct {
	Distance Distance
	// DataCentre numbers the gate's data centre. Knowledge is averaged by it.
	DataCentre uint8
	// Excluded means that the request must not be sent to the gate.
	Excluded bool
	// Unavailable means that the gate is unreachable or does not accept requests.
	Unavailable bool
	// Suspected means that the gate's target has failed lately.
	Suspected bool
	// Outstanding and Slots are the requests at the target, queued ones included, and
	// how many it runs concurrently, as last reported. Slots is 0 if the gate has
	// never reported.
	Outstanding, Slots int
	// Age is the time since the report.
	Age time.Duration
	// SentSince counts the node's own requests in flight that the report cannot
	// contain.
	SentSince int
	// SinceSuccess is the time since the target's last known success.
	SinceSuccess time.Duration
	// Pace is the duration of requests at the gate relative to the mean of the service
	// for the same route, and PaceAge the time since it was measured. Pace is 0 if it
	// has not been measured.
	Pace    float64
	PaceAge time.Duration
	// RoundTrip is the measured round-trip time, or 0.
	RoundTrip time.Duration
}

// Request is what the choice depends on.
type Request struct {
	// CanRetry means that the request can be sent to another target if this one fails
	// it, so that it may test a suspected target.
	CanRetry bool
	// NonIdempotent means that the request must not be sent twice. It is never sent to a
	// suspected target.
	NonIdempotent bool
	// Bulk means that the request or its response is large.
	Bulk bool
	// Work is the mean time that a target of the service works on a request of the
	// route, or 0 if it is not known.
	Work time.Duration
	// Remaining is the time left before the deadline.
	Remaining time.Duration
	// Nearest and Farthest bound the distances of the gates.
	Nearest, Farthest Distance
	// IncludeUnhealthy admits gates that are unavailable, or suspected.
	IncludeUnhealthy bool
}

// Cost is the expected time that a request needs at a gate, by its parts.
type Cost struct {
	// Travel is the round-trip time.
	Travel time.Duration
	// Load is the time until the outstanding requests and this one have been worked
	// off, at the mean pace of the service.
	Load time.Duration
	// Pace is what the gate's own pace adds to Load. It is negative for a fast target.
	Pace time.Duration
	// Risk is the expected loss from a failure of the target.
	Risk time.Duration
}

// Total returns the sum of the parts.
func (c Cost) Total() time.Duration { return c.Travel + c.Load + c.Pace + c.Risk }
