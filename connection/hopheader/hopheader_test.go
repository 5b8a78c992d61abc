package hopheader

import (
	"net/http"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var now = time.Unix(1_800_000_000, 0)

// A gate reads exactly the metadata that the entry sent, and the field is removed
// so that it is not passed on to the target.
func TestRequestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{
			Service:       rapid.StringMatching(`[a-z0-9]{1,12}`).Draw(t, "service"),
			CallerService: rapid.StringMatching(`[a-z0-9]{0,12}`).Draw(t, "caller"),
			Idempotent:    rapid.Bool().Draw(t, "idempotent"),
			RouteHash:     rapid.Uint32().Draw(t, "kind"),
			Priority:      rapid.IntRange(0, 9).Draw(t, "priority"),
			// Names may contain the separators of the field.
			Customer:         rapid.OneOf(rapid.String(), rapid.StringMatching(`[a-z;=%+& ,]{0,12}`)).Draw(t, "customer"),
			CustomerPriority: rapid.IntRange(0, 9).Draw(t, "customer_priority"),
			IsRetry:          rapid.Bool().Draw(t, "repeat"),
			CanRetry:         rapid.Bool().Draw(t, "may_fail"),
			Deadline:         now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "left")) * time.Millisecond),
			SoftDeadline:     now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "aim")) * time.Millisecond),
			QueueDeadline:    now.Add(time.Duration(rapid.IntRange(0, 60_000).Draw(t, "wait")) * time.Millisecond),
		}
		h := http.Header{"X": {"kept"}}
		r.Inject(h, now)
		got, err := ExtractRequest(h, now)
		if err != nil || got != r {
			t.Fatalf("got %+v, %v; want %+v", got, err, r)
		}
		if len(h) != 1 {
			t.Fatalf("the field was not removed from the header: %v", h)
		}
	})
}

// An entry reads exactly the metadata that the gate sent.
func TestResponseRoundTrip(t *testing.T) {
	tests := []struct {
		name    string
		problem *outcome.Problem
	}{
		{"answer", nil},
		{"refusal", outcome.Refused(outcome.CodeTargetFull, "the gate reported it").WithRetryAt(now.Add(250 * time.Millisecond))},
		{"failure", outcome.Failed(outcome.CodeTargetFailed, "the gate reported it")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := Response{State: GateState{Accepting: true, Suspected: true, Outstanding: 4, Slots: 3, LastSuccessAt: now.Add(-time.Second)}, Problem: test.problem}
			h := http.Header{}
			r.Inject(h, now)
			got, err := ExtractResponse(h, now)
			is.NoErr(err)
			is.Equal(got, r)
		})
	}
}

// Missing or unparsable required parameters are reported as ErrMalformed.
func TestMalformedHeaderField(t *testing.T) {
	for _, field := range []string{"", "s=a", "s=a;d=x;w=1", "s=a;a=1;d=1;w=1;u=%", "d=1;w=1", "b=1", "b=x;n=1"} {
		is := is.New(t)
		_, err := ExtractRequest(http.Header{"Cw": {field}}, now)
		is.Equal(err, ErrMalformed)
		_, err = ExtractResponse(http.Header{"Cw": {field}}, now)
		is.Equal(err, ErrMalformed)
	}
}
