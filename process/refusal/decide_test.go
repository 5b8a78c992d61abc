package refusal

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const ms = time.Millisecond

// The times of a call in the van routing deployment: 4 s in all, 800 ms target latency,
// 100 ms of work.
func situation(now time.Duration, change func(*Situation)) Situation {
	s := Situation{
		Now: start.Add(now), ReceivedAt: start, Deadline: start.Add(4 * time.Second), TargetLatency: 800 * ms, Work: 100 * ms, CanHold: true,
	}
	change(&s)
	return s
}

// Guards against a request that is held although its caller would return, that is held when
// it can no longer be served, and that is refused although a gate is about to have capacity.
func TestDecide(t *testing.T) {
	retry := func(s *Situation) { s.CallersRetry = true }
	retryCapacity := func(at time.Duration, all bool) func(*Situation) {
		return func(s *Situation) { s.CallersRetry, s.EarliestCapacity, s.AllNamed = true, start.Add(at), all }
	}
	capacity := func(at time.Duration, all bool, rounds int) func(*Situation) {
		return func(s *Situation) { s.EarliestCapacity, s.AllNamed, s.HeldRounds = start.Add(at), all, rounds }
	}
	tests := []struct {
		name   string
		now    time.Duration
		change func(*Situation)
		reason Reason
		next   time.Duration
		held   bool
	}{
		{"retried, without prospect, first round", 5 * ms, retry, "", 65 * ms, false},
		{"retried, without prospect, an eighth is over before the next round", 65 * ms, retry, ReasonNoProspect, 0, false},
		{"retried, capacity soon", 65 * ms, retryCapacity(150*ms, false), "", 150 * ms, false},
		{"retried, capacity at once", 65 * ms, retryCapacity(66*ms, false), "", 125 * ms, false},
		{"retried, capacity after the target latency", 5 * ms, retryCapacity(900*ms, false), ReasonNoProspect, 0, false},
		{"retried, capacity after the deadline at all gates", 5 * ms, retryCapacity(5*time.Second, true), ReasonTooLate, 0, false},
		{"retried, too late for the work", 3900 * ms, retry, ReasonTooLate, 0, false},
		{"held, first round", 0, capacity(-time.Hour, false, 0), "", 60 * ms, true},
		{"held, nothing named", 300 * ms, func(*Situation) {}, "", 750 * ms, true},
		{"held, half of the rounds are left", 300 * ms, func(s *Situation) { s.HeldRounds = 4 }, "", 1200 * ms, true},
		{"held, capacity soon", 300 * ms, capacity(450*ms, false, 0), "", 450 * ms, true},
		{"held, capacity soon once more", 300 * ms, capacity(450*ms, false, MaxHeldRounds/2), "", 1200 * ms, true},
		{"held, all gates name a later time", 300 * ms, capacity(2*time.Second, true, 0), "", 2 * time.Second, true},
		{"held, one gate names a later time", 300 * ms, capacity(2*time.Second, false, 0), "", 750 * ms, true},
		{"held, capacity after the deadline at all gates", 300 * ms, capacity(5*time.Second, true, 0), ReasonTooLate, 0, false},
		{"held, too late for the work", 3900 * ms, func(*Situation) {}, ReasonTooLate, 0, false},
		{"held, no time for a round", 3850 * ms, func(*Situation) {}, ReasonTooLate, 0, false},
		{"held, all rounds used", 300 * ms, func(s *Situation) { s.HeldRounds = MaxHeldRounds }, ReasonRoundsUsed, 0, false},
		{"held, no room", 300 * ms, func(s *Situation) { s.CanHold = false }, ReasonTooManyHeld, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			v := Decide(situation(test.now, test.change))
			is.Equal(v.Reason, test.reason)
			is.Equal(v.Held, test.held)
			if test.reason == "" {
				is.Equal(v.NextRoundAt.Sub(start), test.next)
			}
		})
	}
}

// Guards against a held request that asks gates in a tight loop because they keep naming a
// near time, and against one that uses up its rounds long before its deadline.
func TestHeldRoundsCoverTheTime(t *testing.T) {
	tests := []struct {
		name string
		hint time.Duration
	}{
		{"no gate names a time", 0},
		{"a gate always has capacity in 5 ms", 5 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			rounds, now := 0, 20*ms
			for {
				v := Decide(situation(now, func(s *Situation) {
					s.HeldRounds, s.Random = rounds, 0.5
					if test.hint > 0 {
						s.EarliestCapacity = s.Now.Add(test.hint)
					}
				}))
				if v.Reason != "" {
					break
				}
				is.True(v.NextRoundAt.Sub(start)-now >= RoundInterval)
				now = v.NextRoundAt.Sub(start)
				rounds++
			}
			is.True(rounds <= MaxHeldRounds)
			is.True(now >= 3*time.Second) // the work must start by 3.9 s
			is.True(now <= 3900*ms)
		})
	}
}

// A measured duration contains the wait in gates' queues. It must not make the entry give
// up long before the deadline.
func TestExpectedWork(t *testing.T) {
	is := is.New(t)
	is.Equal(ExpectedWork(0, 800*ms), 200*ms)
	is.Equal(ExpectedWork(90*ms, 800*ms), 90*ms)
	is.Equal(ExpectedWork(2*time.Second, 800*ms), 400*ms)
}

// Guards against a Retry-After that callers do not wait for, and against one before the
// time at which a gate will have capacity.
func TestPromise(t *testing.T) {
	tests := []struct {
		name           string
		capacity, turn time.Duration
		left           time.Duration
		random         float64
		want           time.Duration
	}{
		{"a gate named a time", 300 * ms, 0, 4 * time.Second, 0.5, 300 * ms},
		{"no gate named a time", 0, 0, 4 * time.Second, 0.5, 500 * ms},
		{"the turn is later", 300 * ms, 450 * ms, 4 * time.Second, 0.5, 450 * ms},
		{"later than a third of the time left", 900 * ms, 0, time.Second, 0, 320 * ms},
		{"later than a third, spread", 900 * ms, 0, time.Second, 1, 192 * ms},
		{"later than the longest wait", 9 * time.Second, 0, time.Minute, 0, 2 * time.Second},
		{"little time left", 300 * ms, 0, 60 * ms, 0, 19200 * time.Microsecond},
		{"no time left", 300 * ms, 0, -60 * ms, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			at := Promise(start, start.Add(test.capacity), start.Add(test.turn), start.Add(test.left), test.random)
			is.Equal(at.Sub(start), test.want)
		})
	}
}

// An early return must not move the promised time, nor be told to wait longer than it can.
func TestPromiseAgain(t *testing.T) {
	is := is.New(t)
	promised := start.Add(600 * ms)
	is.Equal(PromiseAgain(start.Add(10*ms), promised, start.Add(2*time.Second)), promised)
	is.Equal(PromiseAgain(start.Add(500*ms), promised, start.Add(600*ms)), start.Add(532*ms))
}

// A return must rank before new requests of its rank, also if its first soft deadline has
// passed: gates rank requests that miss theirs last.
func TestSoftDeadlineOfReturn(t *testing.T) {
	tests := []struct {
		name              string
		first, work, want time.Duration
	}{
		{"the first can be met", 400 * ms, 100 * ms, 400 * ms},
		{"the first has passed", -100 * ms, 100 * ms, 150 * ms},
		{"never later than a new one", -100 * ms, 700 * ms, 800 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(SoftDeadlineOfReturn(start, start.Add(test.first), test.work, 800*ms).Sub(start), test.want)
		})
	}
}
