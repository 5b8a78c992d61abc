package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/matryer/is"
)

// restartedGate returns a gate that has started beside a target which has been running
// for a minute.
func restartedGate(t *testing.T) *Gate {
	t.Helper()
	g := newGate()
	g.startedAt = time.Now()
	a := announcement("i", 0, 7)
	a.StartedAt = time.Now().Add(-time.Minute)
	a.Slots = 8
	if err := g.Announce(a); err != nil {
		t.Fatal(err)
	}
	return g
}

// A gate that restarts must not forget the limit: entries that know it return it, and
// without them the target runs one request until its response tells.
func TestRestartedGateKeepsTheLimit(t *testing.T) {
	for _, hasEcho := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := restartedGate(t)
			echo := g.State().Notice
			is.True(!echo.IsKnown)
			echo = hopheader.Notice{IsKnown: true, Incarnation: echo.Incarnation, HasLimit: true, Limit: 1}
			admitted := 0
			for range 8 {
				req := requestWithin(0)
				if hasEcho {
					req.Notice = echo
				}
				if _, p := g.admit(t.Context(), req); p == nil {
					admitted++
				}
			}
			is.Equal(admitted, map[bool]int{true: 0, false: 1}[hasEcho])
			time.Sleep(4 * time.Second)
			limit, ok := g.RequestLimit()
			is.Equal(ok, hasEcho)
			is.True(!ok || limit == 1)
		})
	}
}

// What an entry remembers of an earlier incarnation must not restrict the current one,
// nor override what the target itself has said since.
func TestStaleEchoIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := restartedGate(t)
		tag := g.State().Notice.Incarnation
		stale := hopheader.Notice{IsKnown: true, Incarnation: tag + 1, HasLimit: true, Limit: 1, Leaving: true}
		req := requestWithin(0)
		req.Notice = stale
		gr, p := g.admit(t.Context(), req)
		is.True(p == nil)
		g.recordSent(gr)
		g.recordNotices(gr, "", metadata.TargetResponse{Signed: true})
		g.release(gr, resultSuccess)
		req.Notice = hopheader.Notice{IsKnown: true, Incarnation: tag, HasLimit: true, Limit: 1}
		for range 8 {
			_, p := g.admit(t.Context(), req)
			is.True(p == nil)
		}
	})
}
