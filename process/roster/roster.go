package roster

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Roster holds the newest record of each node. It is safe for concurrent use.
type Roster struct {
	self string

	mu      sync.Mutex
	nodes   map[string]Node
	buckets [bucketCount]uint64
	ring    []string
	changed bool
	rumours map[string]int
	// accusation is a record of the own node that others spread.
	accusation *Node

	generation atomic.Int64
	// recent holds the IDs of the newest changes; the last is of generation.
	recent []string
}

// maxRecent bounds the changes that Changes can return without the whole
// roster.
const maxRecent = 4096

// bucketCount splits the roster for finding differences: at 6,700 nodes a
// bucket holds 26 records.
const bucketCount = 256

// New returns a roster that knows only the record of its own node.
func New(self Node) *Roster {
	r := &Roster{
		self:    self.ID,
		nodes:   map[string]Node{},
		rumours: map[string]int{},
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store(self)
	return r
}

// Self returns the record of the roster's own node.
func (r *Roster) Self() Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes[r.self]
}

// Node returns the record of a node.
func (r *Roster) Node(id string) (Node, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.nodes[id]
	return n, ok
}

// Nodes returns all records in the order of their IDs, gone nodes included.
func (r *Roster) Nodes() []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Node, 0, len(r.nodes))
	for _, n := range r.nodes {
		list = append(list, n)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Generation grows with each change, so that a reader can tell whether what it
// derived from the roster is still current.
func (r *Roster) Generation() int64 { return r.generation.Load() }

// Changes returns the records that changed after the given generation, or all
// if that lies too far back, and the present generation.
func (r *Roster) Changes(since int64) ([]Node, int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	generation := r.generation.Load()
	missed := generation - since
	var list []Node
	if since < 0 || missed > int64(len(r.recent)) {
		for _, n := range r.nodes {
			list = append(list, n)
		}
		return list, generation
	}
	seen := map[string]bool{}
	for _, id := range r.recent[int64(len(r.recent))-missed:] {
		if !seen[id] {
			seen[id] = true
			list = append(list, r.nodes[id])
		}
	}
	return list, generation
}

// Announce publishes a change of the own record under the next version.
func (r *Roster) Announce(edit func(Node) Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.nodes[r.self]
	next := edit(now)
	next.ID = now.ID
	next.Incarnation = now.Incarnation
	next.Version = now.Version + 1
	r.store(next)
}

// DeclareGone records that a node at the given version is gone. A record that
// the node has published since wins over the declaration.
func (r *Roster) DeclareGone(n Node) {
	n.Status = StatusGone
	n.Targets = nil
	r.Merge([]Node{n})
}

// Merge takes in records from a peer and returns how many were news. A record
// that calls the own node gone is kept as an accusation.
func (r *Roster) Merge(list []Node) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := 0
	for _, n := range list {
		if n.ID == "" {
			continue
		}
		if n.ID == r.self {
			r.accuse(n)
			continue
		}
		known, ok := r.nodes[n.ID]
		if ok && !n.overrides(known) {
			continue
		}
		r.store(n)
		news++
	}
	return news
}

// accuse remembers that others spread a newer record of the own node. Records
// of a later incarnation are left alone: this process has been replaced.
func (r *Roster) accuse(n Node) {
	own := r.nodes[r.self]
	if n.Incarnation > own.Incarnation || !n.overrides(own) {
		return
	}
	if r.accusation == nil || n.overrides(*r.accusation) {
		r.accusation = &n
	}
}

// IsAccused reports whether others spread a newer record of the own node,
// which calls it gone.
func (r *Roster) IsAccused() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accusation != nil
}

// Refute publishes the own record above the version that others spread.
func (r *Roster) Refute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accusation == nil {
		return
	}
	own := r.nodes[r.self]
	own.Version = max(own.Version, r.accusation.Version) + 1
	r.accusation = nil
	r.store(own)
}

func (r *Roster) store(n Node) {
	if old, ok := r.nodes[n.ID]; ok {
		r.buckets[bucketOf(n.ID)] ^= old.digest()
	}
	r.buckets[bucketOf(n.ID)] ^= n.digest()
	r.nodes[n.ID] = n
	r.rumours[n.ID] = 0
	r.changed = true
	r.generation.Add(1)
	r.recent = append(r.recent, n.ID)
	if len(r.recent) > 2*maxRecent {
		r.recent = append([]string(nil), r.recent[maxRecent:]...)
	}
}

// Digest covers the versions of all records.
func (r *Roster) Digest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var d uint64
	for _, b := range r.buckets {
		d ^= b
	}
	return d
}

// Buckets returns a digest for each bucket of records.
func (r *Roster) Buckets() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]uint64(nil), r.buckets[:]...)
}

// Differing returns the records in the buckets whose digests differ from
// theirs.
func (r *Roster) Differing(theirs []uint64) []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Node
	for _, n := range r.nodes {
		b := bucketOf(n.ID)
		if b >= len(theirs) || theirs[b] != r.buckets[b] {
			list = append(list, n)
		}
	}
	return list
}

// TakeRumours returns records that changed lately, each at most limit times
// over all calls.
func (r *Roster) TakeRumours(limit, most int) []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Node
	for id, sent := range r.rumours {
		if len(list) == most {
			break
		}
		list = append(list, r.nodes[id])
		if sent+1 >= limit {
			delete(r.rumours, id)
			continue
		}
		r.rumours[id] = sent + 1
	}
	return list
}

// Successors returns the count living nodes that follow id on the hash ring
// among those that accept allows.
func (r *Roster) Successors(id string, count int, accept func(Node) bool) []Node {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rebuildRing()
	start := sort.Search(len(r.ring), func(i int) bool { return !ringLess(r.ring[i], id) })
	var list []Node
	for i := range r.ring {
		n := r.nodes[r.ring[(start+i)%len(r.ring)]]
		if n.ID == id || n.Status == StatusGone || !accept(n) {
			continue
		}
		list = append(list, n)
		if len(list) == count {
			break
		}
	}
	return list
}

func (r *Roster) rebuildRing() {
	if !r.changed {
		return
	}
	r.ring = r.ring[:0]
	for id := range r.nodes {
		r.ring = append(r.ring, id)
	}
	sort.Slice(r.ring, func(i, j int) bool { return ringLess(r.ring[i], r.ring[j]) })
	r.changed = false
}

func ringLess(a, b string) bool {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	if x != y {
		return x < y
	}
	return a < b
}

func bucketOf(id string) int {
	return int(xxhash.Sum64String(id) % bucketCount)
}
