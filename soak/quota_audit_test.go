package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an audit that overlooks a customer beyond its quota, also after the quota
// has been lowered, and against one that counts retries or the quota of the wrong window.
func TestCountQuotaExcess(t *testing.T) {
	tests := []struct {
		name         string
		rate         float64
		lowered      float64 // from second 10 on
		from         float64
		count        int
		interval     time.Duration
		runsPerID    int
		excess       int
		hasViolation bool
	}{
		// 6/s: (6 x 5 + 6) x 1.1 + 20 = 59; 3/s: 39.
		{"at the quota", 6, 6, 5, 59, 10 * time.Millisecond, 1, 0, false},
		{"beyond the quota", 6, 6, 5, 62, 10 * time.Millisecond, 1, 3, true},
		{"spread over two windows", 6, 6, 5, 100, 100 * time.Millisecond, 1, 0, false},
		{"each request retried", 6, 6, 5, 50, 10 * time.Millisecond, 2, 0, false},
		{"lowered, in a window with the higher quota", 6, 3, 14, 50, 10 * time.Millisecond, 1, 0, false},
		{"lowered, in a later window", 6, 3, 20, 50, 10 * time.Millisecond, 1, 11, true},
		{"no quota", 0, 0, 5, 500, time.Millisecond, 1, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := history{publications: []publication{publicationOf(0, test.rate, "k"), publicationOf(10, test.lowered, "k")}}
			var runs []run
			for i := range test.count * test.runsPerID {
				at := moment(test.from).Add(time.Duration(i) * test.interval)
				runs = append(runs, run{i % 2, at, fmt.Sprintf("%d.c", i/test.runsPerID)})
			}
			excess := h.countQuotaExcess(runs)
			is.Equal(excess["c"], test.excess)
			is.Equal(len(excess) > 0, test.hasViolation)
		})
	}
}
