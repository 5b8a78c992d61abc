package choice

import (
	"github.com/cuminwheel/cuminwheel/process/roster"
)

// Index maps each service to its candidates. It is immutable; With returns the
// index of a newer roster, which keeps what has been learned of candidates
// that remain.
type Index struct {
	sets  map[string]*Set
	known map[candidateKey]*Candidate
}

type candidateKey struct {
	service, node, address string
}

// Set returns the candidates of a service.
func (x Index) Set(service string) (*Set, bool) {
	s, ok := x.sets[service]
	return s, ok
}

// With returns the index of the given nodes as seen from the node self.
func (x Index) With(self roster.Node, nodes []roster.Node) Index {
	next := Index{sets: map[string]*Set{}, known: map[candidateKey]*Candidate{}}
	lists := map[string][]*Candidate{}
	for _, n := range nodes {
		if n.Status != roster.StatusAlive {
			continue
		}
		for service, slots := range servingSlots(n) {
			key := candidateKey{service: service, node: n.ID, address: n.Gate}
			c, ok := x.known[key]
			if !ok {
				c = &Candidate{Node: n.ID, Address: n.Gate, Tier: tierOf(self, n)}
			}
			c.Slots.Store(int64(slots))
			next.known[key] = c
			lists[service] = append(lists[service], c)
		}
	}
	for service, list := range lists {
		next.sets[service] = NewSet(list)
	}
	return next
}

func servingSlots(n roster.Node) map[string]int {
	slots := map[string]int{}
	for _, t := range n.Targets {
		if t.State == roster.TargetServing {
			slots[t.Service] += t.Slots
		}
	}
	return slots
}

func tierOf(self, n roster.Node) Tier {
	switch {
	case n.ID == self.ID:
		return TierNode
	case n.Region != self.Region:
		return TierRemote
	case n.DataCentre != self.DataCentre:
		return TierRegion
	}
	return TierDataCentre
}
