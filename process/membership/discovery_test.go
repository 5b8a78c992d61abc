package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// Guards against nodes that take what they know for the whole fleet after they have compared
// their views with nodes that know no more: only a comparison with a node that has discovered
// the fleet discovers it, whichever of the two has begun it.
func TestDiscoveryNeedsADiscoveredNode(t *testing.T) {
	tests := []struct {
		name                           string
		isCallerKnown, isReceiverKnown bool
		// isEqual means that the views hold the same already.
		isEqual bool
	}{
		{"neither", false, false, false},
		{"receiver", false, true, false},
		{"caller", true, false, false},
		{"neither, equal views", false, false, true},
		{"receiver, equal views", false, true, true},
		{"caller, equal views", true, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			caller, receiver := newRecord(1, 1), newRecord(2, 1)
			f := &fleet{receivers: map[string]*Receiver{}}
			gossipers := map[string]*Gossiper{}
			for _, r := range []Record{caller, receiver} {
				c := &fakeConfigurations{changed: make(chan struct{})}
				g := NewGossiper(NewView(r), c, quarantine.NewTable(hclog.NewNullLogger()), f, hclog.NewNullLogger())
				gossipers[r.ControlAddress], f.receivers[r.ControlAddress] = g, NewReceiver(g)
			}
			a, b := gossipers[caller.ControlAddress], gossipers[receiver.ControlAddress]
			if test.isEqual {
				a.view.Merge([]Record{receiver})
				b.view.Merge([]Record{caller})
			}
			if test.isCallerKnown {
				a.view.SetDiscovered()
			}
			if test.isReceiverKnown {
				b.view.SetDiscovered()
			}
			is.True(a.CompareWith(t.Context(), receiver.ControlAddress))
			is.Equal(a.view.IsDiscovered(), test.isCallerKnown || test.isReceiverKnown)
			is.Equal(b.view.IsDiscovered(), test.isCallerKnown || test.isReceiverKnown)
			is.Equal(a.view.Digest(), b.view.Digest())
		})
	}
}

// Guards against nodes that serve no customer for seconds after a restart, although others
// have called them: each is asked at once, and a node that knows one asks before the regular
// comparison.
func TestDiscoveryIsSoon(t *testing.T) {
	tests := []struct {
		name string
		// isCalled means that the other node calls; otherwise the node knows it.
		isCalled bool
		within   time.Duration
	}{
		{"called", true, 0},
		{"knows another node", false, 110 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &fleet{receivers: map[string]*Receiver{}}
				var gossipers []*Gossiper
				for i := range 2 {
					r := newRecord(i, 1)
					g := NewGossiper(NewView(r), &fakeConfigurations{changed: make(chan struct{})}, quarantine.NewTable(hclog.NewNullLogger()), f, hclog.NewNullLogger())
					gossipers, f.receivers[r.ControlAddress] = append(gossipers, g), NewReceiver(g)
				}
				gossipers[1].view.SetDiscovered()
				if !test.isCalled {
					gossipers[0].view.Merge([]Record{newRecord(1, 1)})
				}
				go gossipers[0].Run(t.Context())
				start := time.Now()
				if test.isCalled {
					is.NoErr(f.receivers[newRecord(0, 1).ControlAddress].Tell(Message{Sender: newRecord(1, 1).ControlAddress}, &Message{}))
				}
				<-gossipers[0].view.Discovered()
				is.True(time.Since(start) <= test.within)
				time.Sleep(time.Minute)
			})
		})
	}
}
