package hopheader

import (
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/field"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/cuminwheel/cuminwheel/standin/mutation"
)

func addMutations(f *testing.F, h http.Header) {
	f.Helper()
	for _, b := range mutation.Of(h.Get(headerField)) {
		f.Add(b)
	}
}

// Whatever another node sends, the times of a request must lie within a day from now: those
// that wrap to the past would make the gate refuse it, or run it without a limit.
func FuzzExtractRequest(f *testing.F) {
	h := http.Header{}
	Request{
		Service: "s", CallerService: "c", Idempotent: true, RouteHash: 7, Priority: 1, Customer: "a;b", CustomerPriority: 2, IsRetry: true,
		SoftDeadline: now.Add(time.Second), Deadline: now.Add(2 * time.Second), QueueDeadline: now.Add(time.Second),
		Notice: Notice{IsKnown: true, Incarnation: 9, HasLimit: true, Limit: 2.5, Leaving: true},
	}.Inject(h, now)
	addMutations(f, h)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ExtractRequest(http.Header{headerField: {string(b)}}, now)
		if err != nil {
			return
		}
		for _, at := range []time.Time{r.SoftDeadline, r.Deadline, r.QueueDeadline} {
			if at.Before(now) || at.After(now.Add(field.MaxDuration)) {
				t.Errorf("%+v", r)
			}
		}
		if r.Priority < 0 || r.Priority > field.MaxPriority || r.CustomerPriority < 0 || !(r.Notice.Limit >= 0) {
			t.Errorf("%+v", r)
		}
	})
}

// The same for a response; its counts must be such that sums of them do not overflow.
func FuzzExtractResponse(f *testing.F) {
	h := http.Header{}
	Response{
		State: GateState{
			Accepting: true, Suspected: true, Outstanding: 3, Slots: 5, LastSuccessAt: now.Add(-time.Second), AdmitsAt: now.Add(time.Second),
			Notice: Notice{IsKnown: true, Incarnation: 9, HasLimit: true, Limit: 2.5},
		},
		Problem: outcome.Refused(outcome.CodeTargetFull, "full").WithRetryAt(now.Add(time.Second)),
	}.Inject(h, now)
	addMutations(f, h)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := ExtractResponse(http.Header{headerField: {string(b)}}, now)
		if err != nil {
			return
		}
		latest := now.Add(field.MaxDuration)
		switch {
		case r.State.Slots < 0, r.State.Outstanding < 0, r.State.Slots > field.MaxCount, r.State.Outstanding > field.MaxCount,
			r.State.LastSuccessAt.After(now), r.State.AdmitsAt.After(latest), r.Problem != nil && r.Problem.RetryAt.After(latest):
			t.Errorf("%+v", r)
		}
	})
}
