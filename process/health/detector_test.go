package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// trainedDetector returns a detector that has recorded 1000 requests of 20 ms,
// and the time after them.
func trainedDetector(m DetectionMode) (*Detector, time.Time) {
	d := NewDetector(OptionsFor(m))
	now := start
	for range 1000 {
		id := d.RecordStart(now)
		now = now.Add(20 * time.Millisecond)
		d.RecordEnd(id, now, false)
	}
	return d, now
}

// detectionTime calls step every 20 ms and returns how long the detector takes
// to find the target unhealthy, or -1 if it does not within the given time.
func detectionTime(d *Detector, from time.Time, within time.Duration, step func(now time.Time, i int)) time.Duration {
	for i := range int(within / (20 * time.Millisecond)) {
		now := from.Add(time.Duration(i) * 20 * time.Millisecond)
		step(now, i)
		d.ObserveInFlight(now)
		if d.IsUnhealthy(now) {
			return now.Sub(from)
		}
	}
	return -1
}

// An unhealthy target must be detected in time. A healthy one must not be
// found unhealthy for a pause, or for one failed or stalled request among many.
func TestDetectorFindsUnhealthyTargets(t *testing.T) {
	tests := []struct {
		name      string
		mode      DetectionMode
		step      func(d *Detector) func(now time.Time, i int)
		within    time.Duration
		unhealthy bool
	}{
		{"three requests stall, fast", DetectFast, stallRequests(3), time.Second, true},
		{"one request stalls, fast", DetectFast, stallRequests(1), time.Second, true},
		{"three requests stall, careful", DetectCareful, stallRequests(3), 2 * time.Second, true},
		{"a pause of 300 ms, fast", DetectFast, pauseFor(300 * time.Millisecond), 5 * time.Second, false},
		{"a pause of 900 ms, careful", DetectCareful, pauseFor(900 * time.Millisecond), 5 * time.Second, false},
		{"one of three fails, fast", DetectFast, failOneIn(3), 3 * time.Second, true},
		{"one of a hundred fails, fast", DetectFast, failOneIn(100), 60 * time.Second, false},
		{"one stalled request among timely ones, fast", DetectFast, stallOneOfMany, 10 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d, now := trainedDetector(test.mode)
			got := detectionTime(d, now, test.within, test.step(d))
			is.Equal(got >= 0, test.unhealthy)
		})
	}
}

// stallRequests starts count requests that never end.
func stallRequests(count int) func(*Detector) func(time.Time, int) {
	return func(d *Detector) func(time.Time, int) {
		return func(now time.Time, i int) {
			if i < count {
				d.RecordStart(now)
			}
		}
	}
}

// pauseFor holds two requests for the given time and then ends them. Timely
// requests follow.
func pauseFor(pause time.Duration) func(*Detector) func(time.Time, int) {
	return func(d *Detector) func(time.Time, int) {
		var held []RequestID
		var startedAt time.Time
		return func(now time.Time, i int) {
			switch {
			case i == 0:
				startedAt = now
				held = []RequestID{d.RecordStart(now), d.RecordStart(now)}
			case now.Sub(startedAt) == pause:
				for _, id := range held {
					d.RecordEnd(id, now, false)
				}
			case now.Sub(startedAt) > pause:
				id := d.RecordStart(now.Add(-20 * time.Millisecond))
				d.RecordEnd(id, now, false)
			}
		}
	}
}

// failOneIn ends each request after 20 ms, one of every n with a failure.
func failOneIn(n int) func(*Detector) func(time.Time, int) {
	return func(d *Detector) func(time.Time, int) {
		return func(now time.Time, i int) {
			id := d.RecordStart(now.Add(-20 * time.Millisecond))
			d.RecordEnd(id, now, i%n == n-1)
		}
	}
}

// stallOneOfMany starts one request that never ends. All others are timely.
func stallOneOfMany(d *Detector) func(time.Time, int) {
	return func(now time.Time, i int) {
		if i == 0 {
			d.RecordStart(now)
			return
		}
		id := d.RecordStart(now.Add(-10 * time.Millisecond))
		d.RecordEnd(id, now, false)
	}
}

// A request that its caller cancels must not count as a failure of the target.
func TestCancelledRequestIsNoEvidence(t *testing.T) {
	is := is.New(t)
	d, now := trainedDetector(DetectFast)
	for range 100 {
		id := d.RecordStart(now)
		now = now.Add(10 * time.Millisecond)
		d.RecordCancel(id, now)
	}
	is.Equal(d.Evidence(), 0.0)
	is.True(d.IsIdle())
}

// Each relapse doubles the duration of the next ejection, up to the maximum, and
// the score that ends the trial. A flapping target would otherwise return again
// and again at the same rate.
func TestEjectionDurationDoublesWithRelapses(t *testing.T) {
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
	is.Equal(s.EjectionDuration(now.Add(relapseMemory+1)), firstEjection) // the relapses are forgotten
}

// One failed request or some slow ones must end a trial with another ejection.
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
