package entry

import (
	"math"
	"time"
)

// selectionPass limits which gates a request tries in one pass and how long it
// may queue at each. A request runs through the passes until a gate grants it a
// slot.
type selectionPass struct {
	// nearest and farthest bound the tiers of the gates that are tried.
	nearest, farthest tier
	// latencyShare and remainingShare bound the time in a gate's queue, as a
	// share of the target latency and of the time left before the deadline. The
	// longer bound applies.
	latencyShare, remainingShare float64
	// minRemaining is the time before the deadline below which the pass is
	// skipped.
	minRemaining time.Duration
	// maxGates bounds how many gates are tried.
	maxGates int
	// includeUnhealthy admits gates that are unreachable, suspected or not
	// accepting requests.
	includeUnhealthy bool
}

// selectionPasses are the passes in their order: gates in the region with a
// free slot; a short and then a longer wait in the region; another region, if
// time allows; and at last a wait at any gate that can grant a slot before the
// deadline.
var selectionPasses = []selectionPass{
	{nearest: tierDataCentre, farthest: tierRegion, maxGates: 6},
	{nearest: tierDataCentre, farthest: tierRegion, latencyShare: 0.25, remainingShare: 0.1, maxGates: 2},
	{nearest: tierDataCentre, farthest: tierRegion, remainingShare: 0.35, maxGates: 2},
	{nearest: tierRemote, farthest: tierRemote, latencyShare: 0.1, minRemaining: minRemoteRemaining, maxGates: 2},
	{nearest: tierDataCentre, farthest: tierRemote, remainingShare: 0.5, maxGates: 4, includeUnhealthy: true},
}

// minRemoteRemaining covers two round trips between regions, one for the grant
// and one for the response, and as much again for the target's work.
const minRemoteRemaining = 250 * time.Millisecond

// queueTimeout returns how long a request may wait for its slot at a gate.
func (p selectionPass) queueTimeout(targetLatency, remaining time.Duration) time.Duration {
	return time.Duration(max(p.latencyShare*float64(targetLatency), p.remainingShare*float64(remaining)))
}

// requestTraits are the properties of a request that the selection depends on.
type requestTraits struct {
	// canRetry means that the request can be sent to another target if the
	// first one fails, so that it may test a suspected target.
	canRetry bool
	// nonIdempotent means that the request must not be sent twice.
	nonIdempotent bool
}

// Costs are expected losses, as a share of a request's value. The gate with the
// lowest cost is tried first.
const (
	// suspectedFailureRisk is the probability that a suspected target fails a
	// request. unhealthyShare is the share of targets that are unhealthy at any
	// time and healthTimescale the time on which a target's health changes;
	// together they discount an old success, for which their order of magnitude
	// is precise enough.
	suspectedFailureRisk = 0.6
	unhealthyShare       = 0.2
	healthTimescale      = 8 * time.Second
	// loadCost is the cost of one outstanding request per slot.
	loadCost = 0.05
	// unavailableCost ranks gates that are unreachable or not accepting
	// requests last.
	unavailableCost = 2.0
	// concentrationLoad is the load below which non-idempotent requests prefer
	// the gates of low rank in each data centre; it leaves one slot of three
	// free. The more traffic a target has, the smaller the chance that a
	// non-idempotent request is the first to find it unhealthy. All other
	// requests spread by load and so test the remaining targets.
	concentrationLoad = 0.65
	// rankCost is the cost of each step in rank below concentrationLoad.
	rankCost = 0.03
	// minTrialAge is the age of a suspected gate's state from which a request
	// that can be retried may test its target. The gate admits a trial request
	// every 200 ms to 1.6 s, and at once after a success.
	minTrialAge = 400 * time.Millisecond
	// tieJitter scales the random cost that spreads requests over gates of
	// about equal cost.
	tieJitter = 0.02
)

// tierCosts are the costs of a response's traffic, and between regions also of
// its latency of 120 ms.
var tierCosts = [...]float64{0, 0.05, 0.4}

// failureRisk estimates the probability that the target fails a request.
func (s snapshot) failureRisk() float64 {
	if s.suspected {
		return suspectedFailureRisk
	}
	return unhealthyShare * (1 - math.Exp(-float64(s.sinceSuccess)/float64(healthTimescale)))
}

// cost returns the expected loss of trying a gate. ok is false if the pass
// leaves the gate out.
func (p selectionPass) cost(s snapshot, r requestTraits) (cost float64, ok bool) {
	if s.tier < p.nearest || s.tier > p.farthest {
		return 0, false
	}
	if s.tier == tierRemote && (s.suspected || s.load >= 1) {
		// The request would take a slot from requests of that region, and even
		// a refusal costs traffic between regions.
		return 0, false
	}
	cost = tierCosts[s.tier]
	if s.unreachable || s.notAccepting {
		return cost + unavailableCost, p.includeUnhealthy
	}
	if r.nonIdempotent && s.load < concentrationLoad {
		cost += rankCost * float64(s.rank)
	} else {
		cost += loadCost * s.load
	}
	isDue := s.stateAge >= minTrialAge || s.sinceSuccess < minTrialAge
	isTrial := s.suspected && r.canRetry && isDue && s.tier == tierDataCentre
	if r.canRetry && !s.suspected || isTrial {
		// The request tests the target's health, so the risk is not counted.
		return cost, true
	}
	return cost + s.failureRisk(), !s.suspected || p.includeUnhealthy
}

// selectGate returns the index of the gate to try next, or -1. isExcluded
// reports whether a gate must not be tried; jitter returns numbers from 0 to 1
// that break ties.
func (p selectionPass) selectGate(snapshots []snapshot, isExcluded func(int) bool, r requestTraits, jitter func() float64) int {
	best, lowest := -1, math.Inf(1)
	for i, s := range snapshots {
		if isExcluded(i) {
			continue
		}
		cost, ok := p.cost(s, r)
		if !ok {
			continue
		}
		if cost += tieJitter * jitter(); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}
