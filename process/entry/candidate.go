package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
)

// tier says how far away a gate is.
type tier int

// The tiers. Bytes between data centres cost something, between regions much.
const (
	tierDataCentre tier = iota
	tierRegion
	tierRemote
)

func (t tier) String() string { return [...]string{"data_centre", "region", "remote"}[t] }

const (
	// stateTrust is how long a gate's word on itself is believed. Sick targets
	// stay so for seconds, and gates begin trials every second at most.
	stateTrust = time.Second
	// remoteSuspectTrust is how long a gate of another region is believed to be
	// suspected. Asking it costs 120 ms and bytes between regions.
	remoteSuspectTrust = 3 * time.Second
)

// candidate is a gate as an entry sees it. It is safe for concurrent use.
type candidate struct {
	node    string
	address string
	tier    tier
	// rank is the gate's place among those of its service and data centre.
	rank int
	pool *http1.Pool
	// ctx ends when the candidate is closed.
	ctx   context.Context
	close func()

	mu      sync.Mutex
	state   hopheader.GateState
	heardAt time.Time
	asking  int
	// down means that the gate could not be reached and has not been heard since,
	// awaited that its return is being waited for.
	down    bool
	awaited bool
}

// view is what is believed of a candidate at one moment.
type view struct {
	tier    tier
	rank    int
	down    bool
	closed  bool
	suspect bool
	// load is the share of the slots that is taken; above 1 requests wait.
	load float64
	// provenAgo is how long ago the target proved itself at the latest.
	provenAgo time.Duration
	// heardAgo is the age of the belief.
	heardAgo time.Duration
}

func (c *candidate) view(now time.Time) view {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := view{tier: c.tier, rank: c.rank, down: c.down, heardAgo: now.Sub(c.heardAt), provenAgo: now.Sub(c.state.LastSuccessAt)}
	busy, slots := c.asking, 1
	if v.heardAgo < stateTrust {
		v.closed = !c.state.Accepting
		v.suspect = c.state.Suspect
		busy = max(busy, c.state.Outstanding)
		slots = max(1, c.state.Slots)
	} else if c.state.Slots > 0 {
		slots = c.state.Slots
	}
	if c.tier == tierRemote && v.heardAgo < remoteSuspectTrust {
		v.suspect = c.state.Suspect
	}
	v.load = float64(busy) / float64(slots)
	return v
}

func (c *candidate) setRank(rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rank = rank
}

// began and ended count requests on their way to the gate.
func (c *candidate) began() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking++
}

func (c *candidate) ended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking--
}

// heard takes in what the gate said of itself.
func (c *candidate) heard(s hopheader.GateState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.heardAt = s, now
	c.down = false
}

// failed records that the gate could not be reached. isNews reports whether it
// could before, startsWait whether nobody waits for its return yet; the caller
// does from then on, until endsWait.
func (c *candidate) failed() (isNews, startsWait bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNews, startsWait = !c.down, !c.awaited
	c.down, c.awaited = true, true
	return isNews, startsWait
}

// endsWait ends the wait for the gate's return if it has been heard.
func (c *candidate) endsWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited = c.down
	return !c.awaited
}
