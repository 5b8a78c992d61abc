package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/cuminwheel/cuminwheel/process/floor"
	"github.com/cuminwheel/cuminwheel/process/health"
)

// cuminwheelPolicy is this project's policy. The gate of each target runs a
// Detector, and ejects the target if the gates of its siblings confirm enough
// healthy capacity.
type cuminwheelPolicy struct {
	scenario    Scenario
	targets     TargetState
	random      *rand.Rand
	gates       []*simulatedGate
	meanLatency time.Duration
}

// simulatedGate is the gate of one target. proposal is the pending proposal to
// eject the target, if any, and siblings the capacity that the other gates
// reported for it.
type simulatedGate struct {
	detector       *health.Detector
	state          health.EjectionState
	ejections      *floor.Ejections
	proposal       *floor.Proposal
	siblings       floor.Capacity
	commitAt       time.Time
	nextProposalAt time.Time
}

// Delays and weights of the simulated gates. The values other than siblingRoundTrip
// are those of the gate when it ran this policy.
const (
	// siblingRoundTrip is the time from a proposal to the replies of the sibling
	// gates, a round trip between regions.
	siblingRoundTrip = 30 * time.Millisecond
	// proposalRetryDelay is the delay of the next proposal after one that failed.
	proposalRetryDelay = 500 * time.Millisecond
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.1
)

func newCuminwheelPolicy(s Scenario, t TargetState, random *rand.Rand) Policy {
	p := &cuminwheelPolicy{scenario: s, targets: t, random: random, meanLatency: 20 * time.Millisecond}
	for range s.Targets {
		p.gates = append(p.gates, &simulatedGate{
			detector:  health.NewDetector(health.OptionsFor(s.Detection)),
			ejections: floor.NewEjections(),
		})
	}
	return p
}

// Choose returns the less costly of two random targets, or the least costly of all
// if that one has no free slot. It refuses a request that, by the length of the
// target's queue and the mean latency, would end after its deadline.
func (p *cuminwheelPolicy) Choose(now, deadline time.Time) (int, bool) {
	a, b := p.pickRandom(now), p.pickRandom(now)
	if p.cost(b) < p.cost(a) {
		a = b
	}
	if p.targets.Outstanding(a) >= p.scenario.Slots {
		a = p.leastCostly(now, a)
	}
	waiting := p.targets.Outstanding(a) - p.scenario.Slots + 1
	wait := time.Duration(float64(max(0, waiting)) / float64(p.scenario.Slots) * float64(p.meanLatency))
	if now.Add(wait + p.meanLatency).After(deadline) {
		return 0, false
	}
	return a, true
}

// pickRandom returns a random target that accepts requests. If there is none, it
// returns any target.
func (p *cuminwheelPolicy) pickRandom(now time.Time) int {
	start := p.random.IntN(len(p.gates))
	for i := range p.gates {
		c := (start + i) % len(p.gates)
		if p.acceptsRequests(c, now) {
			return c
		}
	}
	return start
}

// acceptsRequests reports whether a target may be given a request. A target on
// trial gets one at a time.
func (p *cuminwheelPolicy) acceptsRequests(target int, now time.Time) bool {
	switch p.gates[target].state.Phase(now) {
	case health.PhaseEjected:
		return false
	case health.PhaseTrial:
		return p.targets.Outstanding(target) == 0
	}
	return true
}

// cost returns the number of a target's outstanding requests, plus the number of
// its slots if it is suspected.
func (p *cuminwheelPolicy) cost(target int) float64 {
	c := float64(p.targets.Outstanding(target))
	if p.gates[target].detector.IsSuspected() {
		c += float64(p.scenario.Slots)
	}
	return c
}

// leastCostly returns the least costly target that accepts requests, or best if
// none costs less.
func (p *cuminwheelPolicy) leastCostly(now time.Time, best int) int {
	for c := range p.gates {
		if p.acceptsRequests(c, now) && p.cost(c) < p.cost(best) {
			best = c
		}
	}
	return best
}

