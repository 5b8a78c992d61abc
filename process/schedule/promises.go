package schedule

import "time"

// maxPromise bounds how far ahead retry times are spaced. Entries pass on no later ones.
const maxPromise = 2 * time.Second

// Promises spaces the retry times of consecutive refusals.
type Promises struct{ last time.Time }

// Next returns the retry time of a refusal: when there is capacity for the request, but
// spacing after the retry time of the last refusal. If that lies too far ahead, there are
// more refusals than capacity, and the times start over.
func (p *Promises) Next(now, capacityAt time.Time, spacing time.Duration) time.Time {
	at := p.last.Add(spacing)
	if at.Before(capacityAt) || at.After(now.Add(maxPromise)) {
		at = capacityAt
	}
	p.last = at
	return at
}
