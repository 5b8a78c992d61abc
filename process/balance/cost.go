package balance

import (
	"math"
	"time"
)

const (
	// knowledgeTTL is the age from which knowledge of a gate says nothing. Most
	// requests that a target had at the report are complete by then, and a gate that
	// gets no requests must become as attractive as any other, whatever was last known
	// of it, so that it is without requests for less than 2 s.
	knowledgeTTL = time.Second
	// minPace and maxPace bound the effect of a measured pace, which a single long
	// request can distort.
	minPace, maxPace = 0.5, 2.5
	// defaultWork is used until the duration of a route has been measured.
	defaultWork = 50 * time.Millisecond
	// defaultLoad is assumed in a data centre of which nothing is known, if the mean of
	// the others is not lower, so that it is tried only when they have more load.
	defaultLoad  = 0.5
	defaultSlots = 4
	// lossFactor is the cost of a failed request that cannot be retried, in units of its
	// work: as much as 20 outstanding requests per slot.
	lossFactor = 20
	// suspectedRisk is the probability that a suspected target fails a request.
	// unhealthyShare is the share of targets that are unhealthy at any time, and
	// healthTimescale the time on which a target's health changes; together they
	// discount an old success.
	suspectedRisk   = 0.6
	unhealthyShare  = 0.2
	healthTimescale = 8 * time.Second
	// unavailableRisk ranks gates that are unreachable or do not accept requests behind
	// suspected ones.
	unavailableRisk = 2.0
	// minTrialAge is the age of a suspected gate's report from which a request that can
	// be retried may test its target. The gate admits a trial request every 200 ms to
	// 1.6 s, and at once after a success.
	minTrialAge = 400 * time.Millisecond
	// maxTripsPerWork is how many round trips to a gate of another region the work of a request
	// must be worth, for it to go there before it has waited in its own region. Traffic over a
	// longer way costs more, and the round-trip time is the only measure of that which nodes
	// have.
	maxTripsPerWork = 16
	// maxDataCentres bounds the data centres whose means are kept apart.
	maxDataCentres = 16
)

// defaultRoundTrips are assumed until one has been measured in the data centre.
var defaultRoundTrips = [distances]time.Duration{time.Millisecond, 2 * time.Millisecond, 120 * time.Millisecond}

// class is how a request may use a gate.
type class uint8

const (
	classUnusable class = iota
	classUsable
	// classTrial gates are suspected and may be tested by the request.
	classTrial
	// classLastResort gates are used only if there is no other one.
	classLastResort
)

// means are the means of what is known of a service's gates.
type means struct {
	// load, risk and roundTrip are the means in each data centre.
	load, risk [maxDataCentres]float64
	roundTrip  [maxDataCentres]time.Duration
	// overall is the mean load of all gates of which there is fresh knowledge.
	overall float64
	slots   float64
	// work is the mean work of the request in nanoseconds.
	work float64
}

