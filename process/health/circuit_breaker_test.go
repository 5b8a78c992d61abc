package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A target that lost a request must not get requests that must not run twice.
// One success is not enough to end this, since an unhealthy target serves some
// requests.
func TestCircuitBreakerSuspects(t *testing.T) {
	tests := []struct {
		name      string
		events    string // l: lost, s: stalled, t: stalled among successes, e: error, p: success, .: 1 s passes
		suspected bool
	}{
		{"new", "", false},
		{"one lost", "l", true},
		{"one lost, one success", "lp", true},
		{"one lost, two successes", "lpp", false},
		{"lost again between successes", "lplp", true},
		{"three lost, two successes", "lllpp", true},
		{"three lost, three successes", "lllppp", false},
		{"one stalled", "s", true},
		{"one stalled, one success", "sp", false},
		{"two stalled, one success", "ssp", true},
		{"one stalled among successes", "t", false},
		{"two stalled among successes", "tt", true},
		{"one error", "e", false},
		{"three errors in a row", "eee", false},
		{"four errors in a row", "eeee", true},
		{"errors among successes", "pepepepepe", false},
		{"one lost 8 s ago", "l........", false},
		{"many lost 8 s ago", "lllll........", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var b CircuitBreaker
			now := time.Unix(0, 0)
			for _, e := range test.events {
				switch e {
				case 'l':
					b.RecordLost(now)
				case 's', 't':
					b.RecordStall(now, e == 't')
				case 'e':
					b.RecordError(now)
				case 'p':
					b.RecordSuccess(now)
				case '.':
					now = now.Add(time.Second)
				}
			}
			is.Equal(b.IsSuspected(now), test.suspected)
		})
	}
}

// A suspected target gets one trial at a time, and only of requests that can be
// retried. Trials that are too far apart would leave a healthy target without
// requests for longer than the floor rule allows.
func TestCircuitBreakerAdmitsSingleTrials(t *testing.T) {
	is := is.New(t)
	var b CircuitBreaker
	now := time.Unix(0, 0)
	is.Equal(b.Admit(now, false), Admitted)
	b.RecordLost(now)
	for range 10 {
		is.Equal(b.Admit(now, true), Denied)
		is.True(b.NextTrialAt().Sub(now) <= maxTrialInterval)
		now = b.NextTrialAt()
		is.Equal(b.Admit(now, false), Denied)
		is.Equal(b.Admit(now, true), AdmittedAsTrial)
		is.Equal(b.Admit(now, true), Denied) // one at a time
		b.RecordLost(now)
		b.EndTrial()
	}
}
