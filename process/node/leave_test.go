package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/platform"
	"github.com/cuminwheel/cuminwheel/standin/target"
	"github.com/matryer/is"
)

// A node that leaves must not cut requests: it reports at once that it isn't
// ready, responds to all requests that it has read and closes its connections.
func TestLeavingCutsNothing(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	done := make(chan struct{})
	r := f.load(f.vms[:1], func() {
		go func() {
			f.vms[0].leave(context.Background())
			close(done)
		}()
		time.Sleep(50 * time.Millisecond)
		res, err := http.Get("http://" + f.vms[0].settings.Ready + platform.ReadyPath)
		is.NoErr(err)
		is.Equal(res.StatusCode, http.StatusServiceUnavailable)
		res.Body.Close()
	})
	is.True(r.IsCorrect())
	is.Equal(r.NoResponse, 0) // the load ended before callerDrainTime had passed
	is.Equal(r.Unknown, 0)
	<-done
}

// If too few other nodes are ready, callers keep sending requests to a leaving
// node. It responds to all that it has read and refuses further connections.
func TestLeavingUnderLoad(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	for _, v := range f.vms { // slow requests
		v.target.SetFaults(target.Faults{SlowFactor: 40})
	}
	done := make(chan struct{})
	r := f.loadFor(5*time.Second, f.vms[:1], func() {
		go func() {
			f.vms[0].leave(context.Background())
			close(done)
		}()
	})
	<-done
	is.True(r.IsCorrect())
	is.True(r.NoResponse > 0) // requests after the node had stopped
	is.Equal(r.RanWithoutResponse, 0)
}

// A second SIGTERM starts the grace period again: requests that outlast the
// first grace period are still served by their target.
func TestSecondSignalExtendsLeaving(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	f.vms[0].settings.GracePeriod = 4 * time.Second
	f.publish(1)
	for _, v := range f.vms {
		f.awaitStatus(v, `"nodes":2,"gate_open":true`)
		v.target.SetFaults(target.Faults{SlowFactor: 120}) // 0.7 to 1.7 s
	}
	done := make(chan struct{})
	r := f.loadFor(3500*time.Millisecond, f.vms[:1], func() {
		go func() {
			f.vms[0].leave(context.Background())
			close(done)
		}()
		time.Sleep(500 * time.Millisecond)
		f.vms[0].node.ExtendLeaveDeadline(time.Now().Add(6 * time.Second))
		f.vms[0].node.ExtendLeaveDeadline(time.Now()) // an earlier deadline has no effect
	})
	<-done
	is.True(r.IsCorrect())
	is.Equal(r.RanWithoutResponse, 0)
	is.Equal(r.Unknown, 0) // none was cancelled by the node
}

// Guards against requests that a leaving node takes late and passes on, although their
// targets cannot complete them before the node ends: they would be cut, and some of them
// must not be sent again. Work takes 0.4 to 1 s here.
func TestLeavingPassesOnOnlyWhatCanFinish(t *testing.T) {
	for _, grace := range []time.Duration{4 * time.Second, 2500 * time.Millisecond} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, 4)
			f.publish(1)
			for _, v := range f.vms {
				f.awaitStatus(v, `"nodes":4,"gate_open":true`)
				v.target.SetFaults(target.Faults{SlowFactor: 70})
			}
			leaving := f.vms[0]
			leaving.leave(cancelled())
			leaving.settings.GracePeriod = grace
			f.startNode(leaving)
			f.awaitStatus(leaving, `"nodes":4,"gate_open":true`)
			var took time.Duration
			r := f.loadAt(8, 5*time.Second+grace, f.vms[:1], func() {
				time.Sleep(4 * time.Second) // the gates learn how long requests take
				startedAt := time.Now()
				leaving.leave(context.Background())
				took = time.Since(startedAt)
			})
			t.Logf("left after %v: %+v", took, r)
			is.True(took < grace)
			is.True(r.IsCorrect())
			is.True(r.Answered > 0)
			is.Equal(r.Errors, 0) // targets that gave up at the deadline
			is.Equal(r.Unknown, 0)
			is.Equal(r.RanWithoutResponse, 0)
		})
	}
}

// cancelled returns a context that has ended, with which a node stops at once.
func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
