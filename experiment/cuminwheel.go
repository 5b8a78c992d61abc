package experiment

import (
	"math/rand/v2"
	"time"

	"github.com/cuminwheel/cuminwheel/process/floor"
	"github.com/cuminwheel/cuminwheel/process/health"
)

// guarded is this project's policy: each target has a gate with a judge, and
// gates eject when the target's siblings vouch.
type guarded struct {
	scenario Scenario
	view     TargetState
	random   *rand.Rand
	gates    []*fakeGate
	mean     time.Duration
}

// fakeGate is the gate beside one target.
type fakeGate struct {
	judge    *health.Detector
	standing health.EjectionState
	bids     *floor.Ejections
	bid      *floor.Proposal
	vouch    floor.Capacity
	closeAt  time.Time
	tryAt    time.Time
}

// Delays of the fakes and bounds taken from the gate.
const (
	// askDelay is a round trip between regions.
	askDelay = 30 * time.Millisecond
	// bidPause is the pause after a bid that failed.
	bidPause  = 500 * time.Millisecond
	meanShare = 0.1
)

func newGuarded(s Scenario, v TargetState, random *rand.Rand) Policy {
	g := &guarded{scenario: s, view: v, random: random, mean: 20 * time.Millisecond}
	for range s.Targets {
		g.gates = append(g.gates, &fakeGate{
			judge: health.NewDetector(health.OptionsFor(s.Detection)),
			bids:  floor.NewEjections(),
		})
	}
	return g
}

// Choose takes the better of two random targets, any free one before a busy
// one, and refuses what cannot be served in time.
func (g *guarded) Choose(now, deadline time.Time) (int, bool) {
	a, b := g.draw(now), g.draw(now)
	if g.cost(b) < g.cost(a) {
		a = b
	}
	if g.view.Outstanding(a) >= g.scenario.Slots {
		a = g.freest(now, a)
	}
	waiting := g.view.Outstanding(a) - g.scenario.Slots + 1
	wait := time.Duration(float64(max(0, waiting)) / float64(g.scenario.Slots) * float64(g.mean))
	if now.Add(wait + g.mean).After(deadline) {
		return 0, false
	}
	return a, true
}

// draw returns a random target that takes work; one on trial gets a request
// only while it has none.
func (g *guarded) draw(now time.Time) int {
	start := g.random.IntN(len(g.gates))
	for i := range g.gates {
		c := (start + i) % len(g.gates)
		if g.takes(c, now) {
			return c
		}
	}
	return start
}

func (g *guarded) takes(target int, now time.Time) bool {
	switch g.gates[target].standing.Phase(now) {
	case health.PhaseEjected:
		return false
	case health.PhaseTrial:
		return g.view.Outstanding(target) == 0
	}
	return true
}

func (g *guarded) cost(target int) float64 {
	c := float64(g.view.Outstanding(target))
	if g.gates[target].judge.IsSuspected() {
		c += float64(g.scenario.Slots)
	}
	return c
}

func (g *guarded) freest(now time.Time, best int) int {
	for c := range g.gates {
		if g.takes(c, now) && g.cost(c) < g.cost(best) {
			best = c
		}
	}
	return best
}

func (g *guarded) RecordStart(target int, now time.Time) int64 {
	return int64(g.gates[target].judge.RecordStart(now))
}

func (g *guarded) RecordEnd(target int, work int64, now time.Time, took time.Duration, failed bool) {
	t := g.gates[target]
	t.judge.RecordEnd(health.RequestID(work), now, failed)
	if !failed {
		g.mean = time.Duration((1-meanShare)*float64(g.mean) + meanShare*float64(took))
	}
	switch t.standing.RecordTrial(now, t.judge.IsNormalLatency(took), failed) {
	case health.TrialPassed:
		t.judge.Reset(t.standing.InitialEvidenceShare())
	case health.TrialFailed:
		t.judge.Reset(0)
	}
}

// Tick takes in ages, begins bids and commits those whose answers are in.
func (g *guarded) Tick(now time.Time) []int {
	var ejected []int
	for i, t := range g.gates {
		t.judge.ObserveInFlight(now)
		if t.bid != nil && !now.Before(t.closeAt) {
			if g.commit(t, now) {
				ejected = append(ejected, i)
			}
			continue
		}
		sick := t.judge.IsUnhealthy(now) && t.standing.Phase(now) != health.PhaseEjected
		if t.bid == nil && sick && !now.Before(t.tryAt) {
			g.begin(i, now)
		}
	}
	return ejected
}

func (g *guarded) begin(target int, now time.Time) {
	t := g.gates[target]
	b, ok := t.bids.Propose(name(target), g.scenario.FloorSlots)
	if !ok {
		t.tryAt = now.Add(bidPause)
		return
	}
	t.bid = b
	t.closeAt = now.Add(askDelay)
	t.vouch = floor.Capacity{}
	for i, o := range g.gates {
		if i != target {
			t.vouch = t.vouch.Add(g.ask(i, o, now))
		}
	}
	b.AddHealthySlots(t.vouch.HealthySlots)
}

func (g *guarded) ask(target int, t *fakeGate, now time.Time) floor.Capacity {
	if t.standing.Phase(now) == health.PhaseEjected {
		return floor.Capacity{}
	}
	v := floor.Capacity{ServingSlots: g.scenario.Slots}
	suspected := t.judge.IsSuspected()
	if suspected {
		v.SuspectedSlots = g.scenario.Slots
	}
	serving := t.standing.Phase(now) == health.PhaseServing
	if serving && !suspected && t.bids.CountsTowardsFloor(name(target), now) {
		v.HealthySlots = g.scenario.Slots
	}
	return v
}

func (g *guarded) commit(t *fakeGate, now time.Time) bool {
	b := t.bid
	t.bid = nil
	t.tryAt = now.Add(bidPause)
	if t.vouch.IsServiceDegraded() {
		b.Abort()
		return false
	}
	if !b.Commit(now.Add(t.standing.EjectionDuration(now))) {
		return false
	}
	t.standing.Eject(now)
	t.judge.Reset(0)
	return true
}

// IsOutOfService reports whether the target is ejected or on trial.
func (g *guarded) IsOutOfService(target int, now time.Time) bool {
	return g.gates[target].standing.Phase(now) != health.PhaseServing
}

func name(target int) string { return string(rune('a' + target)) }
