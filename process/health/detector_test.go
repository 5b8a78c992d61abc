package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// learned returns a judge that has seen many requests of 20 ms, and the time
// after them.
func learned(d DetectionMode) (*Detector, time.Time) {
	j := NewDetector(OptionsFor(d))
	now := start
	for range 1000 {
		w := j.RecordStart(now)
		now = now.Add(20 * time.Millisecond)
		j.RecordEnd(w, now, false)
	}
	return j, now
}

// sickAfter returns when the judge calls the target sick while step goes on
// every 20 ms, or -1 if it does not within the time.
func sickAfter(j *Detector, from time.Time, within time.Duration, step func(now time.Time, i int)) time.Duration {
	for i := range int(within / (20 * time.Millisecond)) {
		now := from.Add(time.Duration(i) * 20 * time.Millisecond)
		step(now, i)
		j.ObserveInFlight(now)
		if j.IsUnhealthy(now) {
			return now.Sub(from)
		}
	}
	return -1
}

func TestJudgeFindsSickness(t *testing.T) {
	tests := []struct {
		name   string
		dial   DetectionMode
		step   func(j *Detector) func(now time.Time, i int)
		within time.Duration
		sick   bool
	}{
		{"three requests stall, fast", DetectFast, stall(3), time.Second, true},
		{"one request stalls, fast", DetectFast, stall(1), time.Second, true},
		{"three requests stall, careful", DetectCareful, stall(3), 2 * time.Second, true},
		{"a pause of 300 ms, fast", DetectFast, pauseOf(300 * time.Millisecond), 5 * time.Second, false},
		{"a pause of 900 ms, careful", DetectCareful, pauseOf(900 * time.Millisecond), 5 * time.Second, false},
		{"one of three fails, fast", DetectFast, failing(3), 3 * time.Second, true},
		{"one of a hundred fails, fast", DetectFast, failing(100), 60 * time.Second, false},
		{"one old request, others quick", DetectFast, oldAmongQuick, 10 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			j, now := learned(test.dial)
			got := sickAfter(j, now, test.within, test.step(j))
			is.Equal(got >= 0, test.sick)
		})
	}
}

// stall begins requests that never end.
func stall(count int) func(*Detector) func(time.Time, int) {
	return func(j *Detector) func(time.Time, int) {
		return func(now time.Time, i int) {
			if i < count {
				j.RecordStart(now)
			}
		}
	}
}

// pauseOf stops two requests for a time, after which quick ones follow.
func pauseOf(d time.Duration) func(*Detector) func(time.Time, int) {
	return func(j *Detector) func(time.Time, int) {
		var held []RequestID
		var began time.Time
		return func(now time.Time, i int) {
			switch {
			case i == 0:
				began = now
				held = []RequestID{j.RecordStart(now), j.RecordStart(now)}
			case now.Sub(began) == d:
				for _, w := range held {
					j.RecordEnd(w, now, false)
				}
			case now.Sub(began) > d:
				w := j.RecordStart(now.Add(-20 * time.Millisecond))
				j.RecordEnd(w, now, false)
			}
		}
	}
}

// failing ends each request at once, one in every with a failure.
func failing(every int) func(*Detector) func(time.Time, int) {
	return func(j *Detector) func(time.Time, int) {
		return func(now time.Time, i int) {
			w := j.RecordStart(now.Add(-20 * time.Millisecond))
			j.RecordEnd(w, now, i%every == every-1)
		}
	}
}

func oldAmongQuick(j *Detector) func(time.Time, int) {
	return func(now time.Time, i int) {
		if i == 0 {
			j.RecordStart(now)
			return
		}
		w := j.RecordStart(now.Add(-10 * time.Millisecond))
		j.RecordEnd(w, now, false)
	}
}

// Abandoned requests say nothing but what their age said.
func TestAbandonedIsNoFailure(t *testing.T) {
	is := is.New(t)
	j, now := learned(DetectFast)
	for range 100 {
		w := j.RecordStart(now)
		now = now.Add(10 * time.Millisecond)
		j.RecordCancel(w, now)
	}
	is.Equal(j.Evidence(), 0.0)
	is.True(j.IsIdle())
}

// Time outs double with each relapse, and a trial gets longer.
func TestStandingDoublesTimeouts(t *testing.T) {
	is := is.New(t)
	var s EjectionState
	now := start
	for _, want := range []time.Duration{5, 10, 20, 40, 80, 80} {
		is.Equal(s.EjectionDuration(now), want*time.Second)
		s.Eject(now)
		is.Equal(s.Phase(now), PhaseEjected)
		now = s.EjectedUntil()
		is.Equal(s.Phase(now), PhaseTrial)
	}
	passes := 0
	for s.RecordTrial(now, true, false) == TrialPending {
		passes++
	}
	is.Equal(passes, maxReturnScore-1)
	is.Equal(s.Phase(now), PhaseServing)
	is.Equal(s.EjectionDuration(now.Add(relapseMemory+1)), firstTimeout) // forgotten
}

func TestTrialFailsOnOneFailure(t *testing.T) {
	is := is.New(t)
	var s EjectionState
	s.Eject(start)
	now := s.EjectedUntil()
	is.Equal(s.Phase(now), PhaseTrial)
	is.Equal(s.RecordTrial(now, false, true), TrialFailed)
	is.Equal(s.Phase(now), PhaseEjected)
	s.StartTrial()
	is.Equal(s.Phase(now), PhaseTrial)
	for range 4 {
		s.RecordTrial(now, false, false) // slow
	}
	is.Equal(s.Phase(now), PhaseEjected)
}
