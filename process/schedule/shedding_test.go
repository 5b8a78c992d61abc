package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stubTarget runs requests through a Shedding in steps of a millisecond. It is always
// offered more requests than its slots, and refuses those that it gets while sheds returns
// true.
type stubTarget struct {
	shedding Shedding
	slots    int
	duration time.Duration
	sheds    func(at time.Duration) bool

	// running holds the requests in progress, refusing those that the target is about to
	// refuse.
	running, refusing []stubRequest
	// served and refused hold the times at which requests were sent.
	served, refused []time.Duration
	// mostWhileShedding is the largest number of requests that the target was about to
	// refuse at once while it counted as shedding.
	mostWhileShedding int
}

// stubRequest is a request that a stubTarget runs or refuses.
type stubRequest struct {
	startedAt time.Duration
	number    uint64
}

// refusalTime is how long a target takes to refuse a request.
const refusalTime = 2 * time.Millisecond

// run offers the target requests for the given time.
func (s *stubTarget) run(until time.Duration) {
	for at := time.Duration(0); at < until; at += time.Millisecond {
		now := testEpoch.Add(at)
		s.running = slices.DeleteFunc(s.running, func(r stubRequest) bool {
			if r.startedAt+s.duration > at {
				return false
			}
			s.shedding.RecordRun(r.number)
			return true
		})
		s.refusing = slices.DeleteFunc(s.refusing, func(r stubRequest) bool {
			if r.startedAt+refusalTime > at {
				return false
			}
			s.shedding.RecordRefusal(r.number, now)
			return true
		})
		wasShedding := s.shedding.IsShedding()
		for inUse := len(s.running) + len(s.refusing); inUse < s.slots && s.shedding.CanStart(now, inUse); inUse++ {
			r := stubRequest{startedAt: at, number: s.shedding.Start(now)}
			if s.sheds(at) {
				s.refused, s.refusing = append(s.refused, at), append(s.refusing, r)
				if wasShedding {
					s.mostWhileShedding = max(s.mostWhileShedding, len(s.refusing))
				}
				continue
			}
			s.served, s.running = append(s.served, at), append(s.running, r)
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

// Guards against the loss of attempts at a target that sheds everything for 8 s and
// refuses every request. It must get only single ones, at the intervals of 200 ms that
// double up to 1.6 s, and its recovery must be found within 1.6 s. Long requests that were
// running when it began to shed must not delay that.
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
			s := stubTarget{slots: test.slots, duration: test.duration, sheds: func(at time.Duration) bool { return at >= from && at < to }}
			s.run(to + 4*time.Second)
			t.Logf("refused at %v", s.refused)
			// Ten refusals show the shedding while up to all slots are in use; then come the
			// trials at 200, 600, 1400, 3000, 4600, 6200 and 7800 ms.
			is.True(len(s.refused) <= sheddingRefusals+test.slots+7)
			is.True(s.mostWhileShedding <= 1)
			for i := 1; i < len(s.refused); i++ {
				is.True(s.refused[i]-s.refused[i-1] <= maxTrialInterval+refusalTime)
			}
			is.True(countBetween(s.served, to, to+maxTrialInterval+refusalTime) > 0)
			if test.duration < time.Second {
				// All slots are in use as soon as the first request has been run.
				found := to + maxTrialInterval + refusalTime + test.duration
				is.True(countBetween(s.served, to, found+time.Millisecond) >= test.slots)
			}
		})
	}
}

