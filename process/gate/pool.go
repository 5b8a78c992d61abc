package gate

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/process/judgement"
	"github.com/cuminwheel/cuminwheel/request/outcome"
)

// Pool holds the targets of one service. It is safe for concurrent use.
type Pool struct {
	service string
	clock   func() time.Time

	mu      sync.Mutex
	dial    judgement.Dial
	targets []*target
	queue   queue
	// mean is the smoothed time that a request occupies a slot.
	mean time.Duration
}

// Ask is what a request needs of a slot.
type Ask struct {
	Customer string
	Deadline time.Time
	// Idempotent allows the request to go to a target on trial and to be
	// cancelled when its target is ejected.
	Idempotent bool
}

// Bounds of the queue and of refusals.
const (
	meanShare        = 0.1
	firstMean        = 20 * time.Millisecond
	maxQueuedPerSlot = 64
	noTargetRetry    = time.Second
)

// errTargetEjected cancels idempotent requests at a target that is ejected.
var errTargetEjected = &outcome.Problem{
	Outcome: outcome.Unknown,
	Code:    outcome.CodeTargetFailed,
	Status:  http.StatusBadGateway,
	Detail:  "the target was ejected while it ran the request",
}

func newPool(service string, d judgement.Dial, clock func() time.Time) *Pool {
	return &Pool{service: service, dial: d, clock: clock, mean: firstMean}
}

// Acquire returns a slot, or a refusal, which says that the request was not
// run. It waits at most until the deadline or the end of ctx. The returned
// context ends when the target is ejected.
func (p *Pool) Acquire(ctx context.Context, a Ask) (*Slot, context.Context, *outcome.Problem) {
	now := p.clock()
	p.mu.Lock()
	if t := p.pick(now, a.Idempotent); t != nil {
		s := p.take(t, a, now)
		p.mu.Unlock()
		return s.bind(ctx)
	}
	if refusal := p.refusal(a, now); refusal != nil {
		p.mu.Unlock()
		return nil, nil, refusal
	}
	w := &waiter{ask: a, granted: make(chan *Slot, 1), refused: make(chan struct{})}
	p.queue.push(w)
	p.mu.Unlock()
	return p.wait(ctx, w)
}

func (p *Pool) wait(ctx context.Context, w *waiter) (*Slot, context.Context, *outcome.Problem) {
	timer := time.NewTimer(w.ask.Deadline.Sub(p.clock()))
	defer timer.Stop()
	select {
	case s := <-w.granted:
		return s.bind(ctx)
	case <-w.refused:
		return nil, nil, p.noTarget()
	case <-ctx.Done():
	case <-timer.C:
	}
	p.mu.Lock()
	p.queue.leave(w)
	p.mu.Unlock()
	select {
	case s := <-w.granted:
		s.Abandon()
	default:
	}
	return nil, nil, outcome.Refused(outcome.CodeNotInTime, http.StatusServiceUnavailable,
		"no target of service %s became free in time", p.service)
}

func (s *Slot) bind(ctx context.Context) (*Slot, context.Context, *outcome.Problem) {
	bound, cancel := context.WithCancelCause(ctx)
	s.pool.mu.Lock()
	s.cancel = cancel
	s.pool.mu.Unlock()
	return s, bound, nil
}

// pick returns the free target with the smallest share of busy slots.
func (p *Pool) pick(now time.Time, idempotent bool) *target {
	var best *target
	for _, t := range p.targets {
		if !t.isFree(now, idempotent) {
			continue
		}
		if best == nil || t.load() < best.load() {
			best = t
		}
	}
	return best
}

// load is the share of busy slots; a suspected target ranks behind all others.
func (t *target) load() float64 {
	l := float64(t.busy) / float64(max(1, t.announced.Slots))
	if t.judge.IsSuspected() {
		l++
	}
	return l
}

func (p *Pool) take(t *target, a Ask, now time.Time) *Slot {
	s := &Slot{pool: p, target: t, work: t.judge.Began(now), began: now, idem: a.Idempotent}
	t.busy++
	t.flights[s] = now
	return s
}

// refusal returns why a request cannot wait, or nil.
func (p *Pool) refusal(a Ask, now time.Time) *outcome.Problem {
	slots := 0
	perSlot := p.mean
	stuck := time.Duration(-1)
	for _, t := range p.targets {
		if !t.isServing(now) || t.standing.Phase(now) == judgement.PhaseTrial {
			continue
		}
		slots += t.announced.Slots
		if age := t.youngestAge(now); stuck < 0 || age < stuck {
			stuck = age
		}
	}
	if slots == 0 {
		return p.noTarget()
	}
	// When even the youngest request in progress has outlasted the mean, the
	// rest of its time is taken to be as long as its age.
	perSlot = max(perSlot, stuck)
	wait := time.Duration(float64(p.queue.length+1) / float64(slots) * float64(perSlot))
	if p.queue.length >= slots*maxQueuedPerSlot || now.Add(wait+p.mean).After(a.Deadline) {
		return outcome.Refused(outcome.CodeNotInTime, http.StatusServiceUnavailable,
			"service %s has %d requests waiting for %d slots here", p.service, p.queue.length, slots).
			WithRetryAt(now.Add(wait))
	}
	return nil
}

func (p *Pool) noTarget() *outcome.Problem {
	return outcome.Refused(outcome.CodeNoTarget, http.StatusServiceUnavailable,
		"no target of service %s takes work here", p.service).WithRetryAt(p.clock().Add(noTargetRetry))
}

// End returns the slot after the target's answer ended. failed means that the
// answer was an error, was cut short or did not come in time.
func (s *Slot) End(failed bool) {
	s.release(func(now time.Time) {
		s.target.judge.Ended(s.work, now, failed)
		if !failed {
			s.pool.observe(now.Sub(s.began))
		}
		s.advanceTrial(now, failed)
	})
}

// Abandon returns the slot of a request whose caller went away.
func (s *Slot) Abandon() {
	s.release(func(now time.Time) { s.target.judge.Abandoned(s.work, now) })
}

func (s *Slot) release(record func(time.Time)) {
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.cancel != nil {
		s.cancel(nil)
	}
	if _, held := s.target.flights[s]; !held {
		return
	}
	delete(s.target.flights, s)
	s.target.busy--
	record(p.clock())
	p.grant()
}

// advanceTrial takes in a request of a target on trial.
func (s *Slot) advanceTrial(now time.Time, failed bool) {
	t := s.target
	if t.standing.Phase(now) != judgement.PhaseTrial {
		return
	}
	switch t.standing.Tried(now, t.judge.IsQuick(now.Sub(s.began)), failed) {
	case judgement.VerdictReturned:
		t.judge.Clear(t.standing.Sensitivity())
	case judgement.VerdictRelapsed:
		t.judge.Clear(0)
	}
}

func (p *Pool) observe(d time.Duration) {
	p.mean = time.Duration((1-meanShare)*float64(p.mean) + meanShare*float64(d))
}

// grant gives free slots to waiters.
func (p *Pool) grant() {
	now := p.clock()
	for p.queue.length > 0 {
		var free *target
		w := p.queue.pop(now, func(a Ask) bool {
			free = p.pick(now, a.Idempotent)
			return free != nil
		})
		if w == nil {
			return
		}
		w.granted <- p.take(free, w.ask, now)
	}
}

// refuseWaiting answers all waiters when no target can take them any more.
func (p *Pool) refuseWaiting(now time.Time) {
	for _, t := range p.targets {
		if t.isServing(now) {
			return
		}
	}
	for _, w := range p.queue.drain() {
		close(w.refused)
	}
}
