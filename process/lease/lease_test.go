package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/version/ledger"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// member is a node that grants and may hold the seat.
type member struct {
	granter *Granter
	holder  *Holder
	life    int
}

func (m *member) candidate(i int) string { return fmt.Sprintf("n%d@%d", i, m.life) }

// The real code keeps the model's invariant under the model's actions: two
// processes never hold the seat at once, and a tenure that goes on was not
// interrupted by another.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		seat := ledger.Seat{Service: "reparto", Epoch: 1, Members: []string{"n0", "n1", "n2"}}
		members := make([]*member, 3)
		for i := range members {
			members[i] = &member{granter: NewGranter(seat.Members[i], start.Add(-Term)), holder: NewHolder()}
		}
		// lastHeld is when each process last held the seat.
		lastHeld := map[string]time.Time{}
		check := func() {
			var live []string
			for i, m := range members {
				if _, ok := m.holder.Tenure(seat, now); ok {
					live = append(live, m.candidate(i))
					lastHeld[m.candidate(i)] = now
				}
			}
			if len(live) > 1 {
				t.Fatalf("%v hold the seat at once", live)
			}
		}
		pick := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { check() },
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"ask": func(t *rapid.T) {
				i := pick.Draw(t, "candidate")
				m := members[i]
				// Grants were given up to a second before the last answer.
				asked := now
				var runs []time.Duration
				for k, o := range members {
					if !rapid.Bool().Draw(t, "reached") {
						continue
					}
					if rapid.Bool().Draw(t, "slow") {
						now = now.Add(300 * time.Millisecond)
						check()
					}
					if run := o.granter.Grant(seat, 1, m.candidate(i), now); run != Refused {
						runs = append(runs, run)
					}
					_ = k
				}
				m.holder.Won(seat, runs, asked, now)
				tenure, held := m.holder.Tenure(seat, now)
				for other, at := range lastHeld {
					if held && other != m.candidate(i) && tenure.Since.Before(at) {
						t.Fatalf("a tenure since %s goes over the one of %s at %s", tenure.Since, other, at)
					}
				}
			},
			"release": func(t *rapid.T) {
				i := pick.Draw(t, "candidate")
				members[i].holder.Stop(seat, now)
				for _, o := range members {
					o.granter.Release(seat, members[i].candidate(i), now)
				}
			},
			"restart": func(t *rapid.T) {
				i := pick.Draw(t, "member")
				members[i].granter = NewGranter(seat.Members[i], now)
				members[i].holder = NewHolder()
				members[i].life++
			},
		})
	})
}

// A closed epoch grants no more, also to its holder.
func TestCloseEndsGranting(t *testing.T) {
	is := is.New(t)
	seat := ledger.Seat{Service: "reparto", Epoch: 1, Members: []string{"n0"}}
	g := NewGranter("n0", start)
	now := start.Add(Term)
	is.True(g.Grant(seat, 1, "n1@1", now) >= 0)
	over := g.Close(seat, "n2@1", now.Add(time.Second))
	is.Equal(over, now.Add(Term)) // the grant of n1 must run out first
	is.Equal(g.Grant(seat, 1, "n1@1", now.Add(2*time.Second)), Refused)
	is.True(!g.IsClosed(seat, now.Add(time.Second)))
	is.True(g.IsClosed(seat, now.Add(2*time.Second)))
	next := seat
	next.Epoch = 2
	is.Equal(g.Grant(next, 2, "n2@1", now.Add(2*time.Second)), Refused) // still within the grant of n1
	is.True(g.Grant(next, 2, "n2@1", over) >= 0)
}

// A member that has just started grants nothing, since it may have granted
// before.
func TestRestartedMemberWaits(t *testing.T) {
	is := is.New(t)
	seat := ledger.Seat{Service: "reparto", Epoch: 1, Members: []string{"n0"}}
	g := NewGranter("n0", start)
	is.Equal(g.Grant(seat, 1, "n1@1", start.Add(Term-1)), Refused)
	is.True(g.Grant(seat, 1, "n1@1", start.Add(Term)) >= 0)
	is.Equal(g.Grant(seat, 2, "n1@1", start.Add(Term)), Refused) // another epoch
	other := NewGranter("n9", start)
	is.Equal(other.Grant(seat, 1, "n1@1", start.Add(Term)), Refused) // no member
}
