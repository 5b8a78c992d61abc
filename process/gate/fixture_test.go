package gate

import (
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/process/quarantine"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/hashicorp/go-hclog"
)

type noHeaders struct{}

func (noHeaders) SetTargetHeaders(http.Header, metadata.TargetRequest, time.Time) {}
func (noHeaders) ParseTargetHeaders(int, http.Header) metadata.TargetResponse {
	return metadata.TargetResponse{}
}
func (noHeaders) ResponseRequestID(http.Header) string { return "" }
func (noHeaders) ParseCallerHeaders(http.Header, time.Time) (caller metadata.CallerRequest) {
	return caller
}

type noMeter struct{}

func (noMeter) RecordGateRequest(outcome.Code) {}
func (noMeter) RecordTargetRequest()           {}

const address = "10.0.0.1:80"

func newGate() *Gate {
	g, _ := New(Options{
		Service: "s", Address: address, Headers: noHeaders{}, Logger: hclog.NewNullLogger(), Meter: noMeter{}, Quarantine: quarantine.NewTable(hclog.NewNullLogger()),
		RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, GateCount: func() int { return 12 }, AnnouncementInterval: 1500 * time.Millisecond, ShutdownDeadline: func() time.Time { return time.Time{} },
	})
	// The targets of most tests have not been running before the gate.
	g.startedAt = time.Time{}
	return g
}

func announcement(instance string, startedAtMillis, sequence int64) Announcement {
	return Announcement{Instance: instance, Service: "s", Address: address, Slots: 2, StartedAt: time.UnixMilli(startedAtMillis), Sequence: sequence}
}

func openGate(t *testing.T) *Gate {
	t.Helper()
	g := newGate()
	if err := g.Announce(announcement("i", 1000, 1)); err != nil {
		t.Fatal(err)
	}
	return g
}

func requestWithin(wait time.Duration) hopheader.Request {
	now := time.Now()
	return hopheader.Request{Service: "s", Idempotent: true, Deadline: now.Add(10 * time.Second), QueueDeadline: now.Add(wait)}
}
