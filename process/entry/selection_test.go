package entry

import (
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/matryer/is"
)

func sound(t tier, load float64) view { return view{tier: t, load: load, heardAgo: time.Second / 10} }

func TestChoose(t *testing.T) {
	suspect := func(v view, ago time.Duration) view {
		v.suspect, v.heardAgo, v.provenAgo = true, ago, 5*time.Second
		return v
	}
	closed := func(v view) view { v.closed = true; return v }
	proved := func(v view, ago time.Duration) view { v.provenAgo = ago; return v }
	ranked := func(v view, rank int) view { v.rank = rank; return v }
	down := func(v view) view { v.down = true; return v }
	hopeful := passes[len(passes)-1]
	tests := []struct {
		name  string
		pass  pass
		views []view
		r     request
		want  int
	}{
		{"the least loaded nearby", passes[0], []view{sound(tierDataCentre, 0.9), sound(tierDataCentre, 0.2)}, request{}, 1},
		{"nearby before less loaded", passes[0], []view{sound(tierRegion, 0), sound(tierDataCentre, 0.9)}, request{}, 1},
		{"free ones before those where work waits", passes[0], []view{sound(tierRegion, 0), sound(tierDataCentre, 2)}, request{}, 0},
		{"the one proved last, if it must not fail", passes[0], []view{proved(sound(tierDataCentre, 0), 9*time.Second), proved(sound(tierRegion, 0), 0)}, request{}, 1},
		{"any, if it may fail", passes[0], []view{proved(sound(tierDataCentre, 0), 9*time.Second), proved(sound(tierRegion, 0), 0)}, request{mayFail: true}, 0},
		{"claims keep to the first while it has slots", passes[0], []view{ranked(sound(tierDataCentre, 0), 1), ranked(sound(tierDataCentre, 0.6), 0)}, request{once: true}, 1},
		{"and leave it when it fills", passes[0], []view{ranked(sound(tierDataCentre, 0), 1), ranked(sound(tierDataCentre, 1), 0)}, request{once: true}, 0},
		{"remote ones only in their pass", passes[0], []view{sound(tierRemote, 0)}, request{}, -1},
		{"remote ones in their pass", passes[3], []view{sound(tierDataCentre, 0), sound(tierRemote, 0)}, request{}, 1},
		{"remote ones that are not full", passes[3], []view{sound(tierRemote, 1), sound(tierRemote, 0.9)}, request{}, 1},
		{"no full remote one", hopeful, []view{sound(tierRemote, 1)}, request{mayFail: true}, -1},
		{"no suspected remote one", hopeful, []view{suspect(sound(tierRemote, 0), 2*time.Second)}, request{mayFail: true}, -1},
		{"claims avoid suspects", passes[0], []view{suspect(sound(tierDataCentre, 0), time.Second), sound(tierRegion, 1)}, request{}, 1},
		{"claims go to no suspect", passes[0], []view{suspect(sound(tierDataCentre, 0), time.Second)}, request{}, -1},
		{"reads try suspects out", passes[0], []view{sound(tierDataCentre, 0.9), suspect(sound(tierDataCentre, 0), time.Second)}, request{mayFail: true}, 1},
		{"not so soon after a failure", passes[0], []view{sound(tierDataCentre, 0.9), suspect(sound(tierDataCentre, 0), 0)}, request{mayFail: true}, 0},
		{"at once after a success", passes[0], []view{sound(tierDataCentre, 0.9), proved(suspect(sound(tierDataCentre, 0), 0), 0)}, request{mayFail: true}, 1},
		{"but claims wait for the next one", passes[0], []view{proved(suspect(sound(tierDataCentre, 0), 0), 0)}, request{once: true}, -1},
		{"closed ones are left out", passes[0], []view{closed(sound(tierDataCentre, 0)), sound(tierRegion, 1)}, request{}, 1},
		{"unreachable ones are left out", passes[0], []view{down(sound(tierDataCentre, 0))}, request{}, -1},
		{"in the end all are asked", hopeful, []view{down(sound(tierDataCentre, 0))}, request{}, 0},
		{"and sound ones first", hopeful, []view{down(sound(tierDataCentre, 0)), suspect(sound(tierDataCentre, 0), 0), sound(tierRemote, 0.9)}, request{}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := test.pass.choose(test.views, func(int) bool { return false }, test.r, func() float64 { return 0 })
			is.Equal(got, test.want)
		})
	}
	is := is.New(t)
	both := []view{sound(tierDataCentre, 0), sound(tierDataCentre, 1)}
	is.Equal(passes[0].choose(both, func(i int) bool { return i == 0 }, request{}, func() float64 { return 0 }), 1) // none is asked twice
}

// A request with little time, such as one that a running request makes, waits
// nearby for a good part of it instead of being turned away by full gates one
// after the other; a remote gate is asked only if there is time for it.
func TestWaits(t *testing.T) {
	tests := []struct {
		name          string
		pass          int
		targetLatency time.Duration
		left          time.Duration
		want          time.Duration
	}{
		{"no wait at first", 0, 800 * time.Millisecond, 1500 * time.Millisecond, 0},
		{"a little nearby", 1, 800 * time.Millisecond, 1500 * time.Millisecond, 200 * time.Millisecond},
		{"a little nearby, late", 1, 150 * time.Millisecond, 400 * time.Millisecond, 40 * time.Millisecond},
		{"a good part of the time nearby", 2, 150 * time.Millisecond, 400 * time.Millisecond, 140 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(passes[test.pass].waitFor(test.targetLatency, test.left), test.want)
		})
	}
	is := is.New(t)
	is.True(passes[3].needs > 4*30*time.Millisecond) // two round trips between regions
}

// How long a gate's word is believed: a second, and in other regions longer that
// it is suspected.
func TestBeliefsAge(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		tier    tier
		age     time.Duration
		suspect bool
		load    float64
	}{
		{"fresh", tierRegion, stateTrust / 2, true, 2},
		{"old", tierRegion, 2 * stateTrust, false, 0},
		{"fresh, far away", tierRemote, stateTrust / 2, true, 2},
		{"older, far away", tierRemote, 2 * stateTrust, true, 0},
		{"old, far away", tierRemote, remoteSuspectTrust, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &candidate{tier: test.tier}
			c.heard(hopheader.GateState{Accepting: true, Suspect: true, Outstanding: 4, Slots: 2}, now.Add(-test.age))
			v := c.view(now)
			is.Equal(v.suspect, test.suspect)
			is.Equal(v.load, test.load)
		})
	}
}
