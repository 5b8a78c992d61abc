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
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

type gateHeaders struct{ plainHeaders }

func (gateHeaders) SetTargetHeaders(http.Header, metadata.TargetRequest, time.Time) {}
func (gateHeaders) ParseTargetHeaders(int, http.Header) metadata.TargetResponse {
	return metadata.TargetResponse{}
}

type gateMeter struct{}

func (gateMeter) CountGateRequest(outcome.Code) {}

// A gate that could not be reached is asked by no request until a question shows
// that it is back.
func TestAbsentGateIsAskedForItsReturn(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	l.Close()
	e := newEntry(t, fixedNodes{{ControlAddress: address, GateAddress: address, Service: "s", DataCentre: "here", Region: "r"}})
	f := &fleet{entry: e}
	is.Equal(f.call(t, "/claim/").Status, http.StatusServiceUnavailable)
	absent := e.directory.candidates("s")[0]
	is.True(absent.view(time.Now()).down)

	g, closeGate := gate.New(gate.Options{
		Service: "s", Headers: gateHeaders{}, Meter: gateMeter{}, Logger: hclog.NewNullLogger(), GateCount: func() int { return 1 }, ShutdownDeadline: func() time.Time { return time.Time{} },
	})
	defer closeGate()
	_, closeListener, err := http1.Listen(address, g.Serve, func() http1.Limits { return limits }, hclog.NewNullLogger())
	is.NoErr(err)
	defer closeListener()
	for until := time.Now().Add(10 * time.Second); absent.view(time.Now()).down && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	v := absent.view(time.Now())
	is.True(!v.down)
	is.True(v.closed) // its target has not announced itself
}

// A gate that is lost, heard once and lost again is still waited for by one
// goroutine only, and closing a candidate ends that.
func TestOneWaitForAnAbsentGate(t *testing.T) {
	is := is.New(t)
	d := newDirectory(fixedNodes{}, "here", "r")
	c := d.newCandidate(membership.Record{GateAddress: "127.0.0.1:1", Service: "s"})
	isNews, starts := c.failed()
	is.True(isNews && starts)
	isNews, starts = c.failed()
	is.True(!isNews && !starts)
	c.heard(hopheader.GateState{}, time.Now())
	isNews, starts = c.failed()
	is.True(isNews && !starts) // the first wait has not ended
	c.heard(hopheader.GateState{}, time.Now())
	is.True(c.endsWait())
	isNews, starts = c.failed()
	is.True(isNews && starts)
	e := &Entry{options: Options{Logger: hclog.NewNullLogger(), Headers: plainHeaders{}}, directory: d}
	ended := make(chan struct{})
	go func() {
		e.awaitReturn(c)
		close(ended)
	}()
	c.close()
	<-ended
	is.True(c.view(time.Now()).down)
}
