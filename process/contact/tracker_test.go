package contact

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_780_000_000, 0)

// call is a call to a peer at a time after start.
type call struct {
	peer    string
	reached bool
	after   time.Duration
}

func failedCalls(peers int, after time.Duration) []call {
	var calls []call
	for i := range peers {
		calls = append(calls, call{fmt.Sprintf("10.0.0.%d:1", i), false, after})
	}
	return calls
}

// Guards against nodes that keep callers although they can reach no other node, and against
// nodes that send their callers away because some peers are down.
func TestIsIsolated(t *testing.T) {
	tests := []struct {
		name  string
		calls []call
		after time.Duration
		want  bool
	}{
		{"no calls", nil, 0, false},
		{"one peer is down and tried often", []call{{"a", false, 0}, {"a", false, 100 * time.Millisecond}, {"a", false, 200 * time.Millisecond}, {"a", false, 300 * time.Millisecond}}, time.Second, false},
		{"several peers fail", failedCalls(minTried, 0), time.Second, true},
		{"a third of the peers is down", append(failedCalls(10, 0), call{"a", true, time.Second}), time.Second, false},
		{"peers were reached before the links failed", append([]call{{"a", true, 0}}, failedCalls(minTried, time.Second)...), window + time.Millisecond, true},
		{"the same peer is lost", append([]call{{"10.0.0.0:1", true, 0}}, failedCalls(minTried, time.Second)...), 1100 * time.Millisecond, true},
		{"the links are back", append(failedCalls(20, 0), call{"10.0.0.3:1", true, time.Second}), time.Second, false},
		{"old failures", failedCalls(10, 0), window + time.Millisecond, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var tracker Tracker
			for _, c := range test.calls {
				tracker.Record(c.peer, c.reached, start.Add(c.after))
			}
			is.Equal(tracker.IsIsolated(start.Add(test.after)), test.want)
		})
	}
}

// Guards against memory that grows with the size of the fleet.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	var tracker Tracker
	for i := range 10 * maxPeers {
		tracker.Record(fmt.Sprint(i), false, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	is.True(len(tracker.results) <= maxPeers)
	tracker.Record("a", true, start.Add(time.Hour))
	is.True(!tracker.IsIsolated(start.Add(time.Hour)))
}
