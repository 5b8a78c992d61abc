package gate

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
	"github.com/matryer/is"
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

	mu       sync.Mutex
	arrivals []time.Time
}

// serve sends a request through the gate to the target.
func (l *limitedTarget) serve(t *testing.T, g *Gate, req hopheader.Request) {
	gr, p := g.admit(t.Context(), req)
	if p != nil {
		return
	}
	g.recordSent(gr)
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
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

// A limit must not cost more than it says: a target gets nearly all that its limit
// allows, a changed limit applies at once, and one that has ended withholds nothing.
func TestLimitIsUsedAndFollowed(t *testing.T) {
	tests := []struct {
		name  string
		limit func(elapsed time.Duration) (float64, bool)
		// atLeast and atMost bound the requests between 10 s and 20 s.
		atLeast, atMost int
	}{
		{"constant", func(time.Duration) (float64, bool) { return 3, true }, 27, 32},
		{"raised", func(d time.Duration) (float64, bool) { return 1 + 4*float64(d/(10*time.Second)), true }, 40, 53},
		{"lowered", func(d time.Duration) (float64, bool) { return 5 - 4*float64(d/(10*time.Second)), true }, 9, 13},
		{"ended", func(d time.Duration) (float64, bool) { return 1, d < 9*time.Second }, 180, 250},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := openGate(t)
				start := time.Now()
				l := &limitedTarget{duration: 20 * time.Millisecond, limit: func(now time.Time) (float64, bool) { return test.limit(now.Sub(start)) }}
				l.load(t, g, 20, 20*time.Second, 500*time.Millisecond)
				n := 0
				for _, a := range l.arrivals {
					if d := a.Sub(start); d >= 10*time.Second && d < 20*time.Second {
						n++
					}
				}
				is.True(n >= test.atLeast)
				is.True(n <= test.atMost)
			})
		})
	}
}

// A refusal for the limit must say when to come back, and a request that was granted a
// slot but not sent must not use up the limit.
func TestUnsentRequestsAreRefunded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		l := &limitedTarget{limit: always(0.5)}
		l.serve(t, g, requestWithin(0))
		time.Sleep(2100 * time.Millisecond)
		for range 3 {
			gr, p := g.admit(t.Context(), requestWithin(0))
			is.True(p == nil)
			g.release(gr, resultInconclusive)
		}
		l.serve(t, g, requestWithin(0))
		_, p := g.admit(t.Context(), requestWithin(0))
		is.Equal(p.Code, outcome.CodeTargetLimited)
		is.True(p.RetryAt.After(time.Now().Add(time.Second)))
		is.True(g.State().AdmitsAt.After(time.Now().Add(time.Second)))
	})
}

// A queued request must not wait for the time that a limit which has since been raised
// would have admitted it.
func TestRaisedLimitAdmitsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := openGate(t)
		gr, p := g.admit(t.Context(), requestWithin(0))
		is.True(p == nil)
		g.recordSent(gr)
		g.recordNotices(gr, "", metadata.TargetResponse{Signed: true, HasRequestLimit: true, RequestLimit: 0.2})
		startedAt := time.Now()
		granted := make(chan *outcome.Problem, 1)
		go func() {
			_, p := g.admit(t.Context(), requestWithin(8*time.Second))
			granted <- p
		}()
		synctest.Wait()
		g.recordNotices(gr, "", metadata.TargetResponse{Signed: true, HasRequestLimit: true, RequestLimit: 10})
		is.True(<-granted == nil)
		is.True(time.Since(startedAt) < 200*time.Millisecond)
	})
}
