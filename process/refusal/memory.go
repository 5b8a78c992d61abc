package refusal

import (
	"container/list"
	"math"
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

const (
	// recordTTL is how long a refused request is remembered after its last refusal.
	// Callers return at most maxWait after it.
	recordTTL = 3 * time.Second
	// maxRecords bounds the refused requests that are remembered: 4,096 of about 200 bytes.
	maxRecords = 4096
	// maxRoutes bounds the routes that are remembered, maxLabels those that metrics name.
	maxRoutes = 512
	maxLabels = 64
	// evidenceTTL is how long it is remembered whether callers return. Holding hides it, so
	// that an old verdict must end.
	evidenceTTL = 10 * time.Minute
	// minUnreturned is how many refused requests must not have returned before the callers
	// of a route are taken not to return. A node refuses few calls: the 1,246 of the van
	// routing deployment were about 30 at each node of `dispatch`.
	minUnreturned = 2
	// minUnreturnedWithKey is the same for routes that need a key, which targets do not
	// call. Their callers may also return to another node, which this one does not see.
	minUnreturnedWithKey = 20
	// maxEarlyReturns is how often a request may return before its promised time. A
	// request that comes more often is not one that returns but one that many callers
	// send, and must not be refused on account of the first. Callers retry a few times.
	maxEarlyReturns = 10
	// minReturnedShare is the share of returns above which callers return. It is low
	// because holding requests of callers that return is the worse error, and above zero
	// because two different requests may have the same fingerprint.
	minReturnedShare = 1.0 / 16
	// maxEvidence is the number of judged requests at which old evidence is halved.
	maxEvidence = 64
	// workWeight is the weight of the last request in the measured work.
	workWeight = 0.1
	// rateWindow is the time over which the rate of served requests is measured.
	rateWindow = 2 * time.Second
	// maxGap bounds the time between two promised times of a route when hardly any
	// request is served.
	maxGap = 100 * time.Millisecond
)

// Assumption is what a configuration says about the callers of a route.
type Assumption int

// The assumptions.
const (
	// AssumeUnknown means that the configuration has no customers. Callers are taken to
	// return until a few requests have not.
	AssumeUnknown Assumption = iota
	// AssumeKey means that the route needs a key, so that targets do not call it.
	AssumeKey
	// AssumePublic means that the route is public and others need a key, so that targets
	// call it. Callers are taken not to return until one has.
	AssumePublic
)

// RouteKey identifies a route.
type RouteKey uint32

// Refusal is a request that is refused.
type Refusal struct {
	Request  fingerprint.Fingerprint
	Route    RouteKey
	Code     outcome.Code
	RetryAt  time.Time
	Deadline time.Time
	// SoftDeadline is that of this attempt. A Memory keeps that of the first one.
	SoftDeadline time.Time
}

// Memory remembers refused requests and what they tell of their routes. It is not safe for
// concurrent use.
type Memory struct {
	records map[fingerprint.Fingerprint]*list.Element
	// order holds the records, the one that was refused longest ago first.
	order  list.List
	routes map[RouteKey]*route
	labels map[string]bool
}

type record struct {
	Refusal
	refusedAt time.Time
	// earlyReturns counts the returns before RetryAt.
	earlyReturns int
	// counts means that the request tells whether callers return: it could have been
	// served after its retry time. hasReturned means that it has returned.
	counts, hasReturned bool
}

type route struct {
	usedAt time.Time
	// returned and unreturned count the judged requests up to judgedAt.
	returned, unreturned int
	judgedAt             time.Time
	work                 time.Duration
	// served is the number of served requests, decayed over rateWindow up to servedAt.
	served   float64
	servedAt time.Time
	// lastTurn is the latest time that was promised.
	lastTurn time.Time
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{records: map[fingerprint.Fingerprint]*list.Element{}, routes: map[RouteKey]*route{}, labels: map[string]bool{}}
}

// Recall returns the refusal of a request that returns, with the soft deadline of its first
// attempt, and counts the return.
func (m *Memory) Recall(request fingerprint.Fingerprint, now time.Time) (Refusal, bool) {
	m.expire(now)
	e, ok := m.records[request]
	if !ok {
		return Refusal{}, false
	}
	r := e.Value.(*record)
	if now.Before(r.RetryAt) {
		if r.earlyReturns++; r.earlyReturns > maxEarlyReturns {
			m.remove(e)
			return Refusal{}, false
		}
	}
	if !r.hasReturned {
		r.hasReturned = true
		m.route(r.Route, now).judge(true, now)
	}
	return r.Refusal, true
}

// RecordRefusal remembers a refusal.
func (m *Memory) RecordRefusal(f Refusal, now time.Time) {
	m.expire(now)
	rt := m.route(f.Route, now)
	rt.lastTurn = later(rt.lastTurn, f.RetryAt)
	counts := f.RetryAt.After(now) && f.RetryAt.Add(rt.work).Before(f.Deadline)
	if e, ok := m.records[f.Request]; ok {
		r := e.Value.(*record)
		f.SoftDeadline = r.SoftDeadline
		r.Refusal, r.refusedAt = f, now
		// Only the first refusal of a request counts: a caller that returned may give up.
		r.counts = r.counts && !r.hasReturned
		m.order.MoveToBack(e)
		return
	}
	if len(m.records) >= maxRecords {
		m.remove(m.order.Front())
	}
	m.records[f.Request] = m.order.PushBack(&record{Refusal: f, refusedAt: now, counts: counts})
}

// Forget removes a request that has been served or may have run.
func (m *Memory) Forget(request fingerprint.Fingerprint) {
	if e, ok := m.records[request]; ok {
		m.remove(e)
	}
}

// RecordServed records a request that was served and how long its gate took.
func (m *Memory) RecordServed(key RouteKey, took time.Duration, now time.Time) {
	rt := m.route(key, now)
	rt.served, rt.servedAt = rt.servedUntil(now)+1, now
	if rt.work == 0 {
		rt.work = took
		return
	}
	rt.work += time.Duration(workWeight * float64(took-rt.work))
}

// CallersRetry reports whether the callers of a route return when they are refused. The
// assumption decides while little is known.
func (m *Memory) CallersRetry(key RouteKey, assumed Assumption, now time.Time) bool {
	m.expire(now)
	rt := m.route(key, now)
	return rt.callersRetry(assumed, now)
}

func (rt *route) callersRetry(assumed Assumption, now time.Time) bool {
	if now.Sub(rt.judgedAt) >= evidenceTTL {
		rt.returned, rt.unreturned = 0, 0
	}
	if judged := rt.returned + rt.unreturned; rt.returned > 0 && float64(rt.returned) >= minReturnedShare*float64(judged) {
		return true
	}
	switch assumed {
	case AssumePublic:
		return false
	case AssumeKey:
		return rt.unreturned < minUnreturnedWithKey
	}
	return rt.unreturned < minUnreturned
}

// Work returns the measured duration of the requests of a route, or zero.
func (m *Memory) Work(key RouteKey, now time.Time) time.Duration { return m.route(key, now).work }

// Turn returns the earliest time at which the next refused request of a route should
// return, so that those refused together do not return together. The times are as far apart
// as the requests of the route that this entry has had served lately: its share of what
// the fleet serves.
func (m *Memory) Turn(key RouteKey, now time.Time) time.Time {
	return m.route(key, now).turn(now)
}

func (rt *route) turn(now time.Time) time.Time {
	gap := maxGap
	if served := rt.servedUntil(now); served > 0 {
		gap = min(maxGap, time.Duration(float64(rateWindow)/served))
	}
	return later(now, rt.lastTurn.Add(gap))
}

// Label returns the name under which metrics show a route: its own for the first maxLabels
// routes, "other" for all others.
func (m *Memory) Label(name string) string {
	if !m.labels[name] {
		if len(m.labels) >= maxLabels {
			return "other"
		}
		m.labels[name] = true
	}
	return name
}

// expire removes the records whose time is over. Those that did not return tell that
// callers of their route do not.
func (m *Memory) expire(now time.Time) {
	for e := m.order.Front(); e != nil; e = m.order.Front() {
		r := e.Value.(*record)
		if now.Sub(r.refusedAt) < recordTTL {
			return
		}
		if r.counts && !r.hasReturned {
			m.route(r.Route, now).judge(false, now)
		}
		m.remove(e)
	}
}

func (m *Memory) remove(e *list.Element) {
	delete(m.records, e.Value.(*record).Request)
	m.order.Remove(e)
}

// route returns the state of a route. A new one replaces the one that has not been used for
// the longest time if there are too many.
func (m *Memory) route(key RouteKey, now time.Time) *route {
	rt, ok := m.routes[key]
	if !ok {
		if len(m.routes) >= maxRoutes {
			m.evictRoute()
		}
		rt = &route{}
		m.routes[key] = rt
	}
	rt.usedAt = now
	return rt
}

func (m *Memory) evictRoute() {
	var oldest RouteKey
	var at time.Time
	for key, rt := range m.routes {
		if at.IsZero() || rt.usedAt.Before(at) {
			oldest, at = key, rt.usedAt
		}
	}
	delete(m.routes, oldest)
}

func (rt *route) judge(returned bool, now time.Time) {
	rt.judgedAt = now
	if returned {
		rt.returned++
	} else {
		rt.unreturned++
	}
	if rt.returned+rt.unreturned >= maxEvidence {
		rt.returned, rt.unreturned = rt.returned/2, rt.unreturned/2
	}
}

func (rt *route) servedUntil(now time.Time) float64 {
	return rt.served * math.Exp(-float64(now.Sub(rt.servedAt))/float64(rateWindow))
}
