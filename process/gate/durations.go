package gate

import "time"

const (
	// firstDuration stands in until requests have been measured.
	firstDuration = 100 * time.Millisecond
	// newestShare is the weight of the newest request in a mean.
	newestShare = 0.1
	// shortShare of the mean of all requests is what those that count as short
	// take at most.
	shortShare = 0.5
	// maxKinds bounds the kinds that are told apart; a service has a few routes.
	maxKinds = 64
)

// durations are the mean times that requests hold a slot of the target,
// exponentially weighted.
type durations struct {
	all    time.Duration
	byKind map[uint32]time.Duration
}

func newDurations() durations {
	return durations{all: firstDuration, byKind: map[uint32]time.Duration{}}
}

// took takes in how long a request held its slot.
func (d *durations) took(kind uint32, t time.Duration) {
	d.all = weigh(d.all, t)
	before, known := d.byKind[kind]
	switch {
	case known:
		d.byKind[kind] = weigh(before, t)
	case len(d.byKind) < maxKinds:
		d.byKind[kind] = t
	}
}

func weigh(mean, t time.Duration) time.Duration {
	return mean + time.Duration(newestShare*float64(t-mean))
}

// of returns how long a request of the kind is expected to take.
func (d *durations) of(kind uint32) time.Duration {
	if t, known := d.byKind[kind]; known {
		return t
	}
	return d.all
}

// isShort reports whether requests of the kind cost others little when they go
// first.
func (d *durations) isShort(kind uint32) bool {
	return float64(d.of(kind)) <= shortShare*float64(d.all)
}
