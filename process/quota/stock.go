package quota

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cuminwheel/cuminwheel/request/field"
)

const (
	// tokenTTL is the time from the call for a token within which the token must be used.
	// Tokens that are carried over into a window of 5 s are thus at most 0.08 of the
	// window's, within the tolerance of a tenth.
	tokenTTL = 400 * time.Millisecond
	// minPrefetch is the lot from which tokens are requested before the stock is empty.
	// A smaller lot would often expire unused.
	minPrefetch = 2
)

// stock holds the tokens of one customer at an entry.
type stock struct {
	name        string
	rate, burst float64
	// lots are the tokens by expiry, the earliest first.
	lots    []lot
	usage   usage
	waiters []*waiter
	// isCalling means that a call for tokens is in progress.
	isCalling bool
	// pausedUntil is the retry time that the home named last; no tokens are requested in
	// advance before.
	pausedUntil time.Time
	repliedAt   time.Time
	candidates  candidates
	viewVersion uint64
}

// lot is a number of tokens with the same expiry.
type lot struct {
	count     int
	expiresAt time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	result chan Decision
	until  time.Time
}

// add adds tokens.
func (s *stock) add(count int, expiresAt time.Time) {
	if count == 0 {
		return
	}
	i := len(s.lots)
	for i > 0 && s.lots[i-1].expiresAt.After(expiresAt) {
		i--
	}
	s.lots = slices.Insert(s.lots, i, lot{count, expiresAt})
}

// take removes the token that expires first.
func (s *stock) take(now time.Time) (expiresAt time.Time, ok bool) {
	s.dropExpired(now)
	if len(s.lots) == 0 {
		return time.Time{}, false
	}
	first := &s.lots[0]
	first.count--
	expiresAt = first.expiresAt
	if first.count == 0 {
		s.lots = slices.Delete(s.lots, 0, 1)
	}
	return expiresAt, true
}

// count returns the number of tokens.
func (s *stock) count(now time.Time) int {
	s.dropExpired(now)
	return s.peekCount(now)
}

// peekCount returns the number of tokens and leaves expired ones in place.
func (s *stock) peekCount(now time.Time) int {
	total := 0
	for _, l := range s.lots {
		if l.expiresAt.After(now) {
			total += l.count
		}
	}
	return total
}

// isLow reports whether tokens are to be requested in advance.
func (s *stock) isLow(now time.Time) bool {
	lot := s.usage.lot(now)
	return lot >= minPrefetch && s.count(now) <= lot/2 && !now.Before(s.pausedUntil)
}

func (s *stock) dropExpired(now time.Time) {
	expired := 0
	for expired < len(s.lots) && !s.lots[expired].expiresAt.After(now) {
		expired++
	}
	s.lots = slices.Delete(s.lots, 0, expired)
}

// decision returns a refusal that describes the stock.
func (s *stock) decision(now time.Time) Decision {
	d := Decision{Quota: s.rate, Stock: s.peekCount(now), Age: -1}
	if !s.repliedAt.IsZero() {
		d.Age = now.Sub(s.repliedAt)
	}
	return d
}

// refuseWithoutHome returns a refusal because no node that may grant was found.
func (s *stock) refuseWithoutHome(now time.Time) Decision {
	d := s.decision(now)
	d.HasNoHome = true
	d.RetryAt = now.Add(time.Duration((0.5 + rand.Float64()) * float64(defaultRetryAfter)))
	if s.pausedUntil.After(d.RetryAt) {
		d.RetryAt = s.pausedUntil
	}
	return d
}

// serveWaiters gives tokens to the requests that wait, in the order of their arrival.
func (s *stock) serveWaiters(now time.Time) {
	for len(s.waiters) > 0 {
		expiresAt, ok := s.take(now)
		if !ok {
			return
		}
		d := s.decision(now)
		d.Allowed, d.expiresAt = true, expiresAt
		s.waiters[0].result <- d
		s.waiters = s.waiters[1:]
	}
}

// refuseWaiters refuses the given number of requests that wait. Their retry times are
// 1/rate apart, as the home has promised them.
func (s *stock) refuseWaiters(count int, now, retryAt time.Time) {
	interval := field.Seconds(1 / s.rate)
	for i := range min(count, len(s.waiters)) {
		d := s.decision(now)
		d.RetryAt = retryAt.Add(time.Duration(i) * interval)
		s.waiters[i].result <- d
	}
	s.waiters = s.waiters[max(0, min(count, len(s.waiters))):]
}

// removeWaiter removes a request that has waited for too long.
func (s *stock) removeWaiter(w *waiter) {
	s.waiters = slices.DeleteFunc(s.waiters, func(other *waiter) bool { return other == w })
}

// dropLate removes the requests whose wait is over; they refuse themselves.
func (s *stock) dropLate(now time.Time) {
	s.waiters = slices.DeleteFunc(s.waiters, func(w *waiter) bool { return !w.until.After(now) })
}

// logInterval is the time between two logged refusals of a node.
const logInterval = 100 * time.Millisecond

// sampler selects the refusals that are logged.
type sampler struct {
	mu       sync.Mutex
	loggedAt time.Time
	skipped  int
}

// sample reports whether to log a refusal, and how many were not logged before it.
func (s *sampler) sample(now time.Time) (skipped int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.loggedAt) < logInterval {
		s.skipped++
		return 0, false
	}
	skipped, s.skipped, s.loggedAt = s.skipped, 0, now
	return skipped, true
}
