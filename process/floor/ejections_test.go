package floor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// gates are the gates of one service with one target of one slot each, driven
// by the actions of spec/floor.pml.
type gates struct {
	bids    []*Ejections
	open    []*Proposal
	asked   []map[int]bool
	ejected []bool
	floor   int
}

const name = "target"

func (g *gates) inService() int {
	n := 0
	for _, out := range g.ejected {
		if !out {
			n++
		}
	}
	return n
}

// The real code keeps the model's invariant under the model's actions: at each
// ejection at least the floor stays in service.
func TestBidsKeepTheFloor(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	later := now.Add(time.Hour)
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "targets")
		g := &gates{
			bids: make([]*Ejections, count), open: make([]*Proposal, count),
			asked: make([]map[int]bool, count), ejected: make([]bool, count),
			floor: rapid.IntRange(0, count).Draw(t, "floor"),
		}
		for i := range g.bids {
			g.bids[i] = NewEjections()
		}
		pick := rapid.IntRange(0, count-1)
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				if g.open[i] != nil || g.ejected[i] {
					return
				}
				b, ok := g.bids[i].Propose(name, g.floor)
				if !ok {
					t.Fatal("a bid was refused although none runs")
				}
				g.open[i], g.asked[i] = b, map[int]bool{}
			},
			"vouch": func(t *rapid.T) {
				i, o := pick.Draw(t, "bidder"), pick.Draw(t, "sibling")
				if g.open[i] == nil || i == o || g.asked[i][o] {
					return
				}
				if g.bids[o].CountsTowardsFloor(name, now) {
					g.asked[i][o] = true
					g.open[i].AddHealthySlots(1)
				}
			},
			"commit": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				if g.open[i] == nil {
					return
				}
				won := g.open[i].Commit(later)
				g.open[i] = nil
				if !won {
					return
				}
				g.ejected[i] = true
				if g.inService() < g.floor {
					t.Fatalf("%d targets are in service, the floor is %d", g.inService(), g.floor)
				}
			},
			"abort": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				if g.open[i] == nil {
					return
				}
				g.open[i].Abort()
				g.open[i] = nil
			},
			"return": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				g.bids[i].EndEjection(name)
				g.ejected[i] = false
			},
			"restart": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				g.bids[i], g.open[i], g.ejected[i] = NewEjections(), nil, false
			},
		})
	})
}

func TestVouchFindsSlowService(t *testing.T) {
	tests := []struct {
		name               string
		serving, suspected int
		want               bool
	}{
		{"no siblings", 0, 0, false},
		{"all well", 33, 0, false},
		{"half sick", 33, 15, false},
		{"most suspected", 33, 24, true},
		{"all suspected", 33, 33, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := Capacity{ServingSlots: test.serving, SuspectedSlots: test.suspected}
			if got := v.IsServiceDegraded(); got != test.want {
				t.Fatalf("got %t, want %t", got, test.want)
			}
		})
	}
}
