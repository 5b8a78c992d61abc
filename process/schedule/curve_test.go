package schedule

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowAbove returns the speed of a target that completes the most at the given number of
// running requests, and less with each further one.
func slowAbove(knee int) func(int) float64 {
	return func(running int) float64 { return math.Min(1, math.Pow(float64(knee)/float64(max(1, running)), 2)) }
}

// Guards against targets that slow down when they are nearly full and are filled all the
// same. Once the usual load and a burst have shown how long requests take, the limit must
// settle where the completion rate is highest, and nearly reach that rate in bursts. A
// target that does not slow down, or only shares its speed among its requests, must keep
// all its slots although durations vary.
func TestLimitSettlesAtHighestRate(t *testing.T) {
	// In each period the load grows from none to all slots, and then exceeds them.
	const usual, period, until = 4 * time.Second, 9 * time.Second, 90 * time.Second
	tests := []struct {
		name            string
		slots           int
		speed           func(int) float64
		knee            int
		lowest, highest int
	}{
		{"slow above 10 of 15", 15, slowAbove(10), 10, 9, 12},
		{"slow above 3 of 5", 5, slowAbove(3), 3, 3, 4},
		{"slow above 30 of 40", 40, slowAbove(30), 30, 27, 35},
		{"not slow", 15, nil, 15, 15, 15},
		{"shared speed", 15, func(running int) float64 { return math.Min(1, 10/float64(max(1, running))) }, 10, 15, 15},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := stubTarget{sheds: func(time.Duration) bool { return false }, capacity: test.slots, duration: 100 * time.Millisecond, speed: test.speed, noise: 0.5}
			s.demand = func(at time.Duration) int {
				if at%period > usual {
					return test.slots
				}
				return 1 + int(at%period*time.Duration(test.slots)/usual)
			}
			burstEnds, served := 0, 0
			var limits []int
			for at := time.Duration(0); at < until; at += period {
				s.run(test.slots, at, at+usual+time.Second)
				before := len(s.served)
				s.run(test.slots, at+usual+time.Second, at+period)
				limits = append(limits, s.limit.Current())
				if at > 0 {
					burstEnds, served = burstEnds+1, served+len(s.served)-before
				}
			}
			rate := float64(served) / float64(burstEnds) / (period - usual - time.Second).Seconds()
			best := float64(test.knee) / 0.2
			t.Logf("limits %v, %.1f requests per second of %.1f at best", limits, rate, best)
			is.True(rate >= 0.9*best)
			settled := 0
			for _, l := range limits[1:] {
				if l >= test.lowest && l <= test.highest {
					settled++
				}
			}
			// The limit may be off while old measurements are being replaced.
			is.True(settled >= len(limits)-3)
		})
	}
}

// A target that is slow for some seconds under full load, because of what it waits for,
// looks like one that slows down when it is full. It must get back all its slots soon.
func TestSlowEpisodeIsForgotten(t *testing.T) {
	is := is.New(t)
	const slots, slowFrom, slowUntil = 15, 10 * time.Second, 18 * time.Second
	s := stubTarget{sheds: func(time.Duration) bool { return false }, capacity: slots, duration: 100 * time.Millisecond, noise: 0.5}
	s.demand = func(at time.Duration) int {
		if at >= slowFrom {
			return slots
		}
		return 1 + int(at%slowFrom*slots/slowFrom)
	}
	s.run(slots, 0, slowFrom)
	s.speed = func(int) float64 { return 0.4 }
	lowest := slots
	for at := slowFrom; at < slowUntil; at += 500 * time.Millisecond {
		s.run(slots, at, at+500*time.Millisecond)
		lowest = min(lowest, s.limit.Current())
	}
	s.speed = nil
	s.run(slots, slowUntil, slowUntil+sampleTTL+2*time.Second)
	t.Logf("limit %d, and later %d", lowest, s.limit.Current())
	is.True(lowest >= slots/2)
	is.Equal(s.limit.Current(), slots)
}

// The measurements must stay bounded whatever routes there are, and must not be mixed up
// between routes: a mix that shifts to long requests under load is no slowdown.
func TestCurveSeparatesRoutes(t *testing.T) {
	is := is.New(t)
	var c curve
	c.reset(10)
	for i := range 3000 {
		now := testEpoch.Add(time.Duration(i) * 5 * time.Millisecond)
		running := 1 + i%10
		// The share of the long route grows with the load.
		if i/10%10 < running {
			c.record(2, 300*time.Millisecond, float64(running), now)
		} else {
			c.record(1, 30*time.Millisecond, float64(running), now)
		}
	}
	is.Equal(c.compute(testEpoch.Add(15*time.Second)), 10)
	for route := range uint32(1000) {
		c.record(route, time.Second, 1, testEpoch)
	}
	is.Equal(len(c.routes), maxCurveRoutes)
}
