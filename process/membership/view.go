package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// View is the set of records that a node knows. It is safe for concurrent use.
type View struct {
	mu      sync.Mutex
	self    Record
	records map[string]Record // by control address
	digest  uint64            // XOR of the records' digests
	version uint64
	// countByService counts the nodes of each service that have not left.
	countByService map[string]int
	// onOwnRecord, if not nil, is called for records of the node itself from elsewhere.
	onOwnRecord func(departures string)
	// sorted is the result of Nodes; nil if the view has changed since.
	sorted []Record
	// discovered is the result of Discovered, and witness that of Witness.
	discovered, witness chan struct{}
}

// NewView returns a view that holds only the node's own record.
func NewView(self Record) *View {
	v := &View{self: self, records: map[string]Record{}, countByService: map[string]int{}, discovered: make(chan struct{}), witness: make(chan struct{})}
	v.put(self)
	return v
}

// put stores a record. The caller holds mu, unless the view is not shared yet.
func (v *View) put(r Record) {
	if old, ok := v.records[r.ControlAddress]; ok {
		v.digest ^= old.digest()
		if !old.Gone {
			v.countByService[old.Service]--
		}
	}
	if !r.Gone {
		v.countByService[r.Service]++
	}
	v.records[r.ControlAddress] = r
	v.digest ^= r.digest()
	v.version++
	v.sorted = nil
}

// Merge stores the records that are valid and new to the view and returns them.
// If a record of the node's own address comes from elsewhere and its own record
// doesn't supersede it, or lacks departures of it, Merge raises the own incarnation
// above it and returns the new own record among the updates.
func (v *View) Merge(records []Record) (updates []Record) {
	updates, isOwn := v.merge(records, time.Now())
	if isOwn && v.onOwnRecord != nil {
		v.onOwnRecord(v.Self().Departures)
	}
	return updates
}

// merge implements Merge. isOwn means that a record is of the node itself.
func (v *View) merge(records []Record, now time.Time) (updates []Record, isOwn bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range records {
		if r.Validate(now) != nil {
			continue
		}
		if r.ControlAddress == v.self.ControlAddress {
			isOwn = true
			if v.mergeOwn(r) {
				updates = append(updates, v.self)
			}
			continue
		}
		old, known := v.records[r.ControlAddress]
		if known {
			if r = r.join(old); r == old {
				continue
			}
		}
		v.put(r)
		updates = append(updates, r)
	}
	return updates, isOwn
}

// mergeOwn applies a record of the node's own address and reports whether the own record
// has changed. The caller holds mu.
func (v *View) mergeOwn(r Record) (changed bool) {
	departures := uniteDepartures(r.Departures, v.self.Departures)
	if r == v.self || v.self.supersedes(r) && departures == v.self.Departures {
		return false
	}
	v.self.Departures = departures
	v.self.Incarnation = max(v.self.Incarnation, r.Incarnation) + 1
	v.put(v.self)
	return true
}

// IsDiscovered reports whether the view has been filled with the records of the fleet: from
// the store, or from a node whose view had been. Until then it may lack any node, so that
// the node must not take those that it knows, or itself alone, for the whole fleet.
func (v *View) IsDiscovered() bool { return isClosed(v.discovered) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Discovered returns a channel that is closed when the view has been filled.
func (v *View) Discovered() <-chan struct{} { return v.discovered }

// SetDiscovered records that the view has been filled.
func (v *View) SetDiscovered() { v.signal(v.discovered) }

// signal closes a channel of the view unless it is closed already.
func (v *View) signal(c chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !isClosed(c) {
		close(c)
	}
}

// IsWitness reports whether the node knows what other nodes have held: since the fleet first
// started, or from another witness. After all nodes have been killed there is none, and what
// only nodes held is forgotten.
func (v *View) IsWitness() bool { return isClosed(v.witness) }

// Witness returns a channel that is closed when the node becomes a witness.
func (v *View) Witness() <-chan struct{} { return v.witness }

// SetWitness records that the node is a witness.
func (v *View) SetWitness() { v.signal(v.witness) }

// learnFrom records that the view holds all that the view of the sender of a message does.
func (v *View) learnFrom(m Message) {
	if !m.IsUndiscovered {
		v.SetDiscovered()
	}
	if !m.IsNewcomer {
		v.SetWitness()
	}
}

// Leave marks the node's own record as gone and returns it.
func (v *View) Leave() Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.Gone = true
	v.put(v.self)
	return v.self
}

// Self returns the node's own record.
func (v *View) Self() Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Digest returns a hash that is equal for views with equal records.
func (v *View) Digest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// Version returns a number that grows with each change of the view.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

// CountOf returns the number of nodes of a service that have not left.
func (v *View) CountOf(service string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.countByService[service]
}

// All returns all records, those of nodes that left included.
func (v *View) All() []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Collect(maps.Values(v.records))
}

// InheritedRemovals returns the records of the nodes that left and whose removal this
// node looks after: it is the first node, in the order of control addresses, after
// the one that left.
func (v *View) InheritedRemovals() []Record {
	nodes := v.Nodes()
	self := v.Self()
	var inherited []Record
	for _, r := range v.All() {
		if !r.Gone || r.ControlAddress == self.ControlAddress || len(nodes) == 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(nodes, r.ControlAddress, func(n Record, a string) int { return strings.Compare(n.ControlAddress, a) })
		if nodes[i%len(nodes)].ControlAddress == self.ControlAddress {
			inherited = append(inherited, r)
		}
	}
	return inherited
}

// Nodes returns the records of the nodes that have not left, sorted by control
// address. Callers share the result and must not change it.
func (v *View) Nodes() []Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.sorted == nil {
		for _, r := range v.records {
			if !r.Gone {
				v.sorted = append(v.sorted, r)
			}
		}
		slices.SortFunc(v.sorted, func(a, b Record) int { return strings.Compare(a.ControlAddress, b.ControlAddress) })
	}
	return v.sorted
}

// RegionOf returns the region of the node with a control address, or "" if no such node is
// known or if it has left.
func (v *View) RegionOf(address string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.records[address]; !r.Gone {
		return r.Region
	}
	return ""
}