// RecordStart passes the start of a request to the target's detector.
func (p *cuminwheelPolicy) RecordStart(target int, now time.Time) int64 {
	return int64(p.gates[target].detector.RecordStart(now))
}

// RecordEnd passes the end of a request to the detector, to the moving average of
// latencies and, for a target on trial, to its state.
func (p *cuminwheelPolicy) RecordEnd(target int, requestID int64, now time.Time, latency time.Duration, failed bool) {
	g := p.gates[target]
	g.detector.RecordEnd(health.RequestID(requestID), now, failed)
	if !failed {
		p.meanLatency = time.Duration((1-latencyWeight)*float64(p.meanLatency) + latencyWeight*float64(latency))
	}
	switch g.state.RecordTrial(now, g.detector.IsNormalLatency(latency), failed) {
	case health.TrialPassed:
		g.detector.Reset(g.state.InitialEvidenceShare())
	case health.TrialFailed:
		g.detector.Reset(0)
	}
}

// Tick adds the ages of the requests in flight to the evidence, proposes the
// ejection of unhealthy targets and commits the proposals that the siblings have
// replied to.
func (p *cuminwheelPolicy) Tick(now time.Time) []int {
	var ejected []int
	for i, g := range p.gates {
		g.detector.ObserveInFlight(now)
		if g.proposal != nil && !now.Before(g.commitAt) {
			if p.commit(g, now) {
				ejected = append(ejected, i)
			}
			continue
		}
		unhealthy := g.detector.IsUnhealthy(now) && g.state.Phase(now) != health.PhaseEjected
		if g.proposal == nil && unhealthy && !now.Before(g.nextProposalAt) {
			p.propose(i, now)
		}
	}
	return ejected
}

// propose starts a proposal to eject a target and collects the siblings' replies
// as of now. They take effect after siblingRoundTrip.
func (p *cuminwheelPolicy) propose(target int, now time.Time) {
	g := p.gates[target]
	proposal, ok := g.ejections.Propose(targetName(target), p.scenario.FloorSlots)
	if !ok {
		g.nextProposalAt = now.Add(proposalRetryDelay)
		return
	}
	g.proposal = proposal
	g.commitAt = now.Add(siblingRoundTrip)
	g.siblings = floor.Capacity{}
	for i, o := range p.gates {
		if i != target {
			g.siblings = g.siblings.Add(p.reportCapacity(i, o, now))
		}
	}
	proposal.AddHealthySlots(g.siblings.HealthySlots)
}

// reportCapacity returns the reply of a target's gate to a sibling's proposal.
func (p *cuminwheelPolicy) reportCapacity(target int, g *simulatedGate, now time.Time) floor.Capacity {
	if g.state.Phase(now) == health.PhaseEjected {
		return floor.Capacity{}
	}
	capacity := floor.Capacity{ServingSlots: p.scenario.Slots}
	suspected := g.detector.IsSuspected()
	if suspected {
		capacity.SuspectedSlots = p.scenario.Slots
	}
	serving := g.state.Phase(now) == health.PhaseServing
	if serving && !suspected && g.ejections.CountsTowardsFloor(targetName(target), now) {
		capacity.HealthySlots = p.scenario.Slots
	}
	return capacity
}

// commit ends a gate's proposal and reports whether the target was ejected. It is
// not ejected if the whole service is degraded or the siblings' healthy capacity
// does not cover the floor.
func (p *cuminwheelPolicy) commit(g *simulatedGate, now time.Time) bool {
	proposal := g.proposal
	g.proposal = nil
	g.nextProposalAt = now.Add(proposalRetryDelay)
	if g.siblings.IsServiceDegraded() {
		proposal.Abort()
		return false
	}
	if !proposal.Commit(now.Add(g.state.EjectionDuration(now))) {
		return false
	}
	g.state.Eject(now)
	g.detector.Reset(0)
	return true
}

// IsOutOfService reports whether the target is ejected or on trial.
func (p *cuminwheelPolicy) IsOutOfService(target int, now time.Time) bool {
	return p.gates[target].state.Phase(now) != health.PhaseServing
}

func targetName(target int) string { return string(rune('a' + target)) }
