package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// baseline is the part that all baseline policies share: the end of each target's
// ejection, and a choice between two random targets. None of them uses request IDs.
type baseline struct {
	scenario       Scenario
	targets        TargetState
	random         *rand.Rand
	ejectedUntil   []time.Time
	ejectionCounts []int
	lastRequestID  int64
}

func newBaseline(s Scenario, t TargetState, r *rand.Rand) baseline {
	return baseline{scenario: s, targets: t, random: r, ejectedUntil: make([]time.Time, s.Targets), ejectionCounts: make([]int, s.Targets)}
}

func (b *baseline) IsOutOfService(target int, now time.Time) bool {
	return now.Before(b.ejectedUntil[target])
}

func (b *baseline) RecordStart(int, time.Time) int64 { b.lastRequestID++; return b.lastRequestID }

func (b *baseline) RecordEnd(int, int64, time.Time, time.Duration, bool) {}

func (b *baseline) Tick(time.Time) []int { return nil }

// Choose returns the target with fewer outstanding requests of two random targets
// that are not ejected.
func (b *baseline) Choose(now, _ time.Time) (int, bool) {
	first, second := b.pickInService(now), b.pickInService(now)
	if b.targets.Outstanding(second) < b.targets.Outstanding(first) {
		first = second
	}
	return first, true
}

// pickInService returns a random target that is not ejected. If there is none, it
// returns any target.
func (b *baseline) pickInService(now time.Time) int {
	start := b.random.IntN(b.scenario.Targets)
	for i := range b.scenario.Targets {
		if c := (start + i) % b.scenario.Targets; !b.IsOutOfService(c, now) {
			return c
		}
	}
	return start
}

// Settings of the baselines that eject. They are usual defaults of proxies.
const (
	baseEjectionTime       = 30 * time.Second
	maxEjectedShare        = 0.5
	consecutiveErrorLimit  = 5
	successRateInterval    = 10 * time.Second
	successRateMinTargets  = 5
	successRateMinRequests = 100
	successRateDeviations  = 1.9
	probeInterval          = 5 * time.Second
	probeFailureLimit      = 3
)

// eject ejects a target and reports whether it did. It does not if the target is
// ejected already or if more than maxEjectedShare of the targets would be ejected.
// Each ejection of a target is longer than its previous one by baseEjectionTime.
func (b *baseline) eject(target int, now time.Time) bool {
	ejected := 0
	for i := range b.ejectedUntil {
		if b.IsOutOfService(i, now) {
			ejected++
		}
	}
	if b.IsOutOfService(target, now) || float64(ejected+1) > maxEjectedShare*float64(b.scenario.Targets) {
		return false
	}
	b.ejectionCounts[target]++
	b.ejectedUntil[target] = now.Add(baseEjectionTime * time.Duration(b.ejectionCounts[target]))
	return true
}

// randomPolicy chooses targets at random and ejects none.
type randomPolicy struct{ baseline }

func newRandomPolicy(s Scenario, t TargetState, r *rand.Rand) Policy {
	return &randomPolicy{newBaseline(s, t, r)}
}

func (p *randomPolicy) Choose(now, _ time.Time) (int, bool) { return p.pickInService(now), true }

// leastOutstandingPolicy chooses the target with the fewest outstanding requests and
// ejects none.
type leastOutstandingPolicy struct{ baseline }

func newLeastOutstandingPolicy(s Scenario, t TargetState, r *rand.Rand) Policy {
	return &leastOutstandingPolicy{newBaseline(s, t, r)}
}

func (p *leastOutstandingPolicy) Choose(time.Time, time.Time) (int, bool) {
	start := p.random.IntN(p.scenario.Targets)
	best := start
	for i := range p.scenario.Targets {
		if c := (start + i) % p.scenario.Targets; p.targets.Outstanding(c) < p.targets.Outstanding(best) {
			best = c
		}
	}
	return best, true
}