// Only ten refusals in a row may make a target shed, or one that refuses some of its
// requests would lose its slots. Only a request that was started after them may end the
// shedding.
func TestSheddingIsDetected(t *testing.T) {
	at := func(ms int) time.Time { return testEpoch.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name string
		// results has one letter for each request, in the order of their starts: r for
		// refused, d for run (done), l for lost, and - for one that is still under way.
		results string
		// isReversed means that the responses arrive in the reverse order.
		isReversed bool
		// then holds what follows at 100 ms: numbers of requests that are run, negative
		// ones for refusals, and 0 for a loss.
		then []int
		want bool
		// wantTrialAt is in milliseconds.
		wantTrialAt int
	}{
		{"no refusal", "ddd", false, nil, false, 0},
		{"nine refusals", "rrrrrrrrr", false, nil, false, 0},
		{"ten refusals", "rrrrrrrrrr", false, nil, true, 200},
		{"ten refusals, responses reversed", "drrrrrrrrrr", true, nil, true, 200},
		{"a request run in between", "rrrrrrrrrdr", false, nil, false, 0},
		{"a request run in between, responses reversed", "rrrrrrrrrdr", true, nil, false, 0},
		{"a long request in between", "rrrrr-rrrrr", false, nil, false, 0},
		{"an older request is run in between", "-rrrrrrrrr", false, []int{1, -11}, false, 0},
		{"half refused, all others long", "r-r-r-r-r-r-r-r-r-r-r-r-", false, nil, false, 0},
		{"long requests before", "---rrrrrrrrrr", false, nil, true, 200},
		{"request under way when detected is refused", "rrrrrrrrrr-", false, []int{-11}, true, 200},
		{"request under way when detected is run", "rrrrrrrrrr-", false, []int{11}, false, 0},
		{"older request is run", "-rrrrrrrrrr", false, []int{1}, true, 200},
		{"trial refused", "rrrrrrrrrr", false, []int{-11}, true, 500},
		{"trials refused", "rrrrrrrrrr", false, []int{-11, -12, -13, -14, -15}, true, 1700},
		{"a request lost in between", "rrrrrlrrrrr", false, nil, false, 0},
		{"trial lost", "rrrrrrrrrr", false, []int{0}, true, 300},
		{"trial run", "rrrrrrrrrr", false, []int{11}, false, 0},
		{"nine refusals after a recovery", "rrrrrrrrrr", false, []int{11, -12, -13, -14, -15, -16, -17, -18, -19, -20}, false, 0},
		{"ten refusals after a recovery", "rrrrrrrrrr", false, []int{11, -12, -13, -14, -15, -16, -17, -18, -19, -20, -21}, true, 300},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var s Shedding
			var numbers []uint64
			for range test.results {
				numbers = append(numbers, s.Start(at(0)))
			}
			if test.isReversed {
				slices.Reverse(numbers)
			}
			for _, number := range numbers {
				switch test.results[number-1] {
				case 'r':
					s.RecordRefusal(number, at(0))
				case 'd':
					s.RecordRun(number)
				case 'l':
					s.RecordLoss(at(0))
				}
			}
			for _, n := range test.then {
				number := uint64(max(n, -n))
				if number > s.last {
					s.Start(at(0))
				}
				switch {
				case n < 0:
					s.RecordRefusal(number, at(100))
				case n > 0:
					s.RecordRun(number)
				default:
					s.RecordLoss(at(100))
				}
			}
			is.Equal(s.IsShedding(), test.want)
			if !test.want {
				is.True(s.TrialAt().IsZero())
				is.True(s.CanStart(at(10), 100))
				is.True(s.NextAt(at(10), 100).IsZero())
				return
			}
			is.Equal(s.TrialAt(), at(test.wantTrialAt))
			// A long request that still runs delays a trial up to 1.6 s after the last start.
			dueAt := min(test.wantTrialAt, 1600)
			is.True(!s.CanStart(at(dueAt-1), 0))
			is.True(s.CanStart(at(dueAt), 0))
			is.True(!s.CanStart(at(1599), 1))
			is.Equal(s.NextAt(at(10), 1), at(1600))
			is.True(s.CanStart(at(1600), 1))
		})
	}
}

// Guards against a target with more requests under way than are remembered, and against
// responses of requests from before a restart of the target.
func TestSheddingIgnoresUnknownRequests(t *testing.T) {
	is := is.New(t)
	var s Shedding
	for range 200 {
		s.Start(testEpoch)
	}
	for number := range uint64(130) {
		s.RecordRefusal(number, testEpoch)
		s.RecordRefusal(1000+number, testEpoch)
	}
	is.True(!s.IsShedding())
}
