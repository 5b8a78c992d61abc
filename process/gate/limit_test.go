package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/metadata"
)

const (
	// limitWindow is the span in which a target's requests are counted. allowedFactor
	// and allowedSlack say how many may exceed its limit in one.
	limitWindow   = 4 * time.Second
	allowedFactor = 1.5
	allowedSlack  = 5
)

// limitedTarget counts the requests that it gets. Its responses name its limit.
type limitedTarget struct {
	// limit returns the limit at a time; ok is false if there is none.
	limit    func(now time.Time) (perSecond float64, ok bool)
	duration time.Duration
	arrivals []time.Time
}

// serve sends a request through the gate to the target.
func (l *limitedTarget) serve(t *testing.T, g *Gate, req hopheader.Request) {
	gr, p := g.admit(t.Context(), req)
	if p != nil {
		return
	}
	g.recordSent(gr)
	l.arrivals = append(l.arrivals, time.Now())
	time.Sleep(l.duration)
	limit, ok := l.limit(time.Now())
	g.recordNotices(gr, "", metadata.TargetResponse{Signed: true, HasRequestLimit: ok, RequestLimit: limit})
	g.release(gr, resultSuccess)
}

// load sends requests at a rate, each of which may queue for up to wait, until the
// span is over and all have ended.
func (l *limitedTarget) load(t *testing.T, g *Gate, perSecond float64, span, wait time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for until := time.Now().Add(span); time.Now().Before(until); {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		go l.serve(t, g, requestWithin(wait))
	}
	time.Sleep(wait + l.duration)
	synctest.Wait()
}

// most returns the largest number of arrivals in a window that begins at from or later.
func (l *limitedTarget) most(from time.Time) int {
	most := 0
	for i, first := range l.arrivals {
		n := 0
		for _, a := range l.arrivals[i:] {
			if a.Sub(first) < limitWindow {
				n++
			}
		}
		if !first.Before(from) {
			most = max(most, n)
		}
	}
	return most
}

func allowed(perSecond float64) int {
	return int(allowedFactor*perSecond*limitWindow.Seconds()) + allowedSlack
}

func always(perSecond float64) func(time.Time) (float64, bool) {
	return func(time.Time) (float64, bool) { return perSecond, true }
}

// Incident inc1: a target that had named a limit of 1 a second got 25 requests in 4 s.
func TestTargetGetsNoMoreThanItsLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.3, 1, 3.5, 8} {
		for _, wait := range []time.Duration{0, 2 * time.Second} {
			t.Run(fmt.Sprintf("%v a second, wait %v", limit, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := openGate(t)
					l := &limitedTarget{limit: always(limit), duration: 20 * time.Millisecond}
					from := time.Now().Add(limitWindow)
					l.load(t, g, 40, 30*time.Second, wait)
					if most := l.most(from); most > allowed(limit) {
						t.Errorf("%d requests in 4 s, allowed %d", most, allowed(limit))
					}
				})
			})
		}
	}
}
