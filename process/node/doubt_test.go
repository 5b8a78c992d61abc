package node_test

import (
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/matryer/is"
)

// A leave that only other nodes hold, since the store is away, must bind also if all of them
// are killed: nobody knows of it then, and late announcements from before the leave must not
// keep the gate open (DRAIN). Targets that announce themselves as usual get requests again
// as soon as before.
func TestLeaveOutlivesAllNodesWhileTheStoreIsAway(t *testing.T) {
	const closed, open = `"gate_open":false`, `"gate_open":true`
	tests := []struct {
		name   string
		faults store.Faults
		// killedAfter is the time from the confirmation to the kill, backAfter that from the
		// restart to the end of the faults.
		killedAfter, backAfter time.Duration
		// opensWithin is when the gates of the other targets must be open.
		opensWithin time.Duration
		// late are the times from the restart to the late announcements.
		late []time.Duration
	}{
		{"one late announcement", store.Faults{Outage: true}, 200 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond, []time.Duration{3 * time.Second}},
		{"two late announcements", store.Faults{Outage: true}, 200 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond, []time.Duration{3 * time.Second, 4 * time.Second}},
		{"late announcement soon after the restart", store.Faults{Outage: true}, time.Second, 500 * time.Millisecond, 2500 * time.Millisecond, []time.Duration{700 * time.Millisecond}},
		{"store is silent", store.Faults{Silent: true}, 200 * time.Millisecond, 500 * time.Millisecond, 4500 * time.Millisecond, []time.Duration{3 * time.Second}},
		{"store is away for long", store.Faults{Outage: true}, 200 * time.Millisecond, 4700 * time.Millisecond, 5500 * time.Millisecond, []time.Duration{3 * time.Second}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 3)
			f.publish(1)
			v, s := f.addAnnouncedVM()
			for _, other := range f.vms {
				f.awaitStatus(other, `"nodes":4`)
			}
			f.store.SetFaults(test.faults)
			leaveUntilConfirmed(t, func() error { return s.Leave(t.Context(), true) })
			time.Sleep(test.killedAfter)
			for _, other := range f.vms {
				other.leave(cancelled())
			}
			time.Sleep(200 * time.Millisecond) // a call that was under way reaches the store in its outage
			restartedAt := time.Now()
			for _, other := range f.vms {
				f.startNode(other)
			}
			go func() {
				for i, after := range test.late {
					time.Sleep(time.Until(restartedAt.Add(after)))
					_ = s.Announce(t.Context(), "ready", int64(2+i))
				}
			}()
			time.Sleep(test.backAfter)
			f.store.SetFaults(store.Faults{})
			for _, other := range f.vms[:3] {
				f.awaitStatus(other, open)
			}
			is.True(time.Since(restartedAt) < test.opensWithin)
			time.Sleep(time.Until(restartedAt.Add(4 * time.Second)))
			for time.Since(restartedAt) < 10*time.Second {
				is.True(strings.Contains(f.status(v), closed))
				for _, other := range f.vms[:3] {
					is.True(strings.Contains(f.status(other), open))
				}
				time.Sleep(100 * time.Millisecond)
			}
			next := silentTarget(v, "i-next")
			is.NoErr(next.Announce(t.Context(), "ready", 1))
			f.awaitStatus(v, open)
		})
	}
}
