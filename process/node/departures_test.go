package node_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/standin/store"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// addSilentVM adds a VM whose target announces nothing by itself.
func (f *fleet) addSilentVM() *vm {
	return f.addVMWithTarget(func(v *vm) {
		v.target = target.New("i-silent", "s", 3, 10*time.Millisecond, f.executions)
		v.settings.Target = "127.0.0.1:9"
	})
}

// addAnnouncedVM adds a silent VM whose target has announced itself, so that its gate is open.
func (f *fleet) addAnnouncedVM() (*vm, *target.Announcer) {
	f.t.Helper()
	v := f.addSilentVM()
	s := silentTarget(v, "i-first")
	if err := s.Announce(f.t.Context(), "ready", 1); err != nil {
		f.t.Fatal(err)
	}
	f.awaitStatus(v, `"gate_open":true`)
	return v, s
}

// silentTarget returns an incarnation of the target of a silent VM that starts now.
func silentTarget(v *vm, instance string) *target.Announcer {
	return &target.Announcer{AdminAddress: v.settings.Admin, Instance: instance, Service: "s", Address: v.settings.Target, Slots: 3, StartedAt: time.Now()}
}

// leaveUntilConfirmed repeats the leave of a target until it is confirmed, as targets do. While
// the store is away, other nodes must hold it for storePatience.
func leaveUntilConfirmed(t *testing.T, leave func() error) {
	t.Helper()
	startedAt := time.Now()
	for time.Since(startedAt) < 7*time.Second {
		calledAt := time.Now()
		err := leave()
		if err == nil {
			return
		}
		if time.Since(calledAt) >= time.Second {
			t.Fatalf("the target would give up the call: %v", err)
		}
		time.Sleep(300 * time.Millisecond)
	}
	t.Fatal("the leave was not confirmed in time")
}

// kill stops nodes at once. The store is away meanwhile and until the test sets its faults
// again, so that the nodes, like killed ones, remove no records.
func (f *fleet) kill(vms ...*vm) {
	f.store.SetFaults(store.Faults{Outage: true})
	for _, v := range vms {
		v.leave(cancelled())
	}
	time.Sleep(200 * time.Millisecond) // a call that was under way reaches the store in its outage
}

// A gate that is killed right after it has confirmed the leave of its target must not open
// with an announcement from before the leave: the target would get new requests until it
// ends (DRAIN). The next incarnation opens it.
func TestConfirmedLeaveOutlivesTheGate(t *testing.T) {
	const closed, open = `"gate_open":false`, `"gate_open":true`
	deregister := func(a *target.Announcer) error { return a.Leave(t.Context(), true) }
	tests := []struct {
		name   string
		others int
		leave  func(*target.Announcer) error
		// storeFails means that the store is away from before the leave until the end.
		storeFails bool
		// allKilled means that the other nodes are killed as well, terminated that the node
		// leaves in place of being killed.
		allKilled, terminated bool
		// storeReverts means that the store comes back from a copy in which nobody is
		// registered yet.
		storeReverts bool
	}{
		{"deregistered", 2, deregister, false, false, false, false},
		{"deregistered without a start time", 2, func(a *target.Announcer) error { return a.Leave(t.Context(), false) }, false, false, false, false},
		{"draining", 2, func(a *target.Announcer) error { return a.Announce(t.Context(), "draining", 9) }, false, false, false, false},
		{"store is away", 1, deregister, true, false, false, false},
		{"no other node", 0, deregister, false, false, false, false},
		{"all nodes killed", 2, deregister, false, true, false, false},
		{"store reverts", 1, deregister, false, false, false, true},
		{"node terminated", 2, deregister, false, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, test.others)
			f.publish(1)
			v, s := f.addAnnouncedVM()
			time.Sleep(1500 * time.Millisecond) // the nodes know each other
			f.store.SetFaults(store.Faults{Outage: test.storeFails})
			leaveUntilConfirmed(t, func() error { return test.leave(s) })
			if test.terminated {
				v.leave(context.Background())
			} else {
				f.kill(v)
			}
			if test.allKilled {
				f.kill(f.vms[:test.others]...)
				for _, other := range f.vms[:test.others] {
					f.startNode(other)
				}
			}
			f.store.SetFaults(store.Faults{Outage: test.storeFails})
			if test.storeReverts {
				f.store.SetFaults(store.Faults{RevertMillis: int(time.Hour.Milliseconds())})
			}
			f.startNode(v)
			is.NoErr(s.Announce(t.Context(), "ready", 2))
			for range 60 { // longer than the gate may wait for the others
				is.True(strings.Contains(f.status(v), closed))
				time.Sleep(100 * time.Millisecond)
			}
			next := silentTarget(v, "i-next")
			is.NoErr(next.Announce(t.Context(), "ready", 1))
			f.awaitStatus(v, open)
		})
	}
}

// A leave that no other process holds must not be confirmed, since a kill of the node would
// void it. The gate closes all the same, and a repeated call is confirmed once the store is
// back.
func TestLeaveIsNotConfirmedWhileNobodyElseHoldsIt(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0)
	f.publish(1)
	v, s := f.addAnnouncedVM()
	f.store.SetFaults(store.Faults{Outage: true})
	isNotHeld := func(err error) {
		is.True(errors.Is(err, target.ErrNotConfirmed))
		is.True(strings.Contains(err.Error(), strconv.Itoa(http.StatusServiceUnavailable)))
	}
	startedAt := time.Now()
	isNotHeld(s.Announce(t.Context(), "draining", 2))
	is.True(time.Since(startedAt) < time.Second) // a target gives up a call then
	is.True(strings.Contains(f.status(v), `"gate_open":false`))
	isNotHeld(s.Announce(t.Context(), "draining", 2)) // stale, and not held either
	f.store.SetFaults(store.Faults{})
	is.NoErr(s.Announce(t.Context(), "draining", 3))
	is.NoErr(s.Leave(t.Context(), true))
}

// A node that starts again must open its gate soon, also while it can reach nobody that
// may know of a leave.
func TestRestartedGateOpensWithoutOthers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0)
	f.publish(1)
	v := f.addSilentVM()
	v.leave(cancelled())
	f.store.SetFaults(store.Faults{Outage: true})
	f.startNode(v)
	startedAt := time.Now()
	s := silentTarget(v, "i-first")
	is.NoErr(s.Announce(t.Context(), "ready", 1))
	is.True(strings.Contains(f.status(v), `"gate_open":false`))
	f.awaitStatus(v, `"gate_open":true`)
	is.True(time.Since(startedAt) < 6*time.Second)
}

// A leave that a restarted node confirms before it has read the store must not replace those
// of its former record there.
func TestLeaveAfterRestartKeepsFormerOnes(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0)
	f.publish(1)
	v, first := f.addAnnouncedVM()
	is.NoErr(first.Leave(t.Context(), true))
	f.kill(v)
	f.startNode(v)
	next := silentTarget(v, "i-next")
	is.True(next.Announce(t.Context(), "draining", 1) != nil) // nobody can hold it
	f.store.SetFaults(store.Faults{})
	is.NoErr(next.Announce(t.Context(), "draining", 2))
	client, closeClient := platform.NewStore(f.storeAddress)
	defer closeClient()
	records, _, err := platform.NewNodeRegistry(client).Nodes(t.Context())
	is.NoErr(err)
	is.Equal(len(records), 1)
	departures, err := membership.ParseDepartures(records[0].Departures)
	is.NoErr(err)
	is.Equal(len(departures), 2)
}
