package gate

import "time"

const (
	// initialDuration is the mean before any request has been measured.
	initialDuration = 100 * time.Millisecond
	// ewmaWeight is the weight of the newest request in a moving average.
	ewmaWeight = 0.1
	// shortThreshold is the share of the mean duration of all requests up to
	// which the requests of a route count as short.
	shortThreshold = 0.5
	// maxRoutes bounds the routes that have an average of their own; a service
	// has only a few.
	maxRoutes = 64
)

// The stall limit of a route lies above its mean by a number of mean absolute
// deviations.
const (
	// stallDeviations is exceeded by one or two in a hundred requests of a
	// healthy target.
	stallDeviations = 4
	// shortHistoryDeviations, divided by the number of measured requests, is added
	// while the history of a route is short.
	shortHistoryDeviations = 8
	// minStallLimit exceeds the pause of a VM that has used up its CPU quota for the
	// rest of a tenth of a second.
	minStallLimit = 100 * time.Millisecond
	// minDeviationShare is the least deviation, as a share of the mean.
	minDeviationShare = 0.25
)

// durations holds exponentially weighted moving averages of the time that
// requests hold a slot of the target, over all requests and by route hash.
type durations struct {
	all     time.Duration
	byRoute map[uint32]routeDurations
}

// routeDurations holds the mean and the mean absolute deviation of the durations of
// one route's requests.
type routeDurations struct {
	mean      time.Duration
	deviation time.Duration
	count     int
}

func newDurations() durations {
	return durations{all: initialDuration, byRoute: map[uint32]routeDurations{}}
}

// record adds the time that a request held its slot.
func (d *durations) record(routeHash uint32, t time.Duration) {
	d.all = updateEWMA(d.all, t)
	r, isKnown := d.byRoute[routeHash]
	switch {
	case isKnown:
		r.deviation = updateEWMA(r.deviation, max(t-r.mean, r.mean-t))
		r.mean = updateEWMA(r.mean, t)
	case len(d.byRoute) < maxRoutes:
		r = routeDurations{mean: t, deviation: t / 2}
	default:
		return
	}
	r.count++
	d.byRoute[routeHash] = r
}

func updateEWMA(mean, t time.Duration) time.Duration {
	return mean + time.Duration(ewmaWeight*float64(t-mean))
}

// estimate returns the expected duration of a request of the route. Routes without
// an average of their own use that of all requests.
func (d *durations) estimate(routeHash uint32) time.Duration {
	if r, isKnown := d.byRoute[routeHash]; isKnown {
		return r.mean
	}
	return d.all
}

// stallLimit returns the duration from which a request of the route counts as stalled, that
// is, within which nearly all requests of a healthy target end: unmeasured for a route
// without measured requests.
func (d *durations) stallLimit(routeHash uint32, unmeasured time.Duration) time.Duration {
	r, isKnown := d.byRoute[routeHash]
	if !isKnown {
		return unmeasured
	}
	deviations := stallDeviations + shortHistoryDeviations/float64(r.count)
	deviation := max(float64(r.deviation), minDeviationShare*float64(r.mean))
	return max(minStallLimit, r.mean+time.Duration(deviations*deviation))
}

// isShort reports whether requests of the route are short enough to be served
// first at little cost to others.
func (d *durations) isShort(routeHash uint32) bool {
	return float64(d.estimate(routeHash)) <= shortThreshold*float64(d.all)
}
