package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One lost request is enough to keep claims away; two successes let them back,
// since a sick target answers some requests.
func TestTrust(t *testing.T) {
	tests := []struct {
		name    string
		events  string // l lost, e erred, p proved, . 1 s passes
		suspect bool
	}{
		{"new", "", false},
		{"one lost", "l", true},
		{"one lost, one proved", "lp", true},
		{"one lost, two proved", "lpp", false},
		{"lost again between", "lplp", true},
		{"three lost, two proved", "lllpp", true},
		{"three lost, three proved", "lllppp", false},
		{"one error", "e", false},
		{"three errors in a row", "eee", false},
		{"four errors in a row", "eeee", true},
		{"errors among successes", "pepepepepe", false},
		{"lost long ago", "l........", false},
		{"many lost, a little ago", "lllll........", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var trust CircuitBreaker
			now := time.Unix(0, 0)
			for _, e := range test.events {
				switch e {
				case 'l':
					trust.RecordLost(now)
				case 'e':
					trust.RecordError(now)
				case 'p':
					trust.RecordSuccess(now)
				case '.':
					now = now.Add(time.Second)
				}
			}
			is.Equal(trust.IsSuspected(now), test.suspect)
		})
	}
}

// A suspected target gets one trial at a time, of requests that may fail, and
// is never left without one for more than the floor rule allows.
func TestTrials(t *testing.T) {
	is := is.New(t)
	var trust CircuitBreaker
	now := time.Unix(0, 0)
	is.Equal(trust.Admit(now, false), Admitted)
	trust.RecordLost(now)
	for range 10 {
		is.Equal(trust.Admit(now, true), Denied)
		is.True(trust.NextTrialAt().Sub(now) <= lastTrial)
		now = trust.NextTrialAt()
		is.Equal(trust.Admit(now, false), Denied)
		is.Equal(trust.Admit(now, true), AdmittedAsTrial)
		is.Equal(trust.Admit(now, true), Denied) // one at a time
		trust.RecordLost(now)
		trust.EndTrial()
	}
}
