package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/connection/http1"
	"github.com/cuminwheel/cuminwheel/process/membership"
	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// A read of a customer that may queue long in another region must await its grant, so that
// it can be refused when its key is removed. Short waits and requests without a customer
// must not pay for the round trip.
func TestLongRemoteWaitsAwaitGrant(t *testing.T) {
	for _, test := range []struct {
		name string
		keys []string
	}{{"customer", []string{"k1"}}, {"no customers", nil}} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			type attempt struct {
				wait         time.Duration
				awaitedGrant bool
			}
			attempts := make(chan attempt, maxGateAttempts)
			l, closeListener, err := http1.Listen("127.0.0.1:0", func(ctx context.Context, in *http1.IncomingRequest) *http1.Response {
				awaited := in.Header.Get("Expect") != ""
				request, _ := hopheader.ExtractRequest(in.Header, in.ReceivedAt)
				attempts <- attempt{request.QueueDeadline.Sub(in.ReceivedAt), awaited}
				return refuseWith(outcome.CodeTargetSuspected)(ctx, in, nil)
			}, func() http1.Limits { return limits }, hclog.NewNullLogger())
			is.NoErr(err)
			defer closeListener()
			f := &gateFleet{entry: newEntry(t, staticNodes{membership.Record{ControlAddress: "n", GateAddress: l.Address(), Service: "s", DataCentre: "there", Region: "far"}})}
			f.use(customersConfiguration(1, test.keys...))
			resp, _ := f.newCaller(t).call("/read/", "k1")
			is.Equal(resp.Status, http.StatusServiceUnavailable)
			close(attempts)
			short, long := 0, 0
			for a := range attempts {
				if a.wait > maxUngrantedWait {
					long++
					is.Equal(a.awaitedGrant, test.keys != nil)
				} else {
					short++
					is.True(!a.awaitedGrant)
				}
			}
			is.True(short > 0 && long > 0)
		})
	}
}

// quarantineOf quarantines one request.
type quarantineOf fingerprint.Fingerprint

func (quarantineOf) TrialDue(fingerprint.Fingerprint, time.Time) (round uint64, isDue bool) {
	return 0, false
}

func (q quarantineOf) Peek(request fingerprint.Fingerprint, now time.Time) time.Time {
	return q.QuarantinedUntil(request, now)
}

func (q quarantineOf) QuarantinedUntil(f fingerprint.Fingerprint, now time.Time) time.Time {
	if fingerprint.Fingerprint(q) == f {
		return now.Add(time.Hour)
	}
	return time.Time{}
}

// A request of one customer that is quarantined must not stop the same request of others.
func TestQuarantineIsPerCustomer(t *testing.T) {
	is := is.New(t)
	f := newGateFleet(t, respondOK("a"))
	f.use(customersConfiguration(1, "k1"))
	f.entry.options.Quarantine = quarantineOf(fingerprint.Of("acme", http.MethodPost, "h", "/claim/", []byte("x")))
	c := f.newCaller(t)
	resp, _ := c.call("/claim/", "k1")
	is.Equal(resp.Header.Get(outcome.HeaderCode), string(outcome.CodeQuarantined))
	resp, _ = c.call("/claim/", "other-key")
	is.Equal(resp.Status, http.StatusOK)
}