// consecutiveErrorsPolicy ejects a target after consecutiveErrorLimit consecutive
// errors.
type consecutiveErrorsPolicy struct {
	baseline
	errors  []int
	ejected []int
}

func newConsecutiveErrorsPolicy(s Scenario, t TargetState, r *rand.Rand) Policy {
	return &consecutiveErrorsPolicy{baseline: newBaseline(s, t, r), errors: make([]int, s.Targets)}
}

func (p *consecutiveErrorsPolicy) RecordEnd(target int, _ int64, now time.Time, _ time.Duration, failed bool) {
	if !failed {
		p.errors[target] = 0
		return
	}
	p.errors[target]++
	if p.errors[target] >= consecutiveErrorLimit && p.eject(target, now) {
		p.errors[target] = 0
		p.ejected = append(p.ejected, target)
	}
}

func (p *consecutiveErrorsPolicy) Tick(time.Time) []int {
	ejected := p.ejected
	p.ejected = nil
	return ejected
}

// successRatePolicy ejects targets whose success rate in an interval is far below the
// mean of the targets.
type successRatePolicy struct {
	baseline
	successes, requests []float64
	nextCheckAt         time.Time
}

func newSuccessRatePolicy(s Scenario, t TargetState, r *rand.Rand) Policy {
	return &successRatePolicy{baseline: newBaseline(s, t, r), successes: make([]float64, s.Targets), requests: make([]float64, s.Targets)}
}

func (p *successRatePolicy) RecordEnd(target int, _ int64, _ time.Time, _ time.Duration, failed bool) {
	p.requests[target]++
	if !failed {
		p.successes[target]++
	}
}

func (p *successRatePolicy) Tick(now time.Time) []int {
	if now.Before(p.nextCheckAt) {
		return nil
	}
	p.nextCheckAt = now.Add(successRateInterval)
	var ejected []int
	threshold, ok := p.outlierThreshold()
	for i := range p.requests {
		if ok && p.requests[i] >= successRateMinRequests && p.successes[i]/p.requests[i] < threshold && p.eject(i, now) {
			ejected = append(ejected, i)
		}
		p.requests[i], p.successes[i] = 0, 0
	}
	return ejected
}

// outlierThreshold returns the success rate below which a target is an outlier:
// successRateDeviations standard deviations below the mean. It reports false if too
// few targets have had enough requests.
func (p *successRatePolicy) outlierThreshold() (float64, bool) {
	var rates []float64
	mean := 0.0
	for i := range p.requests {
		if p.requests[i] >= successRateMinRequests {
			rates = append(rates, p.successes[i]/p.requests[i])
			mean += rates[len(rates)-1]
		}
	}
	if len(rates) < successRateMinTargets {
		return 0, false
	}
	mean /= float64(len(rates))
	variance := 0.0
	for _, r := range rates {
		variance += (r - mean) * (r - mean)
	}
	return mean - successRateDeviations*math.Sqrt(variance/float64(len(rates))), true
}

// activeProbesPolicy ejects targets that fail probeFailureLimit consecutive active
// probes. Gray targets pass them.
type activeProbesPolicy struct {
	baseline
	failures    []int
	nextCheckAt time.Time
}

func newActiveProbesPolicy(s Scenario, t TargetState, r *rand.Rand) Policy {
	return &activeProbesPolicy{baseline: newBaseline(s, t, r), failures: make([]int, s.Targets)}
}

func (p *activeProbesPolicy) Tick(now time.Time) []int {
	if now.Before(p.nextCheckAt) {
		return nil
	}
	p.nextCheckAt = now.Add(probeInterval)
	var ejected []int
	for i := range p.failures {
		p.failures[i]++
		if p.targets.Probe(i) {
			p.failures[i] = 0
		}
		if p.failures[i] >= probeFailureLimit && p.eject(i, now) {
			ejected = append(ejected, i)
		}
	}
	return ejected
}
