package gate

import "time"

const (
	// initialDuration stands in until requests have been measured.
	initialDuration = 100 * time.Millisecond
	// ewmaWeight is the weight of the newest request in a mean.
	ewmaWeight = 0.1
	// shortThreshold of the mean of all requests is what those that count as short
	// take at most.
	shortThreshold = 0.5
	// maxRoutes bounds the kinds that are told apart; a service has a few routes.
	maxRoutes = 64
)

// durations are the mean times that requests hold a slot of the target,
// exponentially weighted.
type durations struct {
	all     time.Duration
	byRoute map[uint32]time.Duration
}

func newDurations() durations {
	return durations{all: initialDuration, byRoute: map[uint32]time.Duration{}}
}

// record takes in how long a request held its slot.
func (d *durations) record(routeHash uint32, t time.Duration) {
	d.all = updateEWMA(d.all, t)
	before, known := d.byRoute[routeHash]
	switch {
	case known:
		d.byRoute[routeHash] = updateEWMA(before, t)
	case len(d.byRoute) < maxRoutes:
		d.byRoute[routeHash] = t
	}
}

func updateEWMA(mean, t time.Duration) time.Duration {
	return mean + time.Duration(ewmaWeight*float64(t-mean))
}

// estimate returns how long a request estimate the kind is expected to take.
func (d *durations) estimate(routeHash uint32) time.Duration {
	if t, known := d.byRoute[routeHash]; known {
		return t
	}
	return d.all
}

// isShort reports whether requests of the kind cost others little when they go
// first.
func (d *durations) isShort(routeHash uint32) bool {
	return float64(d.estimate(routeHash)) <= shortThreshold*float64(d.all)
}
