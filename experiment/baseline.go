package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// table is what all baselines share: which targets are out until when.
type table struct {
	scenario Scenario
	view     TargetState
	random   *rand.Rand
	outUntil []time.Time
	times    []int
	nextID   int64
}

func newTable(s Scenario, v TargetState, r *rand.Rand) table {
	return table{scenario: s, view: v, random: r, outUntil: make([]time.Time, s.Targets), times: make([]int, s.Targets)}
}

func (t *table) IsOutOfService(target int, now time.Time) bool { return now.Before(t.outUntil[target]) }

func (t *table) RecordStart(int, time.Time) int64 { t.nextID++; return t.nextID }

func (t *table) RecordEnd(int, int64, time.Time, time.Duration, bool) {}

func (t *table) Tick(time.Time) []int { return nil }

// Choose takes the better of two random targets that are not out.
func (t *table) Choose(now, _ time.Time) (int, bool) {
	a, b := t.drawIn(now), t.drawIn(now)
	if t.view.Outstanding(b) < t.view.Outstanding(a) {
		a = b
	}
	return a, true
}

func (t *table) drawIn(now time.Time) int {
	start := t.random.IntN(t.scenario.Targets)
	for i := range t.scenario.Targets {
		if c := (start + i) % t.scenario.Targets; !t.IsOutOfService(c, now) {
			return c
		}
	}
	return start
}

// Shared settings of the ejecting baselines, which are usual proxy defaults.
const (
	baseEjectTime  = 30 * time.Second
	maxEjectShare  = 0.5
	errorsInARow   = 5
	rateInterval   = 10 * time.Second
	rateMinHosts   = 5
	rateMinVolume  = 100
	rateDeviations = 1.9
	probeInterval  = 5 * time.Second
	probeFailures  = 3
)

// eject takes a target out, unless too many are out.
func (t *table) eject(target int, now time.Time) bool {
	out := 0
	for i := range t.outUntil {
		if t.IsOutOfService(i, now) {
			out++
		}
	}
	if t.IsOutOfService(target, now) || float64(out+1) > maxEjectShare*float64(t.scenario.Targets) {
		return false
	}
	t.times[target]++
	t.outUntil[target] = now.Add(baseEjectTime * time.Duration(t.times[target]))
	return true
}

// randomPolicy spreads work evenly and ejects nobody.
type randomPolicy struct{ table }

func newRandomPolicy(s Scenario, v TargetState, r *rand.Rand) Policy {
	return &randomPolicy{newTable(s, v, r)}
}

func (p *randomPolicy) Choose(now, _ time.Time) (int, bool) { return p.drawIn(now), true }

// least takes the target with the fewest outstanding requests.
type least struct{ table }

func newLeast(s Scenario, v TargetState, r *rand.Rand) Policy { return &least{newTable(s, v, r)} }

func (p *least) Choose(time.Time, time.Time) (int, bool) {
	start := p.random.IntN(p.scenario.Targets)
	best := start
	for i := range p.scenario.Targets {
		if c := (start + i) % p.scenario.Targets; p.view.Outstanding(c) < p.view.Outstanding(best) {
			best = c
		}
	}
	return best, true
}

// consecutive ejects after errors in a row.
type consecutive struct {
	table
	failures []int
	ejected  []int
}

func newConsecutive(s Scenario, v TargetState, r *rand.Rand) Policy {
	return &consecutive{table: newTable(s, v, r), failures: make([]int, s.Targets)}
}

func (p *consecutive) RecordEnd(target int, _ int64, now time.Time, _ time.Duration, failed bool) {
	if !failed {
		p.failures[target] = 0
		return
	}
	p.failures[target]++
	if p.failures[target] >= errorsInARow && p.eject(target, now) {
		p.failures[target] = 0
		p.ejected = append(p.ejected, target)
	}
}

func (p *consecutive) Tick(time.Time) []int {
	list := p.ejected
	p.ejected = nil
	return list
}

// successRate ejects targets whose success rate lies far below the mean.
type successRate struct {
	table
	passed, total []float64
	nextAt        time.Time
}

func newSuccessRate(s Scenario, v TargetState, r *rand.Rand) Policy {
	return &successRate{table: newTable(s, v, r), passed: make([]float64, s.Targets), total: make([]float64, s.Targets)}
}

func (p *successRate) RecordEnd(target int, _ int64, _ time.Time, _ time.Duration, failed bool) {
	p.total[target]++
	if !failed {
		p.passed[target]++
	}
}

func (p *successRate) Tick(now time.Time) []int {
	if now.Before(p.nextAt) {
		return nil
	}
	p.nextAt = now.Add(rateInterval)
	var out []int
	bound, ok := p.bound()
	for i := range p.total {
		if ok && p.total[i] >= rateMinVolume && p.passed[i]/p.total[i] < bound && p.eject(i, now) {
			out = append(out, i)
		}
		p.total[i], p.passed[i] = 0, 0
	}
	return out
}

// bound is the success rate below which a target is an outlier.
func (p *successRate) bound() (float64, bool) {
	var rates []float64
	mean := 0.0
	for i := range p.total {
		if p.total[i] >= rateMinVolume {
			rates = append(rates, p.passed[i]/p.total[i])
			mean += rates[len(rates)-1]
		}
	}
	if len(rates) < rateMinHosts {
		return 0, false
	}
	mean /= float64(len(rates))
	variance := 0.0
	for _, r := range rates {
		variance += (r - mean) * (r - mean)
	}
	return mean - rateDeviations*math.Sqrt(variance/float64(len(rates))), true
}

// probing ejects targets that fail active probes. Gray targets pass them.
type probing struct {
	table
	failures []int
	nextAt   time.Time
}

func newProbing(s Scenario, v TargetState, r *rand.Rand) Policy {
	return &probing{table: newTable(s, v, r), failures: make([]int, s.Targets)}
}

func (p *probing) Tick(now time.Time) []int {
	if now.Before(p.nextAt) {
		return nil
	}
	p.nextAt = now.Add(probeInterval)
	var out []int
	for i := range p.failures {
		p.failures[i]++
		if p.view.Probe(i) {
			p.failures[i] = 0
		}
		if p.failures[i] >= probeFailures && p.eject(i, now) {
			out = append(out, i)
		}
	}
	return out
}
