package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stubTarget runs requests through a Limit in steps of a millisecond. It refuses those
// that it gets while sheds returns true, and those above its capacity.
type stubTarget struct {
	limit    Limit
	sheds    func(at time.Duration) bool
	capacity int
	duration time.Duration
	// speed returns the speed at which each of a number of running requests proceeds; nil
	// stands for 1.
	speed func(running int) float64
	// noise is the largest deviation of a duration, as a share of it.
	noise  float64
	random *rand.Rand
	// demand returns how many requests run if the target lets them; nil stands for more
	// than it takes.
	demand func(at time.Duration) int

	running []stubRequest
	// served and refused hold the times at which requests were sent.
	served  []time.Duration
	refused []time.Duration
}

// stubRequest is a request that a stubTarget runs or refuses.
type stubRequest struct {
	startedAt time.Duration
	// left is the time that it still takes at speed 1.
	left           time.Duration
	runningAtStart int
	route          uint32
}

// refusalTime is how long a target takes to refuse a request.
const refusalTime = 2 * time.Millisecond

// run offers the target requests at all times from one moment to another.
func (s *stubTarget) run(slots int, from, until time.Duration) {
	s.limit.SetSlots(slots, false)
	s.random = rand.New(rand.NewPCG(5, 6))
	var refusals []stubRequest
	for at := from; at < until; at += time.Millisecond {
		now := testEpoch.Add(at)
		s.proceed(now, len(refusals))
		for len(refusals) > 0 && refusals[0].startedAt+refusalTime <= at {
			s.limit.RecordRefusal(testEpoch.Add(refusals[0].startedAt), now, len(s.running)+len(refusals)-1)
			refusals = refusals[1:]
		}
		for s.limit.CanStart(now, len(s.running)+len(refusals)) && (s.demand == nil || len(s.running) < s.demand(at)) {
			s.limit.Start(now)
			r := stubRequest{startedAt: at, route: s.random.Uint32N(2), runningAtStart: len(s.running) + len(refusals) + 1}
			if s.sheds(at) || len(s.running) >= s.capacity {
				s.refused = append(s.refused, at)
				refusals = append(refusals, r)
				continue
			}
			// Requests of the second route take three times as long.
			r.left = time.Duration((1 + s.noise*(2*s.random.Float64()-1)) * float64(s.duration*time.Duration(1+2*r.route)))
			s.running = append(s.running, r)
			s.served = append(s.served, at)
		}
	}
}

// proceed runs the running requests for a millisecond.
func (s *stubTarget) proceed(now time.Time, refusals int) {
	step := time.Millisecond
	if s.speed != nil {
		step = time.Duration(s.speed(len(s.running)) * float64(step))
	}
	for i := 0; i < len(s.running); i++ {
		s.running[i].left -= step
		if r := s.running[i]; r.left <= 0 {
			s.limit.RecordCompletion(Completion{
				StartedAt: testEpoch.Add(r.startedAt), EndedAt: now, Route: r.route,
				RunningAtStart: r.runningAtStart, RunningAtEnd: len(s.running) + refusals,
			})
			s.running = append(s.running[:i], s.running[i+1:]...)
			i--
		}
	}
}

// countBetween returns how many of the times lie in [from, to).
func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// Guards against the loss seen on the heaviest days: a target that sheds everything for
// 8 s used to get every request, and refused it. It must get only single ones, at the
// intervals of 200 ms that double up to 1.6 s, and its recovery must be found within
// 1.6 s. Long requests that were running when it began to shed must not delay that.
func TestSheddingTargetGetsSingleRequests(t *testing.T) {
	const from, to = 2 * time.Second, 10 * time.Second
	tests := []struct {
		name     string
		slots    int
		duration time.Duration
	}{
		{"short requests", 5, 40 * time.Millisecond},
		{"usual requests", 5, 150 * time.Millisecond},
		{"one slot", 1, 150 * time.Millisecond},
		{"many slots", 15, 100 * time.Millisecond},
		{"long requests", 5, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := stubTarget{sheds: func(at time.Duration) bool { return at >= from && at < to }, capacity: test.slots, duration: test.duration}
			s.run(test.slots, 0, to+4*time.Second)
			t.Logf("refused at %v", s.refused)
			// The slots are found to be useless with one refusal each at most; then come
			// the trials at 200, 600, 1400, 3000, 4600, 6200 and 7800 ms.
			is.True(len(s.refused) <= test.slots+7)
			for i := 1; i < len(s.refused); i++ {
				is.True(s.refused[i]-s.refused[i-1] <= maxTrialInterval+refusalTime)
			}
			is.True(countBetween(s.served, to, to+maxTrialInterval+refusalTime) > 0)
			if test.duration < time.Second {
				// The target is in full use 1.6 s after its recovery was found.
				is.Equal(s.limit.Current(), test.slots)
			}
		})
	}
}

// A target that takes fewer requests than it has announced must keep running as many as
// it can, and refuse few, since each refusal costs an attempt.
func TestLimitFollowsCapacity(t *testing.T) {
	is := is.New(t)
	s := stubTarget{sheds: func(time.Duration) bool { return false }, capacity: 6, duration: 100 * time.Millisecond}
	s.run(15, 0, 20*time.Second)
	t.Logf("served %d, refused %d", len(s.served), len(s.refused))
	is.True(len(s.served) >= 500) // 600 with the capacity in use at all times
	// 9 are refused before the limit is first lowered.
	is.True(len(s.refused) <= len(s.served)/30)
}

// The bounds of the limit: a target that has just announced itself or has announced other
// slots must neither be locked out nor be given more than its slots.
func TestLimitBounds(t *testing.T) {
	tests := []struct {
		name string
		prep func(*Limit)
		want int
	}{
		{"first slots", func(l *Limit) { l.SetSlots(5, false) }, 5},
		{"warming up", func(l *Limit) { l.SetSlots(5, true) }, 3},
		{"warming up with one slot", func(l *Limit) { l.SetSlots(1, true) }, 1},
		{"fewer slots", func(l *Limit) { l.SetSlots(5, false); l.SetSlots(2, false) }, 2},
		{"more slots", func(l *Limit) { l.SetSlots(5, false); l.SetSlots(8, false) }, 8},
		{"more slots while lowered", func(l *Limit) {
			l.SetSlots(5, false)
			l.RecordRefusal(time.Unix(1, 0), time.Unix(1, 0), 3)
			l.SetSlots(8, false)
		}, 3},
		{"refusals while others run", func(l *Limit) {
			l.SetSlots(5, false)
			for i := range 50 {
				l.RecordRefusal(time.Unix(int64(i), 0), time.Unix(int64(i), 0), 1)
			}
		}, 1},
		{"successes at full use", func(l *Limit) {
			l.SetSlots(5, false)
			for range 50 {
				l.RecordCompletion(Completion{StartedAt: time.Unix(1, 0), EndedAt: time.Unix(2, 0), RunningAtStart: 5, RunningAtEnd: 5})
			}
		}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var l Limit
			test.prep(&l)
			is.Equal(l.Current(), test.want)
			is.True(l.CanStart(time.Unix(1000, 0), 0))
			is.True(!l.CanStart(time.Unix(1000, 0), l.slots))
		})
	}
}
