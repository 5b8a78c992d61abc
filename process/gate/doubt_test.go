package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
)

// Guards against a gate that opens for a target which has left (DRAIN), or closes for one
// that runs, when nobody could tell which leaves it had confirmed before it restarted.
func TestDoubtedTargets(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// bornBefore is the time from the start of the target to that of the gate.
		bornBefore time.Duration
		// at are the times of the announcements.
		at []time.Duration
		// trusted is when the gate learns what others know; 0 means never.
		trusted time.Duration
		// open and closed are times at which the gate must be so.
		open, closed []time.Duration
	}{
		{"regular announcements", time.Minute, []time.Duration{700 * ms, 2200 * ms, 3700 * ms, 5200 * ms, 6700 * ms, 8200 * ms, 9700 * ms, 11200 * ms}, 0,
			[]time.Duration{701 * ms, 2199 * ms, 5 * time.Second, time.Hour}, nil},
		{"late announcement", time.Minute, []time.Duration{3 * time.Second}, 0,
			nil, []time.Duration{3001 * ms, 4 * time.Second, time.Minute, time.Hour}},
		{"late announcement soon after the start", time.Minute, []time.Duration{700 * ms}, 0,
			[]time.Duration{2900 * ms}, []time.Duration{2960 * ms, 4 * time.Second, time.Hour}},
		{"several late announcements", time.Minute, []time.Duration{3 * time.Second, 3500 * ms, 5 * time.Second}, 0,
			nil, []time.Duration{4 * time.Second, 6 * time.Second, time.Hour}},
		{"late announcements faster than a target's", time.Minute, []time.Duration{500 * ms, 1500 * ms, 2500 * ms, 3500 * ms}, 0,
			[]time.Duration{600 * ms, 2700 * ms}, []time.Duration{2800 * ms, 4 * time.Second, 6 * time.Second, time.Hour}},
		{"target that announces itself faster than usual", time.Minute, []time.Duration{500 * ms, 1500 * ms, 2500 * ms, 3500 * ms, 4500 * ms, 5500 * ms, 6500 * ms, 7500 * ms, 8500 * ms, 9500 * ms, 10500 * ms}, 0,
			[]time.Duration{600 * ms, 10501 * ms, time.Hour}, []time.Duration{4 * time.Second}},
		{"late announcements with a gap", time.Minute, []time.Duration{500 * ms, 4 * time.Second, 5 * time.Second}, 0,
			nil, []time.Duration{4 * time.Second, 6 * time.Second, time.Hour}},
		{"regular again after a gap", time.Minute, []time.Duration{3 * time.Second, 4500 * ms, 6 * time.Second, 7500 * ms}, 0,
			[]time.Duration{7501 * ms, 9 * time.Second}, []time.Duration{6500 * ms, 10 * time.Second}},
		{"target that started later", -time.Second, []time.Duration{4 * time.Second}, 0,
			[]time.Duration{4001 * ms, time.Hour}, nil},
		{"others tell", time.Minute, []time.Duration{3 * time.Second}, 5 * time.Second,
			[]time.Duration{5001 * ms, time.Hour}, []time.Duration{4 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, start := newGate(), time.Now()
				g.startedAt = start
				g.BeginDoubt()
				after := func(at time.Duration, f func()) { time.AfterFunc(time.Until(start.Add(at)), f) }
				for i, at := range test.at {
					after(at, func() {
						a := announcement("i", 1, int64(i+1))
						a.StartedAt = start.Add(-test.bornBefore)
						is.NoErr(g.Announce(a))
					})
				}
				if test.trusted > 0 {
					after(test.trusted, g.EndDoubt)
				}
				check := func(want bool) func() {
					return func() {
						is.Equal(g.State().Accepting, want)
						gr, p := g.admit(t.Context(), requestWithin(0))
						is.Equal(p == nil, want)
						if p == nil {
							g.release(gr, resultInconclusive)
						}
					}
				}
				for _, at := range test.open {
					after(at, check(true))
				}
				for _, at := range test.closed {
					after(at, check(false))
				}
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// Guards against requests that wait for a slot of a target which is doubted meanwhile.
func TestDoubtRefusesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newGate()
		g.startedAt = time.Now()
		g.BeginDoubt()
		a := announcement("i", 1, 1)
		a.StartedAt = g.startedAt.Add(-time.Minute)
		is.NoErr(g.Announce(a))
		_, p := g.admit(t.Context(), requestWithin(0))
		is.True(p == nil) // and no second one until the target has named its limit
		start := time.Now()
		_, p = g.admit(t.Context(), requestWithin(time.Minute))
		is.Equal(p.Code, outcome.CodeNoTarget)
		is.Equal(time.Since(start), maxGap(g.options.AnnouncementInterval)+timerResolution)
	})
}
