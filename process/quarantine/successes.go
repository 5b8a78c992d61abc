package quarantine

import (
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
)

const (
	// maxSuccesses bounds the requests of one generation, about 50 bytes each. A request
	// that is at least one in maxSuccesses of a gate's requests is always remembered.
	maxSuccesses = 2048
	// successTTL is the longest time that a generation is filled. A success proves little
	// about a request after targets have been replaced.
	successTTL = 10 * time.Minute
)

// successes remembers when requests last succeeded, in two generations: the younger one
// replaces the older one when it is full or old. Its zero value is ready for use.
type successes struct {
	young, old map[fingerprint.Fingerprint]time.Time
	startedAt  time.Time
}

func (s *successes) record(r fingerprint.Fingerprint, now time.Time) {
	if _, ok := s.young[r]; !ok && (len(s.young) >= maxSuccesses || now.Sub(s.startedAt) > successTTL) {
		s.old, s.young, s.startedAt = s.young, nil, now
	}
	if s.young == nil {
		s.young = map[fingerprint.Fingerprint]time.Time{}
	}
	s.young[r] = now
}

// last returns when the request last succeeded; ok is false if that is not known.
func (s *successes) last(r fingerprint.Fingerprint) (at time.Time, ok bool) {
	if at, ok = s.young[r]; ok {
		return at, true
	}
	at, ok = s.old[r]
	return at, ok
}
