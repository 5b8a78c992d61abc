package refusal

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
)

// replay runs requests through a Memory and the decisions in virtual time, as an entry does.
type replay struct {
	memory *Memory
	random *rand.Rand
	events []replayEvent
	// grants reports whether a gate grants a slot, and if not, when it will (zero: not
	// named).
	grants func(now time.Duration) (ok bool, capacityAt time.Duration)
	// returns is when the caller returns after a refusal, if it does.
	returns func(r replayRequest, now, retryAfter time.Duration) (at time.Duration, ok bool)
	assumed Assumption

	// servedByID holds the requests that were served.
	servedByID                                      map[int]bool
	served, failed, held, rounds, mostRounds, early int
	longestHold                                     time.Duration
	promises                                        []time.Duration
	worstShare                                      float64
}

type replayRequest struct {
	id, tries                 int
	arrivedAt, deadline, soft time.Duration
	targetLatency, work       time.Duration
	heldRounds, rounds        int
	isHeld                    bool
}

type replayEvent struct {
	at      time.Duration
	isNew   bool
	request replayRequest
}

func (p *replay) push(e replayEvent) {
	i, _ := slices.BinarySearchFunc(p.events, e.at, func(e replayEvent, at time.Duration) int {
		if e.at <= at {
			return -1
		}
		return 1
	})
	p.events = slices.Insert(p.events, i, e)
}

func (p *replay) run() {
	for len(p.events) > 0 {
		e := p.events[0]
		p.events = p.events[1:]
		p.step(e.at, e.isNew, e.request)
	}
}

func (p *replay) step(at time.Duration, isNew bool, r replayRequest) {
	now := start.Add(at)
	if isNew {
		if f, ok := p.memory.Recall(fingerprint.Fingerprint(r.id), now); ok && now.Before(f.RetryAt) {
			p.early++
			p.refuse(at, r, PromiseAgain(now, f.RetryAt, start.Add(r.deadline)))
			return
		}
	}
	r.rounds++
	p.rounds++
	p.mostRounds = max(p.mostRounds, r.rounds)
	ok, capacityAt := p.grants(at)
	if ok {
		p.served++
		p.servedByID[r.id] = true
		p.memory.RecordServed(1, r.work, now)
		p.memory.Forget(fingerprint.Fingerprint(r.id))
		return
	}
	s := Situation{
		Now: now, ReceivedAt: start.Add(r.arrivedAt), Deadline: start.Add(r.deadline), TargetLatency: r.targetLatency,
		Work: ExpectedWork(p.memory.Work(1, now), r.targetLatency), CallersRetry: p.memory.CallersRetry(1, p.assumed, now),
		HeldRounds: r.heldRounds, CanHold: true, Random: p.random.Float64(),
	}
	if capacityAt > at {
		s.EarliestCapacity = start.Add(capacityAt)
	}
	v := Decide(s)
	if v.Reason != "" {
		p.refuse(at, r, Promise(now, s.EarliestCapacity, p.memory.Turn(1, now), s.Deadline, p.random.Float64()))
		return
	}
	if v.Held {
		if !r.isHeld {
			p.held++
		}
		r.isHeld = true
		r.heldRounds++
		p.longestHold = max(p.longestHold, v.NextRoundAt.Sub(start)-r.arrivedAt)
	}
	p.push(replayEvent{v.NextRoundAt.Sub(start), false, r})
}

func (p *replay) refuse(at time.Duration, r replayRequest, promise time.Time) {
	p.memory.RecordRefusal(Refusal{
		Request: fingerprint.Fingerprint(r.id), Route: 1, Code: outcome.CodeTargetFull, RetryAt: promise,
		Deadline: start.Add(r.deadline), SoftDeadline: start.Add(r.soft),
	}, start.Add(at))
	p.promises = append(p.promises, promise.Sub(start))
	if left := r.deadline - at; left > 0 {
		p.worstShare = max(p.worstShare, float64(promise.Sub(start)-at)/float64(left))
	}
	back, ok := p.returns(r, at, promise.Sub(start)-at)
	if !ok {
		p.failed++
		return
	}
	r.tries++
	r.arrivedAt, r.rounds, r.heldRounds, r.isHeld = back, 0, 0, false
	p.push(replayEvent{back, true, r})
}

