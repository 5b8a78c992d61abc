package entry

import (
	"math"
	"time"
)

// pass is one round of asking gates. A request goes through the passes until a
// gate grants it a slot: first to gates nearby that have a slot now, then it
// waits a little nearby, then it crosses regions, and in the end it waits
// wherever there is room in time.
type pass struct {
	nearest, farthest tier
	// waitShare is the share of the target latency that the request may wait
	// for its slot.
	waitShare float64
	// asks bounds how many gates are asked.
	asks int
	// hopeful passes ask also those gates that were not open or sound lately.
	hopeful bool
}

var passes = []pass{
	{nearest: tierDataCentre, farthest: tierRegion, waitShare: 0, asks: 6},
	{nearest: tierDataCentre, farthest: tierRegion, waitShare: 0.15, asks: 3},
	{nearest: tierRemote, farthest: tierRemote, waitShare: 0.1, asks: 3},
	{nearest: tierDataCentre, farthest: tierRemote, waitShare: 0.5, asks: 4, hopeful: true},
}

// request is what matters of a request for the choice of a gate.
type request struct {
	// mayFail requests can be lost to a suspected target and sent again.
	mayFail bool
}

const (
	// tierCost makes a nearer gate win over a farther one with less load.
	tierCost = 10.0
	// suspectCost makes sound gates win among those of one tier.
	suspectCost = 3.0
	// trialAge is how old the news of a suspected target must be for a request
	// that may fail to try it first: its gate allows a trial every 200 ms to 1 s.
	trialAge = 400 * time.Millisecond
)

// cost ranks a gate for a request; the least is asked first. ok is false for a
// gate that is not asked in this pass.
func (p pass) cost(v view, r request) (cost float64, ok bool) {
	if v.tier < p.nearest || v.tier > p.farthest {
		return 0, false
	}
	cost = tierCost*float64(v.tier) + v.load
	if v.down || v.closed {
		return cost + 2*tierCost, p.hopeful
	}
	if v.suspect {
		if r.mayFail && v.heardAgo >= trialAge && v.tier == tierDataCentre {
			return cost, true
		}
		return cost + suspectCost, p.hopeful
	}
	return cost, true
}

// choose returns the index of the view to ask next, or -1. jitter, from 0 to 1,
// breaks ties.
func (p pass) choose(views []view, asked func(int) bool, r request, jitter func() float64) int {
	best, least := -1, math.Inf(1)
	for i, v := range views {
		if asked(i) {
			continue
		}
		cost, ok := p.cost(v, r)
		if !ok {
			continue
		}
		if cost += tieWidth * jitter(); cost < least {
			best, least = i, cost
		}
	}
	return best
}

// tieWidth spreads requests over gates whose load differs by less than a slot
// of three.
const tieWidth = 0.3