func newMeans(views []View, r Request) means {
	m := means{work: float64(r.work())}
	var weights, riskWeights, trips [maxDataCentres]float64
	var tripSums [maxDataCentres]time.Duration
	slots, reports := 0, 0
	for i := range views {
		v := &views[i]
		dc := v.DataCentre % maxDataCentres
		if v.RoundTrip > 0 {
			trips[dc]++
			tripSums[dc] += v.RoundTrip
		}
		if v.Slots <= 0 {
			continue
		}
		slots, reports = slots+v.Slots, reports+1
		if v.Suspected || v.Unavailable || v.Age >= knowledgeTTL {
			continue
		}
		w := m.loadWeight(v)
		weights[dc] += w
		m.load[dc] += w * float64(v.Outstanding+v.SentSince) / float64(v.Slots)
		if !r.CanRetry {
			w := weight(v.Age)
			riskWeights[dc] += w
			m.risk[dc] += w * failureRisk(v)
		}
	}
	m.slots = defaultSlots
	if reports > 0 {
		m.slots = float64(slots) / float64(reports)
	}
	m.overall = ratio(sum(m.load[:]), sum(weights[:]), defaultLoad)
	for dc := range m.load {
		if weights[dc] > 0 {
			// The mean of all gates counts like one report, so that the data centre does
			// not look different because of a single target.
			m.load[dc] = (m.load[dc] + m.overall) / (weights[dc] + 1)
		} else {
			m.load[dc] = min(defaultLoad, m.overall)
		}
		m.risk[dc] = ratio(m.risk[dc], riskWeights[dc], unhealthyShare/2)
		if trips[dc] > 0 {
			m.roundTrip[dc] = tripSums[dc] / time.Duration(trips[dc])
		}
	}
	return m
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// ratio returns sum / weight, or a default without any weight.
func ratio(sum, weight, without float64) float64 {
	if weight == 0 {
		return without
	}
	return sum / weight
}

// weight returns how much knowledge of an age counts against the mean.
func weight(age time.Duration) float64 {
	return max(0, 1-float64(age)/float64(knowledgeTTL))
}

// loadWeight is weight for a reported load. A load lasts about as long as the requests
// that it consists of.
func (m *means) loadWeight(v *View) float64 {
	if v.Slots <= 0 {
		return 0
	}
	return weight(v.Age) / (1 + float64(v.Age)/m.work)
}

// failureRisk estimates the probability that the target fails a request.
func failureRisk(v *View) float64 {
	switch {
	case v.Unavailable:
		return unavailableRisk
	case v.Suspected:
		return suspectedRisk
	}
	return unhealthyShare * (1 - math.Exp(-float64(v.SinceSuccess)/float64(healthTimescale)))
}

// expectedLoad returns the expected outstanding requests per slot of a gate, and its
// slots.
func (m *means) expectedLoad(v *View) (load, slots float64) {
	slots = float64(v.Slots)
	if v.Slots <= 0 {
		slots = m.slots
	}
	w := m.loadWeight(v)
	load = (1 - w) * m.load[v.DataCentre%maxDataCentres]
	if w > 0 {
		load += w * float64(v.Outstanding) / slots
	}
	return load + float64(v.SentSince)/slots, slots
}

// travel returns the expected round-trip time.
func (m *means) travel(v *View) time.Duration {
	if v.RoundTrip > 0 {
		return v.RoundTrip
	}
	if t := m.roundTrip[v.DataCentre%maxDataCentres]; t > 0 {
		return t
	}
	return defaultRoundTrips[v.Distance]
}

// cost returns the parts of the cost of a gate.
func (m *means) cost(v *View, r Request) Cost {
	load, slots := m.expectedLoad(v)
	c := Cost{Travel: m.travel(v), Load: time.Duration(m.work * (load + 1/slots))}
	if v.Pace > 0 {
		// Part of a slow target's pace shows in its outstanding requests already.
		pace := math.Sqrt(min(max(v.Pace, minPace), maxPace))
		c.Pace = time.Duration(weight(v.PaceAge) * (pace - 1) * float64(c.Load))
	}
	if r.CanRetry && !v.Unavailable {
		// The request tests the target's health, so the risk is not counted.
		return c
	}
	risk := failureRisk(v)
	if !v.Unavailable && !v.Suspected {
		w := weight(v.Age)
		if v.Slots <= 0 {
			w = 0
		}
		risk = w*risk + (1-w)*m.risk[v.DataCentre%maxDataCentres]
	}
	c.Risk = time.Duration(lossFactor * m.work * risk)
	return c
}

// work returns the mean work of a request.
func (r Request) work() time.Duration {
	if r.Work > 0 {
		return r.Work
	}
	return defaultWork
}

// classify returns how the request may use a gate.
func (m *means) classify(v *View, r Request) class {
	if v.Excluded || v.Distance < r.Nearest || v.Distance > r.Farthest {
		return classUnusable
	}
	if v.Distance == Remote && !m.admitsRemote(v, r) {
		return classUnusable
	}
	if v.Suspected && !v.Unavailable {
		isDue := v.Age >= minTrialAge || v.SinceSuccess < minTrialAge
		switch {
		case r.NonIdempotent:
			return classUnusable
		case r.CanRetry && isDue && v.Distance == DataCentre:
			return classTrial
		}
	}
	if v.Suspected || v.Unavailable {
		if r.IncludeUnhealthy {
			return classLastResort
		}
		return classUnusable
	}
	return classUsable
}

// admitsRemote reports whether a gate of another region may be tried. It must have a
// free slot, since the request would take that from requests of its region, and there
// must be time for a round trip for the grant, one for the response, and the work.
func (m *means) admitsRemote(v *View, r Request) bool {
	if v.Suspected || 2*m.travel(v)+r.work() > r.Remaining {
		return false
	}
	if r.Nearest < Remote && !r.IncludeUnhealthy && maxTripsPerWork*m.travel(v) > r.work() {
		return false
	}
	load, _ := m.expectedLoad(v)
	return load < 1
}