// The van routing deployment: all targets of a service shed for 8.5 s. One of 41 nodes sees
// 30 calls of its target in that time, which have 4 s each and are never retried. The calls
// that come in the last 3.5 s must be saved; before, all failed. Every call must cost few
// rounds, and none may wait beyond the time at which it could still be served.
func TestReplayCallsWhileTargetsShed(t *testing.T) {
	const outage = 8500 * ms
	tests := []struct {
		name    string
		assumed Assumption
		// least is how many of 30 calls are served, most how many rounds each one takes.
		least, most int
		hint        time.Duration
	}{
		{"public route of a deployment with customers", AssumePublic, 12, 1 + MaxHeldRounds, 0},
		{"route of which nothing is known", AssumeUnknown, 12, 1 + MaxHeldRounds, 0},
		{"gates name their next trial", AssumeUnknown, 12, 1 + MaxHeldRounds, 300 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := &replay{
				memory: NewMemory(), servedByID: map[int]bool{}, random: rand.New(rand.NewPCG(1, 2)), assumed: test.assumed,
				grants: func(now time.Duration) (bool, time.Duration) {
					if test.hint > 0 {
						return now >= outage, now + test.hint
					}
					return now >= outage, 0
				},
				returns: func(replayRequest, time.Duration, time.Duration) (time.Duration, bool) { return 0, false },
			}
			for i := range 30 {
				at := time.Duration(i) * outage / 30
				p.push(replayEvent{at, true, replayRequest{id: i, arrivedAt: at, deadline: at + 4*time.Second, soft: at + 800*ms, targetLatency: 800 * ms, work: 100 * ms}})
			}
			p.run()
			t.Logf("served %d of 30, held %d, rounds %d", p.served, p.held, p.rounds)
			is.Equal(p.served+p.failed, 30)
			is.True(p.served >= test.least)
			is.True(p.mostRounds <= test.most)
			is.True(p.longestHold <= 3900*ms)
		})
	}
}

// The shared rides deployment: 2.2 times the load that the targets can serve for 5 s. Callers
// return up to three times, one in four at once instead of at the promised time. Callers
// that return must never be held once one was seen, must never be told to wait for longer
// than a third of their time, and must not return together. Those that return at once must
// not reach a gate, and must not be served more often than the others.
func TestReplayBurstWithReturns(t *testing.T) {
	is := is.New(t)
	const work = 50 * ms // 20 requests a second
	var busyUntil time.Duration
	p := &replay{memory: NewMemory(), servedByID: map[int]bool{}, random: rand.New(rand.NewPCG(3, 4)), assumed: AssumeKey}
	p.grants = func(now time.Duration) (bool, time.Duration) {
		if busyUntil > now+2*work {
			return false, busyUntil - work
		}
		busyUntil = max(busyUntil, now) + work
		return true, 0
	}
	p.returns = func(r replayRequest, now, retryAfter time.Duration) (time.Duration, bool) {
		if r.tries >= 3 || retryAfter > (r.deadline-now)/3 {
			return 0, false
		}
		if r.id%4 == 0 {
			return now + ms, true
		}
		return now + retryAfter, true
	}
	for i := range 220 {
		at := time.Duration(i) * 5 * time.Second / 220
		p.push(replayEvent{at, true, replayRequest{id: i, arrivedAt: at, deadline: at + 2*time.Second, soft: at + 600*ms, targetLatency: 600 * ms, work: work}})
	}
	p.run()
	t.Logf("served %d of 220, early returns %d, rounds %d, promises %d", p.served, p.early, p.rounds, len(p.promises))
	is.Equal(p.served+p.failed, 220)
	is.True(p.served >= 105) // the targets can serve 100 in 5 s and a few afterwards
	is.Equal(p.held, 0)
	is.True(p.worstShare < 1.0/3)
	is.True(p.early > 0)
	servedImmediate := 0
	for id := range p.servedByID {
		if id%4 == 0 {
			servedImmediate++
		}
	}
	t.Logf("served of the 55 that return at once: %d", servedImmediate)
	is.True(float64(servedImmediate)/55 <= float64(p.served-servedImmediate)/165)
	slices.Sort(p.promises)
	most := 0
	for i, at := range p.promises {
		j, _ := slices.BinarySearch(p.promises, at+50*ms)
		most = max(most, j-i)
	}
	t.Logf("most promised times within 50 ms: %d", most)
	is.True(most <= 20)
}
