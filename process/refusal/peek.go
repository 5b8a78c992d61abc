package refusal

import (
	"time"

	"github.com/cuminwheel/cuminwheel/request/fingerprint"
)

// Outlook is what a Memory knows of a route: the results of CallersRetry, Work and Turn.
type Outlook struct {
	CallersRetry bool
	Work         time.Duration
	Turn         time.Time
}

// Peek returns the same as Recall and changes nothing.
func (m *Memory) Peek(request fingerprint.Fingerprint, now time.Time) (Refusal, bool) {
	e, ok := m.records[request]
	if !ok {
		return Refusal{}, false
	}
	r := e.Value.(*record)
	isEarly := now.Before(r.RetryAt)
	if now.Sub(r.refusedAt) >= recordTTL || isEarly && r.earlyReturns >= maxEarlyReturns {
		return Refusal{}, false
	}
	return r.Refusal, true
}

// PeekOutlook returns what is known of a route and changes nothing. It works on a copy of
// the route's state, to which it applies the records whose time is over.
func (m *Memory) PeekOutlook(key RouteKey, assumed Assumption, now time.Time) Outlook {
	var rt route
	if known, ok := m.routes[key]; ok {
		rt = *known
	}
	for e := m.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if now.Sub(r.refusedAt) < recordTTL {
			break
		}
		if r.Route == key && r.counts && !r.hasReturned {
			rt.judge(false, now)
		}
	}
	return Outlook{CallersRetry: rt.callersRetry(assumed, now), Work: rt.work, Turn: rt.turn(now)}
}
