package floor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet holds the gates of one service, with one target of one slot each. The
// actions of spec/floor.pml drive it.
type fleet struct {
	ejections []*Ejections
	// pending holds each gate's proposal, or nil.
	pending []*Proposal
	// confirmed holds the siblings that confirmed each gate's proposal.
	confirmed []map[int]bool
	ejected   []bool
	floor     int
}

const targetName = "target"

// inService returns the number of targets that are not ejected.
func (f *fleet) inService() int {
	n := 0
	for _, ejected := range f.ejected {
		if !ejected {
			n++
		}
	}
	return n
}

// Concurrent proposals whose gates confirm each other's targets could together
// eject more than the floor allows. Under the actions of the model, the code must
// keep the model's invariant: after each ejection at least the floor is in
// service.
func TestEjectionsKeepFloor(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	later := now.Add(time.Hour)
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "targets")
		f := &fleet{
			ejections: make([]*Ejections, count), pending: make([]*Proposal, count),
			confirmed: make([]map[int]bool, count), ejected: make([]bool, count),
			floor: rapid.IntRange(0, count).Draw(t, "floor"),
		}
		for i := range f.ejections {
			f.ejections[i] = NewEjections()
		}
		pick := rapid.IntRange(0, count-1)
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				if f.pending[i] != nil || f.ejected[i] {
					return
				}
				p, ok := f.ejections[i].Propose(targetName, f.floor)
				if !ok {
					t.Fatal("a proposal was rejected although none is pending")
				}
				f.pending[i], f.confirmed[i] = p, map[int]bool{}
			},
			"vouch": func(t *rapid.T) {
				i, o := pick.Draw(t, "bidder"), pick.Draw(t, "sibling")
				if f.pending[i] == nil || i == o || f.confirmed[i][o] {
					return
				}
				if f.ejections[o].CountsTowardsFloor(targetName, now) {
					f.confirmed[i][o] = true
					f.pending[i].AddHealthySlots(1)
				}
			},
			"commit": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				if f.pending[i] == nil {
					return
				}
				committed := f.pending[i].Commit(later)
				f.pending[i] = nil
				if !committed {
					return
				}
				f.ejected[i] = true
				if f.inService() < f.floor {
					t.Fatalf("%d targets are in service, want at least the floor of %d", f.inService(), f.floor)
				}
			},
			"abort": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				if f.pending[i] == nil {
					return
				}
				f.pending[i].Abort()
				f.pending[i] = nil
			},
			"return": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				f.ejections[i].EndEjection(targetName)
				f.ejected[i] = false
			},
			"restart": func(t *rapid.T) {
				i := pick.Draw(t, "target")
				f.ejections[i], f.pending[i], f.ejected[i] = NewEjections(), nil, false
			},
		})
	})
}

// When most siblings are suspected, the service is slow and no target may be
// ejected for it. When half of them are, a target may still be unhealthy itself.
func TestDegradedServiceIsDetected(t *testing.T) {
	tests := []struct {
		name               string
		serving, suspected int
		want               bool
	}{
		{"no siblings", 0, 0, false},
		{"all healthy", 33, 0, false},
		{"half suspected", 33, 15, false},
		{"most suspected", 33, 24, true},
		{"all suspected", 33, 33, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := Capacity{ServingSlots: test.serving, SuspectedSlots: test.suspected}
			if got := c.IsServiceDegraded(); got != test.want {
				t.Fatalf("got %t, want %t", got, test.want)
			}
		})
	}
}
