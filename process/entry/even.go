package entry

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/process/balance"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

const (
	// timingGain is the weight of a new measurement of work, pace or a rising
	// round-trip time in its moving average.
	timingGain = 1.0 / 8
	// maxRoutes bounds the routes that are measured for each gate and for all of them.
	// Routes that are no longer used are forgotten when the bound is reached.
	maxRoutes = 256
	// maxRecordedAge bounds the recorded age of knowledge.
	maxRecordedAge = 10 * time.Second
)

// measurements are what even balancing measures at a gate, from the traffic that flows
// anyway.
type measurements struct {
	// roundTrip is the measured round-trip time, or 0.
	roundTrip time.Duration
	// paces holds the gate's pace for each route, by the hash of the route.
	paces map[uint32]pace
}

// pace is the duration of requests at a gate relative to the mean of the service.
type pace struct {
	relative   float64
	measuredAt time.Time
}

// recordRoundTrip records a round-trip time. A shorter one counts at once, since the
// time that a busy peer adds is none of the network's.
func (c *candidate) recordRoundTrip(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.measured
	if m.roundTrip == 0 || d < m.roundTrip {
		m.roundTrip = max(d, 1)
		return
	}
	m.roundTrip += time.Duration(timingGain * float64(d-m.roundTrip))
}

// roundTrip returns the measured round-trip time, or 0.
func (c *candidate) roundTrip() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.measured.roundTrip
}

// recordWork records how long the target worked on a request of a route, and how long
// the targets of the service do so in the mean.
func (c *candidate) recordWork(route uint32, d, mean time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := &c.measured
	p, ok := m.paces[route]
	if !ok || now.Sub(p.measuredAt) >= stateTTL {
		// The first measurement after a pause counts little, like any other.
		p.relative = 1
	}
	if m.paces == nil || !ok && len(m.paces) >= maxRoutes {
		m.paces = map[uint32]pace{}
	}
	p.relative += timingGain * (float64(d)/float64(mean) - p.relative)
	p.measuredAt = now
	m.paces[route] = p
}

// view returns what is known of the gate for a request of a route.
func (c *candidate) view(route uint32, now time.Time) balance.View {
	s := c.snapshot(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	v := balance.View{
		Distance: balance.Distance(s.tier), DataCentre: c.dataCentre, Unavailable: s.unreachable || s.notAccepting, Suspected: s.suspected,
		Outstanding: c.state.Outstanding, Slots: c.state.Slots, Age: s.stateAge, SinceSuccess: s.sinceSuccess, RoundTrip: c.measured.roundTrip,
	}
	// The state cannot contain requests sent within a round trip before it was received:
	// they had not arrived when the gate sent it.
	unseen := c.stateReceivedAt.Add(-c.measured.roundTrip)
	for _, at := range c.sent {
		if at.After(unseen) {
			v.SentSince++
		}
	}
	if p, ok := c.measured.paces[route]; ok {
		v.Pace, v.PaceAge = p.relative, now.Sub(p.measuredAt)
	}
	return v
}

// workMeans holds how long the targets of each service work on requests of each route.
// It is safe for concurrent use.
type workMeans struct {
	mu    sync.Mutex
	means map[workKey]time.Duration
}

type workKey struct {
	service string
	route   uint32
}

func newWorkMeans() *workMeans { return &workMeans{means: map[workKey]time.Duration{}} }

// mean returns the mean work on requests of a route, or 0 if it is not known.
func (w *workMeans) mean(k workKey) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.means[k]
}

// record adds a measurement and returns the mean.
func (w *workMeans) record(k workKey, d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	mean, ok := w.means[k]
	if !ok {
		if len(w.means) >= maxRoutes {
			clear(w.means)
		}
		mean = d
	}
	mean += time.Duration(timingGain * float64(d-mean))
	w.means[k] = mean
	return mean
}

// attemptTiming holds the times of an attempt at a gate.
type attemptTiming struct {
	startedAt, sentAt, grantedAt time.Time
	// dial is how long connecting took; 0 if a connection was reused.
	dial time.Duration
	// mayQueue means that the time until the grant or the refusal contains time in the
	// gate's queue.
	mayQueue bool
}

// connected records that the connection is there and the request is about to be sent.
func (t *attemptTiming) connected(isNew bool, now, queueDeadline time.Time) {
	t.sentAt = now
	if isNew {
		t.dial = now.Sub(t.startedAt)
	}
	t.mayQueue = queueDeadline.After(t.startedAt)
}

// recordTiming records what an attempt showed about the network and the target.
func (d *directory) recordTiming(c *call, to *candidate, t attemptTiming, problem *outcome.Problem, status int, now time.Time) {
	if t.dial > 0 {
		to.recordRoundTrip(t.dial)
	}
	switch {
	case !t.grantedAt.IsZero():
		if !t.mayQueue {
			to.recordRoundTrip(t.grantedAt.Sub(t.sentAt))
		}
	case problem != nil && problem.Outcome == outcome.NotRun && !t.mayQueue && needsGrant(c.route.Idempotent, to.tier):
		to.recordRoundTrip(now.Sub(t.sentAt))
	}
	if t.grantedAt.IsZero() || problem != nil || status >= http.StatusInternalServerError {
		return
	}
	// A round trip passes from the grant to the response besides the work.
	worked := max(now.Sub(t.grantedAt)-to.roundTrip(), time.Millisecond)
	k := workKey{c.service, routeHash(c.route)}
	to.recordWork(k.route, worked, d.works.record(k, worked), now)
}

// chooseEvenly returns the index of the gate to try next, or -1. The first pass reaches
// the gates of other regions too, so that work moves there before the own region is
// full. Large bodies are left out of that, because regions share a narrow link.
func (e *Entry) chooseEvenly(c *call, p selectionPass, candidates []*candidate, isExcluded func(int) bool, r requestTraits, now time.Time) int {
	views, request := e.evenChoice(c, p, candidates, isExcluded, r, now)
	i := balance.Default.Choose(views, request, rand.Float64)
	if i >= 0 {
		e.options.Meter.RecordEvenChoice(c.service, balance.Spread(views), min(views[i].Age, maxRecordedAge))
	}
	return i
}

// evenChoice returns the arguments of the selector for one choice.
func (e *Entry) evenChoice(c *call, p selectionPass, candidates []*candidate, isExcluded func(int) bool, r requestTraits, now time.Time) ([]balance.View, balance.Request) {
	route := routeHash(c.route)
	views := make([]balance.View, len(candidates))
	for i, to := range candidates {
		views[i] = to.view(route, now)
		views[i].Excluded = isExcluded(i)
	}
	farthest := p.farthest
	isBulk := c.route.Bulk != ""
	if p.queueTimeout(c.targetLatency(), c.deadline.Sub(now)) == 0 && !isBulk {
		farthest = tierRemote
	}
	return views, balance.Request{
		CanRetry: r.canRetry, NonIdempotent: r.nonIdempotent, Bulk: isBulk, Work: e.directory.works.mean(workKey{c.service, route}),
		Remaining: c.deadline.Sub(now), Nearest: balance.Distance(p.nearest), Farthest: balance.Distance(farthest), IncludeUnhealthy: p.includeUnhealthy,
	}
}
