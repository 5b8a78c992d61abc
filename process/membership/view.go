package membership

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// View is the set of records that a node knows. It is safe for concurrent
// use.
type View struct {
	mu      sync.Mutex
	self    Record
	records map[string]Record
	digest  uint64
	version uint64
}

// NewView returns a roster that holds the node's own record.
func NewView(self Record) *View {
	r := &View{self: self, records: map[string]Record{}}
	r.put(self)
	return r
}

// put stores a record; mu is held or the roster is not shared yet.
func (r *View) put(record Record) {
	if old, ok := r.records[record.ControlAddress]; ok {
		r.digest ^= old.digest()
	}
	r.records[record.ControlAddress] = record
	r.digest ^= record.digest()
	r.version++
}

// Merge takes in records and returns those that were news. A record of the
// node's own address that somebody else wrote is superseded by a new one of its
// own, which is among the news.
func (r *View) Merge(records []Record) (news []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if !record.valid() {
			continue
		}
		if record.ControlAddress == r.self.ControlAddress {
			if record != r.self && !r.self.supersedes(record) {
				r.self.Incarnation = record.Incarnation + 1
				r.put(r.self)
				news = append(news, r.self)
			}
			continue
		}
		old, known := r.records[record.ControlAddress]
		if known && !record.supersedes(old) {
			continue
		}
		r.put(record)
		news = append(news, record)
	}
	return news
}

// Leave marks the node's own record as gone and returns it.
func (r *View) Leave() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Gone = true
	r.put(r.self)
	return r.self
}

// Self returns the node's own record.
func (r *View) Self() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Digest returns a number that is equal for equal rosters.
func (r *View) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.digest
}

// Version grows with each change.
func (r *View) Version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// All returns all records, those of gone nodes included.
func (r *View) All() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.records))
}

// Nodes returns the records of nodes that are not gone, in the order of their
// addresses.
func (r *View) Nodes() []Record {
	all := r.All()
	all = slices.DeleteFunc(all, func(x Record) bool { return x.Gone })
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.ControlAddress, b.ControlAddress) })
	return all
}
