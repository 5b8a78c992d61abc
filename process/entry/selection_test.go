package entry

import (
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/matryer/is"
)

func healthySnapshot(t tier, load float64) snapshot {
	return snapshot{tier: t, load: load, stateAge: time.Second / 10}
}

// A claim sent to a suspected target may be lost, and a wrong order of gates costs
// latency or traffic between regions: nearby gates with a free slot come first, a
// suspected target gets only requests that can be retried, and unhealthy gates are
// left to the last pass.
func TestGateSelectionOrder(t *testing.T) {
	suspected := func(s snapshot, ago time.Duration) snapshot {
		s.suspected, s.stateAge, s.sinceSuccess = true, ago, 5*time.Second
		return s
	}
	notAccepting := func(s snapshot) snapshot { s.notAccepting = true; return s }
	succeeded := func(s snapshot, ago time.Duration) snapshot { s.sinceSuccess = ago; return s }
	ranked := func(s snapshot, rank int) snapshot { s.rank = rank; return s }
	unreachable := func(s snapshot) snapshot { s.unreachable = true; return s }
	lastPass := selectionPasses[len(selectionPasses)-1]
	tests := []struct {
		name      string
		pass      selectionPass
		snapshots []snapshot
		traits    requestTraits
		want      int
	}{
		{"least loaded in the data centre", selectionPasses[0], []snapshot{healthySnapshot(tierDataCentre, 0.9), healthySnapshot(tierDataCentre, 0.2)}, requestTraits{}, 1},
		{"near tier before lower load", selectionPasses[0], []snapshot{healthySnapshot(tierRegion, 0), healthySnapshot(tierDataCentre, 0.9)}, requestTraits{}, 1},
		{"free slot in the region before a queue nearby", selectionPasses[0], []snapshot{healthySnapshot(tierRegion, 0), healthySnapshot(tierDataCentre, 2)}, requestTraits{}, 0},
		{"most recent success if not retriable", selectionPasses[0], []snapshot{succeeded(healthySnapshot(tierDataCentre, 0), 9*time.Second), succeeded(healthySnapshot(tierRegion, 0), 0)}, requestTraits{}, 1},
		{"success does not matter if retriable", selectionPasses[0], []snapshot{succeeded(healthySnapshot(tierDataCentre, 0), 9*time.Second), succeeded(healthySnapshot(tierRegion, 0), 0)}, requestTraits{canRetry: true}, 0},
		{"non-idempotent concentrates on low rank below the load limit", selectionPasses[0], []snapshot{ranked(healthySnapshot(tierDataCentre, 0), 1), ranked(healthySnapshot(tierDataCentre, 0.6), 0)}, requestTraits{nonIdempotent: true}, 1},
		{"non-idempotent spreads above the load limit", selectionPasses[0], []snapshot{ranked(healthySnapshot(tierDataCentre, 0), 1), ranked(healthySnapshot(tierDataCentre, 1), 0)}, requestTraits{nonIdempotent: true}, 0},
		{"remote excluded outside the remote pass", selectionPasses[0], []snapshot{healthySnapshot(tierRemote, 0)}, requestTraits{}, -1},
		{"remote selected in the remote pass", selectionPasses[3], []snapshot{healthySnapshot(tierDataCentre, 0), healthySnapshot(tierRemote, 0)}, requestTraits{}, 1},
		{"remote with a free slot", selectionPasses[3], []snapshot{healthySnapshot(tierRemote, 1), healthySnapshot(tierRemote, 0.9)}, requestTraits{}, 1},
		{"no full remote gate in the last pass", lastPass, []snapshot{healthySnapshot(tierRemote, 1)}, requestTraits{canRetry: true}, -1},
		{"no suspected remote gate in the last pass", lastPass, []snapshot{suspected(healthySnapshot(tierRemote, 0), 2*time.Second)}, requestTraits{canRetry: true}, -1},
		{"non-retriable avoids suspected gates", selectionPasses[0], []snapshot{suspected(healthySnapshot(tierDataCentre, 0), time.Second), healthySnapshot(tierRegion, 1)}, requestTraits{}, 1},
		{"non-retriable never selects a suspected gate", selectionPasses[0], []snapshot{suspected(healthySnapshot(tierDataCentre, 0), time.Second)}, requestTraits{}, -1},
		{"retriable tests a suspected gate", selectionPasses[0], []snapshot{healthySnapshot(tierDataCentre, 0.9), suspected(healthySnapshot(tierDataCentre, 0), time.Second)}, requestTraits{canRetry: true}, 1},
		{"retriable does not test a suspected gate right after a report", selectionPasses[0], []snapshot{healthySnapshot(tierDataCentre, 0.9), suspected(healthySnapshot(tierDataCentre, 0), 0)}, requestTraits{canRetry: true}, 0},
		{"retriable tests a suspected gate right after a success", selectionPasses[0], []snapshot{healthySnapshot(tierDataCentre, 0.9), succeeded(suspected(healthySnapshot(tierDataCentre, 0), 0), 0)}, requestTraits{canRetry: true}, 1},
		{"non-idempotent avoids a suspected gate right after a success", selectionPasses[0], []snapshot{succeeded(suspected(healthySnapshot(tierDataCentre, 0), 0), 0)}, requestTraits{nonIdempotent: true}, -1},
		{"not accepting excluded", selectionPasses[0], []snapshot{notAccepting(healthySnapshot(tierDataCentre, 0)), healthySnapshot(tierRegion, 1)}, requestTraits{}, 1},
		{"unreachable excluded", selectionPasses[0], []snapshot{unreachable(healthySnapshot(tierDataCentre, 0))}, requestTraits{}, -1},
		{"unreachable selected in the last pass", lastPass, []snapshot{unreachable(healthySnapshot(tierDataCentre, 0))}, requestTraits{}, 0},
		{"healthy before unhealthy in the last pass", lastPass, []snapshot{unreachable(healthySnapshot(tierDataCentre, 0)), suspected(healthySnapshot(tierDataCentre, 0), 0), healthySnapshot(tierRemote, 0.9)}, requestTraits{}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			got := test.pass.selectGate(test.snapshots, func(int) bool { return false }, test.traits, func() float64 { return 0 })
			is.Equal(got, test.want)
		})
	}
	is := is.New(t)
	both := []snapshot{healthySnapshot(tierDataCentre, 0), healthySnapshot(tierDataCentre, 1)}
	is.Equal(selectionPasses[0].selectGate(both, func(i int) bool { return i == 0 }, requestTraits{}, func() float64 { return 0 }), 1) // excluded gates are not tried
}

