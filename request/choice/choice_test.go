package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/matryer/is"
)

var now = time.Unix(1_000_000, 0)

func node(id, region, dc string, services ...string) roster.Node {
	n := roster.Node{ID: id, Region: region, DataCentre: dc, Gate: "gate-" + id}
	for _, s := range services {
		n.Targets = append(n.Targets, roster.Target{Service: s, Slots: 3})
	}
	return n
}

func newIndex() (roster.Node, []roster.Node) {
	self := node("a", "bajio", "b1", "reparto")
	return self, []roster.Node{
		self,
		node("b", "bajio", "b1", "reparto", "nomina"),
		node("c", "bajio", "b2", "reparto"),
		node("d", "norte", "n1", "reparto"),
	}
}

// Requests leave a tier only when nothing in it can be used.
func TestChooseGoesOutward(t *testing.T) {
	tests := []struct {
		name    string
		avoided []string
		remote  bool
		want    string
		reason  Reason
	}{
		{"own node first", nil, true, "a", ReasonOnlyOne},
		{"then the data centre", []string{"a"}, true, "b", ReasonOnlyOne},
		{"then the region", []string{"a", "b"}, true, "c", ReasonOnlyOne},
		{"then paid links", []string{"a", "b", "c"}, true, "d", ReasonOnlyOne},
		{"all avoided, all used", []string{"a", "b", "c", "d"}, true, "a", ReasonAllAvoided},
		{"no paid link without budget", []string{"a", "b", "c"}, false, "a", ReasonAllAvoided},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			self, nodes := newIndex()
			x := Index{}.With(self, nodes)
			set, ok := x.Set("reparto")
			is.True(ok)
			is.Equal(set.Len(), 4)
			for _, list := range set.tiers {
				for i, c := range list {
					for _, id := range test.avoided {
						if c.Node == id {
							c.Begin()
							c.Refused(now.Add(time.Duration(1+i) * time.Second))
						}
					}
				}
			}
			p, ok := set.Choose(now, rand.New(rand.NewPCG(1, 1)), nil, test.remote)
			is.True(ok)
			is.Equal(p.Candidate.Node, test.want)
			is.Equal(p.Reason, test.reason)
		})
	}
}

// What has been learned of a candidate outlives a change of the roster, and a
// node that leaves is no candidate any more.
func TestIndexKeepsWhatIsLearned(t *testing.T) {
	is := is.New(t)
	self, nodes := newIndex()
	x := Index{}.With(self, nodes)
	set, _ := x.Set("nomina")
	p, _ := set.Choose(now, rand.New(rand.NewPCG(1, 1)), nil, true)
	p.Candidate.Begin()
	p.Candidate.Failed(now)
	x = x.With(self, nodes)
	set, _ = x.Set("nomina")
	again, _ := set.Choose(now, rand.New(rand.NewPCG(1, 1)), nil, true)
	is.Equal(again.Candidate, p.Candidate)
	is.Equal(again.Reason, ReasonAllAvoided)
	nodes[1].Status = roster.StatusLeaving
	_, ok := x.With(self, nodes[1:2]).Set("nomina")
	is.True(!ok)
}

// fleetOf returns nodes with eight targets each of services that repeat.
func fleetOf(targets int) []roster.Node {
	const perNode = 8
	services := max(1, targets*2400/54000)
	var nodes []roster.Node
	for i := range targets / perNode {
		n := roster.Node{
			ID: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250), Gate: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			Region: fmt.Sprint(i % 3), DataCentre: fmt.Sprint(i % 8),
		}
		for t := range perNode {
			s := fmt.Sprintf("service-%d", (i*perNode+t)%services)
			n.Targets = append(n.Targets, roster.Target{Service: s, Address: fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250, 9000+t), Slots: 3})
		}
		nodes = append(nodes, n)
	}
	return nodes
}

func BenchmarkChoose(b *testing.B) {
	for _, targets := range []int{6_000, 18_000, 36_000, 54_000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			nodes := fleetOf(targets)
			x := Index{}.With(nodes[0], nodes)
			random := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				set, _ := x.Set("service-7")
				set.Choose(now, random, nil, true)
			}
		})
	}
}

// One node changes in a fleet of the given size.
func BenchmarkIndexChange(b *testing.B) {
	for _, targets := range []int{6_000, 18_000, 36_000, 54_000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			nodes := fleetOf(targets)
			x := Index{}.With(nodes[0], nodes)
			changed := nodes[1]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				changed.Targets = nodes[1].Targets[i%2:]
				x = x.With(nodes[0], []roster.Node{changed})
			}
		})
	}
}
