package gate

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwheel/cuminwheel/connection/hopheader"
	"github.com/cuminwheel/cuminwheel/request/metadata"
	"github.com/cuminwheel/cuminwheel/request/outcome"
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

// A gate that has waited in vain for a response must still follow the entries.
func TestEchoAfterProbationIsFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := restartedGate(t)
		gr, p := g.admit(t.Context(), requestWithin(0))
		is.True(p == nil)
		defer g.release(gr, resultLost)
		time.Sleep(maxProbation + time.Second)
		req := requestWithin(0)
		req.Notice = hopheader.Notice{IsKnown: true, Incarnation: g.State().Notice.Incarnation, HasLimit: true, Limit: 1}
		_, p = g.admit(t.Context(), req)
		is.True(p != nil)
		is.Equal(p.Code, outcome.CodeTargetLimited)
	})
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

// A target that names its leave in a response must get no new request, queued ones
// included, until another incarnation announces itself: not after an announcement as
// ready, a response of another target, or a restart of the gate.
func TestTargetThatNamedItsLeaveGetsNothing(t *testing.T) {
	tests := []struct {
		name  string
		after func(t *testing.T, g *Gate) *Gate
		want  bool // the target is admitted requests
	}{
		{"at once", func(_ *testing.T, g *Gate) *Gate { return g }, false},
		{"announced as ready", func(t *testing.T, g *Gate) *Gate {
			is.New(t).NoErr(g.Announce(announcement("i", 1000, 9)))
			return g
		}, false},
		{"a response of another target", func(t *testing.T, g *Gate) *Gate {
			g.resetTarget()
			is.New(t).NoErr(g.Announce(announcement("i", 1000, 9)))
			return g
		}, false},
		{"gate restarted", func(t *testing.T, _ *Gate) *Gate { return openGate(t) }, false},
		{"another incarnation", func(t *testing.T, g *Gate) *Gate {
			is.New(t).NoErr(g.Announce(announcement("i", 2000, 1)))
			return g
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := openGate(t)
				held := takeAllSlots(t, g)
				refused := make(chan *outcome.Problem, 1)
				go func() {
					_, p := g.admit(t.Context(), requestWithin(5*time.Second))
					refused <- p
				}()
				synctest.Wait()
				g.recordNotices(held[0], "", metadata.TargetResponse{Signed: true, Leaving: true})
				is.Equal((<-refused).Code, outcome.CodeDraining)
				is.True(g.IsTargetLeaving())
				remembered := g.State().Notice
				for _, gr := range held {
					g.release(gr, resultSuccess)
				}
				g = test.after(t, g)
				req := requestWithin(0)
				req.Notice = remembered
				_, p := g.admit(t.Context(), req)
				is.Equal(p == nil, test.want)
				is.Equal(g.State().Accepting, test.want)
			})
		})
	}
}

// A leave in a response without a signature is passed on to a caller as well, so entries
// must remember it.
func TestUnsignedLeaveIsReported(t *testing.T) {
	is := is.New(t)
	g := openGate(t)
	gr, p := g.admit(t.Context(), requestWithin(0))
	is.True(p == nil)
	g.recordNotices(gr, "", metadata.TargetResponse{Leaving: true})
	n := g.State().Notice
	is.True(n.IsKnown)
	is.True(n.Leaving)
}