// A request with little time left, such as one made by a running request,
// queues in its region for a large part of that time. With shorter waits, full
// gates would refuse it one after the other. A remote gate is tried only if
// time allows.
func TestQueueTimeoutInEachPass(t *testing.T) {
	tests := []struct {
		name          string
		pass          int
		targetLatency time.Duration
		left          time.Duration
		want          time.Duration
	}{
		{"no wait in the first pass", 0, 800 * time.Millisecond, 1500 * time.Millisecond, 0},
		{"short wait in the region", 1, 800 * time.Millisecond, 1500 * time.Millisecond, 200 * time.Millisecond},
		{"short wait in the region with little time left", 1, 150 * time.Millisecond, 400 * time.Millisecond, 40 * time.Millisecond},
		{"long wait in the region with little time left", 2, 150 * time.Millisecond, 400 * time.Millisecond, 140 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(selectionPasses[test.pass].queueTimeout(test.targetLatency, test.left), test.want)
		})
	}
	is := is.New(t)
	is.True(selectionPasses[3].minRemaining > 4*30*time.Millisecond) // two round trips between regions
}

// A gate's reported state expires after a second. Only the suspicion of a gate
// in another region lasts longer.
func TestGateStateExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name      string
		tier      tier
		age       time.Duration
		suspected bool
		load      float64
	}{
		{"fresh", tierRegion, stateTTL / 2, true, 2},
		{"old", tierRegion, 2 * stateTTL, false, 0},
		{"fresh, remote", tierRemote, stateTTL / 2, true, 2},
		{"state expired but suspicion valid, remote", tierRemote, 2 * stateTTL, true, 0},
		{"suspicion expired, remote", tierRemote, remoteSuspicionTTL, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &candidate{tier: test.tier, notices: newNotices()}
			c.updateState(hopheader.GateState{Accepting: true, Suspected: true, Outstanding: 4, Slots: 2}, now.Add(-test.age))
			s := c.snapshot(now)
			is.Equal(s.suspected, test.suspected)
			is.Equal(s.load, test.load)
		})
	}
}
