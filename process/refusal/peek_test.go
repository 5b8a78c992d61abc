package refusal

import (
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
	"github.com/matryer/is"
)

// Guards against a read that differs from the decision that it predicts, or that counts
// returns, expires records or adds routes.
func TestPeekPredictsAndChangesNothing(t *testing.T) {
	tests := []struct {
		name     string
		requests int
		returns  int
		at       time.Duration
		assumed  Assumption
	}{
		{"empty", 0, 0, 0, AssumeUnknown},
		{"early", 1, 0, 100 * ms, AssumeUnknown},
		{"too many early returns", 1, maxEarlyReturns, 100 * ms, AssumeUnknown},
		{"in time", 1, 0, 400 * ms, AssumePublic},
		{"expired and not returned", 3, 0, recordTTL, AssumeUnknown},
		{"expired and returned", 3, 1, recordTTL, AssumePublic},
		{"evidence too old", 3, 1, recordTTL + evidenceTTL, AssumeKey},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m, now := NewMemory(), start.Add(tt.at)
			for i := range tt.requests {
				refuse(m, i, 0)
			}
			for range tt.returns {
				m.Recall(0, start.Add(100*ms))
			}
			records, routes := len(m.records), len(m.routes)
			outlook := m.PeekOutlook(1, tt.assumed, now)
			peeked, ok := m.Peek(fingerprint.Fingerprint(0), now)
			is.Equal(m.PeekOutlook(1, tt.assumed, now), outlook)
			is.Equal(len(m.records), records)
			is.Equal(len(m.routes), routes)

			is.Equal(outlook, Outlook{CallersRetry: m.CallersRetry(1, tt.assumed, now), Work: m.Work(1, now), Turn: m.Turn(1, now)})
			recalled, wantOK := m.Recall(0, now)
			is.Equal(ok, wantOK)
			is.Equal(peeked, recalled)
		})
	}
}
