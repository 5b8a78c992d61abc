package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/gate"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

type stubGateHeaders struct{ stubHeaders }

func (stubGateHeaders) SetTargetHeaders(http.Header, metadata.TargetRequest, time.Time) {}
func (stubGateHeaders) ParseTargetHeaders(int, http.Header) metadata.TargetResponse {
	return metadata.TargetResponse{}
}

type discardGateMeter struct{}

func (discardGateMeter) RecordGateRequest(outcome.Code) {}
func (discardGateMeter) RecordTargetRequest()           {}

// A gate that could not be reached gets no requests until a probe has shown
// that it is back.
func TestUnreachableGateIsProbed(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	e := newEntry(t, staticNodes{{ControlAddress: address, GateAddress: address, Service: "s", DataCentre: "here", Region: "r"}})
	f := &gateFleet{entry: e}
	is.Equal(f.call(t, "/claim/").Status, http.StatusServiceUnavailable)
	c := e.directory.candidates("s")[0]
	is.True(c.snapshot(time.Now()).unreachable)

	g, closeGate := gate.New(gate.Options{
		Service: "s", Headers: stubGateHeaders{}, Meter: discardGateMeter{}, Quarantine: quarantine.NewTable(hclog.NewNullLogger()), Logger: hclog.NewNullLogger(), GateCount: func() int { return 1 }, ShutdownDeadline: func() time.Time { return time.Time{} },
	})
	defer closeGate()
	_, closeListener, err := http1.Listen(address, g.Serve, func() http1.Limits { return limits }, hclog.NewNullLogger())
	is.NoErr(err)
	defer closeListener()
	for until := time.Now().Add(10 * time.Second); c.snapshot(time.Now()).unreachable && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	s := c.snapshot(time.Now())
	is.True(!s.unreachable)
	is.True(s.notAccepting) // the target has not been announced
}

// A gate that fails, reports its state and fails again before the probing
// goroutine notices must not get a second one. Closing the candidate ends the
// goroutine.
func TestOneProbeLoopPerGate(t *testing.T) {
	is := is.New(t)
	d := newDirectory(staticNodes{}, "here", "r", nil)
	c := d.newCandidate(membership.Record{GateAddress: "127.0.0.1:1", Service: "s"})
	wasReachable, startsProbing := c.markUnreachable()
	is.True(wasReachable && startsProbing)
	wasReachable, startsProbing = c.markUnreachable()
	is.True(!wasReachable && !startsProbing)
	c.updateState(hopheader.GateState{}, time.Now())
	wasReachable, startsProbing = c.markUnreachable()
	is.True(wasReachable && !startsProbing) // the first goroutine is still probing
	c.updateState(hopheader.GateState{}, time.Now())
	is.True(c.stopProbingIfReachable())
	wasReachable, startsProbing = c.markUnreachable()
	is.True(wasReachable && startsProbing)
	e := &Entry{options: Options{Logger: hclog.NewNullLogger(), Headers: stubHeaders{}}, directory: d}
	ended := make(chan struct{})
	go func() {
		e.probeUntilReachable(c)
		close(ended)
	}()
	c.close()
	<-ended
	is.True(c.snapshot(time.Now()).unreachable)
}
