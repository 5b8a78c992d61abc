package node

import (
	"testing"

	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/process/settings"
	"github.com/matryer/is"
)

// Guards against a node that takes itself for the only gate of its service while it does not
// know the others: it would run each trial of a request that crashes targets, and have the
// retries of all gates.
func TestNodeOfAnUnknownFleetIsNotTheOnlyGate(t *testing.T) {
	is := is.New(t)
	n := &Node{settings: settings.Settings{Service: "s"}, view: membership.NewView(membership.Record{ControlAddress: "10.0.0.1:1", GateAddress: "10.0.0.1:2", Service: "s", DataCentre: "d", Region: "r", Incarnation: 1})}
	is.True(!n.isTrialGate(7, 1))
	is.Equal(n.gateCount(), 0)
	n.view.SetDiscovered()
	is.True(n.isTrialGate(7, 1))
	is.Equal(n.gateCount(), 1)
}
