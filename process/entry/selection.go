package entry

import (
	"math"
	"time"
)

// pass is one round of asking gates. A request goes through the passes until a
// gate grants it a slot: first to gates nearby that have a slot now, then it
// waits nearby, a little and then longer, then it crosses regions if there is
// time, and in the end it waits wherever there is room before its deadline.
type pass struct {
	nearest, farthest tier
	// aimShare and leftShare bound the wait for a slot: a share of the target
	// latency and of the time left to the deadline. The longer one counts.
	aimShare, leftShare float64
	// needs is the time that must be left for the pass to make sense.
	needs time.Duration
	// asks bounds how many gates are asked.
	asks int
	// hopeful passes ask also those gates that were not open or sound lately.
	hopeful bool
}

var passes = []pass{
	{nearest: tierDataCentre, farthest: tierRegion, asks: 6},
	{nearest: tierDataCentre, farthest: tierRegion, aimShare: 0.25, leftShare: 0.1, asks: 2},
	{nearest: tierDataCentre, farthest: tierRegion, leftShare: 0.35, asks: 2},
	{nearest: tierRemote, farthest: tierRemote, aimShare: 0.1, needs: remoteNeeds, asks: 2},
	{nearest: tierDataCentre, farthest: tierRemote, leftShare: 0.5, asks: 4, hopeful: true},
}

// remoteNeeds is two round trips between regions, for the grant and the answer,
// and as much again for the work.
const remoteNeeds = 250 * time.Millisecond

// waitFor returns how long a request may wait for its slot in this pass.
func (p pass) waitFor(targetLatency, left time.Duration) time.Duration {
	return time.Duration(max(p.aimShare*float64(targetLatency), p.leftShare*float64(left)))
}

// request is what matters of a request for the choice of a gate.
type request struct {
	// mayFail requests can be lost to a suspected target and sent again.
	mayFail bool
	// once means that the request must not be sent again.
	once bool
}

// The costs are shares of a request's worth. A gate is asked before others if
// what is lost there on average is less.
const (
	// suspectRisk is the risk at a suspected target, sickShare the share of
	// targets that are sick at any time, and sickEvery the time scale on which
	// one turns sick and well again. The last two say how much an old proof of
	// health is worth; they need only be right in their order of size.
	suspectRisk = 0.6
	sickShare   = 0.2
	sickEvery   = 8 * time.Second
	// loadCost is the cost of each request a slot.
	loadCost = 0.05
	// hopelessCost puts gates last that cannot be reached or take no work.
	hopelessCost = 2.0
	// concentrateBelow is the load up to which requests that must run once keep
	// to the first gate of a data centre, so that one slot of three stays free.
	// The more often a target is used, the fewer of them meet it first when it
	// turns sick; all others spread and so prove the rest.
	concentrateBelow = 0.65
	rankCost         = 0.03
	// trialAge is how old the news of a suspected target must be for a request
	// that may fail to try it first: its gate allows a trial every 200 ms to 1.6 s,
	// and at once after a success.
	trialAge = 400 * time.Millisecond
	// tieWidth spreads requests over gates that cost about the same.
	tieWidth = 0.02
)

// tierCosts are the costs of an answer's bytes and, between regions, of 120 ms.
var tierCosts = [...]float64{0, 0.05, 0.4}

// risk is the probability that a request is lost at the target.
func (v view) risk() float64 {
	if v.suspect {
		return suspectRisk
	}
	return sickShare * (1 - math.Exp(-float64(v.provenAgo)/float64(sickEvery)))
}

// cost ranks a gate for a request; the least is asked first. ok is false for a
// gate that is not asked in this pass.
func (p pass) cost(v view, r request) (cost float64, ok bool) {
	if v.tier < p.nearest || v.tier > p.farthest {
		return 0, false
	}
	if v.tier == tierRemote && (v.suspect || v.load >= 1) {
		// A slot there would be taken from a request nearby, and the question is
		// paid for.
		return 0, false
	}
	cost = tierCosts[v.tier]
	if v.down || v.closed {
		return cost + hopelessCost, p.hopeful
	}
	if r.once && v.load < concentrateBelow {
		cost += rankCost * float64(v.rank)
	} else {
		cost += loadCost * v.load
	}
	isDue := v.heardAgo >= trialAge || v.provenAgo < trialAge
	isTrial := v.suspect && r.mayFail && isDue && v.tier == tierDataCentre
	if r.mayFail && !v.suspect || isTrial {
		// It may well meet a sick target, and finds out.
		return cost, true
	}
	return cost + v.risk(), !v.suspect || p.hopeful
}

// choose returns the index of the view to ask next, or -1. isOut tells those that
// are not to be asked; jitter, from 0 to 1, breaks ties.
func (p pass) choose(views []view, isOut func(int) bool, r request, jitter func() float64) int {
	best, least := -1, math.Inf(1)
	for i, v := range views {
		if isOut(i) {
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
