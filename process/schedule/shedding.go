package schedule

import (
	"math/bits"
	"time"
)

const (
	// sheddingRefusals is the number of refusals in a row from which a target is shedding.
	// A target that refuses half of its requests, whatever its load, gets there once in a
	// thousand times. It completes the more the more it gets, and must keep its slots.
	sheddingRefusals = 10
	// minTrialInterval and maxTrialInterval bound the time from a refusal by a shedding
	// target to its next request. A healthy target must not be left without requests for
	// 2 s, so the upper bound lies below that.
	minTrialInterval = 200 * time.Millisecond
	maxTrialInterval = 1600 * time.Millisecond
)

// Shedding detects that a target refuses everything. Such a target gets single requests,
// at growing intervals, until it runs one. The zero value is that of a target that does
// not shed.
//
// Refusals are in a row if no request was run in between, neither by the order of starts nor
// by that of responses. Replayed with targets that refuse half of their requests: by
// responses alone, one whose requests take a second completed 0.94 of what it could, since
// refusals return within milliseconds; by starts alone, one that ran 15 of 60 ms at all times
// completed 0.89, since it got so many.
type Shedding struct {
	// last is the number of the request that was started last; requests are numbered from
	// 1 in the order of their starts.
	last uint64
	// refused has a bit for each of the last 64 requests, the lowest for the last one. It is
	// set if the target has refused the request, and has run none since. If more than about 50 are under way at
	// once, refusals may come too late to be recorded.
	refused uint64
	// detectedAfter is the number of the last request that was started before the target was
	// found to be shedding, rowEnd that of the last refusal in a row.
	detectedAfter, rowEnd uint64
	isShedding            bool
	// lastStartAt is when the target last got a request.
	lastStartAt time.Time
	// trialInterval is the time from the last refusal to trialAt, when a shedding target
	// may get its next request.
	trialInterval time.Duration
	trialAt       time.Time
}

// IsShedding reports whether the target refuses all requests.
func (s *Shedding) IsShedding() bool { return s.isShedding }

// TrialAt returns when a shedding target may get its next request; zero if it does not
// shed.
func (s *Shedding) TrialAt() time.Time {
	if !s.isShedding {
		return time.Time{}
	}
	return s.trialAt
}

// CanStart reports whether the target, which runs the given number of requests, may get
// another one in a free slot. One request each maxTrialInterval is allowed in any case, so
// that a long request which still runs does not hide that the target has recovered.
func (s *Shedding) CanStart(now time.Time, running int) bool {
	return !s.isShedding || !now.Before(s.nextAt(running))
}

// NextAt returns when the target may get a request in a free slot. It is zero if it may
// get one now.
func (s *Shedding) NextAt(now time.Time, running int) time.Time {
	if s.CanStart(now, running) {
		return time.Time{}
	}
	return s.nextAt(running)
}

// nextAt returns when a shedding target that runs the given number of requests may get
// another one.
func (s *Shedding) nextAt(running int) time.Time {
	at := s.lastStartAt.Add(maxTrialInterval)
	if running == 0 && s.trialAt.Before(at) {
		at = s.trialAt
	}
	return at
}

// Start records that the target gets a request, and returns its number.
func (s *Shedding) Start(now time.Time) (number uint64) {
	s.last++
	s.refused <<= 1
	s.lastStartAt = now
	return s.last
}

// RecordRefusal records that the target itself refused a request.
func (s *Shedding) RecordRefusal(number uint64, now time.Time) {
	if s.isShedding {
		// A request that was under way when shedding was detected is no trial.
		if number > s.detectedAfter {
			s.trialInterval = min(maxTrialInterval, 2*s.trialInterval)
			s.trialAt = now.Add(s.trialInterval)
		}
		return
	}
	// The bits of requests that are too old are shifted out.
	s.refused |= 1 << (s.last - number)
	// A bit remains for each request that is the first of enough refused ones in a row.
	rows := s.refused
	for range sheddingRefusals - 1 {
		rows &= rows << 1
	}
	if rows == 0 {
		return
	}
	s.isShedding, s.detectedAfter = true, s.last
	s.rowEnd = s.last - uint64(bits.TrailingZeros64(rows)-(sheddingRefusals-1))
	s.trialInterval = minTrialInterval
	s.trialAt = now.Add(s.trialInterval)
}

// RecordRun records that the target has run a request. Only one that was started after the
// refusals ends the shedding: those that were started before end as usual while the target
// refuses all others.
func (s *Shedding) RecordRun(number uint64) {
	if s.isShedding && number <= s.rowEnd {
		return
	}
	s.isShedding, s.refused = false, 0
}

// RecordLoss records a request that ended without showing whether the target runs
// requests. The next trial of a shedding target follows at the same interval.
func (s *Shedding) RecordLoss(now time.Time) {
	if s.isShedding {
		s.trialAt = now.Add(s.trialInterval)
	}
}
