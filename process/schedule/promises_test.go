package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against refusals that all name the same time: their callers would return together
// and be refused again. Retry times must be spaced as capacity becomes available, lie no
// earlier than it does, and no later than the bound unless it does too.
func TestRetryTimesAreSpaced(t *testing.T) {
	type refusal struct{ at, capacityAt, want time.Duration }
	const spacing = 30 * time.Millisecond
	ms := time.Millisecond
	tests := []struct {
		name     string
		refusals []refusal
	}{
		{"one", []refusal{{0, 100 * ms, 100 * ms}}},
		{"at the same time", []refusal{{0, 100 * ms, 100 * ms}, {0, 100 * ms, 130 * ms}, {0, 100 * ms, 160 * ms}}},
		{"capacity later than the last promise", []refusal{{0, 100 * ms, 100 * ms}, {0, 500 * ms, 500 * ms}, {0, 100 * ms, 530 * ms}}},
		{"after a pause", []refusal{{0, 100 * ms, 100 * ms}, {3000 * ms, 3100 * ms, 3100 * ms}}},
		{"beyond the bound", []refusal{{0, 1990 * ms, 1990 * ms}, {0, 100 * ms, 100 * ms}, {0, 100 * ms, 130 * ms}}},
		{"capacity beyond the bound", []refusal{{0, 5000 * ms, 5000 * ms}, {0, 100 * ms, 100 * ms}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var p Promises
			for _, r := range test.refusals {
				is.Equal(p.Next(testEpoch.Add(r.at), testEpoch.Add(r.capacityAt), spacing), testEpoch.Add(r.want))
			}
		})
	}
}
