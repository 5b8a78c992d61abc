package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
)

// tier is the network distance between the entry and a gate.
type tier int

// The tiers, nearest first. Traffic between data centres is billed at a low
// rate, traffic between regions at a high one.
const (
	tierDataCentre tier = iota
	tierRegion
	tierRemote
)

func (t tier) String() string { return [...]string{"data_centre", "region", "remote"}[t] }

const (
	// stateTTL is how long the state that a gate reported is used. Unhealthy
	// targets stay unhealthy for seconds, and their gates admit trial requests
	// at intervals of about a second (200 ms to 1.6 s).
	stateTTL = time.Second
	// remoteSuspicionTTL is how long a gate of another region counts as
	// suspected after it reported so. Trying it costs 120 ms and traffic between
	// regions.
	remoteSuspicionTTL = 3 * time.Second
)

// candidate is a gate that may serve a request, with its connections and the
// state that it last reported. It is safe for concurrent use.
type candidate struct {
	node    string
	address string
	tier    tier
	// rank is the gate's position among the gates of its service and data
	// centre, from 0.
	rank int
	// dataCentre numbers the gate's data centre among those of all gates.
	dataCentre uint8
	pool       *http1.Pool
	// notices remembers what the gate's target has said about itself.
	notices *notices
	// ctx ends when the candidate is closed.
	ctx   context.Context
	close func()

	mu              sync.Mutex
	state           hopheader.GateState
	stateReceivedAt time.Time
	// sent holds when the entry's requests in flight were sent.
	sent []time.Time
	// measured is what even balancing knows of the gate besides its state.
	measured measurements
	// unreachable means that the gate could not be reached and has not reported
	// a state since; probing means that a goroutine probes it.
	unreachable bool
	probing     bool
}

// snapshot is what the entry assumes about a candidate at one moment.
type snapshot struct {
	tier         tier
	rank         int
	unreachable  bool
	notAccepting bool
	suspected    bool
	// load is the number of outstanding requests per slot; above 1, requests
	// queue.
	load float64
	// sinceSuccess is the time since the target's last known success.
	sinceSuccess time.Duration
	// stateAge is the time since the gate last reported its state.
	stateAge time.Duration
	// admitsAt is when the target's request limit admits the next request; zero if
	// none is known.
	admitsAt time.Time
}

// snapshot combines the last reported state with the entry's own requests in
// flight. Expired parts of the state are left out.
func (c *candidate) snapshot(now time.Time) snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := snapshot{tier: c.tier, rank: c.rank, unreachable: c.unreachable, stateAge: now.Sub(c.stateReceivedAt), sinceSuccess: now.Sub(c.state.LastSuccessAt)}
	outstanding, slots := len(c.sent), 1
	if s.stateAge < stateTTL {
		s.notAccepting = !c.state.Accepting
		s.suspected = c.state.Suspected
		outstanding = max(outstanding, c.state.Outstanding)
		slots = max(1, c.state.Slots)
		s.admitsAt = c.state.AdmitsAt
	} else if c.state.Slots > 0 {
		slots = c.state.Slots
	}
	if c.tier == tierRemote && s.stateAge < remoteSuspicionTTL {
		s.suspected = c.state.Suspected
	}
	s.load = float64(outstanding) / float64(slots)
	return s
}

// detachedCopy returns a copy for reading, without connections and notices.
func (c *candidate) detachedCopy() *candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &candidate{
		node: c.node, address: c.address, tier: c.tier, rank: c.rank, dataCentre: c.dataCentre,
		state: c.state, stateReceivedAt: c.stateReceivedAt, sent: slices.Clone(c.sent), unreachable: c.unreachable,
		measured: measurements{roundTrip: c.measured.roundTrip, paces: maps.Clone(c.measured.paces)},
	}
}

func (c *candidate) setRank(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rank = rank
}

// startRequest and finishRequest record the entry's requests in flight.
func (c *candidate) startRequest(sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, sentAt)
}

func (c *candidate) finishRequest(sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.sent, sentAt); i >= 0 {
		c.sent = slices.Delete(c.sent, i, i+1)
	}
}

// updateState stores the state that the gate reported and marks the gate
// reachable.
func (c *candidate) updateState(s hopheader.GateState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.stateReceivedAt = s, now
	c.unreachable = false
	c.notices.record(c.address, s.Notice, now)
}

// markUnreachable records that the gate could not be reached. wasReachable
// reports whether this is a change. startsProbing reports whether no goroutine
// probes the gate yet; the caller must then start one, which runs until
// stopProbingIfReachable returns true.
func (c *candidate) markUnreachable() (wasReachable, startsProbing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasReachable, startsProbing = !c.unreachable, !c.probing
	c.unreachable, c.probing = true, true
	return wasReachable, startsProbing
}

// stopProbingIfReachable ends the probing if the gate has reported its state
// since it became unreachable, and reports whether it did.
func (c *candidate) stopProbingIfReachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = c.unreachable
	return !c.probing
}
