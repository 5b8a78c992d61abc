package refusal

import "time"

const (
	// maxWaitShare is the longest Retry-After as a share of the time left. Callers wait a
	// third of the time that they have left; the rest covers the way of the response.
	maxWaitShare = 0.32
	// maxWait bounds Retry-After for callers with much time. It is shorter than
	// recordTTL, so that a return is still recognized.
	maxWait = 2 * time.Second
	// defaultWait is the time until a retry if no gate has named one.
	defaultWait = 500 * time.Millisecond
	// spreadShare is the part of the longest wait over which the retry times that reach
	// it are spread.
	spreadShare = 0.4
	// returnWorkFactor is how many times the expected work the soft deadline of a return
	// lies ahead at least. Gates rank requests that can no longer meet their soft deadline
	// last, which would put a return behind new requests.
	returnWorkFactor = 1.5
)

// Promise returns the retry time of a refusal: the earliest time at which a gate will have
// capacity (zero if none named one), not before the turn of this request among those that
// were refused before it, and never later than callers wait. Times that would be later are
// spread over the last part of that wait by random, from 0 to 1.
func Promise(now, earliestCapacity, turn, deadline time.Time, random float64) time.Time {
	if !earliestCapacity.After(now) {
		earliestCapacity = now.Add(defaultWait)
	}
	at := later(earliestCapacity, turn)
	longest := longestWait(now, deadline)
	if at.Sub(now) <= longest {
		return at
	}
	return now.Add(time.Duration((1 - spreadShare*random) * float64(longest)))
}

// PromiseAgain returns the retry time of a request that returned before the promised one:
// the same, unless the caller has less time left than before.
func PromiseAgain(now, promised, deadline time.Time) time.Time {
	if longest := now.Add(longestWait(now, deadline)); promised.After(longest) {
		return longest
	}
	return promised
}

func longestWait(now, deadline time.Time) time.Duration {
	return max(0, min(maxWait, time.Duration(maxWaitShare*float64(deadline.Sub(now)))))
}

// SoftDeadlineOfReturn returns the soft deadline of a request that returns: that of its
// first attempt, or if it could no longer be met, the earliest that can. It is never later
// than that of a new request.
func SoftDeadlineOfReturn(now, first time.Time, work, targetLatency time.Duration) time.Time {
	soft := later(first, now.Add(time.Duration(returnWorkFactor*float64(work))))
	if fresh := now.Add(targetLatency); fresh.Before(soft) {
		return fresh
	}
	return soft
}
