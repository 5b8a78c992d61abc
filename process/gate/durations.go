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

// durations holds exponentially weighted moving averages of the time that
// requests hold a slot of the target, over all requests and by route hash.
type durations struct {
	all     time.Duration
	byRoute map[uint32]time.Duration
}

func newDurations() durations {
	return durations{all: initialDuration, byRoute: map[uint32]time.Duration{}}
}

// record adds the time that a request held its slot.
func (d *durations) record(routeHash uint32, t time.Duration) {
	d.all = updateEWMA(d.all, t)
	mean, isKnown := d.byRoute[routeHash]
	switch {
	case isKnown:
		d.byRoute[routeHash] = updateEWMA(mean, t)
	case len(d.byRoute) < maxRoutes:
		d.byRoute[routeHash] = t
	}
}

func updateEWMA(mean, t time.Duration) time.Duration {
	return mean + time.Duration(ewmaWeight*float64(t-mean))
}

// estimate returns the expected duration of a request of the route. Routes without
// an average of their own use that of all requests.
func (d *durations) estimate(routeHash uint32) time.Duration {
	if t, isKnown := d.byRoute[routeHash]; isKnown {
		return t
	}
	return d.all
}

// isShort reports whether requests of the route are short enough to be served
// first at little cost to others.
func (d *durations) isShort(routeHash uint32) bool {
	return float64(d.estimate(routeHash)) <= shortThreshold*float64(d.all)
}
