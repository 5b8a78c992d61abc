package choice

import (
	"sort"

	"github.com/cuminwheel/cuminwheel/process/roster"
	"github.com/cuminwheel/cuminwheel/version/table"
)

// Index maps each service to its candidates. It is immutable. With returns the
// index after some nodes have changed, at a cost that follows the changed
// nodes and not the fleet, and keeps what has been learned of candidates that
// remain.
type Index struct {
	sets table.Table[*Set]
	// places holds each node's candidates.
	places table.Table[[]place]
}

// place is a candidate and the service that it stands for.
type place struct {
	service   string
	candidate *Candidate
}

// Set returns the candidates of a service.
func (x Index) Set(service string) (*Set, bool) { return x.sets.Get(service) }

// With returns the index after the given nodes have changed, as seen from the
// node self.
func (x Index) With(self roster.Node, changed []roster.Node) Index {
	for _, n := range changed {
		x = x.withNode(self, n)
	}
	return x
}

func (x Index) withNode(self, n roster.Node) Index {
	old, _ := x.places.Get(n.ID)
	next := nextPlaces(self, n, old)
	for _, p := range old {
		if !containsPlace(next, p) {
			x = x.withoutCandidate(p)
		}
	}
	for _, p := range next {
		if !containsPlace(old, p) {
			x = x.withCandidate(p)
		}
	}
	if len(next) == 0 {
		x.places = x.places.Without(n.ID)
		return x
	}
	x.places = x.places.With(n.ID, next)
	return x
}

// nextPlaces returns the candidates of a node. One whose gate is the same as
// before is kept and gets its new number of slots.
func nextPlaces(self, n roster.Node, old []place) []place {
	if n.Status != roster.StatusAlive {
		return nil
	}
	var list []place
	slots := servingSlots(n)
	for _, service := range sortedKeys(slots) {
		c := &Candidate{Node: n.ID, Address: n.Gate, Tier: tierOf(self, n)}
		for _, p := range old {
			if p.service == service && p.candidate.Address == n.Gate {
				c = p.candidate
			}
		}
		c.Slots.Store(int64(slots[service]))
		list = append(list, place{service: service, candidate: c})
	}
	return list
}

func (x Index) withCandidate(p place) Index {
	set, ok := x.sets.Get(p.service)
	if !ok {
		set = &Set{}
	}
	x.sets = x.sets.With(p.service, set.with(p.candidate))
	return x
}

func (x Index) withoutCandidate(p place) Index {
	set, ok := x.sets.Get(p.service)
	if !ok {
		return x
	}
	set = set.without(p.candidate)
	if set.Len() == 0 {
		x.sets = x.sets.Without(p.service)
		return x
	}
	x.sets = x.sets.With(p.service, set)
	return x
}

func containsPlace(list []place, p place) bool {
	for _, o := range list {
		if o == p {
			return true
		}
	}
	return false
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

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
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
